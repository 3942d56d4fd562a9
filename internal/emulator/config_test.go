package emulator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestShippedConfigEqualsDefaults(t *testing.T) {
	got, err := Load("../../deploy/lab.toml")
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(Default(), *got); d != "" {
		t.Error(d)
	}
}

func TestLoadRejectsInvalidConfig(t *testing.T) {
	for text, want := range map[string]string{
		"controlers = 2":                           "line 1: unknown key [controlers]",
		"controllers = 0":                          "controllers is missing or not positive",
		"speed = -1.0":                             "speed is missing or not positive",
		"[workers]\nreport = 1.0":                  "line 2: unknown key [workers report]",
		"[[machine_types]]\nname = \"a\"":          "must be given",
		"controllers = \"three\"":                  "toml",
		"controllers = 5\n[state]\nrps = 1000.0\n": "",
	} {
		path := filepath.Join(t.TempDir(), "lab.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Load(path)
		switch {
		case want == "" && (err != nil || c.Controllers != 5 || c.State.RPS != 1000 || c.State.TxnOps == 0):
			t.Errorf("%q: got %+v, %v, want the values in the file over the defaults", text, c, err)
		case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
			t.Errorf("%q: got error %v, want one that contains the expected text", text, err)
		}
	}
}
