package core

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// TestIncompleteInventoryKeepsReportingMachines checks that no machine that reports is returned
// because the cloud's list lags, is older than the previous one, or is truncated.
func TestIncompleteInventoryKeepsReportingMachines(t *testing.T) {
	const fleet = 2000
	rng := rand.New(rand.NewPCG(3, 4))
	c := newFleetLeader(t, fleet, time.Minute)
	all := slices.SortedFunc(maps.Values(c.autoscaler.inventory), func(a, b protocol.ListedMachine) int { return cmp.Compare(a.ID, b.ID) })
	report := c.reportInterval()
	for round := range uint64(40) {
		for i := range fleet {
			r := protocol.Report{Machine: fmt.Sprintf("vm-9%03d", i), Type: "small", Zone: "z1", Spot: true, WorkerEpoch: 1, Seq: round + 1, Token: 1}
			c.applyObservation(Observation{Node: c.cfg.Node, Token: 1, Report: r})
		}
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		c.handleInventory(InventoryReceived{Machines: all[:rng.IntN(fleet)]})
		c.reconcileInventory()
		if n := len(c.autoscaler.returnReasons); n > 0 {
			t.Fatalf("round %d: returning %d machines, want 0", round, n)
		}
		c.now.Steady += 2 * report
	}
}

// TestReportingMachineIsSchedulableWhileListedAsBooting covers the lag of the cloud's list: a
// machine may report while it is listed as booting or not listed at all.
func TestReportingMachineIsSchedulableWhileListedAsBooting(t *testing.T) {
	c := newFleetLeader(t, 1, 10*time.Minute)
	sendFirstReport(c, "vm-9000")
	sendFirstReport(c, "vm-unheard-of")
	c.reconcileInventory()
	for _, id := range []string{"vm-9000", "vm-unheard-of"} {
		if reason := c.autoscaler.returnReasons[id]; reason != "" {
			t.Errorf("%s is being returned: %s", id, reason)
		}
		if m := c.machines.Get(id); m == nil || !c.isSchedulable(m) {
			t.Errorf("%s is not schedulable", id)
		}
	}
}
