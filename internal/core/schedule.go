package core

import (
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/core/scaling"
)

// scheduler is what scheduling keeps between rounds.
type scheduler struct {
	// dirty is set when something has changed that a round may act on, next is the earliest
	// time of one.
	dirty bool
	next  time.Duration
	// claims are the bindings made in this step, which other controllers are to be told of.
	claims []Claim
	// heldClaims are those of other leaders.
	heldClaims heldClaims
	// pendingDemand is the demand that found no room in the newest round.
	pendingDemand []scaling.Demand
	// reservedFor tells what hosts were reserved for in the newest round.
	reservedFor  map[string]job.Resources
	reservations reservations
	// hostBuffer is used again by the list of hosts of each round.
	hostBuffer []placement.Host
}

func newScheduler() scheduler {
	return scheduler{
		reservations: newReservations(),
		heldClaims:   newHeldClaims(),
	}
}

// quietIntervals is after how many intervals between rounds one is run though nothing has
// changed.
const quietIntervals = 10

// startRound tells whether a round is due now, and if so sets the time of the next.
func (s *scheduler) startRound(now, interval time.Duration) bool {
	if now < s.next {
		return false
	}
	if !s.dirty && now < s.next+quietIntervals*interval {
		return false
	}
	s.next, s.dirty = now+interval, false
	return true
}

// requestRound asks for a round of scheduling: something has changed that it may act on.
func (c *Core) requestRound() { c.scheduler.dirty = true }

// schedule runs a round of scheduling when one is due. The plan covers the teams of all
// controllers in the order of the ranking; this node binds the tasks of the teams that it
// leads and leaves the room of the others to their leaders.
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
