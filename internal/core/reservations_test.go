package core

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// newGPUSimCluster returns a simulated cluster of five controllers and machines of two types: small
// ones, and large ones with GPUs. One task with gangFields fits on a large machine.
func newGPUSimCluster(t *testing.T, small, large int) *simCluster {
	t.Helper()
	cluster := newSimClusterOf(t, fiveNodes)
	cluster.maxMachines, cluster.allowRacingStarts = small+large, true
	cluster.types = append(cluster.types, protocol.MachineType{Name: "large", CPUs: 16, GPUs: 4, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1,
		Price: 20, SpotPrice: 8, BootS: 5, Zones: []string{"z1", "z2"}})
	for i := range small + large {
		id := cluster.addWorker(fmt.Sprintf("z%d", 1+i%2), false)
		if i >= small {
			cluster.workers[id].Type = "large"
		}
	}
	cluster.waitUntilReady().run(3*time.Second, nil)
	return cluster
}

const (
	gangFields    = `,"shape":"group","urgency":"urgent","vcpus":14.0,"accelerators":4.0,"samePlace":true,"loaners":false,"dueS":null`
	serviceFields = `,"shape":"service","urgency":"critical","memoryGb":7.0,"loaners":false,"spread":true,"guessS":0.0,"dueS":null`
)

// onMachineType counts the running tasks of a job on machines of a type.
func (cluster *simCluster) onMachineType(id, typ string) int {
	n := 0
	for _, f := range cluster.workers {
		if f.Type != typ {
			continue
		}
		for _, t := range f.Tasks {
			if t.State != protocol.Exited && len(t.Task) > len(id) && t.Task[:len(id)+1] == id+"/" {
				n++
			}
		}
	}
	return n
}

// TestServicesAvoidMachinesReservedForGangs checks that service replicas, which are long-running,
// stay off the only machines on which gangs fit.
func TestServicesAvoidMachinesReservedForGangs(t *testing.T) {
	cluster := newGPUSimCluster(t, 12, 6)
	cluster.taskTime = 20 * time.Second
	requireAccepted(t, cluster.submit("a", "req-blue-gang", 2, gangFields))
	cluster.waitUntilStarted("req-blue-gang", 2)
	requireAccepted(t, cluster.submit("b", "req-free-watch", 24, serviceFields))
	cluster.run(20*time.Second, nil)
	if n := cluster.onMachineType("req-free-watch", "large"); n != 0 {
		t.Errorf("%d service replicas are on machines with GPUs, want 0", n)
	}
	if n := cluster.onMachineType("req-free-watch", "small"); n < 20 {
		t.Errorf("%d of 24 service replicas are running, want at least 20", n)
	}
}

// TestServiceReplicasAreEvacuatedFromGPUHostsForAGang checks that service replicas placed on GPU
// hosts before the first gang was known are moved, except those that do not fit elsewhere.
func TestServiceReplicasAreEvacuatedFromGPUHostsForAGang(t *testing.T) {
	cluster := newGPUSimCluster(t, 8, 2)
	cluster.taskTime = time.Hour
	requireAccepted(t, cluster.submit("a", "req-free-batch", 16, `,"memoryGb":7.0`)) // fills the small machines
	cluster.waitUntilStarted("req-free-batch", 16)
	requireAccepted(t, cluster.submit("b", "req-free-watch", 8, serviceFields))
	cluster.run(time.Minute, nil)
	if n := cluster.onMachineType("req-free-watch", "large"); n != 8 {
		t.Fatalf("%d of 8 service replicas are on GPU hosts before the gang is submitted", n)
	}
	cluster.maxMachines = 0 // the cloud has no more machines
	cluster.cancelJob("a", "req-free-batch")
	requireAccepted(t, cluster.submit("b", "req-blue-gang", 1, gangFields))
	if !cluster.run(time.Minute, func() bool { return cluster.startsOf("req-blue-gang") == 1 }) {
		t.Fatal("gang did not start")
	}
	cluster.run(10*time.Second, nil)
	if n := cluster.onMachines("req-free-watch"); n != 8 {
		t.Errorf("%d of 8 service replicas are running", n)
	}
}

// TestServiceReplicasStartImmediatelyUnderArrayLoad checks that capacity for service replicas is
// reserved on hosts that have their image, while arrays of lower priority fill the remaining
// capacity.
func TestServiceReplicasStartImmediatelyUnderArrayLoad(t *testing.T) {
	cluster := newGPUSimCluster(t, 32, 0)
	cluster.taskTime = time.Hour
	requireAccepted(t, cluster.submit("a", "req-free-first", 32, serviceFields))
	cluster.waitUntilStarted("req-free-first", 32)
	for n := range 3 {
		cluster.taskTime = 15 * time.Second
		for part := range 4 {
			requireAccepted(t, cluster.submit("b", fmt.Sprintf("req-free-%d%d", n, part), 100, `,"vcpus":1.0`))
		}
		cluster.run(18*time.Second, nil)
		cluster.taskTime = time.Hour
		id := fmt.Sprintf("req-free-next%d", n)
		requireAccepted(t, cluster.submit("c", id, 6, serviceFields))
		cluster.run(600*time.Millisecond, nil)
		if got := cluster.onMachines(id); got != 6 {
			t.Errorf("%s: %d of 6 service replicas are running after 0.6 s", id, got)
		}
	}
	if cluster.startsOf("req-free-00") == 0 {
		t.Error("no task of an array started")
	}
}

// TestServicesStaySpreadWhileLeadersRestart crashes the leader while service replicas are starting,
// and all controllers right after. A restarted leader knows the service replicas but not yet the
// zones of their machines, and must not place more than half of a service in one zone.
func TestServicesStaySpreadWhileLeadersRestart(t *testing.T) {
	cluster := newGPUSimCluster(t, 30, 0)
	cluster.taskTime = time.Hour
	for n := range 4 {
		requireAccepted(t, cluster.submit("a", fmt.Sprintf("req-free-%d", n), 9, serviceFields))
	}
	cluster.run(time.Second, nil)
	for n, id := range slices.Sorted(maps.Keys(cluster.workers)) {
		cluster.workers[id].dead = n < 12 && cluster.workers[id].Zone == "z1"
	}
	for _, nodes := range [][]string{{cluster.cores["a"].teamsByName["free"].leader}, fiveNodes} {
		for _, n := range nodes {
			cluster.crash(n)
			cluster.expire(n)
		}
		cluster.run(time.Second, nil)
		for _, n := range nodes {
			cluster.boot(n)
		}
		cluster.run(15*time.Second, nil)
	}
	cluster.run(time.Minute, nil)
	for n := range 4 {
		if got := cluster.onMachines(fmt.Sprintf("req-free-%d", n)); got != 9 {
			t.Errorf("%d of 9 replicas of service %d are running", got, n)
		}
	}
}
