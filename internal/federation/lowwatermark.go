package federation

import "time"

// lowWaterMark is the epoch up to which all that was offered to a site is closed.
func (c *Coordinator) lowWaterMark(to Site) Epoch {
	if open := c.index.openEpochs[to]; len(open) > 0 {
		return open[0] - 1
	}
	return c.records.LastEpochs[to]
}

// handleClosed notes what an origin has closed: that need not be told again. It is
// forgotten a little later, so that one write forgets several.
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
		peer.forgetAt = c.now + c.forgetDelay()
	}
	peer.lowWaterMark = msg.LowWaterMark
}

// forgetDelay is how long decisions are collected that one write forgets.
func (c *Coordinator) forgetDelay() time.Duration { return seconds(c.cfg.RetryS) / 4 }

// advanceLowWaterMark forgets what an origin has closed, as much as one write may. The mark
// is stored even if there is nothing to forget: a late offer of a hand-off that was given up
// must find it.
func (c *Coordinator) advanceLowWaterMark(peer *peerState) {
	stored := c.records.LowWaterMarks[peer.site]
	mark := max(peer.lowWaterMark, stored)
	if c.now < peer.forgetAt || !c.hasForgettable(peer.site, mark) {
		return
	}
	forgettable, mark := c.forgettable(peer, mark)
	if mark = max(mark, stored); len(forgettable) > 0 || mark > stored {
		c.write(lowWaterMarkSubject(peer.site), ForgetIncoming{Origin: peer.site, LowWaterMark: mark, IDs: forgettable})
	}
}

// hasForgettable tells whether the mark rises, or decisions are left below the stored one: one
// of unknown outcome may be found there later, and goes like the others.
func (c *Coordinator) hasForgettable(origin Site, mark Epoch) bool {
	stored := c.records.LowWaterMarks[origin]
	epochs := c.index.incoming[origin]
	return mark > stored || len(epochs) > 0 && epochs[0] <= stored
}

// forgettable lists the decisions up to a mark that one write may forget, and the mark up to
// which it does. A job that was closed without its end was given up by its origin: it is
// cancelled here, and forgotten once it has ended.
func (c *Coordinator) forgettable(peer *peerState, mark Epoch) ([]IncomingID, Epoch) {
	var ids []IncomingID
	for _, epoch := range c.index.incoming[peer.site] {
		if epoch > mark {
			break
		}
		id := IncomingID{peer.site, epoch}
		if incoming := c.records.Incoming[id]; incoming.isRunning() {
			c.emit(CancelLocal{incoming.LocalID})
			peer.forgetAt = c.now + seconds(c.cfg.RetryS)
			return ids, epoch - 1
		}
		if len(ids) == max(c.cfg.MaxForget, 1) {
			return ids, epoch - 1
		}
		ids = append(ids, id)
	}
	return ids, mark
}

// onForgotten notes that decisions up to a mark are dropped.
func (c *Coordinator) onForgotten(w ForgetIncoming) {
	c.records.LowWaterMarks[w.Origin] = max(c.records.LowWaterMarks[w.Origin], w.LowWaterMark)
	for _, id := range w.IDs {
		c.removeIncoming(id)
	}
}
