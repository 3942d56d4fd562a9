package core

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// TestZonePartitionedWithItsControllers partitions a zone with workers and controllers for longer
// than a worker lease. Tasks in the zone must keep running without a restart, except on machines
// that are returned because of a cancelled job. New jobs constrained to the zone must wait, and
// jobs cancelled from outside must end in time.
func TestZonePartitionedWithItsControllers(t *testing.T) {
	for _, leases := range []float64{1.3, 2.5} {
		t.Run(fmt.Sprint(leases, " leases"), func(t *testing.T) {
			t.Parallel()
			cluster := newSimClusterOf(t, fiveNodes)
			cluster.twoZones()
			cluster.allowRacingStarts, cluster.taskTime = true, 4*time.Minute
			cluster.waitUntilReady()
			requireAccepted(t, cluster.submit("a", "req-free-1", 8, `,"yard":"z2"`))
			requireAccepted(t, cluster.submit("a", "req-blue-2", 4, `,"yard":"z2"`))
			requireAccepted(t, cluster.submit("a", "req-free-3", 8, `,"yard":"z1"`))
			cluster.waitUntilStarted("req-free-1", 8)
			cluster.waitUntilStarted("req-blue-2", 4)
			cluster.run(20*time.Second, nil) // lets each machine settle on a controller, in its zone or another
			cluster.cutZone("z2")
			cluster.run(5*time.Second, nil)
			if a := cluster.cancelJob("a", "req-blue-2"); a.Status != http.StatusOK {
				t.Fatalf("cancellation got status %d, want 200", a.Status)
			}
			requireAccepted(t, cluster.submit("b", "req-free-4", 4, `,"yard":"z2"`))
			requireAccepted(t, cluster.submit("b", "req-free-5", 4, ""))
			cluster.run(time.Duration(leases*float64(cluster.workerLease())), nil)
			if cluster.onMachines("req-free-5") != 4 || cluster.onMachines("req-free-4") != 0 {
				t.Errorf("got %d tasks running outside the zone and %d inside, want 4 and 0", cluster.onMachines("req-free-5"), cluster.onMachines("req-free-4"))
			}
			cluster.reconnectZone()
			cluster.run(cluster.cancelDeadline(), nil)
			if cluster.onMachines("req-blue-2") > 0 || len(cluster.cancelConfirmedAt) > 0 {
				t.Error("cancelled tasks are still running or a cancellation is not complete")
			}
			kept := 0
			for i := range 8 {
				if cluster.starts[fmt.Sprintf("req-free-1/%d", i)] == 1 {
					kept++
				}
			}
			if kept < 4 { // others ran on machines that were returned because of the cancelled job
				t.Errorf("%d of 8 tasks in the zone kept running, want at least 4", kept)
			}
			if !cluster.run(8*time.Minute, cluster.allDone("req-free-1", "req-free-3", "req-free-4", "req-free-5")) {
				t.Error("jobs did not end")
			}
		})
	}
}

// fleetLeaderInZ1 returns a fleet leader in z1, with controllers b in z1 and c in z2, that has
// received reports of ten machines in each zone.
func fleetLeaderInZ1(t *testing.T) *Core {
	t.Helper()
	c := newFleetLeader(t, 0, 0)
	c.cfg.Zone = "z1"
	c.cfg.Peers[0].Zone, c.cfg.Peers[1].Zone = "z1", "z2"
	for i := range 20 {
		c.applyObservation(Observation{Node: "c", Token: 1, Report: protocol.Report{Machine: fmt.Sprintf("vm-9%03d", i),
			Type: "small", Zone: fmt.Sprintf("z%d", 1+i/10), WorkerEpoch: 1, Seq: 1}})
	}
	return c
}

// TestMachinesAreKeptDuringZoneOutage checks when machines of an unresponsive zone are returned.
// The controllers of a partitioned zone still answer its workers: if its machines were returned
// after the usual silence timeout, all of their tasks would run again.
func TestMachinesAreKeptDuringZoneOutage(t *testing.T) {
	const lease = 16 * time.Second
	silentFor := 2 * lease // longer than the usual silence timeout
	for name, tc := range map[string]struct {
		inContact []string // controllers that can be reached
		reporting []int    // machines that report
		silentFor time.Duration
		returned  int // machines in z2 that are returned
	}{
		"zone is partitioned":               {inContact: []string{"b"}, silentFor: silentFor, returned: 0},
		"partitioned too long":              {inContact: []string{"b"}, silentFor: (zoneOutageLeases + 1) * lease, returned: 10},
		"its controller can be reached":     {inContact: []string{"b", "c"}, silentFor: silentFor, returned: 10},
		"one of its machines reports":       {inContact: []string{"b"}, reporting: []int{15}, silentFor: silentFor, returned: 9},
		"machines of the leader's own zone": {inContact: []string{"c"}, silentFor: silentFor, returned: 10},
	} {
		c := fleetLeaderInZ1(t)
		c.now.Steady += tc.silentFor
		for _, n := range tc.inContact {
			c.peers.recordContact(n, c.now.Steady)
		}
		delete(c.members.live, "b") // a controller that cannot be reached has lost its controller lease
		delete(c.members.live, "c")
		for _, i := range tc.reporting {
			c.machines.RecordContact(c.machines.Get(fmt.Sprintf("vm-9%03d", i)), false, c.now.Steady)
		}
		c.reconcileInventory()
		returned := map[string]int{}
		for id := range c.autoscaler.returnReasons {
			returned[c.machines.Get(id).Zone]++
		}
		if returned["z2"] != tc.returned || returned["z1"] != 10 {
			t.Errorf("%s: got returned machines by zone %v", name, returned)
		}
	}
}

// TestReturnRequestForUnknownMachineInZoneOutage covers a controller that starts while a zone is
// partitioned and knows the machines in it only from the bindings of tasks. The fleet leader must
// keep those that it knows or that the cloud lists.
func TestReturnRequestForUnknownMachineInZoneOutage(t *testing.T) {
	c := fleetLeaderInZ1(t)
	c.now.Steady += 32 * time.Second
	c.handleInventory(InventoryReceived{Machines: []protocol.ListedMachine{{ID: "vm-listed", Zone: "z2", State: protocol.Running}}})
	for id, wantReturned := range map[string]bool{"vm-9015": false, "vm-listed": false, "vm-nobody-knows": true} {
		c.handleReturnRequest(ReturnRequest{Machine: id, Reason: reasonUnknownMachine})
		if got := c.autoscaler.returnReasons[id] != ""; got != wantReturned {
			t.Errorf("%s: got returned %v", id, got)
		}
	}
	c.handleReturnRequest(ReturnRequest{Machine: "vm-9015", Reason: "cancelled task does not end"})
	if c.autoscaler.returnReasons["vm-9015"] == "" {
		t.Error("machine with a cancelled task in a partitioned zone is not being returned")
	}
}
