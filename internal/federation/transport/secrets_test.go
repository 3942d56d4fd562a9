package transport

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// What no peer would take is refused at the start, with the reason.
func TestOwnSecretsAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(dir string) error
		why   string
	}{
		"good":         {func(string) error { return nil }, ""},
		"expired":      {func(dir string) error { return Issue(dir, []string{"west"}, -time.Minute, false) }, "it is good from"},
		"no authority": {func(dir string) error { return os.WriteFile(filepath.Join(dir, authorityFile), nil, 0o600) }, "holds no certificate"},
		"another's": {func(dir string) error {
			return os.Rename(filepath.Join(dir, "east.pem"), filepath.Join(dir, "west.pem"))
		}, "private key does not match"},
		"no ticket key": {func(dir string) error { return os.WriteFile(filepath.Join(dir, ticketsFile), nil, 0o600) }, "keys is missing"},
		"weak ticket key": {func(dir string) error {
			return os.WriteFile(filepath.Join(dir, ticketsFile), []byte("[[keys]]\nid = \"1\"\nsecret = \"abcd\"\n"), 0o600)
		}, "16 bytes"},
	} {
		keys := issued(t, time.Hour)
		if err := c.spoil(keys); err != nil {
			t.Fatal(err)
		}
		_, _, err := New(site(t, t.TempDir(), keys, "west", "east"), nil)
		if (err == nil) != (c.why == "") || err != nil && !strings.Contains(err.Error(), c.why) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
