package core

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pepperlever/internal/core/job"
)

// TestControllersConvergeOnReservedHosts guards against controllers that keep reserving different
// hosts, each leaving capacity to the other's jobs: the stored jobs must override the reservations
// remembered from the previous round.
func TestControllersConvergeOnReservedHosts(t *testing.T) {
	cluster := newIdleSimCluster(t, 8)
	cluster.allowRacingStarts, cluster.taskTime = true, 5*time.Minute
	requireAccepted(t, cluster.submit("a", "req-free-1", 8, `,"vcpus":3.0`))
	cluster.waitUntilStarted("req-free-1", 8)
	requireAccepted(t, cluster.submit("b", "req-blue-1", 6, `,"vcpus":4.0`))
	requireAccepted(t, cluster.submit("c", "req-free-2", 3, `,"vcpus":2.0`))
	cluster.run(time.Minute, nil) // longer than the timeout
	if n := len(cluster.cores["a"].scheduler.reservedFor); n == 0 {
		t.Fatal("no host is reserved")
	}
	names := cluster.cores["a"].machines.Names()
	need := job.Resources{CPUs: 4, MemoryGB: 1}
	for name, remembered := range map[string]map[string]job.Resources{
		"nothing":         nil,
		"the last hosts":  {names[6]: need, names[7]: need},
		"for small tasks": {names[0]: {CPUs: 2, MemoryGB: 1}},
		"all hosts": maps.Collect(func(yield func(string, job.Resources) bool) {
			for _, host := range names {
				if !yield(host, need) {
					return
				}
			}
		}),
	} {
		for _, node := range []string{cluster.leaderOf("blue"), cluster.leaderOf("free")} {
			c := cluster.cores[node]
			c.scheduler.reservedFor = maps.Clone(remembered)
			c.requestRound()
		}
		cluster.run(time.Second, nil)
		for _, node := range cluster.names {
			cluster.cores[node].requestRound()
		}
		cluster.run(time.Second, nil)
		want := fmt.Sprint(cluster.cores["a"].scheduler.reservedFor)
		for _, node := range cluster.names {
			if got := fmt.Sprint(cluster.cores[node].scheduler.reservedFor); got != want {
				t.Errorf("remembered %s: controller %s reserves %s, controller a %s", name, node, got, want)
			}
		}
	}
}
