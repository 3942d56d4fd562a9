package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/scaling"
	"pepperlever/internal/protocol"
)

// renter makes a core that rents, with n machines rented age ago and not up yet.
func renter(t *testing.T, n int, age time.Duration) *Core {
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

func (c *Core) comesUp(id string) {
	c.handle(Heartbeat{Req: 1, Report: protocol.Report{Machine: id, Address: id, Type: "small", Zone: "z1", Spot: true, Session: 1, Seq: 1}})
}

// When all machines came up late, the renter used to count none of them as
// coming any more, rented the whole fleet again, and later gave all of them up.
func TestMachinesThatAreAllLateAreAwaitedAndNotRentedTwice(t *testing.T) {
	const boot = 5 * time.Second
	c := renter(t, 10, 5*boot)
	if n := len(c.pendingCapacity()); n != 10 {
		t.Errorf("%d of 10 late machines are awaited", n)
	}
	c.reconcileInventory()
	if n := len(c.autoscaler.returnReasons); n > 0 {
		t.Errorf("%d late machines are given up", n)
	}
}

func TestMachineThatNeverComesUpIsGivenUpWhenTheOthersHaveLongCome(t *testing.T) {
	const boot = 5 * time.Second
	c := renter(t, 10, boot)
	for i := range 9 {
		c.comesUp(fmt.Sprintf("vm-9%03d", i))
	}
	c.now.Steady += 2*boot + c.silenceLimit() + boot
	c.autoscaler.updateProvisioningTimes(c.now.Steady, c.machines, c.catalog)
	if n := len(c.pendingCapacity()); n > 0 {
		t.Errorf("%d machines are awaited that hardly come", n)
	}
	c.reconcileInventory()
	if c.autoscaler.returnReasons["vm-9009"] == "" {
		t.Error("the machine that does not come up is kept")
	}
}

// Machines that never come used to outnumber the few boot times remembered, and
// stayed rented for good.
func TestMachinesThatNeverComeAreGivenUpHoweverManyTheyAre(t *testing.T) {
	c := renter(t, 40, 2*(maxProvisioningFactor+1)*2*5*time.Second)
	c.now.Steady += c.silenceLimit() + time.Second
	c.reconcileInventory()
	if n := len(c.autoscaler.returnReasons); n != 40 {
		t.Errorf("%d of 40 machines that never come are given up", n)
	}
}

func TestOfferWhoseMachinesNeverComeUpIsLeftAloneForAWhile(t *testing.T) {
	c := renter(t, 0, 0)
	l := protocol.ListedMachine{Type: "small", Zone: "z1", Spot: true}
	before := len(c.offers(0))
	for range maxProvisioningFailures {
		c.noteProvisioningFailure(l)
	}
	if n := len(c.offers(0)); n != before-1 {
		t.Errorf("%d offers of %d are left", n, before)
	}
}

// A large demand was spread over one request an offer: the dear offers were asked
// while there were cheap machines left, and the next round came seconds later.
func TestLargeDemandIsRentedOfTheCheapestOfferFirstAndWithoutPauses(t *testing.T) {
	c := renter(t, 0, 0)
	c.handleCatalog(CatalogReceived{Types: []protocol.MachineType{
		{Name: "cheap", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.1, BootS: 5, Zones: []string{"z1"}},
		{Name: "dear", CPUs: 4, MemoryGB: 16, Price: 2, SpotPrice: 0.5, BootS: 5, Zones: []string{"z1"}},
	}})
	const tasks = 1000
	c.scheduler.pendingDemand = []scaling.Demand{{Spec: &job.Spec{Tasks: tasks, Need: job.Resources{CPUs: 4}, Spot: true}, Tasks: tasks, Entitlement: scaling.Standard}}
	got, rounds := 0, 0
	for ; got < tasks && rounds < 10; rounds++ {
		c.effects = nil
		c.scaleOut()
		asked := 0
		for _, e := range c.effects {
			put, ok := e.(StoreTxn)
			if !ok {
				continue
			}
			c.handle(StoreReply{ID: put.ID, Outcome: Applied, Revision: 9})
			rent := c.effects[len(c.effects)-1].(RequestRental)
			if asked++; rent.Rental.Type != "cheap" || rent.Rental.Count > protocol.MaxRental {
				t.Fatalf("asked for %+v", rent.Rental)
			}
			var names []string
			for range rent.Rental.Count {
				got++
				names = append(names, fmt.Sprintf("vm-8%04d", got))
			}
			c.timers.autoscaler = time.Hour
			c.handle(RentalResult{Rental: rent.Rental, Outcome: Applied, Machines: names})
			if c.timers.autoscaler > c.now.Steady {
				t.Fatal("the next round waits")
			}
		}
		if asked > int(c.cfg.Params.Cloud.RPS) {
			t.Fatalf("%d requests in a round", asked)
		}
	}
	if got != tasks || rounds != tasks/protocol.MaxRental/int(c.cfg.Params.Cloud.RPS) {
		t.Errorf("%d machines in %d rounds", got, rounds)
	}
}

// While the cloud gave no answer the same rental was repeated as fast as the
// cloud's limit allows.
func TestRentalWithoutAnAnswerIsNotRepeatedAtOnce(t *testing.T) {
	for outcome, atOnce := range map[Outcome]bool{Applied: true, Refused: true, Unknown: false} {
		c := renter(t, 0, 0)
		c.intents["r"] = &rentalIntent{}
		c.timers.autoscaler = c.now.Steady + time.Second
		c.handleRental(RentalResult{Rental: protocol.Rental{Request: "r", Type: "small", Zone: "z1", Count: 1}, Outcome: outcome, Machines: []string{"vm-1"}})
		if (c.timers.autoscaler == 0) != atOnce {
			t.Errorf("outcome %v: asked again at once: %v", outcome, !atOnce)
		}
	}
}
