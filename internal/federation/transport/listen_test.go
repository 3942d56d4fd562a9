package transport

import (
	"crypto/tls"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pepperlever/internal/federation"
)

// Strangers are told why they are refused, and nothing of theirs is read.
func TestStrangersAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		keys func(own string) string
		file string
		why  string
	}{
		"another authority's":    {func(string) string { return issued(t, time.Hour) }, "east", "unknown certificate authority"},
		"one that has expired":   {func(own string) string { return reissued(t, own, -time.Minute, "east") }, "east", "expired certificate"},
		"a site that is no peer": {func(own string) string { return reissued(t, own, time.Hour, "north") }, "north", "is no peer of west"},
	} {
		p := newPair(t)
		dir := c.keys(filepath.Dir(p.west.generation().cfg.Certificate))
		cert, err := tls.LoadX509KeyPair(filepath.Join(dir, c.file+".pem"), filepath.Join(dir, c.file+"-key.pem"))
		if err != nil {
			t.Fatal(err)
		}
		_, back, err := p.post(t, cert, line(t, federation.Message{From: "east", To: "west", Kind: federation.KindLoad}))
		told := strings.Join(back, " ")
		if err != nil {
			told += err.Error()
		}
		if !strings.Contains(told, c.why) || len(p.came) > 0 || p.west.Refused.Load() != 1 {
			t.Errorf("%s: told %q, %d messages taken", name, told, len(p.came))
		}
	}
}
