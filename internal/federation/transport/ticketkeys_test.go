package transport

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"pepperlever/internal/core"
	"pepperlever/internal/federation"
)

// During a rotation of ticket keys, old and new keys must verify. A reload must apply the new
// files and pass the configuration to the core. A broken file must leave the previous
// configuration in use.
func TestTicketKeyRotation(t *testing.T) {
	f := newFixture(t)
	oldTicket, err := f.west.generation().secrets.tickets.Sign(federation.Ticket{JobID: "req-1"})
	if err != nil {
		t.Fatal(err)
	}
	if err := IssueCredentials(filepath.Dir(f.west.generation().cfg.TicketKeys), nil, time.Hour, true); err != nil {
		t.Fatal(err)
	}
	peerCount := 0
	f.west.emit = func(c core.Command) { peerCount += len(c.(core.SiteConfig).Config.Peers) }
	if err := f.west.reload(); err != nil || peerCount != 1 {
		t.Fatalf("reload: got error %v and %d peers, want 1 peer", err, peerCount)
	}
	keys := f.west.generation().secrets.tickets
	newTicket, err := keys.Sign(federation.Ticket{JobID: "req-1"})
	if err != nil || newTicket.KeyID == oldTicket.KeyID || keys.Verify(oldTicket) != nil || keys.Verify(newTicket) != nil {
		t.Errorf("old key %q, new key %q: got sign error %v, verify errors %v and %v", oldTicket.KeyID, newTicket.KeyID, err, keys.Verify(oldTicket), keys.Verify(newTicket))
	}
	if err := os.WriteFile(f.west.path, []byte("hop = 3"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := f.west.reload(); err == nil || f.west.generation().cfg.Site != "west" {
		t.Errorf("reload of a broken file: got error %v, want one and the previous configuration", err)
	}
}
