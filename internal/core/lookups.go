package core

import (
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/protocol"
)

// lookupResult is what was found out about a job by a read that began after the
// question.
type lookupResult uint8

const (
	// lookupUnavailable means that nobody can tell now.
	lookupUnavailable lookupResult = iota
	// lookupAbsent means that the job was never accepted.
	lookupAbsent
	lookupActive
	lookupFinal
)

// pendingLookup is one request that waits for a finding.
type pendingLookup struct {
	id      string
	resolve func(lookupResult, protocol.JobState)
	// exists is set once the job is known to have been accepted.
	exists bool
	// acceptanceOnly is set where that is all that is asked, and not how the job gets on.
	acceptanceOnly bool
	since          time.Duration
}

// lookupQueue gathers questions, so that one request to the state service answers as
// many as a transaction may have conditions. A request for each question would
// use up the state service as soon as users ask often.
type lookupQueue struct {
	// known are of jobs that were accepted for sure, strange are all others;
	// one of the strange often fails the whole check.
	known, unknown []pendingLookup
	budget         float64
	at             time.Duration
}

// lookupShare is the part of the requests to the state service that all
// controllers' questions may take together.
const lookupShare = 1.0 / 4

// lookUp finds out what has become of a job: from memory when it is final, or
// else from a check that begins after the question. What could not be answered
// while the user waits is turned away at once. Several questions on one job cost
// no more than one.
func (c *Core) lookUp(id string, tell func(lookupResult, protocol.JobState)) {
	c.enqueueLookup(pendingLookup{id: id, resolve: tell})
}

// lookUpAccepted finds out whether a job was accepted, and its final state if it has one.
func (c *Core) lookUpAccepted(id string, tell func(lookupResult, protocol.JobState)) {
	if j := c.jobs[id]; j != nil && !c.hasEnded(id) {
		tell(lookupActive, protocol.JobState{ID: id})
		return
	}
	c.enqueueLookup(pendingLookup{id: id, resolve: tell, acceptanceOnly: true})
}

func (c *Core) enqueueLookup(q pendingLookup) {
	id, tell := q.id, q.resolve
	if c.hasEnded(id) {
		s := c.finalStates[id]
		if c.unannounced[id] == nil {
			c.announceCancel(id) // known by the watch alone, perhaps
		}
		if w := c.unannounced[id]; w != nil {
			w.waiting = append(w.waiting, pendingLookup{id: id, resolve: tell, since: c.now.Steady})
			return
		}
		tell(lookupFinal, s)
		return
	}
	a := &c.lookups
	if !c.storeOK || c.lookupsOverdue(a.known) || c.lookupsOverdue(a.unknown) {
		tell(lookupUnavailable, protocol.JobState{})
		return
	}
	q.exists, q.since = c.jobs[id] != nil, c.now.Steady
	if q.exists {
		a.known = append(a.known, q)
	} else {
		a.unknown = append(a.unknown, q)
	}
}

// lookupsOverdue tells whether questions wait for longer than their users will, or are
// more than could be answered by then.
func (c *Core) lookupsOverdue(waiting []pendingLookup) bool {
	return len(waiting) > 0 && c.now.Steady-waiting[0].since > protocol.PollTimeout/2 ||
		float64(len(waiting)) > 4*c.lookupRate()*float64(c.limits.maxConditions())
}

// lookupRate is this node's number of checks a second.
func (c *Core) lookupRate() float64 {
	return max(1, lookupShare*c.limits.requestRate()/float64(c.members.size()))
}

// sendLookups sends the checks that are due, the longest waiting questions first.
func (c *Core) sendLookups() {
	a := &c.lookups
	a.budget = min(a.budget+c.lookupRate()*(c.now.Steady-a.at).Seconds(), c.lookupRate())
	a.at = c.now.Steady
	for a.budget >= 1 && len(a.known)+len(a.unknown) > 0 {
		a.budget--
		from, size := &a.known, c.limits.maxConditions()
		if len(a.known) == 0 || len(a.unknown) > 0 && a.unknown[0].since < a.known[0].since {
			from, size = &a.unknown, c.limits.maxConditions()/2
		}
		c.sendLookupBatch(take(from, size))
	}
}

// sendDependencyLookups sends the checks for submissions at once, whatever checks have been sent:
// users wait for much less than for the answer to a poll, and such submissions are few.
func (c *Core) sendDependencyLookups() {
	var rest []pendingLookup
	var urgent []pendingLookup
	for _, q := range c.lookups.unknown {
		if q.acceptanceOnly {
			urgent = append(urgent, q)
		} else {
			rest = append(rest, q)
		}
	}
	c.lookups.unknown = rest
	for len(urgent) > 0 {
		c.lookups.budget--
		c.sendLookupBatch(take(&urgent, c.limits.maxConditions()/2))
	}
}

// take removes the questions on the first n jobs.
func take(from *[]pendingLookup, n int) map[string][]pendingLookup {
	out := map[string][]pendingLookup{}
	rest := (*from)[:0]
	for _, q := range *from {
		if _, asked := out[q.id]; asked || len(out) < n {
			out[q.id] = append(out[q.id], q)
		} else {
			rest = append(rest, q)
		}
	}
	clear((*from)[len(rest):])
	*from = rest
	return out
}

// sendLookupBatch asks the store, in one transaction without changes, whether the jobs
// still have no final state. A job that was accepted and has none is active; one
// that has neither that nor an active key was never accepted.
func (c *Core) sendLookupBatch(batch map[string][]pendingLookup) {
	var txn protocol.Txn
	for id, qs := range ordered(batch) {
		txn.If = append(txn.If, protocol.Condition{Key: keyState + id})
		if !qs[0].exists {
			txn.If = append(txn.If, protocol.Condition{Key: jobKey(id)})
		}
	}
	c.userTxn(txn, func(r StoreReply) {
		for id, qs := range ordered(batch) {
			c.onLookupReply(id, qs, r)
		}
	})
}

// onLookupReply takes what a check says about one job. Whether a failed check names
// every key that failed is not relied on: what it does not name is asked again.
func (c *Core) onLookupReply(id string, qs []pendingLookup, r StoreReply) {
	switch {
	case r.Outcome == Applied && qs[0].exists && c.outgoingUnconfirmed(id):
		resolveAll(qs, lookupUnavailable, protocol.JobState{})
	case r.Outcome == Applied && qs[0].exists:
		c.tellActive(id, qs, r.Revision)
	case r.Outcome == Applied:
		resolveAll(qs, lookupAbsent, protocol.JobState{})
	case r.Outcome != Conflict || len(r.Failed) == 0:
		resolveAll(qs, lookupUnavailable, protocol.JobState{})
	case slices.Contains(r.Failed, keyState+id):
		c.lookups.budget--
		c.userGet(keyState+id, func(r StoreReply) { c.onFinalStateRead(id, qs, r) })
	case slices.Contains(r.Failed, jobKey(id)):
		c.resolveAccepted(id, qs)
	case qs[0].exists:
		c.lookups.known = append(qs, c.lookups.known...)
	default:
		c.lookups.unknown = append(qs, c.lookups.unknown...)
	}
}

// resolveAccepted takes that a job was accepted, and asks on how it gets on.
func (c *Core) resolveAccepted(id string, qs []pendingLookup) {
	var on []pendingLookup
	for _, q := range qs {
		if q.acceptanceOnly {
			q.resolve(lookupActive, protocol.JobState{ID: id})
			continue
		}
		q.exists = true
		on = append(on, q)
	}
	c.lookups.known = append(on, c.lookups.known...)
}

// onFinalStateRead takes the final state of a job.
func (c *Core) onFinalStateRead(id string, qs []pendingLookup, r StoreReply) {
	var k finalStateRecord
	if r.Outcome != Applied {
		resolveAll(qs, lookupUnavailable, protocol.JobState{})
		return
	}
	if err := json.Unmarshal(r.Item.Value, &k); err != nil {
		c.log(Error, "stored state is not understood", "job", id, "error", err.Error())
		resolveAll(qs, lookupUnavailable, protocol.JobState{})
		return
	}
	s := protocol.JobState{ID: id, State: k.State}
	if k.State == protocol.Done {
		s.Done = k.Tasks
	}
	if j := c.jobs[id]; k.State == protocol.Cancelled && j != nil && j.Awaiting {
		c.cancelDependent(j, "") // nothing of it runs that others would have to stop
	} else if k.State == protocol.Cancelled {
		c.noteCancellation(Cancellation{Job: id, Revision: r.Item.Version})
		c.announceCancel(id)
	} else {
		c.rememberFinalState(id, s)
	}
	for _, q := range qs {
		c.lookUp(id, q.resolve)
	}
}

func resolveAll(qs []pendingLookup, f lookupResult, s protocol.JobState) {
	for _, q := range qs {
		q.resolve(f, s)
	}
}
