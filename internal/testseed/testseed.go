// Package testseed lets property tests say the same in every run. Only tests import it.
package testseed

import (
	"flag"
	"maps"
	"testing"

	// Its flags are those that are set here.
	_ "pgregory.net/rapid"
)

// Flags are values of the property tests' flags by name.
type Flags map[string]string

// fixed are the seed, and that no file is written of a failure.
var fixed = Flags{"rapid.seed": "1", "rapid.nofailfile": "true"}

// Run runs the tests of a package with a fixed seed and further flags, unless the command
// line gives others, to search further. It is for TestMain, which exits with what it returns.
func Run(m *testing.M, further Flags) int {
	flag.Parse()
	flags := maps.Clone(fixed)
	maps.Copy(flags, further)
	for name, value := range flags {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err) // the flag is rapid's, and so is its type
		}
	}
	return m.Run()
}
