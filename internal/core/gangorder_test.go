package core

import (
	"testing"
	"time"
)

// TestLeadersAgreeOnGangReservationOrder guards against gangs that wait for each other forever:
// their leaders learned at different times that the gangs' dependencies were done, and each left
// the hosts to the other leader's gang.
func TestLeadersAgreeOnGangReservationOrder(t *testing.T) {
	const hosts = 4
	cluster := newIdleSimCluster(t, hosts)
	cluster.allowRacingStarts, cluster.taskTime = true, time.Minute
	requireAccepted(t, cluster.submit("a", "req-red-2", hosts, `,"vcpus":3.0`))
	cluster.waitUntilStarted("req-red-2", hosts)
	cluster.taskTime = 5 * time.Second
	requireAccepted(t, cluster.submit("a", "req-red-1", 1, `,"vcpus":1.0`))
	gangs := map[string]string{"blue": "req-blue-1", "free": "req-free-1"}
	for _, id := range ordered(gangs) {
		requireAccepted(t, cluster.submit("a", id, hosts, `,"shape":"group","vcpus":4.0,"dueS":null`+dependenciesField("req-red-1")))
	}
	if !cluster.run(time.Minute, cluster.allDone("req-red-1")) {
		t.Fatal("dependency did not end")
	}
	cluster.run(time.Second, nil)
	if n := cluster.onMachines("req-red-2"); n != hosts {
		t.Fatalf("%d of %d hosts are in use, want all", n, hosts)
	}
	first, second := cluster.leaderOf("blue"), cluster.leaderOf("free")
	if first == second {
		t.Fatal("one controller leads both teams, want two leaders")
	}
	// In each leader's replica, its own gang was unblocked later than the other gang.
	for team, id := range gangs {
		c := cluster.cores[cluster.leaderOf(team)]
		c.jobs[id].Unblock(c.now.Steady, c.now.Wall+time.Second.Milliseconds())
	}
	if !cluster.run(2*time.Minute, func() bool { return cluster.onMachines("req-red-2") == 0 }) {
		t.Fatal("hosts did not become free")
	}
	oneGangRunning := func() bool { return cluster.onMachines(gangs["blue"])+cluster.onMachines(gangs["free"]) == hosts }
	if !cluster.run(reportIntervals(2), oneGangRunning) {
		t.Errorf("neither gang started on %d free hosts", len(cluster.workers))
	}
}
