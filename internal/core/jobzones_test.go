package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// Jobs that are bound to one zone, or to half of their tasks in any, lose all machines of a zone,
// which has no more to give for a while: nothing starts where it must not, what may go
// elsewhere does, and what may not goes on where it was.
func TestJobsWithZoneConstraintsLoseAZone(t *testing.T) {
	const id = "req-free-1"
	for name, c := range map[string]struct {
		more string
		// other is whether another zone will do once the machines are lost.
		other bool
	}{
		"an array of a zone":       {`,"yard":"z2"`, false},
		"a gang of a zone":         {`,"yard":"z2","shape":"group"`, false},
		"an array in one place":    {`,"samePlace":true`, true},
		"a gang in one place":      {`,"samePlace":true,"shape":"group"`, true},
		"a gang that is spread":    {`,"spread":true,"shape":"group"`, false},
		"a service that is spread": {`,"spread":true,"shape":"service","guessS":0.0,"dueS":null`, false},
		"an array that is spread":  {`,"spread":true`, true},
	} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, silent %v", name, silent), func(t *testing.T) {
				t.Parallel()
				w := newWorldOf(t, fiveNodes)
				w.twoZones()
				w.allowRacingStarts, w.taskTime = true, 30*time.Second
				w.ready()
				accepted(t, w.submit("a", id, 8, c.more))
				w.started(id, 8)
				zones := w.zonesWith(id)
				zone := "z2"
				if zones["z1"] > zones["z2"] {
					zone = "z1"
				}
				lost := 0
				for m, f := range w.workers {
					if f.Zone == zone {
						lost += len(f.Tasks)
						if f.dead = true; !silent {
							delete(w.workers, m) // the cloud's list shows it
						}
					}
				}
				if lost == 0 {
					t.Fatal("no task was lost")
				}
				w.fullZone = zone
				w.run(90*time.Second, nil)
				s, _ := w.state(id)
				if whole := w.onMachines(id) == 8 || s.State == protocol.Done; whole != c.other {
					t.Errorf("without the zone %d of 8 tasks run, the job is %q", w.onMachines(id), s.State)
				}
				w.fullZone = ""
				if !w.run(2*time.Minute, func() bool { return w.finished(id)() || w.onMachines(id) == 8 }) {
					t.Error("it does not go on")
				}
			})
		}
	}
}

// A service's replicas that are to be spread get machines in a second zone, also where no other
// job has any there.
func TestSpreadReplicasGetMachinesInAllZones(t *testing.T) {
	w := newWorldOf(t, fiveNodes).ready()
	w.allowRacingStarts = true
	accepted(t, w.submit("b", "req-free-2", 6, serviceFields))
	w.run(40*time.Second, nil)
	if zones := w.zonesWith("req-free-2"); zones["z1"] != 3 || zones["z2"] != 3 || w.rented > 12 {
		t.Errorf("replicas are in %v, %d machines were rented", zones, w.rented)
	}
}
