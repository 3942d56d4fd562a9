package core

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// control is this node's hold on a worker that reports to it.
type control struct {
	term    uint64
	session uint64
	address string
	// sent holds the starts that no report has shown yet.
	sent map[taskAttempt]job.Resources
	// queue waits for the next delivery, orders for the next delivery or answer.
	queue  []protocol.Command
	orders map[taskAttempt]protocol.Command
	busy   bool
	probe  bool
	// unanswered is set from a delivery without an answer to the next report.
	unanswered bool
	// heard is when its last report came, asked when it was asked for one.
	heard, asked time.Duration
	// shared is when a report of it was last passed on.
	shared time.Duration
}

type taskAttempt struct {
	task    string
	attempt uint64
}

func compareAttempts(a, b taskAttempt) int {
	return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
}

// termState is this node's fencing token and who waits for a newer one.
type termState struct {
	term uint64
	// own holds all terms that this run of the process has taken.
	own    map[uint64]bool
	taking bool
	beats  []Beat
	raise  map[string]uint64
}

// takeTerm takes a fresh term from the store's counter, by one conditional
// write, for all workers that wait for one.
func (c *Core) takeTerm() {
	if c.term.taking {
		return
	}
	c.term.taking = true
	c.get(keyTerm, func(r StoreReply) {
		var n counter
		switch r.Outcome {
		case Missing:
		case Applied:
			if err := json.Unmarshal(r.Item.Value, &n); err != nil {
				c.termFailed()
				return
			}
		default:
			c.termFailed()
			return
		}
		c.writeTerm(n.Term+1, r.Item.Version)
	})
}

func (c *Core) writeTerm(term, version uint64) {
	next := counter{Term: term, Node: c.cfg.Node, Inc: c.inc}
	c.txn(protocol.Txn{
		If:   []protocol.Condition{{Key: keyTerm, Version: version}},
		Then: []protocol.Change{put(keyTerm, next)},
	}, true, func(r StoreReply) {
		c.term.taking = false
		switch r.Outcome {
		case Applied:
			c.termTaken(term)
		case Conflict, Unknown:
			// Whatever became of it, this number is not used: take the next.
			c.takeTerm()
		default:
			c.termFailed()
		}
	})
}

// termFailed sends the waiting workers on to other nodes.
func (c *Core) termFailed() {
	c.term.taking = false
	for _, b := range c.term.beats {
		c.unavailable(b.Req)
	}
	c.term.beats = nil
}

func (c *Core) termTaken(term uint64) {
	c.term.term = term
	c.term.own[term] = true
	c.log(Info, "term taken", "term", term)
	beats := c.term.beats
	c.term.beats = nil
	for id, above := range ordered(c.term.raise) {
		if w := c.own[id]; w != nil && w.term <= above {
			c.raiseTo(id, w)
		}
	}
	c.term.raise = nil
	for _, b := range beats {
		c.beat(b)
	}
}

// raiseTo moves a worker to the current term and tells it at once.
func (c *Core) raiseTo(id string, w *control) {
	w.term, w.probe = c.term.term, true
	for k := range w.sent {
		delete(w.sent, k)
	}
	w.queue = nil
	// Homes must not bind under the old term any more.
	if m := c.machines[id]; m != nil {
		c.share(Observation{Node: c.cfg.Node, Term: w.term, Report: m.Report})
	}
	c.deliver(id, w)
}

// fence raises a worker's term above a term under which a start is unresolved.
func (c *Core) fence(f Fence) {
	w := c.own[f.Machine]
	if w == nil || w.term > f.Above {
		return
	}
	if c.term.term > f.Above && c.term.term > w.term {
		c.raiseTo(f.Machine, w)
		return
	}
	if c.term.raise == nil {
		c.term.raise = map[string]uint64{}
	}
	c.term.raise[f.Machine] = max(c.term.raise[f.Machine], f.Above)
	c.takeTerm()
}

// heeds follows whether a machine hears what it is told.
func (c *Core) heeds(m *worker.Machine, o *Observation) {
	before := m.Deaf()
	m.Answered(o.Report.Token, o.Term)
	if m.Deaf() != before {
		c.sched.dirty = true
		if o.Node == c.cfg.Node {
			c.log(Info, "machine does not hear its answers, or does again", "machine", m.Machine, "deaf", !before)
		}
	}
}

// outdated tells whether a report is a copy, or older than one that is known: it may
// come minutes late, to any controller.
func (c *Core) outdated(r *protocol.Report) bool {
	m := c.machines[r.Machine]
	return c.marks[r.Machine].Gone || m != nil && m.Outdated(r)
}

// answerOutdated answers a report that says nothing new. A worker may be waiting for
// it: the reply to a direct call can overtake its report. Nothing follows from it, and
// what waits for the worker is kept for a report that does say something.
func (c *Core) answerOutdated(m Beat) {
	w := c.own[m.Report.Machine]
	if w == nil || w.session != m.Report.Session || m.Report.Token > w.term {
		c.unavailable(m.Req)
		return
	}
	c.answer(m.Req, http.StatusOK, protocol.Orders{Token: w.term})
}

// beat answers a worker's report.
func (c *Core) beat(m Beat) {
	r := &m.Report
	if c.term.term == 0 || !c.loaded || c.freshness.unsure {
		c.unavailable(m.Req)
		return
	}
	if c.outdated(r) {
		c.answerOutdated(m)
		return
	}
	if c.sendsAway(r) {
		c.unavailable(m.Req)
		return
	}
	w := c.own[r.Machine]
	if w == nil || r.Token > w.term {
		if r.Token > c.term.term {
			c.term.beats = append(c.term.beats, m)
			c.takeTerm()
			return
		}
		w = c.adopt(r)
		// Starts that the controller before had not delivered are settled by a
		// report under this term; the next one may be a report interval away.
		if w.probe = r.Token < w.term && c.ledger.On(r.Machine) != nil; w.probe {
			c.sched.deliver[r.Machine] = true
		}
	}
	if r.Session != w.session {
		w.session = r.Session
		w.queue, w.sent = nil, map[taskAttempt]job.Resources{}
	}
	w.address, w.heard = r.Address, c.now.Steady
	c.reported(w, *r, false)
	if to := c.lighter(r); to != "" {
		delete(c.own, r.Machine)
		c.log(Info, "worker sent elsewhere", "machine", r.Machine, "node", to)
		c.answer(m.Req, http.StatusMisdirectedRequest, protocol.Redirect{ReportTo: to})
		return
	}
	c.answer(m.Req, http.StatusOK, protocol.Orders{Token: w.term, Commands: w.takeOrders()})
}

func (c *Core) adopt(r *protocol.Report) *control {
	w := &control{term: c.term.term, session: r.Session, address: r.Address,
		sent: map[taskAttempt]job.Resources{}, orders: map[taskAttempt]protocol.Command{}}
	c.own[r.Machine] = w
	c.log(Info, "worker reports here", "machine", r.Machine, "type", r.Type, "spot", r.Spot, "term", w.term)
	return w
}

// takeOrders hands out the orders that wait; they are repeatable, and given
// again while the reports show that they are still needed.
func (w *control) takeOrders() []protocol.Command {
	out := make([]protocol.Command, 0, len(w.orders))
	for k, cmd := range orderedBy(w.orders, compareAttempts) {
		out = append(out, cmd)
		delete(w.orders, k)
	}
	return out
}

// reported takes a report of a worker that this node controls, or its reply to a direct
// call, and passes it on.
func (c *Core) reported(w *control, r protocol.Report, direct bool) {
	w.unanswered = false
	for _, t := range r.Tasks {
		delete(w.sent, taskAttempt{t.Task, t.Attempt})
	}
	m := c.machines[r.Machine]
	known := m != nil && m.Node == c.cfg.Node && m.Term == w.term && m.Same(&r) && m.Newer(&r) && !m.Missed(r.Token)
	if known && !(direct && c.reportOverdue(m)) && (m.Exits == 0 || c.now.Steady-w.shared < 3*c.reportInterval()) {
		// The others know; this node's beats tell them that the worker lives.
		// Exited tasks are told again, lest the order to forget them was lost, and
		// so is the reply of a worker whose reports don't come, of which beats say
		// nothing.
		m.Seq = r.Seq
		m.Answered(r.Token, w.term)
		c.alive(m, direct)
		return
	}
	w.shared = c.now.Steady
	c.share(Observation{Node: c.cfg.Node, Term: w.term, Report: r, Direct: direct})
}

// share passes an observation to every controller, this one included.
func (c *Core) share(o Observation) {
	c.observed = append(c.observed, o)
	c.observe(o)
}

// start forwards a bound task's start, or refuses it for good. One that was decided
// on before is not decided again: it may come over a slow link long after this node
// has started it by what its own watch showed.
func (c *Core) start(from string, s Start) {
	w := c.own[s.Machine]
	why, before := c.decidedOn(&s)
	if !before {
		why = c.cannotStart(w, s)
		c.decideOn(&s, why != "")
	}
	if why != "" {
		c.log(Info, "start refused", "task", s.Task, "machine", s.Machine, "home", from, "why", why)
		c.tell(from, PeerMsg{Refusal: &Refusal{Machine: s.Machine, Task: s.Task, Attempt: s.Attempt}})
	}
	if before || why != "" {
		return
	}
	w.sent[taskAttempt{s.Task, s.Attempt}] = s.Need
	w.queue = append(w.queue, protocol.Command{Op: protocol.OpStart, Task: s.Task, Attempt: s.Attempt})
	c.sched.deliver[s.Machine] = true
}

// cannotStart tells why a start is refused, or nothing. A start under another
// term or for another session is refused for good: that its binding can only
// ever be started under the term it was made for is what makes late ones safe.
func (c *Core) cannotStart(w *control, s Start) string {
	switch {
	case w == nil:
		return "worker reports elsewhere"
	case w.term != s.Term:
		return "term has passed"
	case w.session != s.Session:
		return "session has passed"
	case w.unanswered:
		return "worker does not answer"
	case c.machines[s.Machine] != nil && c.reportOverdue(c.machines[s.Machine]):
		return "worker does not report"
	case s.Revision > 0 && s.Revision <= c.revision && !c.shows(s.Machine, taskAttempt{s.Task, s.Attempt}):
		return "binding has passed"
	case c.startsCancelled(s.Task):
		return "job is cancelled"
	case !c.fitsNow(s, w):
		return "no room"
	}
	return ""
}

// startsCancelled tells whether a start is of a cancelled job.
func (c *Core) startsCancelled(task string) bool {
	id, _, _ := job.SplitTask(task)
	return c.cancelled(id)
}

// dropCancelled takes back what waits to be started of jobs that have been cancelled
// since: a stop that goes out with it would come before it.
func (c *Core) dropCancelled(w *control) {
	w.queue = slices.DeleteFunc(w.queue, func(cmd protocol.Command) bool {
		drop := c.startsCancelled(cmd.Task)
		if drop {
			delete(w.sent, taskAttempt{cmd.Task, cmd.Attempt})
		}
		return drop
	})
}

// fitsNow checks the room on the machine as its newest report and the starts
// on their way show it.
func (c *Core) fitsNow(s Start, w *control) bool {
	m := c.machines[s.Machine]
	if m == nil {
		return false
	}
	room := capacity(c.types[m.Type])
	for _, need := range w.sent {
		room = room.Plus(need, -1)
	}
	for _, t := range m.Tasks {
		if t.State == protocol.Exited {
			continue
		}
		if id, _, ok := job.SplitTask(t.Task); ok && c.jobs[id] != nil {
			room = room.Plus(c.jobs[id].Need, -1)
		}
	}
	return s.Need.Fits(room)
}

// order queues a stop or forget for a worker. Stops go out at once.
func (c *Core) order(o Order) {
	w := c.own[o.Machine]
	if w == nil {
		return
	}
	w.orders[taskAttempt{o.Command.Task, o.Command.Attempt}] = o.Command
	if o.Command.Op == protocol.OpStop {
		c.sched.deliver[o.Machine] = true
	}
}

// deliver sends what waits for a worker. One delivery is under way at a time.
func (c *Core) deliver(id string, w *control) {
	if w.busy || len(w.queue) == 0 && len(w.orders) == 0 && !w.probe {
		return
	}
	c.dropCancelled(w)
	commands := append(w.takeOrders(), w.queue...)
	w.queue, w.busy, w.probe = nil, true, false
	c.emit(Deliver{Machine: id, Address: w.address,
		Orders: protocol.Orders{Token: w.term, Session: w.session, Commands: commands}})
}

// delivered takes the outcome of a delivery. Without an answer its starts may
// yet be carried out, so the worker's term is raised above theirs; refused
// ones never are.
func (c *Core) delivered(d Delivered) {
	w := c.own[d.Machine]
	if w == nil {
		return
	}
	w.busy = false
	if d.Report != nil && d.Report.Machine == d.Machine {
		if d.Report.Token <= w.term {
			c.reported(w, *d.Report, true)
		}
	}
	if !d.Executed {
		for _, cmd := range d.Orders.Commands {
			delete(w.sent, taskAttempt{cmd.Task, cmd.Attempt})
		}
	}
	if d.Report == nil {
		w.unanswered = true
		c.log(Info, "delivery got no answer", "machine", d.Machine, "commands", len(d.Orders.Commands))
		// Without a start nothing is unresolved: a machine that hangs costs one
		// term, not one for every probe that it does not answer.
		if slices.ContainsFunc(d.Orders.Commands, func(cmd protocol.Command) bool { return cmd.Op == protocol.OpStart }) {
			c.fence(Fence{Machine: d.Machine, Above: d.Orders.Token})
		}
		return
	}
	if !d.Executed {
		c.refuseAll(d)
	}
	c.deliver(d.Machine, w)
}

// refuseAll tells the homes of starts that the worker has turned down whole.
func (c *Core) refuseAll(d Delivered) {
	for _, cmd := range d.Orders.Commands {
		if cmd.Op != protocol.OpStart {
			continue
		}
		id, _, _ := job.SplitTask(cmd.Task)
		if j := c.jobs[id]; j != nil {
			if t := c.teamBy[j.Team]; t != nil {
				c.tell(t.home, PeerMsg{Refusal: &Refusal{Machine: d.Machine, Task: cmd.Task, Attempt: cmd.Attempt}})
			}
		}
	}
}

// tendControls forgets workers that have gone elsewhere or fallen silent, and asks those
// whose reports don't come.
func (c *Core) tendControls() {
	if len(c.term.raise) > 0 {
		c.takeTerm() // it failed before, and the homes that asked may not be heard
	}
	for id, w := range ordered(c.own) {
		m, quiet := c.machines[id], c.now.Steady-w.heard
		elsewhere := m != nil && m.Node != c.cfg.Node
		switch {
		case elsewhere || quiet > c.leaseTime()+2*c.reportInterval() || c.marks[id].Gone:
			delete(c.own, id)
		case m != nil && c.reportOverdue(m) && !w.unanswered && c.now.Steady-w.asked >= c.reportInterval():
			w.asked, w.probe = c.now.Steady, true
			c.deliver(id, w)
		}
	}
}

// reportOverdue tells whether a machine's reports don't come, though it may answer direct calls:
// workers that can't open connections to any controller used to look alive, and to be given
// back all the same with work that might have gone on for a lease. They are asked, no more
// often than they would report, so that the ends of their tasks are known, and get nothing
// new: it would be lost with their lease (docs/incidents/mute.md).
func (c *Core) reportOverdue(m *worker.Machine) bool {
	return c.now.Steady-m.Reported >= 2*c.reportInterval()+c.reportInterval()/2
}

// observe takes a report that any controller has passed on.
func (c *Core) observe(o Observation) {
	r := o.Report
	m := c.machines[r.Machine]
	if c.marks[r.Machine].Gone {
		return // a late copy: the cloud has taken the machine with all that was on it
	}
	if m == nil {
		c.cameUp(&r)
		m = c.addMachine(r.Machine)
	} else if !m.Newer(&r) {
		if m.Session == r.Session && o.Term > m.Term {
			m.Node, m.Term = o.Node, o.Term
			c.sched.dirty = true
		}
		return
	}
	if m.Node != o.Node || m.Term != o.Term || len(m.Tasks) != len(r.Tasks) {
		c.sched.dirty = true
	}
	m.Node, m.Term = o.Node, o.Term
	c.heeds(m, &o)
	c.learn(m, &r)
	c.arrived(r.Machine, o.Node)
	m.Update(r, c.now.Steady)
	c.alive(m, o.Direct)
	c.ledger.Touch(r.Machine)
	c.settleMachine(m)
}
