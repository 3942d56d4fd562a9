package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// lookupShare is the part of the requests to the store that the lookups of all controllers
// may take together.
const lookupShare = 1.0 / 4

// backgroundShare is the part of a node's own lookups that may be for no user.
const backgroundShare = 1.0 / 2

// lookupController finds out what has become of jobs: it queues requests, sends them to the store
// within this node's share of its rate, and resolves them by the replies.
type lookupController struct {
	core  *Core
	queue lookup.Queue
	// deferred are the answers that wait for the replica.
	deferred []deferredStatus
}

func newLookupController(c *Core) *lookupController { return &lookupController{core: c} }

// limits are the bounds on this node's lookups.
func (l *lookupController) limits() lookup.Limits {
	share := lookupShare * l.core.limits.requestRate() / float64(l.core.members.size())
	return lookup.Limits{Rate: max(1, share), Conditions: l.core.limits.maxConditions()}
}

// backgroundRequests is how many lookups may begin in an interval that no user waits for.
func (l *lookupController) backgroundRequests(interval time.Duration) int {
	return max(1, int(backgroundShare*l.limits().Rate*interval.Seconds()))
}

// request finds out what has become of a job: from memory when it is final, or else from a
// read that begins after the request. What could not be answered while the user waits is
// turned away at once.
func (l *lookupController) request(id string, resolve func(lookup.Result)) {
	l.enqueue(lookup.Request{JobID: id, Resolve: resolve})
}

// requestAcceptance finds out whether a job was accepted, and its final state if it has one.
func (l *lookupController) requestAcceptance(id string, resolve func(lookup.Result)) {
	if l.core.jobs[id] != nil && !l.core.hasEnded(id) {
		resolve(activeWithoutProgress(id))
		return
	}
	l.enqueue(lookup.Request{JobID: id, Resolve: resolve, AcceptanceOnly: true})
}

// activeWithoutProgress is the result for callers that ask for acceptance alone.
func activeWithoutProgress(id string) lookup.Result {
	return lookup.Result{Outcome: lookup.Active, State: protocol.JobState{ID: id}}
}

func (l *lookupController) enqueue(request lookup.Request) {
	request.Since = l.core.now.Steady
	if l.core.hasEnded(request.JobID) {
		l.resolveEnded(request)
		return
	}
	if !l.core.storeOK || l.queue.Overloaded(l.core.now.Steady, l.limits()) {
		request.Resolve(lookup.Result{Outcome: lookup.Unavailable})
		return
	}
	l.queue.Add(request, l.core.jobs[request.JobID] != nil)
}

// resolveEnded answers with the known final state of a job. That of a cancelled one waits
// until another controller knows it too.
func (l *lookupController) resolveEnded(request lookup.Request) {
	id := request.JobID
	state, _ := l.core.ended.state(id)
	if l.core.announcements.deferLookup(request) {
		return
	}
	request.Resolve(lookup.Result{Outcome: lookup.Final, State: state})
}

// sendDue sends the lookups that are due, the longest waiting first.
func (l *lookupController) sendDue() {
	limits := l.limits()
	l.queue.Refill(l.core.now.Steady, limits.Rate)
	for batch := l.queue.Next(limits); batch != nil; batch = l.queue.Next(limits) {
		l.sendBatch(batch)
	}
}

// sendAcceptance sends the lookups for submissions at once, whatever the budget is:
// users wait for much less than for the answer to a poll, and such submissions are few.
func (l *lookupController) sendAcceptance() {
	for _, batch := range l.queue.TakeAcceptance(l.limits()) {
		l.sendBatch(batch)
	}
}

// sendBatch asks the store, in one transaction without changes, whether the jobs
// still have no final state. A job that was accepted and has none is active; one
// that has neither that nor an active key was never accepted.
func (l *lookupController) sendBatch(batch lookup.Batch) {
	var txn protocol.Txn
	for _, group := range batch {
		txn.If = append(txn.If, protocol.Condition{Key: keyState + group.JobID})
		if !group.Accepted {
			txn.If = append(txn.If, protocol.Condition{Key: jobKey(group.JobID)})
		}
	}
	l.core.userTxn(txn, func(r StoreReply) {
		for _, group := range batch {
			l.onReply(group, r)
		}
	})
}

// onReply takes what the store says about one job. Whether a failed transaction names
// every key that failed is not relied on: a job of which it names none is looked up again.
func (l *lookupController) onReply(group lookup.Group, r StoreReply) {
	switch {
	case r.Outcome == Applied:
		l.onNoFinalState(group, r.Revision)
	case r.Outcome != Conflict || len(r.Failed) == 0:
		group.ResolveUnavailable()
	case slices.Contains(r.Failed, keyState+group.JobID):
		l.fetchFinalState(group)
	case slices.Contains(r.Failed, jobKey(group.JobID)):
		l.onAccepted(group)
	default:
		l.queue.Requeue(group.Requests, group.Accepted)
	}
}

// onNoFinalState takes that a job has no final state as of a revision.
func (l *lookupController) onNoFinalState(group lookup.Group, revision uint64) {
	switch {
	case !group.Accepted:
		group.ResolveAll(lookup.Result{Outcome: lookup.Absent})
	case l.core.handoffs.lacksProgress(group.JobID):
		group.ResolveUnavailable()
	default:
		l.resolveActive(group, revision)
	}
}

// onAccepted takes that a job was accepted, and looks up its state for those who need it.
func (l *lookupController) onAccepted(group lookup.Group) {
	var unresolved []lookup.Request
	for _, request := range group.Requests {
		if request.AcceptanceOnly {
			request.Resolve(activeWithoutProgress(group.JobID))
			continue
		}
		unresolved = append(unresolved, request)
	}
	l.queue.Requeue(unresolved, true)
}

// fetchFinalState reads the final state of a job that has one.
func (l *lookupController) fetchFinalState(group lookup.Group) {
	l.queue.Spend()
	l.core.userGet(keyState+group.JobID, func(r StoreReply) {
		if err := l.onFinalStateRead(group, r); err != nil {
			l.core.log(Error, "stored job state is malformed", "job", group.JobID, "error", err.Error())
			group.ResolveUnavailable()
		}
	})
}

// onFinalStateRead takes the final state of a job.
func (l *lookupController) onFinalStateRead(group lookup.Group, r StoreReply) error {
	if r.Outcome != Applied {
		group.ResolveUnavailable()
		return nil
	}
	var record finalStateRecord
	if err := json.Unmarshal(r.Item.Value, &record); err != nil {
		return fmt.Errorf("read final state: %w", err)
	}
	l.noteFinalState(group.JobID, record, r.Item.Version)
	for _, request := range group.Requests {
		l.request(request.JobID, request.Resolve)
	}
	return nil
}

// noteFinalState notes a final state that the store holds since a revision.
func (l *lookupController) noteFinalState(id string, record finalStateRecord, revision uint64) {
	if record.State != protocol.Cancelled {
		state := protocol.JobState{ID: id, State: record.State}
		if record.State == protocol.Done {
			state.Done = record.Tasks
		}
		l.core.rememberFinalState(id, state)
		return
	}
	if j := l.core.jobs[id]; j != nil && j.Blocked {
		l.core.dependencies.cancelDependent(j, "") // nothing of it runs that others would have to stop
		return
	}
	l.core.announcements.note(Cancellation{Job: id, Revision: revision})
	l.core.announcements.announce(id)
}
