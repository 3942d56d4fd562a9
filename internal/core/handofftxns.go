package core

import (
	"fmt"

	"pepperlever/internal/core/job"
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// handoffTxn is the transaction of a write of the coordinator. It is not ok if the replica shows
// that it would fail.
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
	case federation.ForgetIncoming:
		return f.core.handoffs.forgetIncomingTxn(w), true
	case federation.SetDrained:
		return f.core.handoffs.setDrainedTxn(w), true
	case federation.SetLastEpoch:
		return f.core.handoffs.setLastEpochTxn(w), true
	}
	panic(fmt.Sprintf("core: unknown write %T of the federation", w))
}

// createOutgoingTxn gives the right to run a job to another site. That the head is unchanged
// shows that nothing is bound; a binding that comes later finds the record.
func (f *federationAdapter) createOutgoingTxn(w federation.CreateOutgoing) (protocol.Txn, bool) {
	out := w.Outgoing
	out.HandedOffAt = f.core.now.Wall
	j := f.core.jobs[w.JobID]
	if j == nil || !f.canHandOff(j) || !f.core.members.allKnowFederation() || out.Epoch != f.core.handoffs.LastEpochs[out.To]+1 {
		return protocol.Txn{}, false
	}
	conditions := f.core.handoffs.unchanged(lastEpochKey(out.To), outgoingKey(j.ID))
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

// revertOutgoingTxn takes the right to run a job back, or ends the job if its user wanted that.
func (f *federationAdapter) revertOutgoingTxn(w federation.RevertOutgoing) (protocol.Txn, bool) {
	outgoing := f.core.handoffs.isOutgoingUnder(w.JobID, w.Epoch)
	if w.Cancelled {
		return f.endOutgoingTxn(w.JobID, protocol.Cancelled), outgoing
	}
	key := outgoingKey(w.JobID)
	return protocol.Txn{If: f.core.handoffs.unchanged(key), Then: []protocol.Change{{Delete: key}}}, outgoing
}

func (f *federationAdapter) finishOutgoingTxn(w federation.FinishOutgoing) (protocol.Txn, bool) {
	if f.core.jobs[w.JobID] == nil {
		return protocol.Txn{}, false
	}
	return f.endOutgoingTxn(w.JobID, w.FinalState), f.core.handoffs.isOutgoingUnder(w.JobID, w.Epoch)
}

// endOutgoingTxn stores the final state of a job at another site. The head of a cancelled one is
// left to its leader, as any cancelled job's.
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
		If:   append(f.core.handoffs.unchanged(outgoingKey(id)), protocol.Condition{Key: keyState + id}),
		Then: []protocol.Change{putJSON(keyState+id, final), end, {Delete: outgoingKey(id)}},
	}
}

// decideIncomingTxn stores a decision for good, with the job if it is accepted.
func (f *federationAdapter) decideIncomingTxn(w federation.DecideIncoming) (protocol.Txn, bool) {
	incoming := w.Incoming
	incoming.DecidedAt = f.core.now.Wall
	txn := protocol.Txn{
		If:   f.core.handoffs.unchanged(lowWaterMarkKey(w.ID.Origin), incomingKey(w.ID)),
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

// isOutgoingUnder tells whether the replica shows a job to be handed off under an epoch.
func (r *handoffReplica) isOutgoingUnder(id string, epoch federation.Epoch) bool {
	outgoing, found := r.Outgoing[id]
	return found && outgoing.Epoch == epoch
}

// unchanged is the condition that records are as the replica has them.
func (r *handoffReplica) unchanged(keys ...string) []protocol.Condition {
	var conditions []protocol.Condition
	for _, key := range keys {
		conditions = append(conditions, protocol.Condition{Key: key, Version: r.versions[key]})
	}
	return conditions
}

// changeOutgoingTxn changes the record of a job that is handed off under an epoch.
func (r *handoffReplica) changeOutgoingTxn(id string, epoch federation.Epoch, change func(*federation.Outgoing)) (protocol.Txn, bool) {
	outgoing := r.Outgoing[id]
	change(&outgoing)
	key := outgoingKey(id)
	txn := protocol.Txn{If: r.unchanged(key), Then: []protocol.Change{putJSON(key, outgoing)}}
	return txn, r.isOutgoingUnder(id, epoch)
}

func (r *handoffReplica) finishIncomingTxn(w federation.FinishIncoming) (protocol.Txn, bool) {
	incoming, found := r.Incoming[w.ID]
	incoming.FinalState = w.FinalState
	key := incomingKey(w.ID)
	return protocol.Txn{If: r.unchanged(key), Then: []protocol.Change{putJSON(key, incoming)}}, found
}

// forgetIncomingTxn drops decisions. The final states of the jobs stay, as any job's: they tell
// workers that come back late what to stop.
func (r *handoffReplica) forgetIncomingTxn(w federation.ForgetIncoming) protocol.Txn {
	key := lowWaterMarkKey(w.Origin)
	txn := protocol.Txn{If: r.unchanged(key), Then: []protocol.Change{putJSON(key, w.LowWaterMark)}}
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
	return protocol.Txn{If: r.unchanged(key), Then: []protocol.Change{change}}
}

func (r *handoffReplica) setLastEpochTxn(w federation.SetLastEpoch) protocol.Txn {
	key := lastEpochKey(w.Site)
	return protocol.Txn{If: r.unchanged(key), Then: []protocol.Change{putJSON(key, w.Epoch)}}
}
