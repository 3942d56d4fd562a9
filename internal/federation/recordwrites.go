package federation

import "fmt"

// subject names what a write is about. There is one write at a time for each.
type subject string

func epochSubject(to Site) subject { return subject("epoch/" + to) }

func outgoingSubject(job string) subject { return subject("outgoing/" + job) }

func incomingSubject(id IncomingID) subject {
	return subject(fmt.Sprintf("incoming/%s/%d", id.Origin, id.Epoch))
}

func lowWaterMarkSubject(origin Site) subject { return subject("low-water-mark/" + origin) }

func lastEpochSubject(to Site) subject { return subject("last-epoch/" + to) }

func drainedSubject(site Site) subject { return subject("drained/" + site) }

// pendingWrite is a write without an answer.
type pendingWrite struct {
	write   Write
	subject subject
	// req is the request of an operator that the write answers, or 0.
	req uint64
}

// pendingWrites holds the writes without an answer, by ID.
type pendingWrites struct {
	byID   map[uint64]pendingWrite
	locked map[subject]bool
	lastID uint64
}

func newPendingWrites() pendingWrites {
	return pendingWrites{byID: map[uint64]pendingWrite{}, locked: map[subject]bool{}}
}

// add numbers a write and locks its subject.
func (p *pendingWrites) add(write pendingWrite) (id uint64) {
	p.lastID++
	p.locked[write.subject] = true
	p.byID[p.lastID] = write
	return p.lastID
}

// take removes a write and unlocks its subject.
func (p *pendingWrites) take(id uint64) (write pendingWrite, pending bool) {
	write, pending = p.byID[id]
	if pending {
		delete(p.byID, id)
		delete(p.locked, write.subject)
	}
	return write, pending
}

// clear drops all writes.
func (p *pendingWrites) clear() {
	clear(p.byID)
	clear(p.locked)
}

// acceptances counts the pending acceptances of an origin's jobs.
func (p *pendingWrites) acceptances(origin Site) int {
	count := 0
	for _, pending := range p.byID {
		decision, ok := pending.write.(DecideIncoming)
		if ok && decision.Incoming.Accepted && decision.ID.Origin == origin {
			count++
		}
	}
	return count
}

// load takes the records, which replace all that was known. Writes without an answer may still
// be applied; their conditions see to it that they or what follows them fail.
func (c *Coordinator) load(records Records) {
	c.records = records.copy()
	c.index = newIndex(&c.records)
	c.loaded = true
	c.reloadAt = 0
	c.writes.clear()
	c.rebuildRetryQueues()
}

// write writes a record, unless a write on the same subject has no answer.
func (c *Coordinator) write(s subject, write Write) { c.writeFor(0, s, write) }

// writeFor writes a record on an operator's request.
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

// handleWriteCompleted takes the outcome of a write. What failed, or may have been applied, is
// found out by reading: only this node writes these records while it is the leader.
func (c *Coordinator) handleWriteCompleted(in WriteCompleted) {
	pending, found := c.writes.take(in.ID)
	if !found {
		return
	}
	switch in.Outcome {
	case Applied:
		c.onApplied(pending)
		return
	case Conflict:
		c.loaded = false
		c.emit(Reload{})
	case Unknown:
		c.loaded = false
		c.reloadAt = c.now + jitter(c.rng, seconds(c.cfg.RetryS))
	}
	if pending.req != 0 {
		c.answerError(pending.req, errNotStored)
	}
}

// onApplied applies a write to the records in memory and goes on with what follows from it.
func (c *Coordinator) onApplied(pending pendingWrite) {
	switch write := pending.write.(type) {
	case CreateOutgoing:
		c.onOutgoingCreated(write)
	case MarkAccepted:
		c.changeOutgoing(write.JobID, func(outgoing *Outgoing) { outgoing.Accepted = true })
	case MarkCancelRequested:
		outgoing := c.changeOutgoing(write.JobID, func(outgoing *Outgoing) { outgoing.CancelRequested = true })
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
	case ForgetIncoming:
		c.onForgotten(write)
	case SetDrained:
		c.onDrained(write, pending.req)
	case SetLastEpoch:
		c.onRenewed(write, pending.req)
	}
}
