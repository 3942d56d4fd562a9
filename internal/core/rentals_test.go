package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/scaling"
	"pepperlever/internal/protocol"
)

// TestLargeDemandIsRentedFromCheapestOfferWithoutDelay checks that expensive offers are not used
// while cheap machines are available, and that further requests follow each reply immediately.
func TestLargeDemandIsRentedFromCheapestOfferWithoutDelay(t *testing.T) {
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
		requests := 0
		for _, e := range c.effects {
			txn, ok := e.(StoreTxn)
			if !ok {
				continue
			}
			c.handle(StoreReply{ID: txn.ID, Outcome: OutcomeApplied, Revision: 9})
			request := c.effects[len(c.effects)-1].(RequestRental)
			if requests++; request.Rental.Type != "cheap" || request.Rental.Count > protocol.MaxRental {
				t.Fatalf("got rental %+v, want at most MaxRental machines of type cheap", request.Rental)
			}
			var names []string
			for range request.Rental.Count {
				got++
				names = append(names, fmt.Sprintf("vm-8%04d", got))
			}
			c.timers.autoscaler = time.Hour
			c.handle(RentalResult{Rental: request.Rental, Outcome: OutcomeApplied, Machines: names})
			if c.timers.autoscaler > c.now.Steady {
				t.Fatal("the next autoscaler run is delayed")
			}
		}
		if requests > int(c.cfg.Params.Cloud.RPS) {
			t.Fatalf("got %d requests in a round, want at most the cloud's rate limit", requests)
		}
	}
	if got != tasks || rounds != tasks/protocol.MaxRental/int(c.cfg.Params.Cloud.RPS) {
		t.Errorf("got %d machines in %d rounds, want all in the fewest rounds that the rate limit allows", got, rounds)
	}
}

// TestUnansweredRentalIsNotRetriedImmediately checks that a rental without an answer is retried
// at the usual interval, not as fast as the cloud allows.
func TestUnansweredRentalIsNotRetriedImmediately(t *testing.T) {
	for outcome, wantImmediate := range map[Outcome]bool{OutcomeApplied: true, OutcomeRefused: true, OutcomeUnknown: false} {
		c := newFleetLeader(t, 0, 0)
		c.intents["r"] = &rentalIntent{}
		c.timers.autoscaler = c.now.Steady + time.Second
		c.handleRental(RentalResult{Rental: protocol.Rental{Request: "r", Type: "small", Zone: "z1", Count: 1}, Outcome: outcome, Machines: []string{"vm-1"}})
		if (c.timers.autoscaler == 0) != wantImmediate {
			t.Errorf("outcome %v: autoscaler runs again immediately: %v", outcome, !wantImmediate)
		}
	}
}
