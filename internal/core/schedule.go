package core

import (
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/core/scaling"
)

// scheduler is the scheduling state that is kept between rounds.
type scheduler struct {
	// roundRequested is set when something that a round may act on has changed. nextRoundAt is the
	// earliest time of the next round.
	roundRequested bool
	nextRoundAt    time.Duration
	// claims are the bindings made in this step that are still to be announced to other
	// controllers.
	claims []Claim
	// heldClaims tracks the claims announced by other leaders.
	heldClaims heldClaims
	// pendingDemand is the demand that could not be placed in the latest round.
	pendingDemand []scaling.Demand
	// reservedFor maps each reserved host to the resource need it was reserved for in the latest
	// round.
	reservedFor  map[string]job.Resources
	reservations reservations
	// hostBuffer backs the host list of each round, to avoid reallocating it.
	hostBuffer []placement.Host
}

func newScheduler() scheduler {
	return scheduler{
		reservations: newReservations(),
		heldClaims:   newHeldClaims(),
	}
}

// periodicRoundIntervals is the number of round intervals after which a round runs even if
// nothing has changed.
const periodicRoundIntervals = 10

// startRound reports whether a round is due, and if so sets the earliest time of the next one.
func (s *scheduler) startRound(now, interval time.Duration) bool {
	if now < s.nextRoundAt {
		return false
	}
	if !s.roundRequested && now < s.nextRoundAt+periodicRoundIntervals*interval {
		return false
	}
	s.nextRoundAt, s.roundRequested = now+interval, false
	return true
}

// requestRound requests a scheduling round because something has changed that it may act on.
func (c *Core) requestRound() { c.scheduler.roundRequested = true }

// schedule runs a scheduling round if one is due. The round plans for the teams of all
// controllers, in ranking order. This node binds only the tasks of teams that it leads, and
// leaves the capacity planned for other teams to their leaders.
func (c *Core) schedule() {
	defer c.agents.deliverAll()
	if !c.replica.loaded || !c.catalog.Loaded() || !c.scheduler.startRound(c.now.Steady, c.reportInterval()/30) {
		return
	}
	c.scheduler.pendingDemand = nil
	r := newRound(c)
	r.collectQueues()
	if !c.updateReservations() && len(r.queues) == 0 {
		return
	}
	r.run()
}
