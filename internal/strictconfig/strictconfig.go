// Package strictconfig reads TOML files and rejects unknown keys.
package strictconfig

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Load decodes a file into v; keys that the file omits keep their values in v. If v has a
// Check method, Load calls it. Errors have one line, which names the file and, for an unknown
// key, its line.
func Load(path string, v any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	d := toml.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	err = d.Decode(v)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		line, _ := strict.Errors[0].Position()
		return fmt.Errorf("%s: line %d: unknown key %v", path, line, strict.Errors[0].Key())
	}
	if c, ok := v.(interface{ Check() error }); ok && err == nil {
		err = c.Check()
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
