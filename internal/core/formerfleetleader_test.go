package core

import (
	"testing"
	"time"
)

// Guards against a job that waits for ever next to machines with capacity: a fleet leader that lost the
// leadership before it returned some machines went on to leave them out for the teams that it leads.
func TestFormerFleetLeaderPlacesTasksOnMachinesItWantedToReturn(t *testing.T) {
	const former, successor, machines = "a", "b", 4
	cluster := newSimCluster(t)
	cluster.maxMachines, cluster.taskTime = machines, time.Minute
	for range machines {
		cluster.addWorker("z1", false)
	}
	cluster.waitUntilReady()
	c := cluster.cores[former]
	cluster.run(10*time.Second, func() bool { return len(c.machines.Names()) == machines })
	if !c.fleet.leading || !c.teamsByName["red"].leading {
		t.Fatalf("%s does not lead the fleet and the team", former)
	}
	cluster.cloudDegraded = true // so no machine is released
	for _, machine := range c.machines.Names() {
		c.returnMachine(machine, reasonSilent)
	}
	cluster.disconnectLinks(func(from, to string) bool { return from == successor && to == former }) // so the fleet is not handed back
	cluster.storeLeader(keyFleet, successor)
	cluster.run(time.Second, nil)
	cluster.cloudDegraded, cluster.maxMachines = false, 0 // so no other machine takes the tasks
	if c.fleet.leading || len(cluster.workers) != machines {
		t.Fatalf("got leading %v and %d machines, want a former leader and %d machines", c.fleet.leading, len(cluster.workers), machines)
	}
	requireAccepted(t, cluster.submit(former, "req-red-1", machines, ""))
	if !cluster.run(30*time.Second, func() bool { return cluster.onMachines("req-red-1") == machines }) {
		t.Errorf("%d of %d tasks started", cluster.startsOf("req-red-1"), machines)
	}
}
