// Package strictconfig reads TOML files in which a key that is not known is an error.
package strictconfig

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Load reads a file over what v holds, and has it checked if it can Check itself.
// Errors are one line, with the file and, for an unknown key, its line.
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
