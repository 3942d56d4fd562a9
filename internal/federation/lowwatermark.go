package federation

import "time"

// lowWaterMark returns the epoch up to which all hand-offs to a site are closed.
func (c *Coordinator) lowWaterMark(to Site) Epoch {
	if open := c.index.openEpochs[to]; len(open) > 0 {
		return open[0] - 1
	}
	return c.records.LastEpochs[to]
}

// handleClosed processes what a message says about the epochs that its sender has closed. The
// result of the epoch in a KindClosed message is no longer repeated. The decisions up to the
// low-water mark are deleted after deletionDelay, so that one write deletes several.
func (c *Coordinator) handleClosed(msg Message) {
	peer := c.peer(msg.From)
	if msg.Kind == KindClosed && msg.Epoch > 0 {
		peer.retries.remove(retryKey{msg.Epoch, false})
	}
	stored := c.records.LowWaterMarks[msg.From]
	if msg.LowWaterMark <= max(peer.lowWaterMark, stored) {
		return
	}
	if peer.lowWaterMark <= stored {
		peer.deleteAt = c.now + c.deletionDelay()
	}
	peer.lowWaterMark = msg.LowWaterMark
}

// deletionDelay is how long decisions on closed epochs are collected before one write deletes
// them.
func (c *Coordinator) deletionDelay() time.Duration { return seconds(c.cfg.RetryS) / 4 }

// advanceLowWaterMark raises the stored low-water mark and deletes the decisions up to it, as many
// as one write may delete. The mark is stored even if there is nothing to delete, so that a
// delayed offer of a hand-off that was given up finds its epoch closed.
func (c *Coordinator) advanceLowWaterMark(peer *peerState) {
	stored := c.records.LowWaterMarks[peer.site]
	mark := max(peer.lowWaterMark, stored)
	if c.now < peer.deleteAt || !c.hasDeletable(peer.site, mark) {
		return
	}
	deletable, mark := c.deletable(peer, mark)
	if mark = max(mark, stored); len(deletable) > 0 || mark > stored {
		c.write(lowWaterMarkSubject(peer.site), DeleteIncoming{Origin: peer.site, LowWaterMark: mark, IDs: deletable})
	}
}

// hasDeletable reports whether the mark rises above the stored one, or whether there are
// decisions at or below the stored one. Such a decision may turn up after its write had an
// unknown outcome, and is deleted like the others.
func (c *Coordinator) hasDeletable(origin Site, mark Epoch) bool {
	stored := c.records.LowWaterMarks[origin]
	epochs := c.index.incoming[origin]
	return mark > stored || len(epochs) > 0 && epochs[0] <= stored
}

// deletable returns the decisions up to a mark that one write may delete, and the mark that this
// write may set. If the job of a closed epoch is still running, its origin has given up the
// hand-off: deletable cancels the job, and the decision is deleted after the job has ended.
func (c *Coordinator) deletable(peer *peerState, mark Epoch) ([]IncomingID, Epoch) {
	var ids []IncomingID
	for _, epoch := range c.index.incoming[peer.site] {
		if epoch > mark {
			break
		}
		id := IncomingID{peer.site, epoch}
		if incoming := c.records.Incoming[id]; incoming.isRunning() {
			c.emit(CancelLocal{incoming.LocalID})
			peer.deleteAt = c.now + seconds(c.cfg.RetryS)
			return ids, epoch - 1
		}
		if len(ids) == max(c.cfg.MaxDeletionsPerWrite, 1) {
			return ids, epoch - 1
		}
		ids = append(ids, id)
	}
	return ids, mark
}

// onIncomingDeleted applies a stored deletion to the records in memory.
func (c *Coordinator) onIncomingDeleted(w DeleteIncoming) {
	c.records.LowWaterMarks[w.Origin] = max(c.records.LowWaterMarks[w.Origin], w.LowWaterMark)
	for _, id := range w.IDs {
		c.removeIncoming(id)
	}
}
