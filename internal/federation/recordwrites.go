package federation

import "fmt"

// subject identifies what a write concerns. There is at most one pending write per subject.
type subject string

func epochSubject(to Site) subject { return subject("epoch/" + to) }

func outgoingSubject(job string) subject { return subject("outgoing/" + job) }

func incomingSubject(id IncomingID) subject {
	return subject(fmt.Sprintf("incoming/%s/%d", id.Origin, id.Epoch))
}

func lowWaterMarkSubject(origin Site) subject { return subject("low-water-mark/" + origin) }

func lastEpochSubject(to Site) subject { return subject("last-epoch/" + to) }

func drainedSubject(site Site) subject { return subject("drained/" + site) }

// pendingWrite is a write whose outcome has not been reported yet.
type pendingWrite struct {
	write   Write
	subject subject
	// req is the operator request that the write answers, or 0.
	req uint64
}

// pendingWrites holds the pending writes by ID.
type pendingWrites struct {
	byID   map[uint64]pendingWrite
	locked map[subject]bool
	lastID uint64
}

func newPendingWrites() pendingWrites {
	return pendingWrites{byID: map[uint64]pendingWrite{}, locked: map[subject]bool{}}
}

// add assigns an ID to a write and locks its subject.
func (p *pendingWrites) add(write pendingWrite) (id uint64) {
	p.lastID++
	p.locked[write.subject] = true
	p.byID[p.lastID] = write
	return p.lastID
}

// complete removes a write and unlocks its subject.
func (p *pendingWrites) complete(id uint64) (write pendingWrite, pending bool) {
	write, pending = p.byID[id]
	if pending {
		delete(p.byID, id)
		delete(p.locked, write.subject)
	}
	return write, pending
}

// clear removes all writes.
func (p *pendingWrites) clear() {
	clear(p.byID)
	clear(p.locked)
}

// countAcceptances returns the number of pending acceptances of jobs from an origin.
func (p *pendingWrites) countAcceptances(origin Site) int {
	count := 0
	for _, pending := range p.byID {
		decision, ok := pending.write.(DecideIncoming)
		if ok && decision.Incoming.Accepted && decision.ID.Origin == origin {
			count++
		}
	}
	return count
}

// load replaces all records with those read from the store. Pending writes are dropped, although
// the store may still apply them. Their conditions ensure that of a dropped write and a later one
// that contradicts it, only one can be applied.
func (c *Coordinator) load(records Records) {
	c.records = records.copy()
	c.index = newIndex(&c.records)
	c.loaded = true
	c.reloadAt = 0
	c.writes.clear()
	c.rebuildRetryQueues()
}

// write issues a write unless another write on the same subject is pending.
func (c *Coordinator) write(s subject, write Write) { c.writeFor(0, s, write) }

// writeFor issues a write on behalf of an operator's request, or of none if req is 0. If another
// write on the same subject is pending, it issues nothing and answers the request with
// errWritePending.
func (c *Coordinator) writeFor(req uint64, s subject, write Write) {
	if c.writes.locked[s] {
		if req != 0 {
			c.answerError(req, errWritePending)
		}
		return
	}
	id := c.writes.add(pendingWrite{write, s, req})
	c.emit(StoreWrite{ID: id, Write: write})
}

// handleWriteCompleted processes the outcome of a write. After a conflict or an unknown outcome
// the records are read again. This shows what is stored, because only the leader of the
// federation shard writes these records.
func (c *Coordinator) handleWriteCompleted(in WriteCompleted) {
	pending, found := c.writes.complete(in.ID)
	if !found {
		return
	}
	switch in.Outcome {
	case OutcomeApplied:
		c.onApplied(pending)
		return
	case OutcomeConflict:
		c.loaded = false
		c.emit(Reload{})
	case OutcomeUnknown:
		c.loaded = false
		c.reloadAt = c.now + jitter(c.rng, seconds(c.cfg.RetryS))
	}
	if pending.req != 0 {
		c.answerError(pending.req, errNotStored)
	}
}

// onApplied applies a completed write to the records in memory and takes the next steps.
func (c *Coordinator) onApplied(pending pendingWrite) {
	switch write := pending.write.(type) {
	case CreateOutgoing:
		c.onOutgoingCreated(write)
	case MarkAccepted:
		c.updateOutgoing(write.JobID, func(outgoing *Outgoing) { outgoing.Accepted = true })
	case MarkCancelRequested:
		outgoing := c.updateOutgoing(write.JobID, func(outgoing *Outgoing) { outgoing.CancelRequested = true })
		c.scheduleNow(outgoing.To, retryKey{outgoing.Epoch, true})
	case RevertOutgoing:
		c.onReverted(write, pending.req)
	case FinishOutgoing:
		c.onFinished(write)
	case DecideIncoming:
		c.setIncoming(write.ID, write.Incoming)
		c.sendDecision(write.ID)
	case FinishIncoming:
		incoming := c.records.Incoming[write.ID]
		incoming.FinalState = write.FinalState
		c.setIncoming(write.ID, incoming)
		c.scheduleNow(write.ID.Origin, retryKey{write.ID.Epoch, false})
	case DeleteIncoming:
		c.onIncomingDeleted(write)
	case SetDrained:
		c.onDrained(write, pending.req)
	case SetLastEpoch:
		c.onHandOffsResumed(write, pending.req)
	}
}
