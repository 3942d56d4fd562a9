package federation

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestLoadValidatesConfiguration(t *testing.T) {
	if cfg, err := Load("../../deploy/gateway.toml"); err != nil || !cfg.MayOffer("nightly", time.Minute) {
		t.Errorf("deploy/gateway.toml: got error %v or no class that offers jobs", err)
	}
	const valid = "site = \"a\"\n[[peers]]\nsite = \"b\"\naddresses = [\"127.0.0.1:1\"]\nat_once = 3\n"
	for text, want := range map[string]string{
		valid: "",
		valid + "[[classes]]\nname = \"k\"\nto = [\"b\"]\n": "",
		"":                  "is missing",
		valid + "hop = 3\n": "line 6: unknown key",
		"site = \"b\"\n" + valid[len("site = \"a\"\n"):]:    "this site, empty or named twice",
		valid + "[[classes]]\nname = \"k\"\nto = [\"x\"]\n": "which is not a configured peer",
		"retry_s = 0.0\n" + valid:                           "must be positive",
	} {
		path := filepath.Join(t.TempDir(), "gateway.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, err := Load(path)
		switch {
		case want == "" && (err != nil || cfg.Peers[0].MaxOutgoing != 3 || cfg.MaxHops == 0):
			t.Errorf("%q: got %+v, error %v, want a valid configuration", text, cfg, err)
		case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
			t.Errorf("%q: got unexpected error %v", text, err)
		}
	}
}
