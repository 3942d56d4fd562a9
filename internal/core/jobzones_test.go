package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// Jobs with zone constraints lose all machines of a zone that has no capacity for a while. Tasks
// that may run in another zone move there; the others wait and continue once the zone has capacity
// again. No task starts in a zone where it must not run.
func TestZoneConstrainedJobsSurviveZoneLoss(t *testing.T) {
	const id = "req-free-1"
	for name, c := range map[string]struct {
		extraFields string
		// canMove is set if the job may run in another zone after the loss.
		canMove bool
	}{
		"array in a given zone":    {`,"yard":"z2"`, false},
		"gang in a given zone":     {`,"yard":"z2","shape":"group"`, false},
		"array in any single zone": {`,"samePlace":true`, true},
		"gang in any single zone":  {`,"samePlace":true,"shape":"group"`, true},
		"spread gang":              {`,"spread":true,"shape":"group"`, false},
		"spread service":           {`,"spread":true,"shape":"service","guessS":0.0,"dueS":null`, false},
		"spread array":             {`,"spread":true`, true},
	} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, silent %v", name, silent), func(t *testing.T) {
				t.Parallel()
				w := newWorldOf(t, fiveNodes)
				w.twoZones()
				w.allowRacingStarts, w.taskTime = true, 30*time.Second
				w.ready()
				accepted(t, w.submit("a", id, 8, c.extraFields))
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
				if allRunning := w.onMachines(id) == 8 || s.State == protocol.Done; allRunning != c.canMove {
					t.Errorf("during the loss of the zone: %d of 8 tasks run, final state %q", w.onMachines(id), s.State)
				}
				w.fullZone = ""
				if !w.run(2*time.Minute, func() bool { return w.finished(id)() || w.onMachines(id) == 8 }) {
					t.Error("job does not continue once the zone has capacity again")
				}
			})
		}
	}
}

// The replicas of a spread service get machines in both zones, even if no other job has machines in
// the second one.
func TestSpreadReplicasGetMachinesInAllZones(t *testing.T) {
	w := newWorldOf(t, fiveNodes).ready()
	w.allowRacingStarts = true
	accepted(t, w.submit("b", "req-free-2", 6, serviceFields))
	w.run(40*time.Second, nil)
	if zones := w.zonesWith("req-free-2"); zones["z1"] != 3 || zones["z2"] != 3 || w.rented > 12 {
		t.Errorf("got replicas in %v with %d rented machines, want 3 in each zone with at most 12 machines", zones, w.rented)
	}
}
