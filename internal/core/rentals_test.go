package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/scaling"
	"pepperlever/internal/protocol"
)

// TestLargeDemandIsRentedFromTheCheapestOfferWithoutPauses checks that expensive offers are left
// alone while there are cheap machines, and that the next requests follow the answers at once.
func TestLargeDemandIsRentedFromTheCheapestOfferWithoutPauses(t *testing.T) {
	c := newFleetLeader(t, 0, 0)
	c.handleCatalog(CatalogReceived{Types: []protocol.MachineType{
		{Name: "cheap", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.1, BootS: 5, Zones: []string{"z1"}},
		{Name: "expensive", CPUs: 4, MemoryGB: 16, Price: 2, SpotPrice: 0.5, BootS: 5, Zones: []string{"z1"}},
	}})
	const tasks = 1000
	c.scheduler.pendingDemand = []scaling.Demand{{
		Spec:        &job.Spec{Tasks: tasks, Need: job.Resources{CPUs: 4}, Spot: true},
		Tasks:       tasks,
		Entitlement: scaling.Standard,
	}}
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

// TestUnansweredRentalIsNotRepeatedAtOnce checks that a cloud that gives no answer is asked again
// at the usual pace, not as fast as it allows.
func TestUnansweredRentalIsNotRepeatedAtOnce(t *testing.T) {
	for outcome, atOnce := range map[Outcome]bool{Applied: true, Refused: true, Unknown: false} {
		c := newFleetLeader(t, 0, 0)
		c.intents["r"] = &rentalIntent{}
		c.timers.autoscaler = c.now.Steady + time.Second
		c.handleRental(RentalResult{Rental: protocol.Rental{Request: "r", Type: "small", Zone: "z1", Count: 1}, Outcome: outcome, Machines: []string{"vm-1"}})
		if (c.timers.autoscaler == 0) != atOnce {
			t.Errorf("outcome %v: asked again at once: %v", outcome, !atOnce)
		}
	}
}
