package core

import (
	"testing"
	"time"

	"github.com/segmentio/encoding/json"
)

// A controller crashes right after it has written its own key, and is back before its lease has
// expired. The delayed write of the earlier incarnation must not replace the key of the new
// one: that key would be deleted with the old lease, and the controller would never lead
// anything.
func TestDelayedWriteOfAnEarlierIncarnationDoesNotReplaceTheNodeKey(t *testing.T) {
	for _, delay := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 12 * time.Second} {
		w := newWorldOf(t, fiveNodes).ready()
		w.crash("a")
		w.expire("a")
		w.run(time.Second, nil)
		w.lateWrite = func(node string, e StoreTxn) time.Duration {
			if node != "a" || e.Txn.Then[0].Put != keyNode+"a" {
				return 0
			}
			w.lateWrite = nil
			return delay
		}
		w.boot("a")
		w.run(300*time.Millisecond, nil)
		oldLeases := w.leasesOf("a")
		w.crash("a")
		w.boot("a")
		w.run(3*time.Second, nil)
		w.endLeases(oldLeases)
		w.run(20*time.Second, nil)
		var n nodeRecord
		if err := json.Unmarshal(w.kv[keyNode+"a"].Value, &n); err != nil || n.Incarnation != w.cores["a"].members.incarnation {
			t.Errorf("write delayed by %v: key of a is %s, want the new incarnation", delay, w.kv[keyNode+"a"].Value)
		}
		if leader := w.cores["b"].teamBy["red"].leader; leader != "a" {
			t.Errorf("write delayed by %v: team red is led by %q, want a", delay, leader)
		}
	}
}
