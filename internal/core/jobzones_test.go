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
		for _, stillListed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, still listed %v", name, stillListed), func(t *testing.T) {
				t.Parallel()
				cluster := newSimClusterOf(t, fiveNodes)
				cluster.twoZones()
				cluster.allowRacingStarts, cluster.taskTime = true, 30*time.Second
				cluster.waitUntilReady()
				requireAccepted(t, cluster.submit("a", id, 8, c.extraFields))
				cluster.waitUntilStarted(id, 8)
				zones := cluster.tasksPerZone(id)
				zone := "z2"
				if zones["z1"] > zones["z2"] {
					zone = "z1"
				}
				lost := 0
				for m, f := range cluster.workers {
					if f.Zone == zone {
						lost += len(f.Tasks)
						if f.dead = true; !stillListed {
							delete(cluster.workers, m) // the cloud no longer lists it
						}
					}
				}
				if lost == 0 {
					t.Fatal("no task was lost")
				}
				cluster.fullZone = zone
				cluster.run(90*time.Second, nil)
				s, _ := cluster.state(id)
				if allRunning := cluster.onMachines(id) == 8 || s.State == protocol.Done; allRunning != c.canMove {
					t.Errorf("during the loss of the zone: %d of 8 tasks run, final state %q", cluster.onMachines(id), s.State)
				}
				cluster.fullZone = ""
				if !cluster.run(2*time.Minute, func() bool { return cluster.allDone(id)() || cluster.onMachines(id) == 8 }) {
					t.Error("job does not continue once the zone has capacity again")
				}
			})
		}
	}
}

// The service replicas of a spread job get machines in both zones, even if no other job has
// machines in the second one.
func TestSpreadServiceGetsMachinesInAllZones(t *testing.T) {
	cluster := newSimClusterOf(t, fiveNodes).waitUntilReady()
	cluster.allowRacingStarts = true
	requireAccepted(t, cluster.submit("b", "req-free-2", 6, serviceFields))
	cluster.run(40*time.Second, nil)
	if zones := cluster.tasksPerZone("req-free-2"); zones["z1"] != 3 || zones["z2"] != 3 || cluster.rented > 12 {
		t.Errorf("got service replicas in %v with %d rented machines, want 3 in each zone with at most 12 machines", zones, cluster.rented)
	}
}
