package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// lookupShare is the fraction of the store's request rate that the lookups of all controllers may
// use together.
const lookupShare = 1.0 / 4

// backgroundLookupShare is the fraction of a controller's lookup rate that lookups without a waiting
// user may use.
const backgroundLookupShare = 1.0 / 2

// lookupController looks up the states of jobs: it queues requests, sends them to the store within
// this node's share of the request rate, and resolves them when the replies arrive.
type lookupController struct {
	core  *Core
	queue lookup.Queue
	// deferred holds the responses that wait until the replica has caught up.
	deferred []deferredStatus
}

func newLookupController(c *Core) *lookupController { return &lookupController{core: c} }

// limits returns the bounds on this node's lookups.
func (l *lookupController) limits() lookup.Limits {
	share := lookupShare * l.core.limits.requestRate() / float64(l.core.members.size())
	return lookup.Limits{Rate: max(1, share), Conditions: l.core.limits.maxConditions()}
}

// backgroundRequests returns how many lookups that no user waits for may begin in an interval.
func (l *lookupController) backgroundRequests(interval time.Duration) int {
	return max(1, int(backgroundLookupShare*l.limits().Rate*interval.Seconds()))
}

// request looks up the state of a job: in memory if it is final, or else by a read that begins
// after the request. The request fails immediately if the store is unavailable, or if the queue is
// so long that the user would time out first.
func (l *lookupController) request(id string, resolve func(lookup.Result)) {
	l.enqueue(lookup.Request{JobID: id, Resolve: resolve})
}

// requestAcceptance looks up whether a job was accepted, and its final state if it has one.
func (l *lookupController) requestAcceptance(id string, resolve func(lookup.Result)) {
	if l.core.jobs[id] != nil && !l.core.hasEnded(id) {
		resolve(activeWithoutProgress(id))
		return
	}
	l.enqueue(lookup.Request{JobID: id, Resolve: resolve, AcceptanceOnly: true})
}

// activeWithoutProgress returns the result for callers that only ask whether a job was accepted.
func activeWithoutProgress(id string) lookup.Result {
	return lookup.Result{Outcome: lookup.Active, State: protocol.JobState{ID: id}}
}

// enqueue resolves a request immediately if the job has ended or the lookup cannot succeed, and
// queues it otherwise.
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

// resolveEnded resolves a request with the known final state of a job. If the job is cancelled, the
// result may be deferred until another controller knows of the cancellation.
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

// sendAcceptanceLookups sends the lookups for submissions immediately, regardless of the budget:
// users wait much longer for the answer to a poll than for these, and such submissions are few.
func (l *lookupController) sendAcceptanceLookups() {
	for _, batch := range l.queue.TakeAcceptance(l.limits()) {
		l.sendBatch(batch)
	}
}

// sendBatch asks the store, in one transaction without changes, whether the jobs still have no
// final state. An accepted job without one is active. A job that has neither a final state nor an
// active key was never accepted.
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

// onReply handles the store's reply for one job. If the transaction failed, the reply may not list
// every key whose condition failed, so a job is looked up again if none of its keys is listed.
func (l *lookupController) onReply(group lookup.Group, r StoreReply) {
	switch {
	case r.Outcome == OutcomeApplied:
		l.onNoFinalState(group, r.Revision)
	case r.Outcome != OutcomeConflict || len(r.Failed) == 0:
		group.ResolveUnavailable()
	case slices.Contains(r.Failed, keyState+group.JobID):
		l.fetchFinalState(group, lookup.Group.ResolveUnavailable)
	case slices.Contains(r.Failed, jobKey(group.JobID)):
		l.onAccepted(group)
	default:
		l.queue.Requeue(group.Requests, group.Accepted)
	}
}

// onNoFinalState resolves the lookups of a job that has no final state as of a revision.
func (l *lookupController) onNoFinalState(group lookup.Group, revision uint64) {
	if !group.Accepted {
		group.ResolveAll(lookup.Result{Outcome: lookup.Absent})
		return
	}
	l.resolveActive(group, revision)
}

// onAccepted handles the lookups of a job that was found to be accepted. It resolves those that only
// ask for that, and queues the others again to look up the job's state.
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

// fetchFinalState reads the final state of a job and resolves the lookups with it. If the job has none,
// ifMissing resolves them.
func (l *lookupController) fetchFinalState(group lookup.Group, ifMissing func(lookup.Group)) {
	l.queue.ChargeBudget()
	l.core.userGet(keyState+group.JobID, func(r StoreReply) {
		if r.Outcome == OutcomeMissing {
			ifMissing(group)
			return
		}
		if err := l.onFinalStateRead(group, r); err != nil {
			l.core.log(Error, "stored job state is malformed", "job", group.JobID, "error", err.Error())
			group.ResolveUnavailable()
		}
	})
}

// onFinalStateRead handles the reply to a read of a job's final state.
func (l *lookupController) onFinalStateRead(group lookup.Group, r StoreReply) error {
	if r.Outcome != OutcomeApplied {
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

// noteFinalState applies a final state that the store has held since the given revision.
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
		l.core.dependencies.cancelDependent(j, "") // none of its tasks ever started, so there is nothing to announce
		return
	}
	l.core.announcements.apply(Cancellation{Job: id, Revision: revision})
	l.core.announcements.announce(id)
}
