package transport

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// New must reject secrets that peers would not accept, and return the reason.
func TestNewRejectsInvalidSecrets(t *testing.T) {
	for name, tc := range map[string]struct {
		modify func(dir string) error
		reason string
	}{
		"valid":               {func(string) error { return nil }, ""},
		"expired certificate": {func(dir string) error { return IssueCredentials(dir, []string{"west"}, -time.Minute, false) }, "valid only from"},
		"no authority":        {func(dir string) error { return os.WriteFile(filepath.Join(dir, authorityFile), nil, 0o600) }, "contains no certificate"},
		"certificate of another site": {func(dir string) error {
			return os.Rename(filepath.Join(dir, "east.pem"), filepath.Join(dir, "west.pem"))
		}, "private key does not match"},
		"no ticket key": {func(dir string) error { return os.WriteFile(filepath.Join(dir, ticketKeysFile), nil, 0o600) }, "keys is missing"},
		"weak ticket key": {func(dir string) error {
			return os.WriteFile(filepath.Join(dir, ticketKeysFile), []byte("[[keys]]\nid = \"1\"\nsecret = \"abcd\"\n"), 0o600)
		}, "16 bytes"},
	} {
		keys := issueKeys(t, time.Hour)
		if err := tc.modify(keys); err != nil {
			t.Fatal(err)
		}
		_, _, err := New(writeConfig(t, t.TempDir(), keys, "west", "east"), nil)
		if (err == nil) != (tc.reason == "") || err != nil && !strings.Contains(err.Error(), tc.reason) {
			t.Errorf("%s: got error %v", name, err)
		}
	}
}
