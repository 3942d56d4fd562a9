package core

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// A zone with workers and controllers is cut off for longer than a lease: its tasks go on and are
// neither started again nor lost, jobs bound to it wait, and what is cancelled outside ends
// in time.
func TestZoneCutOffWithItsControllers(t *testing.T) {
	for _, leases := range []float64{1.3, 2.5} {
		t.Run(fmt.Sprint(leases, " leases"), func(t *testing.T) {
			t.Parallel()
			w := newWorldOf(t, fiveNodes)
			w.twoZones()
			w.allowRacingStarts, w.taskTime = true, 4*time.Minute
			w.ready()
			accepted(t, w.submit("a", "req-free-1", 8, `,"yard":"z2"`))
			accepted(t, w.submit("a", "req-blue-2", 4, `,"yard":"z2"`))
			accepted(t, w.submit("a", "req-free-3", 8, `,"yard":"z1"`))
			w.started("req-free-1", 8)
			w.started("req-blue-2", 4)
			w.run(20*time.Second, nil) // machines have settled with controllers of their zone, or others
			w.cutZone("z2")
			w.run(5*time.Second, nil)
			if a := w.cancelJob("a", "req-blue-2"); a.Status != http.StatusOK {
				t.Fatalf("cancellation got %d", a.Status)
			}
			accepted(t, w.submit("b", "req-free-4", 4, `,"yard":"z2"`))
			accepted(t, w.submit("b", "req-free-5", 4, ""))
			w.run(time.Duration(leases*float64(w.lease())), nil)
			if w.onMachines("req-free-5") != 4 || w.onMachines("req-free-4") != 0 {
				t.Errorf("%d tasks run outside, %d in the zone", w.onMachines("req-free-5"), w.onMachines("req-free-4"))
			}
			w.reconnectZone()
			w.run(w.cancelDeadline(), nil)
			if w.onMachines("req-blue-2") > 0 || len(w.cancellationToldAt) > 0 {
				t.Error("what was cancelled is left")
			}
			kept := 0
			for i := range 8 {
				if w.starts[fmt.Sprintf("req-free-1/%d", i)] == 1 {
					kept++
				}
			}
			if kept < 4 { // some were on machines that are returned for the cancelled job
				t.Errorf("%d of 8 tasks in the zone went on", kept)
			}
			if !w.run(8*time.Minute, w.finished("req-free-1", "req-free-3", "req-free-4", "req-free-5")) {
				t.Error("jobs do not end")
			}
		})
	}
}

// fleetLeaderInZ1 leads the fleet in z1, with controllers b in z1 and c in z2, and has had reports of
// ten machines of each zone.
func fleetLeaderInZ1(t *testing.T) *Core {
	t.Helper()
	c := newFleetLeader(t, 0, 0)
	c.cfg.Zone = "z1"
	c.cfg.Peers[0].Zone, c.cfg.Peers[1].Zone = "z1", "z2"
	for i := range 20 {
		c.applyObservation(Observation{Node: "c", Token: 1, Report: protocol.Report{Machine: fmt.Sprintf("vm-9%03d", i),
			Type: "small", Zone: fmt.Sprintf("z%d", 1+i/10), Session: 1, Seq: 1}})
	}
	return c
}

// The controllers of a zone that is cut off go on answering its workers. Given up after the usual
// silence, all that runs in there would run again.
func TestMachinesAreKeptDuringZoneOutage(t *testing.T) {
	const lease = 16 * time.Second
	quiet := 2 * lease // more than the usual silence
	for name, k := range map[string]struct {
		inContact []string // controllers in contact
		reporting []int    // machines that report
		quiet     time.Duration
		returned  int // machines given up in z2
	}{
		"zone is cut off":                   {inContact: []string{"b"}, quiet: quiet, returned: 0},
		"cut off for too long":              {inContact: []string{"b"}, quiet: (zoneOutageLeases + 1) * lease, returned: 10},
		"its controller is in contact":      {inContact: []string{"b", "c"}, quiet: quiet, returned: 10},
		"one of its machines reports":       {inContact: []string{"b"}, reporting: []int{15}, quiet: quiet, returned: 9},
		"machines of the leader's own zone": {inContact: []string{"c"}, quiet: quiet, returned: 10},
	} {
		c := fleetLeaderInZ1(t)
		c.now.Steady += k.quiet
		for _, n := range k.inContact {
			c.peers.get(n).lastContact = c.now.Steady
		}
		delete(c.members.live, "b") // a controller without contact has lost its lease
		delete(c.members.live, "c")
		for _, i := range k.reporting {
			c.machines.RecordContact(c.machines.Get(fmt.Sprintf("vm-9%03d", i)), false, c.now.Steady)
		}
		c.reconcileInventory()
		returned := map[string]int{}
		for id := range c.autoscaler.returnReasons {
			returned[c.machines.Get(id).Zone]++
		}
		if returned["z2"] != k.returned || returned["z1"] != 10 {
			t.Errorf("%s: given up %v", name, returned)
		}
	}
}

// A controller that starts while a zone is cut off knows the machines in it by their bindings alone.
// The fleet's leader keeps those that it knows, or that the cloud lists.
func TestReturnRequestForUnknownMachineInZoneOutage(t *testing.T) {
	c := fleetLeaderInZ1(t)
	c.now.Steady += 32 * time.Second
	c.handleInventory(InventoryReceived{Machines: []protocol.ListedMachine{{ID: "vm-listed", Zone: "z2", State: protocol.Running}}})
	for id, given := range map[string]bool{"vm-9015": false, "vm-listed": false, "vm-nobody-knows": true} {
		c.handleReturnRequest(ReturnRequest{Machine: id, Reason: reasonUnknownMachine})
		if got := c.autoscaler.returnReasons[id] != ""; got != given {
			t.Errorf("%s: given up %v", id, got)
		}
	}
	c.handleReturnRequest(ReturnRequest{Machine: "vm-9015", Reason: "cancelled task does not end"})
	if c.autoscaler.returnReasons["vm-9015"] == "" {
		t.Error("a cancelled task is left on a machine of a zone that is cut off")
	}
}
