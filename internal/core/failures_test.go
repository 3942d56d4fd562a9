package core

import (
	"strings"
	"testing"
	"time"
)

// startsOf returns the number of task starts of a job.
func (cluster *simCluster) startsOf(id string) int {
	n := 0
	for task, times := range cluster.starts {
		if strings.HasPrefix(task, id+"/") {
			n += times
		}
	}
	return n
}

// A faulty job fails wherever it runs. It becomes suspected, runs one task at a time, and no
// machine is returned because of its failures.
func TestSuspectedJobDoesNotOccupyOrCordonMachines(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-blue-1", 40, ""))
	if !cluster.run(2*time.Minute, cluster.allDone("req-blue-1")) {
		t.Fatal("the job did not end")
	}
	cluster.broken["req-free-1"] = true
	requireAccepted(t, cluster.submit("b", "req-free-1", 30, ""))
	requireAccepted(t, cluster.submit("c", "req-red-1", 30, ""))
	cluster.run(20*time.Second, nil)
	first := cluster.startsOf("req-free-1")
	cluster.run(30*time.Second, nil)
	if n := cluster.startsOf("req-free-1") - first; n > 4 {
		t.Errorf("got %d more starts in 30 s, want at most 4", n)
	}
	for _, c := range cluster.cores {
		for id, reason := range c.autoscaler.returnReasons {
			t.Errorf("machine %s is returned: %s", id, reason)
		}
	}
	if !cluster.run(time.Minute, cluster.allDone("req-red-1")) {
		t.Error("another job did not end meanwhile")
	}
	// A new leader has the failure information of its predecessor.
	before := cluster.startsOf("req-free-1")
	for _, n := range nodeNames {
		cluster.crash(n)
		cluster.expire(n)
		cluster.boot(n)
	}
	cluster.run(20*time.Second, nil)
	// The canary starts begin again, with backoffs of 2, 4 and 8 s.
	if n := cluster.startsOf("req-free-1") - before; n > 4 {
		t.Errorf("got %d starts after a failover, want at most 4", n)
	}
}

// A suspected job that is no longer faulty runs normally once one of its tasks has succeeded.
func TestSuspicionEndsWithTheFirstSuccess(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	cluster.broken["req-blue-1"] = true
	requireAccepted(t, cluster.submit("a", "req-blue-1", 12, ""))
	cluster.run(30*time.Second, nil)
	cluster.broken["req-blue-1"] = false
	if !cluster.run(3*time.Minute, cluster.allDone("req-blue-1")) {
		t.Error("the job did not end")
	}
}

// Jobs end on other machines although all tasks fail on one of them.
func TestTasksOfFaultyMachineSucceedElsewhere(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-blue-1", 12, ""))
	if !cluster.run(time.Minute, cluster.allDone("req-blue-1")) {
		t.Fatal("the job did not end")
	}
	var faulty string
	for id := range cluster.workers {
		faulty = max(faulty, id)
	}
	cluster.faulty[faulty] = true
	for _, id := range []string{"req-blue-2", "req-blue-3", "req-red-1"} {
		requireAccepted(t, cluster.submit("b", id, 12, ""))
	}
	if !cluster.run(2*time.Minute, cluster.allDone("req-blue-2", "req-blue-3", "req-red-1")) {
		t.Error("the jobs did not end")
	}
}

// Guards against a service that never gets all its replicas: it failed on two faulty machines, and its
// replicas never end, so none ever succeeds.
func TestSuspectedServiceGetsAllReplicasOnceTheyRun(t *testing.T) {
	const id, replicas = "req-free-1", 6
	for name, fields := range map[string]string{
		"anywhere":                     "",
		"spread, machines of one zone": `,"spread":true`,
	} {
		cluster := newIdleSimCluster(t, 10)
		cluster.fullZone, cluster.broken[id] = "z2", true
		requireAccepted(t, cluster.submit("a", id, replicas, serviceTestFields+fields))
		suspected := func() bool {
			leader := cluster.leaderOf("free")
			return leader != "" && cluster.cores[leader].jobs[id].Suspected
		}
		if !cluster.run(time.Minute, suspected) {
			t.Fatalf("%s: the service is not suspected", name)
		}
		cluster.broken[id] = false
		cluster.run(time.Minute, nil)
		cluster.fullZone = ""
		if !cluster.run(5*time.Minute, func() bool { return cluster.onMachines(id) == replicas }) {
			t.Errorf("%s: %d replicas run, want %d", name, cluster.onMachines(id), replicas)
		}
	}
}
