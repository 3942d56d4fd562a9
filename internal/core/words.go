package core

import (
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// Word says that the state service holds the cancellation of a job. That is final, so
// whoever gets a word acts on it at once, whatever its own replica shows; all other
// messages between controllers are advice.
type Word struct {
	Job string `json:"j"`
	// Revision is one at which the cancellation was stored, Asked the time of day at
	// which the user asked for it, in milliseconds.
	Revision uint64 `json:"v"`
	Asked    int64  `json:"t,omitempty"`
}

// word is a Word that is known here, and how far it has spread.
type word struct {
	Word
	at time.Duration
	// had holds the controllers that have said that they know. A later run of one reads
	// it in the stored state before it answers a worker.
	had map[string]bool
	// waiting are the questions whose answer waits for another controller to know.
	waiting []question
}

const (
	// wordsPerMsg bounds a message, maxWords the memory. Past it the oldest are
	// dropped, which are left to the watch of those that have not heard of them.
	wordsPerMsg = 256
	maxWords    = 4 * finalsKept
	// wordLife is for how many times the time allowed a word is passed on.
	wordLife = 4
)

// cancelKnown notes a cancellation that the state service holds, whoever told of it:
// this node's own write, its watch, an answer of the store, or another controller.
func (c *Core) cancelKnown(k Word) {
	if s, known := c.finals[k.Job]; known && s.State != protocol.Cancelled {
		c.log(Error, "cancellation of a job that has ended otherwise is ignored", "job", k.Job, "state", s.State)
		return
	}
	c.remember(k.Job, protocol.JobState{ID: k.Job, State: protocol.Cancelled})
	if w := c.words[k.Job]; w != nil {
		w.Revision, w.Asked = min(w.Revision, k.Revision), max(w.Asked, k.Asked)
	} else if c.goneAt[k.Job] == 0 {
		c.addWord(k)
	}
	c.markCancelled(c.jobs[k.Job])
}

func (c *Core) addWord(k Word) {
	w := &word{Word: k, at: c.now.Steady, had: map[string]bool{}}
	c.words[k.Job] = w
	c.wordOrder = append(c.wordOrder, k.Job)
	for len(c.wordOrder) > maxWords {
		delete(c.words, c.wordOrder[0])
		c.wordOrder = c.wordOrder[1:]
	}
	c.timers.stop = 0
}

// stopReported stops the tasks of cancelled jobs that the newest reports of own machines
// show: neither the job, nor a binding, nor the state service is needed for it.
func (c *Core) stopReported() {
	if len(c.words) == 0 {
		return
	}
	for machine := range ordered(c.own) {
		m := c.machines[machine]
		if m == nil || m.Node != c.cfg.Node {
			continue
		}
		for _, t := range m.Tasks {
			if id, _, ok := job.SplitTask(t.Task); ok && t.State != protocol.Exited && c.words[id] != nil {
				c.dismiss(m, t)
			}
		}
	}
}

// knows tells whether a controller is known to know of a cancellation: it has said so,
// or its replica is past it.
func (c *Core) knows(node string, w *word) bool {
	p := c.peers[node]
	return node == c.cfg.Node || p != nil && (w.had[node] || p.revision >= w.Revision)
}

// wordsIn takes words of another controller, and says so.
func (c *Core) wordsIn(node string, words []Word) {
	if c.peers[node] == nil {
		return
	}
	var known []string
	for _, word := range words {
		if !job.ValidID(word.Job) || word.Revision == 0 {
			c.log(Error, "word of a cancellation is not understood", "node", node, "job", word.Job)
			continue
		}
		c.cancelKnown(word)
		known = append(known, word.Job)
		if w := c.words[word.Job]; w != nil {
			w.had[node] = true
		}
	}
	if len(known) > 0 {
		c.tell(node, PeerMsg{Known: known})
	}
}

// knownIn notes of which jobs a controller has said that it knows them to be cancelled.
func (c *Core) knownIn(node string, jobs []string) {
	for _, id := range jobs {
		if w := c.words[id]; w != nil {
			w.had[node] = true
		}
	}
}

// announceCancel tells all other controllers of a cancellation that this node has stored or
// is asked about, ahead of their watches, which may be refused or end with the state service at any
// moment. No user is told before another controller knows: else nobody would, if this node
// ended and the state service with it.
func (c *Core) announceCancel(id string) {
	if w := c.words[id]; w != nil && !c.anotherKnows(w) {
		c.broadcast(PeerMsg{Words: []Word{w.Word}})
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
func (c *Core) anotherKnows(w *word) bool {
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

// owedWords counts the words that some controller is not known to know.
func (c *Core) owedWords() (n int) {
	for _, w := range c.words {
		for node := range c.peers {
			if !c.knows(node, w) {
				n++
				break
			}
		}
	}
	return n
}

// tendWords passes words on to all that are not known to know, until they do, over
// every way there is. Stops go out again until reports show the end.
func (c *Core) tendWords() {
	kept := c.wordOrder[:0]
	for _, id := range c.wordOrder {
		w := c.words[id]
		if w == nil {
			continue
		}
		if c.now.Steady-w.at > wordLife*c.allowed() {
			delete(c.words, id)
			continue
		}
		kept = append(kept, id)
	}
	c.wordOrder = kept
	for _, p := range c.cfg.Peers {
		c.passOn(p.Node)
	}
	if c.every(&c.timers.stop, c.reportInterval()) {
		c.stopReported()
	}
}

// passOn tells a controller the words that it is not known to know. For a report interval
// they are left to its watch.
func (c *Core) passOn(node string) {
	var out []Word
	for _, id := range c.wordOrder {
		if w := c.words[id]; w != nil && c.now.Steady-w.at >= c.reportInterval() && !c.knows(node, w) {
			if out = append(out, w.Word); len(out) == wordsPerMsg {
				break
			}
		}
	}
	if len(out) > 0 {
		c.sendPeer(node, PeerMsg{Words: out})
	}
}
