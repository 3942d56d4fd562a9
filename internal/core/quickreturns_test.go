package core

import (
	"fmt"
	"testing"
	"time"
)

// startOver makes a worker lose its tasks and begin its next epoch, as after a restart of its machine. It
// keeps its name and the highest token that it has seen.
func (cluster *simCluster) startOver(id string) {
	f := cluster.workers[id]
	f.leaseRenewedAt = cluster.now - cluster.workerLease() - cluster.tick
	cluster.expireWorkerLease(f)
}

// Guards against a task on two machines, or a cancelled task that runs again: its controller, its machine
// or its worker is back within a second, and copies of start commands from before arrive.
func TestCopiesOfStartsHaveNoEffectAfterQuickReturn(t *testing.T) {
	taskLeaves := map[string]func(cluster *simCluster){
		"moved":     failFirst,
		"cancelled": func(cluster *simCluster) { cluster.cancelJob("a", forgetTestJob) },
	}
	returns := map[string]func(cluster *simCluster, pause time.Duration){
		"controllers": func(cluster *simCluster, pause time.Duration) {
			for _, node := range cluster.names {
				cluster.crash(node)
			}
			cluster.run(pause, nil)
			for _, node := range cluster.names {
				cluster.boot(node)
			}
		},
		"machines": func(cluster *simCluster, pause time.Duration) {
			for _, id := range cluster.machineNames() {
				cluster.hang(id, pause)
			}
		},
		"workers": func(cluster *simCluster, pause time.Duration) {
			cluster.run(pause, nil)
			for _, id := range cluster.machineNames() {
				cluster.startOver(id)
			}
		},
	}
	for leaves, leave := range taskLeaves {
		for returning, comeBack := range returns {
			for _, pause := range []time.Duration{100 * time.Millisecond, 900 * time.Millisecond} {
				for _, settled := range []time.Duration{0, time.Second, reportIntervals(10)} {
					t.Run(fmt.Sprintf("task %s, %s back after %v, %v later", leaves, returning, pause, settled), func(t *testing.T) {
						t.Parallel()
						cluster := newIdleSimCluster(t, 10)
						cluster.taskTime, cluster.cloudDegraded, cluster.allowRacingStarts = 5*time.Minute, true, true
						repeatAll := cluster.recordDeliveries()
						requireAccepted(t, cluster.submit("a", forgetTestJob, forgetTestTasks, ""))
						cluster.waitUntilStarted(forgetTestJob, forgetTestTasks)
						cluster.run(reportIntervals(2), nil)
						leave(cluster)
						cluster.run(settled, nil)
						comeBack(cluster, pause)
						for range 5 {
							repeatAll()
							cluster.run(pause, nil) // the simulation checks every start
						}
						cluster.run(cluster.cancelDeadline(), nil)
						if n := cluster.onMachines(forgetTestJob); leaves == "cancelled" && n > 0 {
							t.Errorf("%d tasks of a cancelled job run", n)
						}
					})
				}
			}
		}
	}
}
