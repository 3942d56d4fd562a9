package federation

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestConfigurationFilesAreChecked(t *testing.T) {
	if c, err := Load("../../deploy/gateway.toml"); err != nil || !c.MayOffer("nightly", time.Minute) {
		t.Errorf("the file under deploy: %v", err)
	}
	const good = "site = \"a\"\n[[peers]]\nsite = \"b\"\naddresses = [\"127.0.0.1:1\"]\nat_once = 3\n"
	for text, want := range map[string]string{
		good: "",
		good + "[[classes]]\nname = \"k\"\nto = [\"b\"]\n": "",
		"":                 "is missing",
		good + "hop = 3\n": "line 6: unknown key",
		"site = \"b\"\n" + good[len("site = \"a\"\n"):]:    "this site, empty or named twice",
		good + "[[classes]]\nname = \"k\"\nto = [\"x\"]\n": "which is no peer",
		"retry_s = 0.0\n" + good:                           "must be positive",
	} {
		path := filepath.Join(t.TempDir(), "gateway.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Load(path)
		switch {
		case want == "" && (err != nil || c.Peers[0].MaxOutgoing != 3 || c.MaxHops == 0):
			t.Errorf("%q: got %+v, %v", text, c, err)
		case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
			t.Errorf("%q: got %v", text, err)
		}
	}
}
