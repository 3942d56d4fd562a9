package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// newFleetLeader makes a core that leads the fleet, with n machines rented age ago and not up yet.
func newFleetLeader(t *testing.T, n int, age time.Duration) *Core {
	t.Helper()
	c := newWorld(t).ready().cores[nodeNames[0]]
	c.fleet.leading = true
	c.autoscaler.reset(c.now.Steady)
	c.now.Steady += time.Hour
	var l InventoryReceived
	for i := range n {
		l.Machines = append(l.Machines, protocol.ListedMachine{ID: fmt.Sprintf("vm-9%03d", i), Type: "small", Zone: "z1", Spot: true,
			State: protocol.Booting, AgeS: age.Seconds()})
	}
	c.handleInventory(l)
	c.autoscaler.updateProvisioningTimes(c.now.Steady, c.machines, c.catalog)
	return c
}

// comeUp has a machine report for the first time.
func comeUp(c *Core, id string) {
	c.handle(Heartbeat{Req: 1, Report: protocol.Report{Machine: id, Address: id, Type: "small", Zone: "z1", Spot: true, Session: 1, Seq: 1}})
}

// TestLateMachinesStayPendingAndAreNotRentedTwice checks that when all machines come up late they
// still count as pending capacity, and none is returned.
func TestLateMachinesStayPendingAndAreNotRentedTwice(t *testing.T) {
	const boot = 5 * time.Second
	c := newFleetLeader(t, 10, 5*boot)
	if n := len(c.pendingCapacity()); n != 10 {
		t.Errorf("%d of 10 late machines are pending", n)
	}
	c.reconcileInventory()
	if n := len(c.autoscaler.returnReasons); n > 0 {
		t.Errorf("%d late machines are returned", n)
	}
}

// TestMachineThatNeverComesUpIsReturnedOnceOthersHave checks that the times of the others tell
// that a machine hardly comes any more.
func TestMachineThatNeverComesUpIsReturnedOnceOthersHave(t *testing.T) {
	const boot = 5 * time.Second
	c := newFleetLeader(t, 10, boot)
	for i := range 9 {
		comeUp(c, fmt.Sprintf("vm-9%03d", i))
	}
	c.now.Steady += 2*boot + c.silenceLimit() + boot
	c.autoscaler.updateProvisioningTimes(c.now.Steady, c.machines, c.catalog)
	if n := len(c.pendingCapacity()); n > 0 {
		t.Errorf("%d machines are pending that hardly come", n)
	}
	c.reconcileInventory()
	if c.autoscaler.returnReasons["vm-9009"] == "" {
		t.Error("the machine that does not come up is not returned")
	}
}

// TestAllMachinesThatNeverComeUpAreReturned checks that machines that never come up are returned
// even when there are more of them than observations are weighed.
func TestAllMachinesThatNeverComeUpAreReturned(t *testing.T) {
	c := newFleetLeader(t, 40, 2*(maxProvisioningFactor+1)*2*5*time.Second)
	c.now.Steady += c.silenceLimit() + time.Second
	c.reconcileInventory()
	if n := len(c.autoscaler.returnReasons); n != 40 {
		t.Errorf("%d of 40 machines that never come are returned", n)
	}
}

// TestOfferIsBackedOffAfterFailedProvisioning checks that an offer is paused after a few machines
// in a row that did not come up.
func TestOfferIsBackedOffAfterFailedProvisioning(t *testing.T) {
	c := newFleetLeader(t, 0, 0)
	l := protocol.ListedMachine{Type: "small", Zone: "z1", Spot: true}
	before := len(c.offers(0))
	for range maxProvisioningFailures {
		c.noteProvisioningFailure(l)
	}
	if n := len(c.offers(0)); n != before-1 {
		t.Errorf("%d offers of %d are left", n, before)
	}
}
