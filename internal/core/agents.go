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

// agentSession is this node's hold on a worker that reports to it.
type agentSession struct {
	token   uint64
	epoch   uint64
	address string
	// pendingStarts holds the starts that no report has shown yet.
	pendingStarts map[taskAttempt]job.Resources
	// queuedStarts waits for the next delivery, orders for the next delivery or answer.
	queuedStarts   []protocol.Command
	queuedCommands map[taskAttempt]protocol.Command
	delivering     bool
	probeDue       bool
	// unanswered is set from a delivery without an answer to the next report.
	unanswered bool
	// lastReportAt is when its last report came, asked when it was asked for one.
	lastReportAt, lastProbeAt time.Duration
	// lastSharedAt is when a report of it was last passed on.
	lastSharedAt time.Duration
}

type taskAttempt struct {
	task    string
	attempt uint64
}

func compareAttempts(a, b taskAttempt) int {
	return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
}

// tokenState is this node's fencing token and who waits for a newer one.
type tokenState struct {
	current uint64
	// acquired holds all terms that this run of the process has taken.
	acquired          map[uint64]bool
	acquiring         bool
	waitingHeartbeats []Heartbeat
	pendingRaises     map[string]uint64
}

// acquireToken takes a fresh term from the store's counter, by one conditional
// write, for all workers that wait for one.
func (c *Core) acquireToken() {
	if c.tokens.acquiring {
		return
	}
	c.tokens.acquiring = true
	c.get(keyToken, func(r StoreReply) {
		var n tokenCounter
		switch r.Outcome {
		case Missing:
		case Applied:
			if err := json.Unmarshal(r.Item.Value, &n); err != nil {
				c.tokenUnavailable()
				return
			}
		default:
			c.tokenUnavailable()
			return
		}
		c.writeToken(n.Token+1, r.Item.Version)
	})
}

func (c *Core) writeToken(term, version uint64) {
	next := tokenCounter{Token: term, Node: c.cfg.Node, Incarnation: c.members.incarnation}
	c.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{{Key: keyToken, Version: version}},
		Then: []protocol.Change{putJSON(keyToken, next)},
	}, true, func(r StoreReply) {
		c.tokens.acquiring = false
		switch r.Outcome {
		case Applied:
			c.tokenAcquired(term)
		case Conflict, Unknown:
			// Whatever became of it, this number is not used: take the next.
			c.acquireToken()
		default:
			c.tokenUnavailable()
		}
	})
}

// tokenUnavailable sends the waiting workers on to other nodes.
func (c *Core) tokenUnavailable() {
	c.tokens.acquiring = false
	for _, b := range c.tokens.waitingHeartbeats {
		c.replyUnavailable(b.Req)
	}
	c.tokens.waitingHeartbeats = nil
}

func (c *Core) tokenAcquired(term uint64) {
	c.tokens.current = term
	c.tokens.acquired[term] = true
	c.log(Info, "term taken", "term", term)
	beats := c.tokens.waitingHeartbeats
	c.tokens.waitingHeartbeats = nil
	for id, above := range ordered(c.tokens.pendingRaises) {
		if w := c.agents[id]; w != nil && w.token <= above {
			c.raiseToken(id, w)
		}
	}
	c.tokens.pendingRaises = nil
	for _, b := range beats {
		c.handleHeartbeat(b)
	}
}

// raiseToken moves a worker to the current term and tells it at once.
func (c *Core) raiseToken(id string, w *agentSession) {
	w.token, w.probeDue = c.tokens.current, true
	for k := range w.pendingStarts {
		delete(w.pendingStarts, k)
	}
	w.queuedStarts = nil
	// Homes must not bind under the old term any more.
	if m := c.machines.Get(id); m != nil {
		c.shareObservation(Observation{Node: c.cfg.Node, Token: w.token, Report: m.Report})
	}
	c.deliverTo(id, w)
}

// fence raises a worker's term above a term under which a start is unresolved.
func (c *Core) fence(f Fence) {
	w := c.agents[f.Machine]
	if w == nil || w.token > f.Above {
		return
	}
	if c.tokens.current > f.Above && c.tokens.current > w.token {
		c.raiseToken(f.Machine, w)
		return
	}
	if c.tokens.pendingRaises == nil {
		c.tokens.pendingRaises = map[string]uint64{}
	}
	c.tokens.pendingRaises[f.Machine] = max(c.tokens.pendingRaises[f.Machine], f.Above)
	c.acquireToken()
}

// trackAcknowledgement follows whether a machine hears what it is told.
func (c *Core) trackAcknowledgement(m *worker.Machine, o *Observation) {
	before := m.IsUnreachable()
	m.RecordAnswer(o.Report.Token, o.Token)
	if m.IsUnreachable() != before {
		c.requestRound()
		if o.Node == c.cfg.Node {
			c.log(Info, "machine does not hear its answers, or does again", "machine", m.Machine, "deaf", !before)
		}
	}
}

// isStaleReport tells whether a report is a copy, or older than one that is known: it may
// come minutes late, to any controller.
func (c *Core) isStaleReport(r *protocol.Report) bool {
	m := c.machines.Get(r.Machine)
	return c.cordons[r.Machine].Terminated || m != nil && m.IsOutdated(r)
}

// answerStaleReport answers a report that says nothing new. A worker may be waiting for
// it: the reply to a direct call can overtake its report. Nothing follows from it, and
// what waits for the worker is kept for a report that does say something.
func (c *Core) answerStaleReport(m Heartbeat) {
	w := c.agents[m.Report.Machine]
	if w == nil || w.epoch != m.Report.Session || m.Report.Token > w.token {
		c.replyUnavailable(m.Req)
		return
	}
	c.reply(m.Req, http.StatusOK, protocol.Orders{Token: w.token})
}

// handleHeartbeat answers a worker's report.
func (c *Core) handleHeartbeat(m Heartbeat) {
	r := &m.Report
	if c.tokens.current == 0 || !c.loaded || c.freshness.stale {
		c.replyUnavailable(m.Req)
		return
	}
	if c.isStaleReport(r) {
		c.answerStaleReport(m)
		return
	}
	if c.redirects(r) {
		c.replyUnavailable(m.Req)
		return
	}
	w := c.agents[r.Machine]
	if w == nil || r.Token > w.token {
		if r.Token > c.tokens.current {
			c.tokens.waitingHeartbeats = append(c.tokens.waitingHeartbeats, m)
			c.acquireToken()
			return
		}
		w = c.admit(r)
		// Starts that the controller before had not delivered are settled by a
		// report under this term; the next one may be a report interval away.
		if w.probeDue = r.Token < w.token && c.machines.Load(r.Machine) != nil; w.probeDue {
			c.scheduler.deliver[r.Machine] = true
		}
	}
	if r.Session != w.epoch {
		w.epoch = r.Session
		w.queuedStarts, w.pendingStarts = nil, map[taskAttempt]job.Resources{}
	}
	w.address, w.lastReportAt = r.Address, c.now.Steady
	c.handleReport(w, *r, false)
	if to := c.lessLoadedPeer(r); to != "" {
		delete(c.agents, r.Machine)
		c.log(Info, "worker sent elsewhere", "machine", r.Machine, "node", to)
		c.reply(m.Req, http.StatusMisdirectedRequest, protocol.Redirect{ReportTo: to})
		return
	}
	c.reply(m.Req, http.StatusOK, protocol.Orders{Token: w.token, Commands: w.takeCommands()})
}

func (c *Core) admit(r *protocol.Report) *agentSession {
	w := &agentSession{token: c.tokens.current, epoch: r.Session, address: r.Address,
		pendingStarts: map[taskAttempt]job.Resources{}, queuedCommands: map[taskAttempt]protocol.Command{}}
	c.agents[r.Machine] = w
	c.log(Info, "worker reports here", "machine", r.Machine, "type", r.Type, "spot", r.Spot, "term", w.token)
	return w
}

// takeCommands hands out the orders that wait; they are repeatable, and given
// again while the reports show that they are still needed.
func (w *agentSession) takeCommands() []protocol.Command {
	out := make([]protocol.Command, 0, len(w.queuedCommands))
	for k, cmd := range orderedBy(w.queuedCommands, compareAttempts) {
		out = append(out, cmd)
		delete(w.queuedCommands, k)
	}
	return out
}

// handleReport takes a report of a worker that this node controls, or its reply to a direct
// call, and passes it on.
func (c *Core) handleReport(w *agentSession, r protocol.Report, direct bool) {
	w.unanswered = false
	for _, t := range r.Tasks {
		delete(w.pendingStarts, taskAttempt{t.Task, t.Attempt})
	}
	m := c.machines.Get(r.Machine)
	known := m != nil && m.Node == c.cfg.Node && m.GrantedToken == w.token && m.HasSameContent(&r) && m.IsNewer(&r) && !m.MissedAnswer(r.Token)
	if known && !(direct && c.reportOverdue(m)) && (m.ExitedTasks == 0 || c.now.Steady-w.lastSharedAt < 3*c.reportInterval()) {
		// The others know; this node's beats tell them that the worker lives.
		// Exited tasks are told again, lest the order to forget them was lost, and
		// so is the reply of a worker whose reports don't come, of which beats say
		// nothing.
		m.Seq = r.Seq
		m.RecordAnswer(r.Token, w.token)
		c.machines.RecordContact(m, direct, c.now.Steady)
		return
	}
	w.lastSharedAt = c.now.Steady
	c.shareObservation(Observation{Node: c.cfg.Node, Token: w.token, Report: r, Direct: direct})
}

// shareObservation passes an observation to every controller, this one included.
func (c *Core) shareObservation(o Observation) {
	c.pendingObservations = append(c.pendingObservations, o)
	c.applyObservation(o)
}

// forwardStart forwards a bound task's start, or refuses it for good. One that was decided
// on before is not decided again: it may come over a slow link long after this node
// has started it by what its own watch showed.
func (c *Core) forwardStart(from string, s Start) {
	w := c.agents[s.Machine]
	why, before := c.decidedOn(&s)
	if !before {
		why = c.startRefusalReason(w, s)
		c.decideOn(&s, why != "")
	}
	if why != "" {
		c.log(Info, "start refused", "task", s.Task, "machine", s.Machine, "home", from, "why", why)
		c.sendTo(from, PeerMessage{Refusal: &Refusal{Machine: s.Machine, Task: s.Task, Attempt: s.Attempt}})
	}
	if before || why != "" {
		return
	}
	w.pendingStarts[taskAttempt{s.Task, s.Attempt}] = s.Need
	w.queuedStarts = append(w.queuedStarts, protocol.Command{Op: protocol.OpStart, Task: s.Task, Attempt: s.Attempt})
	c.scheduler.deliver[s.Machine] = true
}

// startRefusalReason tells why a start is refused, or nothing. A start under another
// term or for another session is refused for good: that its binding can only
// ever be started under the term it was made for is what makes late ones safe.
func (c *Core) startRefusalReason(w *agentSession, s Start) string {
	switch {
	case w == nil:
		return "worker reports elsewhere"
	case w.token != s.Token:
		return "term has passed"
	case w.epoch != s.Epoch:
		return "session has passed"
	case w.unanswered:
		return "worker does not answer"
	case c.machines.Get(s.Machine) != nil && c.reportOverdue(c.machines.Get(s.Machine)):
		return "worker does not report"
	case s.Revision > 0 && s.Revision <= c.revision && !c.shows(s.Machine, taskAttempt{s.Task, s.Attempt}):
		return "binding has passed"
	case c.isOfCancelledJob(s.Task):
		return "job is cancelled"
	case !c.hasRoomNow(s, w):
		return "no room"
	}
	return ""
}

// isOfCancelledJob tells whether a start is of a cancelled job.
func (c *Core) isOfCancelledJob(task string) bool {
	id, _, _ := job.SplitTask(task)
	return c.cancelled(id)
}

// dropCancelledStarts takes back what waits to be started of jobs that have been cancelled
// since: a stop that goes out with it would come before it.
func (c *Core) dropCancelledStarts(w *agentSession) {
	w.queuedStarts = slices.DeleteFunc(w.queuedStarts, func(cmd protocol.Command) bool {
		drop := c.isOfCancelledJob(cmd.Task)
		if drop {
			delete(w.pendingStarts, taskAttempt{cmd.Task, cmd.Attempt})
		}
		return drop
	})
}

// hasRoomNow checks the room on the machine as its newest report and the starts
// on their way show it.
func (c *Core) hasRoomNow(s Start, w *agentSession) bool {
	m := c.machines.Get(s.Machine)
	if m == nil {
		return false
	}
	room := c.catalog.Capacity(m.Type)
	for _, need := range w.pendingStarts {
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

// queueCommand queues a stop or forget for a worker. Stops go out at once.
func (c *Core) queueCommand(o TaskCommand) {
	w := c.agents[o.Machine]
	if w == nil {
		return
	}
	w.queuedCommands[taskAttempt{o.Command.Task, o.Command.Attempt}] = o.Command
	if o.Command.Op == protocol.OpStop {
		c.scheduler.deliver[o.Machine] = true
	}
}

// deliverTo sends what waits for a worker. One delivery is under way at a time.
func (c *Core) deliverTo(id string, w *agentSession) {
	if w.delivering || len(w.queuedStarts) == 0 && len(w.queuedCommands) == 0 && !w.probeDue {
		return
	}
	c.dropCancelledStarts(w)
	commands := append(w.takeCommands(), w.queuedStarts...)
	w.queuedStarts, w.delivering, w.probeDue = nil, true, false
	c.emit(Deliver{Machine: id, Address: w.address,
		Orders: protocol.Orders{Token: w.token, Session: w.epoch, Commands: commands}})
}

// handleDelivery takes the outcome of a delivery. Without an answer its starts may
// yet be carried out, so the worker's term is raised above theirs; refused
// ones never are.
func (c *Core) handleDelivery(d DeliveryResult) {
	w := c.agents[d.Machine]
	if w == nil {
		return
	}
	w.delivering = false
	if d.Report != nil && d.Report.Machine == d.Machine {
		if d.Report.Token <= w.token {
			c.handleReport(w, *d.Report, true)
		}
	}
	if !d.Executed {
		for _, cmd := range d.Orders.Commands {
			delete(w.pendingStarts, taskAttempt{cmd.Task, cmd.Attempt})
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
		c.refuseDelivery(d)
	}
	c.deliverTo(d.Machine, w)
}

// refuseDelivery tells the homes of starts that the worker has turned down whole.
func (c *Core) refuseDelivery(d DeliveryResult) {
	for _, cmd := range d.Orders.Commands {
		if cmd.Op != protocol.OpStart {
			continue
		}
		id, _, _ := job.SplitTask(cmd.Task)
		if j := c.jobs[id]; j != nil {
			if t := c.teamBy[j.Team]; t != nil {
				c.sendTo(t.leader, PeerMessage{Refusal: &Refusal{Machine: d.Machine, Task: cmd.Task, Attempt: cmd.Attempt}})
			}
		}
	}
}

// expireAgents forgets workers that have gone elsewhere or fallen silent, and asks those
// whose reports don't come.
func (c *Core) expireAgents() {
	if len(c.tokens.pendingRaises) > 0 {
		c.acquireToken() // it failed before, and the homes that asked may not be heard
	}
	for id, w := range ordered(c.agents) {
		m, quiet := c.machines.Get(id), c.now.Steady-w.lastReportAt
		elsewhere := m != nil && m.Node != c.cfg.Node
		switch {
		case elsewhere || quiet > c.leaseTime()+2*c.reportInterval() || c.cordons[id].Terminated:
			delete(c.agents, id)
		case m != nil && c.reportOverdue(m) && !w.unanswered && c.now.Steady-w.lastProbeAt >= c.reportInterval():
			w.lastProbeAt, w.probeDue = c.now.Steady, true
			c.deliverTo(id, w)
		}
	}
}

// reportOverdue tells whether a machine's reports don't come, though it may answer direct calls:
// workers that can't open connections to any controller used to look alive, and to be given
// back all the same with work that might have gone on for a lease. They are asked, no more
// often than they would report, so that the ends of their tasks are known, and get nothing
// new: it would be lost with their lease (docs/incidents/mute.md).
func (c *Core) reportOverdue(m *worker.Machine) bool {
	return c.now.Steady-m.LastReport >= 2*c.reportInterval()+c.reportInterval()/2
}

// applyObservation takes a report that any controller has passed on.
func (c *Core) applyObservation(o Observation) {
	r := o.Report
	m := c.machines.Get(r.Machine)
	if c.cordons[r.Machine].Terminated {
		return // a late copy: the cloud has taken the machine with all that was on it
	}
	if m == nil {
		c.provisioned(&r)
		m = c.addMachine(r.Machine)
	} else if !m.IsNewer(&r) {
		if m.Session == r.Session && o.Token > m.GrantedToken {
			m.Node, m.GrantedToken = o.Node, o.Token
			c.requestRound()
		}
		return
	}
	if m.Node != o.Node || m.GrantedToken != o.Token || len(m.Tasks) != len(r.Tasks) {
		c.requestRound()
	}
	m.Node, m.GrantedToken = o.Node, o.Token
	c.trackAcknowledgement(m, &o)
	c.attributeFailures(m, &r)
	c.arrived(r.Machine, o.Node)
	m.Update(r, c.now.Steady)
	c.machines.RecordContact(m, o.Direct, c.now.Steady)
	c.machines.InvalidateLoad(r.Machine)
	c.reconcileMachine(m)
}
