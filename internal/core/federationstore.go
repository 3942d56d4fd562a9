package core

import (
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// executeWrite executes a write of the coordinator as a transaction. Its conditions hold only if this
// node still leads the federation shard and the records involved are unchanged since the replica last
// saw them.
func (f *federationAdapter) executeWrite(w federation.StoreWrite) {
	txn, ok := f.handoffTxn(w.Write)
	if !ok {
		f.add(federation.WriteCompleted{ID: w.ID, Outcome: federation.OutcomeConflict})
		return
	}
	txn.If = append(txn.If, f.shard.leaderCondition())
	f.pendingWrites[w.ID] = true
	coordinator := f.coordinator
	f.core.compareAndSwap(txn, true, func(r StoreReply) {
		if f.coordinator != coordinator {
			return // the leadership was lost meanwhile, and the watch updates the replica
		}
		delete(f.pendingWrites, w.ID)
		if r.Outcome == OutcomeApplied {
			f.applyToReplica(txn.Then, r.Revision)
			delete(f.unattributedRevisions, r.Revision)
			f.broadcastAccepted(w.Write, r.Revision)
		}
		f.add(federation.WriteCompleted{ID: w.ID, Outcome: toFederationOutcome(r.Outcome)})
	})
}

func toFederationOutcome(outcome Outcome) federation.Outcome {
	switch outcome {
	case OutcomeApplied:
		return federation.OutcomeApplied
	case OutcomeConflict:
		return federation.OutcomeConflict
	default:
		return federation.OutcomeUnknown
	}
}

// applyToReplica applies the changes of a transaction to the replica before the watch reports them.
func (f *federationAdapter) applyToReplica(changes []protocol.Change, revision uint64) {
	for _, change := range changes {
		if change.Delete == "" {
			f.core.onPut(protocol.KeyValue{Key: change.Put, Value: change.Value, Version: revision})
			continue
		}
		f.core.onJobDelete(change.Delete, revision)
		f.core.onDelete(change.Delete, revision)
		f.core.handoffs.recordDeletion(change.Delete, revision)
	}
}

// broadcastAccepted announces a job that was just accepted from another site to this site's other
// controllers, so that the leader of the job's team needn't wait for its watch.
func (f *federationAdapter) broadcastAccepted(w federation.Write, revision uint64) {
	decision, ok := w.(federation.DecideIncoming)
	if !ok || !decision.Incoming.Accepted {
		return
	}
	if j := f.core.jobs[decision.Incoming.LocalID]; j != nil {
		f.core.broadcastAccepted(protocol.KeyValue{Key: jobKey(j.ID), Value: j.Head(), Version: revision})
	}
}
