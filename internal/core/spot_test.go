package core

import (
	"testing"
	"time"
)

// restartDelay runs a long task and calls loseMachine with the machine that the task is on. It
// returns the time from this call until the task was started again, or a minute if it was not.
func restartDelay(t *testing.T, loseMachine func(cluster *simCluster, f *fakeWorker)) time.Duration {
	t.Helper()
	cluster := newSimCluster(t).waitUntilReady()
	cluster.submit("a", "req-blue-1", 1, `,"guessS":400.0`)
	cluster.waitUntilStarted("req-blue-1", 1)
	cluster.run(15*time.Second, nil) // longer than the cloud's list lag
	cluster.submit("a", "req-blue-2", 1, `,"guessS":400.0`)
	cluster.waitUntilStarted("req-blue-2", 1)
	for _, c := range cluster.cores {
		for id := range c.autoscaler.firstSeen {
			c.autoscaler.firstSeen[id] -= time.Minute // as if rented a minute earlier
		}
	}
	for _, f := range cluster.workers {
		for _, task := range f.Tasks {
			if task.Task == "req-blue-2/0" {
				loseMachine(cluster, f)
			}
		}
	}
	from := cluster.now
	cluster.run(time.Minute, func() bool { return cluster.starts["req-blue-2/0"] > 1 })
	return cluster.now - from
}

// TestTasksOfReclaimedMachineRestartImmediately checks that after a reclaim notice tasks restart
// without waiting for the machine's silence timeout.
func TestTasksOfReclaimedMachineRestartImmediately(t *testing.T) {
	delay := restartDelay(t, func(cluster *simCluster, f *fakeWorker) {
		notice := 1.0
		f.NoticeS = &notice
		cluster.report(f)
		f.dead = true
	})
	if limit := 4 * time.Second; delay > limit {
		t.Errorf("restart took %v, want at most 4s", delay)
	}
}

// TestTaskThatCannotFinishBeforeReclaimMovesImmediately checks that a task that cannot finish
// before its machine is reclaimed is moved while the machine still runs.
func TestTaskThatCannotFinishBeforeReclaimMovesImmediately(t *testing.T) {
	delay := restartDelay(t, func(cluster *simCluster, f *fakeWorker) {
		notice := 30.0
		f.NoticeS = &notice
		cluster.report(f)
	})
	if limit := 4 * time.Second; delay > limit {
		t.Errorf("restart took %v, want at most 4s", delay)
	}
}

// TestUnlistedUnresponsiveMachineIsReturnedSooner checks that without a reclaim notice an
// unresponsive machine that is missing from the cloud's list is returned sooner than one that is
// still listed.
func TestUnlistedUnresponsiveMachineIsReturnedSooner(t *testing.T) {
	hung := restartDelay(t, func(_ *simCluster, f *fakeWorker) { f.dead = true })
	reclaimed := restartDelay(t, func(cluster *simCluster, f *fakeWorker) {
		f.dead = true
		cluster.unlistedMachine = f.Machine
	})
	if reclaimed >= hung {
		t.Errorf("restart took %v for a reclaimed machine, want less than the %v for a hung one", reclaimed, hung)
	}
}
