package core

import (
	"testing"
	"time"
)

// TestGangAtTeamLimitReservesNothing checks that no hosts are reserved for a gang that is held
// back by its team's limit and not by a lack of machines.
func TestGangAtTeamLimitReservesNothing(t *testing.T) {
	w := newWorldOf(t, fiveNodes)
	w.maxMachines, w.allowRacingStarts, w.taskTime = 8, true, 10*time.Minute
	w.ready()
	accepted(t, w.submit("a", "req-red-1", 6, ""))
	w.started("req-red-1", 6)
	accepted(t, w.submit("a", "req-red-2", 6, `,"shape":"group","dueS":null`)) // six more tasks would exceed 16 CPUs
	w.run(5*time.Minute, nil)                                                  // four timeouts
	if w.onMachines("req-red-2") > 0 || w.inUse("red") != 12 {
		t.Fatal("team is not at its limit")
	}
	accepted(t, w.submit("b", "req-free-3", 10, ""))
	if !w.run(time.Minute, func() bool { return w.onMachines("req-free-3") == 10 }) {
		t.Errorf("%d of 10 tasks of another team are running", w.onMachines("req-free-3"))
	}
}
