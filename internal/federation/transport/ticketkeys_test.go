package transport

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"pepperlever/internal/core"
	"pepperlever/internal/federation"
)

// While ticket keys roll over, old and new ones are good; a reload takes the change
// and hands it to the core, and a broken file leaves the earlier one in force.
func TestTicketKeysRollOver(t *testing.T) {
	p := newPair(t)
	old, err := p.west.generation().secrets.tickets.Sign(federation.Ticket{JobID: "req-1"})
	if err != nil {
		t.Fatal(err)
	}
	if err := Issue(filepath.Dir(p.west.generation().cfg.TicketKeys), nil, time.Hour, true); err != nil {
		t.Fatal(err)
	}
	taken := 0
	p.west.emit = func(c core.Command) { taken += len(c.(core.SiteConfig).Config.Peers) }
	if err := p.west.reload(); err != nil || taken != 1 {
		t.Fatalf("reload: %v, %d", err, taken)
	}
	keys := p.west.generation().secrets.tickets
	fresh, err := keys.Sign(federation.Ticket{JobID: "req-1"})
	if err != nil || fresh.KeyID == old.KeyID || keys.Verify(old) != nil || keys.Verify(fresh) != nil {
		t.Errorf("keys %q and %q: %v, %v, %v", old.KeyID, fresh.KeyID, err, keys.Verify(old), keys.Verify(fresh))
	}
	if err := os.WriteFile(p.west.path, []byte("hop = 3"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := p.west.reload(); err == nil || p.west.generation().cfg.Site != "west" {
		t.Errorf("a broken file was taken: %v", err)
	}
}
