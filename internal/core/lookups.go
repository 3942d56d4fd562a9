package core

import (
	"fmt"
	"slices"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// lookupShare is the part of the requests to the store that the lookups of all controllers
// may take together.
const lookupShare = 1.0 / 4

// lookupLimits are the bounds on this node's lookups.
func (c *Core) lookupLimits() lookup.Limits {
	share := lookupShare * c.limits.requestRate() / float64(c.members.size())
	return lookup.Limits{Rate: max(1, share), Conditions: c.limits.maxConditions()}
}

// lookUp finds out what has become of a job: from memory when it is final, or else from a
// read that begins after the request. What could not be answered while the user waits is
// turned away at once.
func (c *Core) lookUp(id string, resolve func(lookup.Result)) {
	c.enqueueLookup(lookup.Request{JobID: id, Resolve: resolve})
}

// lookUpAccepted finds out whether a job was accepted, and its final state if it has one.
func (c *Core) lookUpAccepted(id string, resolve func(lookup.Result)) {
	if c.jobs[id] != nil && !c.hasEnded(id) {
		resolve(activeWithoutProgress(id))
		return
	}
	c.enqueueLookup(lookup.Request{JobID: id, Resolve: resolve, AcceptanceOnly: true})
}

// activeWithoutProgress is the result for callers that ask for acceptance alone.
func activeWithoutProgress(id string) lookup.Result {
	return lookup.Result{Outcome: lookup.Active, State: protocol.JobState{ID: id}}
}

func (c *Core) enqueueLookup(request lookup.Request) {
	request.Since = c.now.Steady
	if c.hasEnded(request.JobID) {
		c.resolveEnded(request)
		return
	}
	if !c.storeOK || c.lookups.Overloaded(c.now.Steady, c.lookupLimits()) {
		request.Resolve(lookup.Result{Outcome: lookup.Unavailable})
		return
	}
	c.lookups.Add(request, c.jobs[request.JobID] != nil)
}

// resolveEnded answers with the known final state of a job. That of a cancelled one waits
// until another controller knows it too.
func (c *Core) resolveEnded(request lookup.Request) {
	id := request.JobID
	state, _ := c.ended.state(id)
	if c.announcements.deferLookup(request) {
		return
	}
	request.Resolve(lookup.Result{Outcome: lookup.Final, State: state})
}

// sendLookups sends the lookups that are due, the longest waiting first.
func (c *Core) sendLookups() {
	limits := c.lookupLimits()
	c.lookups.Refill(c.now.Steady, limits.Rate)
	for batch := c.lookups.Next(limits); batch != nil; batch = c.lookups.Next(limits) {
		c.sendLookupBatch(batch)
	}
}

// sendAcceptanceLookups sends the lookups for submissions at once, whatever the budget is:
// users wait for much less than for the answer to a poll, and such submissions are few.
func (c *Core) sendAcceptanceLookups() {
	for _, batch := range c.lookups.TakeAcceptance(c.lookupLimits()) {
		c.sendLookupBatch(batch)
	}
}

// sendLookupBatch asks the store, in one transaction without changes, whether the jobs
// still have no final state. A job that was accepted and has none is active; one
// that has neither that nor an active key was never accepted.
func (c *Core) sendLookupBatch(batch lookup.Batch) {
	var txn protocol.Txn
	for _, group := range batch {
		txn.If = append(txn.If, protocol.Condition{Key: keyState + group.JobID})
		if !group.Accepted {
			txn.If = append(txn.If, protocol.Condition{Key: jobKey(group.JobID)})
		}
	}
	c.userTxn(txn, func(r StoreReply) {
		for _, group := range batch {
			c.onLookupReply(group, r)
		}
	})
}

// onLookupReply takes what the store says about one job. Whether a failed transaction names
// every key that failed is not relied on: a job of which it names none is looked up again.
func (c *Core) onLookupReply(group lookup.Group, r StoreReply) {
	switch {
	case r.Outcome == Applied:
		c.onNoFinalState(group, r.Revision)
	case r.Outcome != Conflict || len(r.Failed) == 0:
		group.ResolveUnavailable()
	case slices.Contains(r.Failed, keyState+group.JobID):
		c.fetchFinalState(group)
	case slices.Contains(r.Failed, jobKey(group.JobID)):
		c.onAccepted(group)
	default:
		c.lookups.Requeue(group.Requests, group.Accepted)
	}
}

// onNoFinalState takes that a job has no final state as of a revision.
func (c *Core) onNoFinalState(group lookup.Group, revision uint64) {
	switch {
	case !group.Accepted:
		group.ResolveAll(lookup.Result{Outcome: lookup.Absent})
	case c.handoffs.lacksProgress(group.JobID):
		group.ResolveUnavailable()
	default:
		c.resolveActive(group, revision)
	}
}

// onAccepted takes that a job was accepted, and looks up its state for those who need it.
func (c *Core) onAccepted(group lookup.Group) {
	var unresolved []lookup.Request
	for _, request := range group.Requests {
		if request.AcceptanceOnly {
			request.Resolve(activeWithoutProgress(group.JobID))
			continue
		}
		unresolved = append(unresolved, request)
	}
	c.lookups.Requeue(unresolved, true)
}

// fetchFinalState reads the final state of a job that has one.
func (c *Core) fetchFinalState(group lookup.Group) {
	c.lookups.Spend()
	c.userGet(keyState+group.JobID, func(r StoreReply) {
		if err := c.onFinalStateRead(group, r); err != nil {
			c.log(Error, "stored job state is malformed", "job", group.JobID, "error", err.Error())
			group.ResolveUnavailable()
		}
	})
}

// onFinalStateRead takes the final state of a job.
func (c *Core) onFinalStateRead(group lookup.Group, r StoreReply) error {
	if r.Outcome != Applied {
		group.ResolveUnavailable()
		return nil
	}
	var record finalStateRecord
	if err := json.Unmarshal(r.Item.Value, &record); err != nil {
		return fmt.Errorf("read final state: %w", err)
	}
	c.noteFinalState(group.JobID, record, r.Item.Version)
	for _, request := range group.Requests {
		c.lookUp(request.JobID, request.Resolve)
	}
	return nil
}

// noteFinalState notes a final state that the store holds since a revision.
func (c *Core) noteFinalState(id string, record finalStateRecord, revision uint64) {
	if record.State != protocol.Cancelled {
		state := protocol.JobState{ID: id, State: record.State}
		if record.State == protocol.Done {
			state.Done = record.Tasks
		}
		c.rememberFinalState(id, state)
		return
	}
	if j := c.jobs[id]; j != nil && j.Blocked {
		c.cancelDependent(j, "") // nothing of it runs that others would have to stop
		return
	}
	c.announcements.note(Cancellation{Job: id, Revision: revision})
	c.announcements.announce(id)
}
