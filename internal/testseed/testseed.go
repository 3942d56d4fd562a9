// Package testseed makes property tests reproducible. Only tests import it.
package testseed

import (
	"flag"
	"maps"
	"testing"

	// Registers the flags that this package sets.
	_ "pgregory.net/rapid"
)

// Flags maps names of property-test flags to values.
type Flags map[string]string

// defaultFlags fixes the seed and disables the files that rapid writes for failed tests.
var defaultFlags = Flags{"rapid.seed": "1", "rapid.nofailfile": "true"}

// Run runs the tests of a package with a fixed seed and additional flags. Flags given on the
// command line take precedence, so that a run can try other seeds. TestMain calls it and
// exits with the returned status.
func Run(m *testing.M, additional Flags) int {
	flag.Parse()
	flags := maps.Clone(defaultFlags)
	maps.Copy(flags, additional)
	flag.Visit(func(given *flag.Flag) { delete(flags, given.Name) })
	for name, value := range flags {
		if err := flag.Set(name, value); err != nil {
			panic(err) // rapid defines the flag and accepts the value
		}
	}
	return m.Run()
}
