package core

import (
	"testing"
	"time"
)

// Guards against a job that waits next to a machine with room because its tasks need no CPUs and all
// CPUs of the machine are in use.
func TestTaskWithoutCPUsStartsOnMachineWithoutFreeCPUs(t *testing.T) {
	cluster := newIdleSimCluster(t, 1)
	cluster.taskTime = 5 * time.Minute
	cluster.maxMachines = 1
	requireAccepted(t, cluster.submit("a", "req-free-1", 2, ""))
	cluster.waitUntilStarted("req-free-1", 2)
	requireAccepted(t, cluster.submit("a", "req-free-2", 3, `,"vcpus":0.0`))
	if !cluster.run(30*time.Second, func() bool { return cluster.startsOf("req-free-2") == 3 }) {
		t.Errorf("%d of 3 tasks started within 30s", cluster.startsOf("req-free-2"))
	}
}

// Guards against a machine that is cordoned as idle, and takes no other work, while a task runs on it that
// needs neither CPUs nor memory.
func TestMachineWithTaskThatNeedsNothingIsNotIdle(t *testing.T) {
	cluster := newIdleSimCluster(t, 1)
	cluster.taskTime = 5 * time.Minute
	cluster.maxMachines = 1
	requireAccepted(t, cluster.submit("a", "req-free-1", 1, `,"vcpus":0.0,"memoryGb":0.0`))
	cluster.waitUntilStarted("req-free-1", 1)
	cluster.run(time.Minute, nil)
	for id, f := range cluster.workers {
		if len(f.Tasks) > 0 && cluster.isStored(keyCordon+id) {
			t.Errorf("%s, which runs a task, is cordoned", id)
		}
	}
}
