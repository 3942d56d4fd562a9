package core

import (
	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// siteStore carries out one write of the gateway: a transaction on the condition
// that this node is still its home, and on the records as the mirror has them.
func (c *Core) siteStore(s federation.StoreWrite) {
	g := c.federation
	machine := g.machine
	txn, ok := c.siteTxn(s.Write)
	if !ok {
		g.inputs = append(g.inputs, federation.WriteCompleted{ID: s.ID, Outcome: federation.Conflict})
		return
	}
	txn.If = append(txn.If, g.shard.leaderCondition())
	g.inFlight[s.ID] = true
	c.compareAndSwap(txn, true, func(r StoreReply) {
		if g.machine != machine {
			return // this node has been deposed since; the mirror follows the watch
		}
		delete(g.inFlight, s.ID)
		out := federation.WriteCompleted{ID: s.ID, Outcome: federation.Unknown}
		switch r.Outcome {
		case Applied:
			out.Outcome = federation.Applied
			c.mirror(txn.Then, r.Revision)
			delete(g.foreign, r.Revision)
			c.handOver(s.Write, r.Revision)
		case Conflict:
			out.Outcome = federation.Conflict
		}
		g.inputs = append(g.inputs, out)
	})
}

// mirror applies the changes of a transaction ahead of the watch.
func (c *Core) mirror(changes []protocol.Change, revision uint64) {
	for _, ch := range changes {
		if ch.Delete == "" {
			c.onPut(protocol.KeyValue{Key: ch.Put, Value: ch.Value, Version: revision})
			continue
		}
		c.onJobDelete(ch.Delete, revision)
		c.onDelete(ch.Delete, revision)
		if _, _, err := splitSite(ch.Delete); err == nil {
			c.handoffs.gone[ch.Delete] = revision
		}
	}
}

// handOver tells the home of an accepted job's team at once.
func (c *Core) handOver(w federation.Write, revision uint64) {
	d, ok := w.(federation.DecideIncoming)
	if !ok || !d.Incoming.Accepted {
		return
	}
	if j := c.jobs[d.Incoming.LocalID]; j != nil {
		c.broadcastAccepted(protocol.KeyValue{Key: jobKey(j.ID), Value: j.Head(), Version: revision})
	}
}

// siteTxn is the transaction of a write, or not if the mirror shows that it would
// fail.
func (c *Core) siteTxn(w federation.Write) (protocol.Txn, bool) {
	switch w := w.(type) {
	case federation.CreateOutgoing:
		return c.makeAway(w)
	case federation.MarkAccepted:
		return c.changeAway(w.JobID, w.Epoch, func(a *federation.Outgoing) { a.Accepted = true })
	case federation.MarkCancelRequested:
		return c.changeAway(w.JobID, w.Epoch, func(a *federation.Outgoing) { a.CancelRequested = true })
	case federation.RevertOutgoing:
		return c.takeBack(w)
	case federation.FinishOutgoing:
		return c.finishAway(w)
	case federation.DecideIncoming:
		return c.decide(w)
	case federation.FinishIncoming:
		k, there := c.handoffs.Incoming[w.ID]
		k.FinalState = w.FinalState
		return protocol.Txn{If: c.asMirrored(takenKey(w.ID)), Then: []protocol.Change{putJSON(takenKey(w.ID), k)}}, there
	case federation.ForgetIncoming:
		return c.forget(w)
	case federation.SetDrained:
		change := protocol.Change{Delete: drainedKey(w.Site)}
		if w.Drained {
			change = putJSON(drainedKey(w.Site), struct{}{})
		}
		return protocol.Txn{If: c.asMirrored(drainedKey(w.Site)), Then: []protocol.Change{change}}, true
	case federation.SetLastEpoch:
		return protocol.Txn{If: c.asMirrored(lastKey(w.Site)), Then: []protocol.Change{putJSON(lastKey(w.Site), w.Epoch)}}, true
	}
	panic("core: unknown write of the gateway")
}

// asMirrored is the condition that records are as the mirror has them.
func (c *Core) asMirrored(keys ...string) []protocol.Condition {
	var out []protocol.Condition
	for _, k := range keys {
		out = append(out, protocol.Condition{Key: k, Version: c.handoffs.versions[k]})
	}
	return out
}

// makeAway gives the right away. That the head is unchanged shows that nothing is
// bound; a binding that comes later finds the record.
func (c *Core) makeAway(w federation.CreateOutgoing) (protocol.Txn, bool) {
	j := c.jobs[w.JobID]
	if j == nil || !c.untouched(j) || !c.members.allKnowFederation() || w.Outgoing.Epoch != c.handoffs.LastEpochs[w.Outgoing.To]+1 {
		return protocol.Txn{}, false
	}
	a := w.Outgoing
	a.HandedOffAt = c.now.Wall
	return protocol.Txn{
		If: append(c.asMirrored(lastKey(a.To), awayKey(j.ID)), protocol.Condition{Key: jobKey(j.ID), Version: j.Version},
			protocol.Condition{Key: cancelKey(j.ID)}, protocol.Condition{Key: keyState + j.ID}),
		Then: []protocol.Change{putJSON(awayKey(j.ID), a), putJSON(lastKey(a.To), a.Epoch)},
	}, true
}

// awayUnder tells whether the mirror shows a job to be away under an epoch.
func (c *Core) awayUnder(id string, e federation.Epoch) bool {
	a, there := c.handoffs.Outgoing[id]
	return there && a.Epoch == e
}

// changeAway changes the record of a job that is away under an epoch.
func (c *Core) changeAway(id string, e federation.Epoch, change func(*federation.Outgoing)) (protocol.Txn, bool) {
	a := c.handoffs.Outgoing[id]
	change(&a)
	return protocol.Txn{If: c.asMirrored(awayKey(id)), Then: []protocol.Change{putJSON(awayKey(id), a)}}, c.awayUnder(id, e)
}

// takeBack brings the right home, or ends the job if its user wanted that.
func (c *Core) takeBack(w federation.RevertOutgoing) (protocol.Txn, bool) {
	held := c.awayUnder(w.JobID, w.Epoch)
	if w.Cancelled {
		return c.endAway(w.JobID, protocol.Cancelled), held
	}
	return protocol.Txn{If: c.asMirrored(awayKey(w.JobID)), Then: []protocol.Change{{Delete: awayKey(w.JobID)}}}, held
}

func (c *Core) finishAway(w federation.FinishOutgoing) (protocol.Txn, bool) {
	if c.jobs[w.JobID] == nil {
		return protocol.Txn{}, false
	}
	return c.endAway(w.JobID, w.FinalState), c.awayUnder(w.JobID, w.Epoch)
}

// endAway stores the final state of a job that is away. A cancelled one's head is
// left to its home, as any cancelled job's.
func (c *Core) endAway(id, state string) protocol.Txn {
	txn := protocol.Txn{If: append(c.asMirrored(awayKey(id)), protocol.Condition{Key: keyState + id})}
	if state == protocol.Cancelled {
		txn.Then = []protocol.Change{putJSON(keyState+id, finalStateRecord{State: state}), putJSON(cancelKey(id), cancelRecord{RequestedAt: c.now.Wall})}
	} else {
		txn.Then = []protocol.Change{putJSON(keyState+id, finalStateRecord{State: state, Tasks: c.jobs[id].Tasks}), {Delete: jobKey(id)}}
	}
	txn.Then = append(txn.Then, protocol.Change{Delete: awayKey(id)})
	return txn
}

// decide stores a decision for good, with the job if it is accepted.
func (c *Core) decide(w federation.DecideIncoming) (protocol.Txn, bool) {
	k := w.Incoming
	k.DecidedAt = c.now.Wall
	txn := protocol.Txn{If: c.asMirrored(floorKey(w.ID.Origin), takenKey(w.ID)), Then: []protocol.Change{putJSON(takenKey(w.ID), k)}}
	_, decided := c.handoffs.Incoming[w.ID]
	if !k.Accepted {
		return txn, !decided
	}
	s, err := job.Parse(w.Ticket.Body, c.limits.maxSpecBytes())
	if err != nil || decided {
		return txn, false
	}
	s.ID, s.Accepted = k.LocalID, c.now.Wall
	txn.If = append(txn.If, protocol.Condition{Key: jobKey(s.ID)}, protocol.Condition{Key: keyState + s.ID})
	txn.Then = append(txn.Then, protocol.Change{Put: jobKey(s.ID), Value: json.RawMessage(c.newJob(*s).Head())})
	return txn, true
}

// forget drops decisions. The final states of the jobs stay, as any job's: workers
// that come back late are told by them what to stop.
func (c *Core) forget(w federation.ForgetIncoming) (protocol.Txn, bool) {
	txn := protocol.Txn{If: c.asMirrored(floorKey(w.Origin)), Then: []protocol.Change{putJSON(floorKey(w.Origin), w.LowWaterMark)}}
	for _, h := range w.IDs {
		txn.Then = append(txn.Then, protocol.Change{Delete: takenKey(h)})
	}
	return txn, true
}
