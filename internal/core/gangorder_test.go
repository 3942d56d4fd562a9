package core

import (
	"testing"
	"time"
)

// Guards against gangs that wait for each other for good: their leaders learned at other times when
// what the gangs awaited was done, and each left the hosts to the gang of the other.
func TestGangsAreServedInOneOrderWhenEndsAreLearnedAtOtherTimes(t *testing.T) {
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
		t.Fatal("the dependency does not end")
	}
	w.run(time.Second, nil)
	if n := w.onMachines("req-red-2"); n != hosts {
		t.Fatalf("%d of %d hosts are in use", n, hosts)
	}
	first, second := w.leaderOf("blue"), w.leaderOf("free")
	if first == second {
		t.Fatal("one controller leads both teams")
	}
	// Each leader learned later than the other that its own gang may begin.
	for team, id := range gangs {
		c := w.cores[w.leaderOf(team)]
		c.jobs[id].Unblock(c.now.Steady, c.now.Wall+time.Second.Milliseconds())
	}
	if !w.run(2*time.Minute, func() bool { return w.onMachines("req-red-2") == 0 }) {
		t.Fatal("the hosts do not become free")
	}
	begun := func() bool { return w.onMachines(gangs["blue"])+w.onMachines(gangs["free"]) == hosts }
	if !w.run(reportIntervals(2), begun) {
		t.Errorf("both gangs wait beside %d free hosts", len(w.workers))
	}
}
