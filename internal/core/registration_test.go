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
		cluster := newSimClusterOf(t, fiveNodes).waitUntilReady()
		cluster.crash("a")
		cluster.expire("a")
		cluster.run(time.Second, nil)
		cluster.lateWrite = func(node string, e StoreTxn) time.Duration {
			if node != "a" || e.Txn.Then[0].Put != keyNode+"a" {
				return 0
			}
			cluster.lateWrite = nil
			return delay
		}
		cluster.boot("a")
		cluster.run(300*time.Millisecond, nil)
		oldLeases := cluster.leasesOf("a")
		cluster.crash("a")
		cluster.boot("a")
		cluster.run(3*time.Second, nil)
		cluster.endLeases(oldLeases)
		cluster.run(20*time.Second, nil)
		var n nodeRecord
		if err := json.Unmarshal(cluster.kv[keyNode+"a"].Value, &n); err != nil || n.Incarnation != cluster.cores["a"].members.incarnation {
			t.Errorf("write delayed by %v: key of a is %s, want the new incarnation", delay, cluster.kv[keyNode+"a"].Value)
		}
		if leader := cluster.cores["b"].teamsByName["red"].leader; leader != "a" {
			t.Errorf("write delayed by %v: team red is led by %q, want a", delay, leader)
		}
	}
}
