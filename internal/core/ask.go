package core

import (
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/protocol"
)

// finding is what was found out about a job by a read that began after the
// question.
type finding uint8

const (
	// untold means that nobody can tell now.
	untold finding = iota
	// absent means that the job was never accepted.
	absent
	active
	final
)

// question is one request that waits for a finding.
type question struct {
	id   string
	tell func(finding, protocol.JobState)
	// exists is set once the job is known to have been accepted.
	exists bool
	// acceptance is set where that is all that is asked, and not how the job gets on.
	acceptance bool
	at         time.Duration
}

// asks gathers questions, so that one request to the state service answers as
// many as a transaction may have conditions. A request for each question would
// use up the state service as soon as users ask often.
type asks struct {
	// known are of jobs that were accepted for sure, strange are all others;
	// one of the strange often fails the whole check.
	known, strange []question
	level          float64
	at             time.Duration
}

// asksPart is the part of the requests to the state service that all
// controllers' questions may take together.
const asksPart = 1.0 / 4

// inquire finds out what has become of a job: from memory when it is final, or
// else from a check that begins after the question. What could not be answered
// while the user waits is turned away at once. Several questions on one job cost
// no more than one.
func (c *Core) inquire(id string, tell func(finding, protocol.JobState)) {
	c.question(question{id: id, tell: tell})
}

// inquireAccepted finds out whether a job was accepted, and its final state if it has one.
func (c *Core) inquireAccepted(id string, tell func(finding, protocol.JobState)) {
	if j := c.jobs[id]; j != nil && !c.hasEnded(id) {
		tell(active, protocol.JobState{ID: id})
		return
	}
	c.question(question{id: id, tell: tell, acceptance: true})
}

func (c *Core) question(q question) {
	id, tell := q.id, q.tell
	if c.hasEnded(id) {
		s := c.finals[id]
		if c.untold[id] == nil {
			c.announceCancel(id) // known by the watch alone, perhaps
		}
		if w := c.untold[id]; w != nil {
			w.waiting = append(w.waiting, question{id: id, tell: tell, at: c.now.Steady})
			return
		}
		tell(final, s)
		return
	}
	a := &c.asks
	if !c.storeOK || c.overdue(a.known) || c.overdue(a.strange) {
		tell(untold, protocol.JobState{})
		return
	}
	q.exists, q.at = c.jobs[id] != nil, c.now.Steady
	if q.exists {
		a.known = append(a.known, q)
	} else {
		a.strange = append(a.strange, q)
	}
}

// overdue tells whether questions wait for longer than their users will, or are
// more than could be answered by then.
func (c *Core) overdue(waiting []question) bool {
	return len(waiting) > 0 && c.now.Steady-waiting[0].at > protocol.PollTimeout/2 ||
		float64(len(waiting)) > 4*c.asksRate()*float64(c.maxConditions())
}

// asksRate is this node's number of checks a second.
func (c *Core) asksRate() float64 {
	return max(1, asksPart*c.limits().RPS/float64(len(c.roster)))
}

// askStore sends the checks that are due, the longest waiting questions first.
func (c *Core) askStore() {
	a := &c.asks
	a.level = min(a.level+c.asksRate()*(c.now.Steady-a.at).Seconds(), c.asksRate())
	a.at = c.now.Steady
	for a.level >= 1 && len(a.known)+len(a.strange) > 0 {
		a.level--
		from, size := &a.known, c.maxConditions()
		if len(a.known) == 0 || len(a.strange) > 0 && a.strange[0].at < a.known[0].at {
			from, size = &a.strange, c.maxConditions()/2
		}
		c.check(take(from, size))
	}
}

// askStoreOfAwaited sends the checks for submissions at once, whatever checks have been sent:
// users wait for much less than for the answer to a poll, and such submissions are few.
func (c *Core) askStoreOfAwaited() {
	var rest []question
	var urgent []question
	for _, q := range c.asks.strange {
		if q.acceptance {
			urgent = append(urgent, q)
		} else {
			rest = append(rest, q)
		}
	}
	c.asks.strange = rest
	for len(urgent) > 0 {
		c.asks.level--
		c.check(take(&urgent, c.maxConditions()/2))
	}
}

// take removes the questions on the first n jobs.
func take(from *[]question, n int) map[string][]question {
	out := map[string][]question{}
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

// check asks the store, in one transaction without changes, whether the jobs
// still have no final state. A job that was accepted and has none is active; one
// that has neither that nor an active key was never accepted.
func (c *Core) check(batch map[string][]question) {
	var txn protocol.Txn
	for id, qs := range ordered(batch) {
		txn.If = append(txn.If, protocol.Condition{Key: keyState + id})
		if !qs[0].exists {
			txn.If = append(txn.If, protocol.Condition{Key: activeKey(id)})
		}
	}
	c.userTxn(txn, func(r StoreReply) {
		for id, qs := range ordered(batch) {
			c.checked(id, qs, r)
		}
	})
}

// checked takes what a check says about one job. Whether a failed check names
// every key that failed is not relied on: what it does not name is asked again.
func (c *Core) checked(id string, qs []question, r StoreReply) {
	switch {
	case r.Outcome == Applied && qs[0].exists && c.untoldAway(id):
		tellAll(qs, untold, protocol.JobState{})
	case r.Outcome == Applied && qs[0].exists:
		c.tellActive(id, qs, r.Revision)
	case r.Outcome == Applied:
		tellAll(qs, absent, protocol.JobState{})
	case r.Outcome != Conflict || len(r.Failed) == 0:
		tellAll(qs, untold, protocol.JobState{})
	case slices.Contains(r.Failed, keyState+id):
		c.asks.level--
		c.userGet(keyState+id, func(r StoreReply) { c.finalTold(id, qs, r) })
	case slices.Contains(r.Failed, activeKey(id)):
		c.askActive(id, qs)
	case qs[0].exists:
		c.asks.known = append(qs, c.asks.known...)
	default:
		c.asks.strange = append(qs, c.asks.strange...)
	}
}

// askActive takes that a job was accepted, and asks on how it gets on.
func (c *Core) askActive(id string, qs []question) {
	var on []question
	for _, q := range qs {
		if q.acceptance {
			q.tell(active, protocol.JobState{ID: id})
			continue
		}
		q.exists = true
		on = append(on, q)
	}
	c.asks.known = append(on, c.asks.known...)
}

// finalTold takes the final state of a job.
func (c *Core) finalTold(id string, qs []question, r StoreReply) {
	var k stateKey
	if r.Outcome != Applied {
		tellAll(qs, untold, protocol.JobState{})
		return
	}
	if err := json.Unmarshal(r.Item.Value, &k); err != nil {
		c.log(Error, "stored state is not understood", "job", id, "error", err.Error())
		tellAll(qs, untold, protocol.JobState{})
		return
	}
	s := protocol.JobState{ID: id, State: k.State}
	if k.State == protocol.Done {
		s.Done = k.Tasks
	}
	if j := c.jobs[id]; k.State == protocol.Cancelled && j != nil && j.Awaiting {
		c.cancelWith(j, "") // nothing of it runs that others would have to stop
	} else if k.State == protocol.Cancelled {
		c.cancelKnown(Cancellation{Job: id, Revision: r.Item.Version})
		c.announceCancel(id)
	} else {
		c.remember(id, s)
	}
	for _, q := range qs {
		c.inquire(id, q.tell)
	}
}

func tellAll(qs []question, f finding, s protocol.JobState) {
	for _, q := range qs {
		q.tell(f, s)
	}
}
