package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// newFleetLeader returns a core that leads the fleet, with n machines of the given age that are
// still booting.
func newFleetLeader(t *testing.T, n int, age time.Duration) *Core {
	t.Helper()
	c := newSimCluster(t).waitUntilReady().cores[nodeNames[0]]
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

// sendFirstReport delivers a machine's first report.
func sendFirstReport(c *Core, id string) {
	c.handle(Heartbeat{Req: 1, Report: protocol.Report{Machine: id, Address: id, Type: "small", Zone: "z1", Spot: true, WorkerEpoch: 1, Seq: 1}})
}

// TestLateMachinesStillCountAsPending checks that when all machines boot late, they still count
// as pending capacity and none is returned.
func TestLateMachinesStillCountAsPending(t *testing.T) {
	const boot = 5 * time.Second
	c := newFleetLeader(t, 10, 5*boot)
	if n := len(c.pendingCapacity()); n != 10 {
		t.Errorf("%d of 10 late machines count as pending", n)
	}
	c.reconcileInventory()
	if n := len(c.autoscaler.returnReasons); n > 0 {
		t.Errorf("returning %d late machines, want 0", n)
	}
}

// TestMachineThatFailsToBootIsReturnedOnceOthersAreUp checks that a late machine is returned once
// other machines of its type have booted in time.
func TestMachineThatFailsToBootIsReturnedOnceOthersAreUp(t *testing.T) {
	const boot = 5 * time.Second
	c := newFleetLeader(t, 10, boot)
	for i := range 9 {
		sendFirstReport(c, fmt.Sprintf("vm-9%03d", i))
	}
	c.now.Steady += 2*boot + c.silenceTimeout() + boot
	c.autoscaler.updateProvisioningTimes(c.now.Steady, c.machines, c.catalog)
	if n := len(c.pendingCapacity()); n > 0 {
		t.Errorf("got %d pending machines, want 0", n)
	}
	c.reconcileInventory()
	if c.autoscaler.returnReasons["vm-9009"] == "" {
		t.Error("the machine that failed to boot is not being returned")
	}
}

// TestAllMachinesThatFailToBootAreReturned checks that machines that never boot are returned even
// if they outnumber the provisioning samples that are evaluated.
func TestAllMachinesThatFailToBootAreReturned(t *testing.T) {
	c := newFleetLeader(t, 40, 2*(maxProvisioningFactor+1)*2*5*time.Second)
	c.now.Steady += c.silenceTimeout() + time.Second
	c.reconcileInventory()
	if n := len(c.autoscaler.returnReasons); n != 40 {
		t.Errorf("returning %d of 40 machines that never boot", n)
	}
}

// TestOfferIsBackedOffAfterFailedProvisioning checks that an offer is in backoff, so that it is not
// used for a while, after several of its machines in a row have failed to boot.
func TestOfferIsBackedOffAfterFailedProvisioning(t *testing.T) {
	c := newFleetLeader(t, 0, 0)
	l := protocol.ListedMachine{Type: "small", Zone: "z1", Spot: true}
	before := len(c.offers(0))
	for range maxProvisioningFailures {
		c.recordProvisioningFailure(l)
	}
	if n := len(c.offers(0)); n != before-1 {
		t.Errorf("got %d offers after backing off one of %d", n, before)
	}
}
