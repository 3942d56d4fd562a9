package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pepperlever/internal/settings"
)

// The store's limits are lowered while a job with large chunks runs, in one case while some of its
// writes are delayed. From then on all writes observe the lower limits; the job ends and leaves no
// key behind.
func TestLimitsLoweredDuringWrite(t *testing.T) {
	const tasks = 150
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("written late %v", late), func(t *testing.T) {
			t.Parallel()
			cluster := newSimClusterWithSettings(t, fiveNodes, func(s *settings.Settings) {
				s.Params.State.Next = settings.StateLimits{WriteRPS: 30, ValueKB: 1, TxnOps: 5}
			})
			cluster.notUpgraded["c"] = true
			for i := range 40 {
				cluster.addWorker(fmt.Sprintf("z%d", 1+i%2), false)
			}
			cluster.waitUntilReady().run(10*time.Second, nil)
			cluster.taskTime = 20 * time.Second
			requireAccepted(t, cluster.submit("a", "req-free-1", tasks, `,"vcpus":1.0`))
			cluster.waitUntilStarted("req-free-1", 100)
			c := cluster.cores[cluster.leaderOf("free")]
			if c.jobs["req-free-1"].ChunkSize != c.limits.defaultChunkSize() {
				t.Fatal("chunks were split before all controllers are upgraded")
			}
			cluster.lateWrite = func(_ string, e StoreTxn) time.Duration {
				if late && strings.HasPrefix(e.Txn.Then[0].Put, keyJob) {
					return 3 * time.Second
				}
				return 0
			}
			clear(cluster.notUpgraded)
			cluster.run(5*time.Second, nil)
			cluster.limitsLowered, cluster.lateWrite = true, nil
			leader := cluster.leaderOf("free")
			cluster.crash(leader)
			cluster.expire(leader)
			if !cluster.run(5*time.Minute, cluster.allDone("req-free-1")) {
				t.Fatal("job did not end")
			}
			cluster.run(5*time.Second, nil)
			for key := range cluster.kv {
				if strings.HasPrefix(key, jobKey("req-free-1")) {
					t.Errorf("key %s is left after the end of the job", key)
				}
			}
		})
	}
}
