package core

import (
	"fmt"

	"pepperlever/internal/core/job"
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// handoffTxn returns the transaction for a write of the coordinator. ok is false if the write is not
// possible in the state that the replica shows.
func (f *federationAdapter) handoffTxn(w federation.Write) (txn protocol.Txn, ok bool) {
	switch w := w.(type) {
	case federation.CreateOutgoing:
		return f.createOutgoingTxn(w)
	case federation.MarkAccepted:
		return f.core.handoffs.changeOutgoingTxn(w.JobID, w.Epoch, func(out *federation.Outgoing) { out.Accepted = true })
	case federation.MarkCancelRequested:
		return f.core.handoffs.changeOutgoingTxn(w.JobID, w.Epoch, func(out *federation.Outgoing) { out.CancelRequested = true })
	case federation.RevertOutgoing:
		return f.revertOutgoingTxn(w)
	case federation.FinishOutgoing:
		return f.finishOutgoingTxn(w)
	case federation.DecideIncoming:
		return f.decideIncomingTxn(w)
	case federation.FinishIncoming:
		return f.core.handoffs.finishIncomingTxn(w)
	case federation.DeleteIncoming:
		return f.core.handoffs.deleteIncomingTxn(w), true
	case federation.SetDrained:
		return f.core.handoffs.setDrainedTxn(w), true
	case federation.SetLastEpoch:
		return f.core.handoffs.setLastEpochTxn(w), true
	}
	panic(fmt.Sprintf("core: unknown federation write %T", w))
}

// createOutgoingTxn returns the transaction that hands a job off to another site. The condition that
// the job's head is unchanged ensures that no task is bound. Afterwards the record of the hand-off
// makes any write of a binding fail.
func (f *federationAdapter) createOutgoingTxn(w federation.CreateOutgoing) (protocol.Txn, bool) {
	out := w.Outgoing
	out.HandedOffAt = f.core.now.Wall
	j := f.core.jobs[w.JobID]
	if j == nil || !f.canHandOff(j) || !f.core.members.allSupportFederation() || out.Epoch != f.core.handoffs.LastEpochs[out.To]+1 {
		return protocol.Txn{}, false
	}
	conditions := f.core.handoffs.unchangedConditions(lastEpochKey(out.To), outgoingKey(j.ID))
	return protocol.Txn{
		If: append(conditions,
			protocol.Condition{Key: jobKey(j.ID), Version: j.Version},
			protocol.Condition{Key: cancelKey(j.ID)},
			protocol.Condition{Key: keyState + j.ID}),
		Then: []protocol.Change{
			putJSON(outgoingKey(j.ID), out),
			putJSON(lastEpochKey(out.To), out.Epoch),
		},
	}, true
}

// revertOutgoingTxn returns the transaction that takes a job back from another site, or that ends the
// job if its user has cancelled it.
func (f *federationAdapter) revertOutgoingTxn(w federation.RevertOutgoing) (protocol.Txn, bool) {
	outgoing := f.core.handoffs.isOutgoingWithEpoch(w.JobID, w.Epoch)
	if w.Cancelled {
		return f.endOutgoingTxn(w.JobID, protocol.Cancelled), outgoing
	}
	key := outgoingKey(w.JobID)
	return protocol.Txn{If: f.core.handoffs.unchangedConditions(key), Then: []protocol.Change{{Delete: key}}}, outgoing
}

func (f *federationAdapter) finishOutgoingTxn(w federation.FinishOutgoing) (protocol.Txn, bool) {
	if f.core.jobs[w.JobID] == nil {
		return protocol.Txn{}, false
	}
	return f.endOutgoingTxn(w.JobID, w.FinalState), f.core.handoffs.isOutgoingWithEpoch(w.JobID, w.Epoch)
}

// endOutgoingTxn returns the transaction that stores the final state of an outgoing job. The head
// of a cancelled job is deleted by the leader of its team, as for any other cancelled job.
func (f *federationAdapter) endOutgoingTxn(id, state string) protocol.Txn {
	final := finalStateRecord{State: state}
	var end protocol.Change
	if state == protocol.Cancelled {
		end = putJSON(cancelKey(id), cancelRecord{RequestedAt: f.core.now.Wall})
	} else {
		final.Tasks = f.core.jobs[id].Tasks
		end = protocol.Change{Delete: jobKey(id)}
	}
	return protocol.Txn{
		If:   append(f.core.handoffs.unchangedConditions(outgoingKey(id)), protocol.Condition{Key: keyState + id}),
		Then: []protocol.Change{putJSON(keyState+id, final), end, {Delete: outgoingKey(id)}},
	}
}

// decideIncomingTxn returns the transaction that stores the decision on an incoming hand-off, which
// is final, and the job if it is accepted.
func (f *federationAdapter) decideIncomingTxn(w federation.DecideIncoming) (protocol.Txn, bool) {
	incoming := w.Incoming
	incoming.DecidedAt = f.core.now.Wall
	txn := protocol.Txn{
		If:   f.core.handoffs.unchangedConditions(lowWaterMarkKey(w.ID.Origin), incomingKey(w.ID)),
		Then: []protocol.Change{putJSON(incomingKey(w.ID), incoming)},
	}
	_, decided := f.core.handoffs.Incoming[w.ID]
	if !incoming.Accepted || decided {
		return txn, !decided
	}
	spec, err := job.Parse(w.Ticket.Body, f.core.limits.maxSpecBytes())
	if err != nil {
		return txn, false
	}
	spec.ID, spec.Accepted = incoming.LocalID, f.core.now.Wall
	key := jobKey(spec.ID)
	txn.If = append(txn.If, protocol.Condition{Key: key}, protocol.Condition{Key: keyState + spec.ID})
	txn.Then = append(txn.Then, protocol.Change{Put: key, Value: f.core.chunks.newJob(*spec).Head()})
	return txn, true
}

// isOutgoingWithEpoch reports whether, according to the replica, a job is handed off under the given
// hand-off epoch.
func (r *handoffReplica) isOutgoingWithEpoch(id string, epoch federation.Epoch) bool {
	outgoing, found := r.Outgoing[id]
	return found && outgoing.Epoch == epoch
}

// unchangedConditions returns conditions that hold only if the records with the given keys have the
// same versions in the store as in the replica. A record that the replica lacks must not exist.
func (r *handoffReplica) unchangedConditions(keys ...string) []protocol.Condition {
	var conditions []protocol.Condition
	for _, key := range keys {
		conditions = append(conditions, protocol.Condition{Key: key, Version: r.versions[key]})
	}
	return conditions
}

// changeOutgoingTxn returns the transaction that changes the record of an outgoing hand-off. Its second
// result is false if the job is not handed off under the given hand-off epoch.
func (r *handoffReplica) changeOutgoingTxn(id string, epoch federation.Epoch, change func(*federation.Outgoing)) (protocol.Txn, bool) {
	outgoing := r.Outgoing[id]
	change(&outgoing)
	key := outgoingKey(id)
	txn := protocol.Txn{If: r.unchangedConditions(key), Then: []protocol.Change{putJSON(key, outgoing)}}
	return txn, r.isOutgoingWithEpoch(id, epoch)
}

func (r *handoffReplica) finishIncomingTxn(w federation.FinishIncoming) (protocol.Txn, bool) {
	incoming, found := r.Incoming[w.ID]
	incoming.FinalState = w.FinalState
	key := incomingKey(w.ID)
	return protocol.Txn{If: r.unchangedConditions(key), Then: []protocol.Change{putJSON(key, incoming)}}, found
}

// deleteIncomingTxn returns the transaction that raises the low-water mark of an origin site and
// deletes the records of closed hand-offs. The final states of their jobs are kept, like those of any
// job, so that tasks on workers that reconnect late are stopped.
func (r *handoffReplica) deleteIncomingTxn(w federation.DeleteIncoming) protocol.Txn {
	key := lowWaterMarkKey(w.Origin)
	txn := protocol.Txn{If: r.unchangedConditions(key), Then: []protocol.Change{putJSON(key, w.LowWaterMark)}}
	for _, id := range w.IDs {
		txn.Then = append(txn.Then, protocol.Change{Delete: incomingKey(id)})
	}
	return txn
}

func (r *handoffReplica) setDrainedTxn(w federation.SetDrained) protocol.Txn {
	key := drainedKey(w.Site)
	change := protocol.Change{Delete: key}
	if w.Drained {
		change = putJSON(key, struct{}{})
	}
	return protocol.Txn{If: r.unchangedConditions(key), Then: []protocol.Change{change}}
}

func (r *handoffReplica) setLastEpochTxn(w federation.SetLastEpoch) protocol.Txn {
	key := lastEpochKey(w.Site)
	return protocol.Txn{If: r.unchangedConditions(key), Then: []protocol.Change{putJSON(key, w.Epoch)}}
}
