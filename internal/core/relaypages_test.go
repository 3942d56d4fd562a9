package core

import (
	"strings"
	"testing"
	"time"
)

// A page of a bulletin that is carried out after newer ones, or after all pages were taken
// away since the links are back: it used to stay for as long as its controller lived, and
// named machines as alive.
func TestLateRelayPageIsDeleted(t *testing.T) {
	w := idleWorld(t, 20)
	w.taskTime = 10 * time.Minute
	accepted(t, w.submit("a", "req-free-1", 40, ""))
	w.started("req-free-1", 40)
	w.lateWrite = func(_ string, e StoreTxn) time.Duration {
		if !strings.HasPrefix(e.Txn.Then[0].Put, keyRelay) || w.rng.IntN(3) > 0 {
			return 0
		}
		return time.Duration(2+w.rng.IntN(11)) * time.Second
	}
	w.refuse(everyLink)
	w.run(20*time.Second, nil)
	w.restore()
	w.run(30*time.Second, nil)
	for key := range w.kv {
		if strings.HasPrefix(key, keyRelay) {
			t.Errorf("%s is left", key)
		}
	}
	w.startedOnce()
}
