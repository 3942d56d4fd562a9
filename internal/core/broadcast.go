package core

import (
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// Cancellation says that the state service holds the cancellation of a job. That is final,
// so whoever gets it acts on it at once, whatever its own replica shows; all other messages
// between controllers are advice.
type Cancellation struct {
	Job string `json:"j"`
	// Revision is one at which the cancellation was stored, Asked the time of day at
	// which the user asked for it, in milliseconds.
	Revision uint64 `json:"v"`
	Asked    int64  `json:"t,omitempty"`
}

// broadcast is a Cancellation that is known here, and which controllers have acknowledged it.
type broadcast struct {
	Cancellation
	at time.Duration
	// had holds the controllers that have said that they know. A later run of one reads
	// it in the stored state before it answers a worker.
	had map[string]bool
	// waiting are the questions whose answer waits for another controller to know.
	waiting []question
}

const (
	// cancellationsPerMsg bounds a message, maxBroadcasts the memory. Past it the oldest are
	// dropped, which are left to the watch of those that have not heard of them.
	cancellationsPerMsg = 256
	maxBroadcasts       = 4 * finalsKept
	// broadcastLife is for how many times the time allowed a cancellation is broadcast.
	broadcastLife = 4
)

// cancelKnown notes a cancellation that the state service holds, whoever told of it:
// this node's own write, its watch, an answer of the store, or another controller.
func (c *Core) cancelKnown(k Cancellation) {
	if s, known := c.finals[k.Job]; known && s.State != protocol.Cancelled {
		c.log(Error, "cancellation of a job that has ended otherwise is ignored", "job", k.Job, "state", s.State)
		return
	}
	c.remember(k.Job, protocol.JobState{ID: k.Job, State: protocol.Cancelled})
	if w := c.broadcasts[k.Job]; w != nil {
		w.Revision, w.Asked = min(w.Revision, k.Revision), max(w.Asked, k.Asked)
	} else if c.goneAt[k.Job] == 0 {
		c.startBroadcast(k)
	}
	c.markCancelled(c.jobs[k.Job])
}

func (c *Core) startBroadcast(k Cancellation) {
	w := &broadcast{Cancellation: k, at: c.now.Steady, had: map[string]bool{}}
	c.broadcasts[k.Job] = w
	c.broadcastOrder = append(c.broadcastOrder, k.Job)
	for len(c.broadcastOrder) > maxBroadcasts {
		delete(c.broadcasts, c.broadcastOrder[0])
		c.broadcastOrder = c.broadcastOrder[1:]
	}
	c.timers.stop = 0
}

// stopReported stops the tasks of cancelled jobs that the newest reports of own machines
// show: neither the job, nor a binding, nor the state service is needed for it.
func (c *Core) stopReported() {
	if len(c.broadcasts) == 0 {
		return
	}
	for machine := range ordered(c.own) {
		m := c.machines[machine]
		if m == nil || m.Node != c.cfg.Node {
			continue
		}
		for _, t := range m.Tasks {
			if id, _, ok := job.SplitTask(t.Task); ok && t.State != protocol.Exited && c.broadcasts[id] != nil {
				c.dismiss(m, t)
			}
		}
	}
}

// knows tells whether a controller is known to know of a cancellation: it has said so,
// or its replica is past it.
func (c *Core) knows(node string, w *broadcast) bool {
	p := c.peers[node]
	return node == c.cfg.Node || p != nil && (w.had[node] || p.revision >= w.Revision)
}

// cancellationsIn takes cancellations of another controller, and acknowledges them.
func (c *Core) cancellationsIn(node string, told []Cancellation) {
	if c.peers[node] == nil {
		return
	}
	var known []string
	for _, k := range told {
		if !job.ValidID(k.Job) || k.Revision == 0 {
			c.log(Error, "cancellation is not understood", "node", node, "job", k.Job)
			continue
		}
		c.cancelKnown(k)
		known = append(known, k.Job)
		if w := c.broadcasts[k.Job]; w != nil {
			w.had[node] = true
		}
	}
	if len(known) > 0 {
		c.tell(node, PeerMsg{Known: known})
	}
}

// acknowledgedIn notes of which jobs a controller has said that it knows them to be cancelled.
func (c *Core) acknowledgedIn(node string, jobs []string) {
	for _, id := range jobs {
		if w := c.broadcasts[id]; w != nil {
			w.had[node] = true
		}
	}
}

// announceCancel tells all other controllers of a cancellation that this node has stored or
// is asked about, ahead of their watches, which may be refused or end with the state service at any
// moment. No user is told before another controller knows: else nobody would, if this node
// ended and the state service with it.
func (c *Core) announceCancel(id string) {
	if w := c.broadcasts[id]; w != nil && !c.anotherKnows(w) {
		c.broadcast(PeerMsg{Cancellations: []Cancellation{w.Cancellation}})
		c.untold[id] = w
	}
}

// tellUsers answers what waits for another controller to know of a cancellation, or turns
// it away before its user has gone.
func (c *Core) tellUsers() {
	for id, w := range ordered(c.untold) {
		f := untold
		if c.anotherKnows(w) {
			f = final
			delete(c.untold, id)
		}
		rest := w.waiting[:0]
		for _, q := range w.waiting {
			if f == final || c.now.Steady-q.at > protocol.PollTimeout/2 {
				q.tell(f, protocol.JobState{ID: id, State: protocol.Cancelled})
			} else {
				rest = append(rest, q)
			}
		}
		w.waiting = rest
	}
}

// anotherKnows tells whether a second controller knows of a cancellation, or there is
// none. One of the release before can't say so: it is left to its watch.
func (c *Core) anotherKnows(w *broadcast) bool {
	alone := true
	for node, p := range c.peers {
		_, live := c.nodes[node]
		if c.knows(node, w) || c.hears(node) && p.stamp == "" {
			return true
		}
		alone = alone && !live && !c.hears(node)
	}
	return alone
}

// unacknowledged counts the cancellations that some controller is not known to know.
func (c *Core) unacknowledged() (n int) {
	for _, w := range c.broadcasts {
		for node := range c.peers {
			if !c.knows(node, w) {
				n++
				break
			}
		}
	}
	return n
}

// tendBroadcasts broadcasts cancellations again to all that are not known to know, until they do, over
// every way there is. Stops go out again until reports show the end.
func (c *Core) tendBroadcasts() {
	kept := c.broadcastOrder[:0]
	for _, id := range c.broadcastOrder {
		w := c.broadcasts[id]
		if w == nil {
			continue
		}
		if c.now.Steady-w.at > broadcastLife*c.allowed() {
			delete(c.broadcasts, id)
			continue
		}
		kept = append(kept, id)
	}
	c.broadcastOrder = kept
	for _, p := range c.cfg.Peers {
		c.rebroadcast(p.Node)
	}
	if c.every(&c.timers.stop, c.reportInterval()) {
		c.stopReported()
	}
}

// rebroadcast tells a controller the cancellations that it is not known to know. For a report interval
// they are left to its watch.
func (c *Core) rebroadcast(node string) {
	var out []Cancellation
	for _, id := range c.broadcastOrder {
		if w := c.broadcasts[id]; w != nil && c.now.Steady-w.at >= c.reportInterval() && !c.knows(node, w) {
			if out = append(out, w.Cancellation); len(out) == cancellationsPerMsg {
				break
			}
		}
	}
	if len(out) > 0 {
		c.sendPeer(node, PeerMsg{Cancellations: out})
	}
}
