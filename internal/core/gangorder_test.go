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
	w := idleWorld(t, hosts)
	w.allowRacingStarts, w.taskTime = true, time.Minute
	accepted(t, w.submit("a", "req-red-2", hosts, `,"vcpus":3.0`))
	w.started("req-red-2", hosts)
	w.taskTime = 5 * time.Second
	accepted(t, w.submit("a", "req-red-1", 1, `,"vcpus":1.0`))
	gangs := map[string]string{"blue": "req-blue-1", "free": "req-free-1"}
	for _, id := range ordered(gangs) {
		accepted(t, w.submit("a", id, hosts, `,"shape":"group","vcpus":4.0,"dueS":null`+awaiting("req-red-1")))
	}
	if !w.run(time.Minute, w.finished("req-red-1")) {
		t.Fatal("dependency did not finish")
	}
	w.run(time.Second, nil)
	if n := w.onMachines("req-red-2"); n != hosts {
		t.Fatalf("%d of %d hosts are in use, want all", n, hosts)
	}
	first, second := w.leaderOf("blue"), w.leaderOf("free")
	if first == second {
		t.Fatal("one controller leads both teams, want two leaders")
	}
	// Each leader learns later than the other that its own gang may start.
	for team, id := range gangs {
		c := w.cores[w.leaderOf(team)]
		c.jobs[id].Unblock(c.now.Steady, c.now.Wall+time.Second.Milliseconds())
	}
	if !w.run(2*time.Minute, func() bool { return w.onMachines("req-red-2") == 0 }) {
		t.Fatal("hosts did not become free")
	}
	oneGangRunning := func() bool { return w.onMachines(gangs["blue"])+w.onMachines(gangs["free"]) == hosts }
	if !w.run(reportIntervals(2), oneGangRunning) {
		t.Errorf("neither gang started on %d free hosts", len(w.workers))
	}
}
