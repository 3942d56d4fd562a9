package core

import (
	"testing"
	"time"

	"github.com/segmentio/encoding/json"
)

// A controller ends right after it has written its own key, and is back before its lease is
// over. The late write of the former run must not replace the key of the new one: it would go
// with the old lease, and the controller would never lead anything.
func TestLateWriteOfAFormerRunDoesNotReplaceTheNodeKey(t *testing.T) {
	for _, late := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 12 * time.Second} {
		w := newWorldOf(t, fiveNodes).ready()
		w.crash("a")
		w.expire("a")
		w.run(time.Second, nil)
		w.lateWrite = func(node string, e StoreTxn) time.Duration {
			if node != "a" || e.Txn.Then[0].Put != keyNode+"a" {
				return 0
			}
			w.lateWrite = nil
			return late
		}
		w.boot("a")
		w.run(300*time.Millisecond, nil)
		former := w.leasesOf("a")
		w.crash("a")
		w.boot("a")
		w.run(3*time.Second, nil)
		w.endLeases(former)
		w.run(20*time.Second, nil)
		var n nodeRecord
		if err := json.Unmarshal(w.kv[keyNode+"a"].Value, &n); err != nil || n.Incarnation != w.cores["a"].members.incarnation {
			t.Errorf("%v late: the key of a is %s", late, w.kv[keyNode+"a"].Value)
		}
		if leader := w.cores["b"].teamBy["red"].leader; leader != "a" {
			t.Errorf("%v late: the team of a is led by %q", late, leader)
		}
	}
}
