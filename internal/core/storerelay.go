package core

import (
	"slices"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/relay"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// apart is how this node gets on with live controllers that it cannot hear, or that
// cannot hear it: by bulletins in the state service (docs/apart.md).
type storeRelay struct {
	// next is when the bulletin is looked at again, acted when starts last were.
	next, startsCheckedAt time.Duration
	published             relay.Publication
	busy                  bool
	// inboxes holds the bulletins of the other controllers.
	inboxes map[string]*relayInbox
}

// relayInbox is the bulletin of another controller, and when its sign of life came.
type relayInbox struct {
	lastHeartbeat time.Duration
	pages         map[string]*relay.Page
}

// relayWriteShare is the part of the state service's limit on changes that all
// controllers' bulletins may take together.
const relayWriteShare = 1.0 / 4

func pageKey(node, page string) string { return keyRelay + node + "/" + page }

// relayInterval is the pause between two changes of a bulletin, about two pages
// each time.
func (c *Core) relayInterval() time.Duration {
	return max(c.reportInterval()/5, seconds(2*float64(c.members.size())/(relayWriteShare*c.limits.writeRate())))
}

// isUnreachable tells whether a controller lives, by the store, and is not heard here.
func (c *Core) isUnreachable(node string) bool {
	live := c.members.isLive(node)
	return live && !c.inDirectContact(node)
}

// unreachablePeers lists the controllers that this node misses.
func (c *Core) unreachablePeers() []string {
	var out []string
	for _, node := range c.members.roster {
		if c.isUnreachable(node) {
			out = append(out, node)
		}
	}
	return out
}

// partitionedFrom tells whether messages between this node and a live controller may be
// lost, one way or both.
func (c *Core) partitionedFrom(node string) bool {
	p := c.peers[node]
	live := c.members.isLive(node)
	return p != nil && live && (slices.Contains(p.unreachable, c.cfg.Node) || !c.inDirectContact(node))
}

// partitioned tells whether that is so of any controller.
func (c *Core) partitioned() bool {
	for node := range c.members.live {
		if c.partitionedFrom(node) {
			return true
		}
	}
	return false
}

// hasContact tells whether a controller gives signs of life here, by a link or by its
// bulletin. What is bound to the machines of one that does neither is not started.
func (c *Core) hasContact(node string) bool {
	if c.inDirectContact(node) {
		return true
	}
	r := c.relay.inboxes[node]
	return r != nil && c.isUnreachable(node) && c.now.Steady-r.lastHeartbeat < c.reportInterval()+2*c.relayInterval()
}

// knowsMachinesOf tells whether a controller's word on which machines it hears is at hand: of
// one that is known by its bulletin alone, only once that names its machines.
func (c *Core) knowsMachinesOf(node string) bool {
	if c.inDirectContact(node) {
		return true
	}
	r := c.relay.inboxes[node]
	return c.hasContact(node) && r.namesMachines()
}

func (r *relayInbox) namesMachines() bool {
	for _, p := range r.pages {
		if len(p.Machines) > 0 {
			return true
		}
	}
	return false
}

// partitionedFromLeader tells whether a job's home is another controller that this node is cut
// from, so that this node has to act for it on the machines that it hears.
func (c *Core) partitionedFromLeader(j *job.Job) bool {
	t := c.teamBy[j.Team]
	return t != nil && !t.leading && c.partitionedFrom(t.leader)
}

// updateRelay starts, forgets and publishes for homes that this node is cut from.
func (c *Core) updateRelay() {
	split := c.partitioned()
	if split && c.every(&c.relay.startsCheckedAt, c.reportInterval()/30) {
		for id, w := range c.agents.all() {
			if m := c.machines.Get(id); m != nil && m.Node == c.cfg.Node {
				c.startForUnreachableLeaders(id, w, m)
				c.forgetForUnreachableLeaders(m)
			}
		}
	}
	if !c.every(&c.relay.next, c.relayInterval()) || c.relay.busy || c.members.lease == 0 {
		return
	}
	var want map[string]json.RawMessage
	if split {
		want = relay.Pages(c.nextRelayHeartbeat(), c.relayEntries(), c.machinesHeardHere(), c.limits.relayPageBytes())
	}
	c.publishRelay(c.relay.published.Diff(want, c.limits.maxRelayPages()))
}

// nextRelayHeartbeat is this node's sign of life for a bulletin; its number makes each unlike
// the one before.
func (c *Core) nextRelayHeartbeat() json.RawMessage {
	number := c.ids.next()
	b := c.newHeartbeat()
	b.Records = c.ownRecords()
	return mustMarshal(relayHeartbeat{Sequence: number, NodeHeartbeat: b})
}

type relayHeartbeat struct {
	Sequence uint64 `json:"#"`
	NodeHeartbeat
}

// startForUnreachableLeaders starts what the store says is bound to a machine, for homes that may not
// be able to say so: once, under exactly the term and session of the binding, as the
// home's own message would. A gang's tasks are started once all of them are bound.
func (c *Core) startForUnreachableLeaders(id string, w *agentSession, m *worker.Machine) {
	if w.unanswered {
		return
	}
	due := func(ref job.Ref, b *job.Binding) bool {
		j := ref.Job
		if b.Term != w.token || b.Session != w.epoch || j.Cancelled || j.Kind == job.Gang && len(j.Bound) < j.Tasks || !c.partitionedFromLeader(j) {
			return false
		}
		evidence, _ := m.Evidence(j.TaskID(ref.Index), b)
		return evidence == worker.Inconclusive
	}
	c.eachBindingOn(id, due, func(j *job.Job, i int, b *job.Binding) {
		if made, decided := c.startLedgers.find(id, b.Term, taskAttempt{j.TaskID(i), b.Attempt}); decided {
			// What became of it is not known: a newer term makes it known, as the
			// home would ask for.
			if !made.refused && c.now.Steady-made.at > 2*c.reportInterval() {
				c.fence(Fence{Machine: id, Above: b.Term})
			}
			return
		}
		c.log(Debug, "start for a home that is not heard", "task", j.TaskID(i), "attempt", b.Attempt, "machine", id)
		c.forwardStart(c.teamBy[j.Team].leader, Start{Machine: id, Task: j.TaskID(i), Attempt: b.Attempt,
			Token: b.Term, Epoch: b.Session, Need: j.Need, Revision: c.revision})
	})
}

// forgetForUnreachableLeaders has exited tasks forgotten whose end their home has stored.
func (c *Core) forgetForUnreachableLeaders(m *worker.Machine) {
	if m.ExitedTasks == 0 {
		return
	}
	for _, t := range m.Tasks {
		if t.State != protocol.Exited {
			continue
		}
		id, i, ok := job.SplitTask(t.Task)
		j := c.jobs[id]
		if !ok || j == nil || t.Attempt > j.StoredAttempt || !c.partitionedFromLeader(j) {
			continue
		}
		if b := j.Bound[i]; b == nil || b.Attempt != t.Attempt {
			c.stopOrForgetTask(m, t)
		}
	}
}

// relayEntries lists what has become of tasks on this node's machines whose homes may not
// hear of it, for as long as the store shows them bound.
func (c *Core) relayEntries() []relay.Entry {
	var out []relay.Entry
	for id := range c.agents.all() {
		m := c.machines.Get(id)
		if m == nil || m.Node != c.cfg.Node {
			continue
		}
		load := c.machines.Load(id)
		if load == nil {
			continue
		}
		for ref, b := range load.Tasks {
			if !b.Stored || !c.partitionedFromLeader(ref.Job) {
				continue
			}
			task := ref.Job.TaskID(ref.Index)
			evidence, t := m.Evidence(task, b)
			made, decided := c.startLedgers.find(id, b.Term, taskAttempt{task, b.Attempt})
			if evidence == worker.Exited || evidence == worker.Absent || decided && made.refused {
				out = append(out, relay.Entry{Job: ref.Job.ID, Index: ref.Index, Attempt: b.Attempt, Machine: id, Reason: t.Why})
			}
		}
	}
	return out
}

// machinesHeardHere lists the machines that this node hears.
func (c *Core) machinesHeardHere() map[relay.MachineKind][]string {
	out := map[relay.MachineKind][]string{}
	for id, w := range c.agents.all() {
		m := c.machines.Get(id)
		if m == nil || m.Node != c.cfg.Node || c.now.Steady-m.LastContact > 2*c.reportInterval() {
			continue
		}
		k := relay.MachineKind{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Token: w.token, Epoch: m.Session}
		if m.ReclaimAt > 0 {
			k.NoticeS = max(1, int((m.ReclaimAt-c.now.Steady).Seconds()/noticeStepSeconds)*noticeStepSeconds)
		}
		out[k] = append(out[k], id)
	}
	return out
}

// noticeStepSeconds is to how many seconds the time of a notice is rounded: a bulletin that
// changed every second would be written every second.
const noticeStepSeconds = 5

// publishRelay writes changes of this node's bulletin, attached to its lease, so that it
// ends with this node.
func (c *Core) publishRelay(changes []relay.Change) {
	if len(changes) == 0 {
		return
	}
	var txn protocol.Txn
	for _, ch := range changes {
		key := pageKey(c.cfg.Node, ch.Page)
		txn.If = append(txn.If, protocol.Condition{Key: key, Version: ch.Version})
		if ch.Value == nil {
			txn.Then = append(txn.Then, protocol.Change{Delete: key})
		} else {
			txn.Then = append(txn.Then, protocol.Change{Put: key, Value: ch.Value, Lease: c.members.lease})
		}
	}
	c.relay.busy = true
	c.compareAndSwap(txn, true, func(r StoreReply) {
		c.relay.busy = false
		if r.Outcome == Applied {
			c.relay.published.Confirm(changes, r.Revision)
		}
	})
}

// onRelayPagePut takes in a page of another controller's bulletin.
func (c *Core) onRelayPagePut(item protocol.KeyValue) error {
	node, name, _ := strings.Cut(strings.TrimPrefix(item.Key, keyRelay), "/")
	if node == c.cfg.Node {
		c.relay.published.Observe(name, item.Value, item.Version)
	}
	if c.peers[node] == nil {
		return nil
	}
	page := &relay.Page{}
	if err := json.Unmarshal(item.Value, page); err != nil {
		return err
	}
	r := c.relay.inboxes[node]
	if r == nil {
		r = &relayInbox{pages: map[string]*relay.Page{}}
		c.relay.inboxes[node] = r
	}
	r.pages[name] = page
	if page.Heartbeat != nil {
		var b relayHeartbeat
		if err := json.Unmarshal(page.Heartbeat, &b); err != nil {
			return err
		}
		r.lastHeartbeat = c.now.Steady
		c.handleNodeHeartbeat(node, b.NodeHeartbeat)
		for _, p := range ordered(r.pages) {
			c.applyRelayMachines(node, p) // they live as long as it does
		}
	}
	c.applyRelayMachines(node, page)
	return c.applyRelayEntries(page)
}

func (c *Core) onRelayPageDelete(key string, revision uint64) {
	node, name, _ := strings.Cut(strings.TrimPrefix(key, keyRelay), "/")
	if node == c.cfg.Node {
		c.relay.published.Observe(name, nil, revision)
	}
	if r := c.relay.inboxes[node]; r != nil {
		delete(r.pages, name)
	}
}

// applyRelayMachines notes which machines another controller hears. Of what is on them it
// proves nothing: that takes reports, or facts.
func (c *Core) applyRelayMachines(node string, p *relay.Page) {
	for _, g := range p.Machines {
		for _, id := range g.Machines {
			if !c.cordons[id].Terminated {
				c.applyRelayMachine(node, id, g.MachineKind)
			}
		}
	}
}

func (c *Core) applyRelayMachine(node, id string, k relay.MachineKind) {
	m := c.machines.Get(id)
	switch {
	case m == nil:
		c.provisioned(&protocol.Report{Machine: id, Type: k.Type, Zone: k.Zone, Spot: k.Spot})
		m = c.addMachine(id)
	case k.Token < m.GrantedToken || k.Epoch < m.Session:
		return // a newer controller has it
	}
	if m.Session < k.Epoch {
		// A new session has none of the tasks of the one before.
		m.Update(protocol.Report{Machine: id, Type: k.Type, Zone: k.Zone, Spot: k.Spot, Session: k.Epoch}, c.now.Steady)
		c.machines.InvalidateLoad(id)
	}
	if m.Node != node || m.GrantedToken != k.Token {
		m.Node, m.GrantedToken = node, k.Token
		c.requestRound()
	}
	if k.NoticeS > 0 && m.ReclaimAt == 0 {
		m.ReclaimAt = c.now.Steady + seconds(float64(k.NoticeS))
	}
	c.machines.RecordContact(m, false, c.now.Steady)
}

// applyRelayEntries ends the bindings of this node's teams of which another controller says
// what has become.
func (c *Core) applyRelayEntries(p *relay.Page) error {
	all, err := p.Entries()
	for _, f := range all {
		j := c.jobs[f.Job]
		if j == nil || !c.leads(j) {
			continue
		}
		b := j.Bound[f.Index]
		if b == nil || !b.Stored || b.Attempt != f.Attempt || b.Machine != f.Machine {
			continue
		}
		m := c.machines.Get(f.Machine)
		if m == nil {
			m = &worker.Machine{Report: protocol.Report{Machine: f.Machine}}
		}
		if f.Reason == "" {
			m.FullAt = c.now.Steady
			c.log(Debug, "task was not started", "task", j.TaskID(f.Index), "machine", f.Machine)
			c.unbind(j, f.Index)
			continue
		}
		t := protocol.TaskReport{Task: j.TaskID(f.Index), Attempt: f.Attempt, State: protocol.Exited, Why: f.Reason}
		if f.Reason == protocol.WhyDone || f.Reason == protocol.WhyError {
			c.attributeExit(j, m, f.Machine, t)
		}
		c.taskEnded(j, f.Index, b, m, t)
	}
	return err
}

// reapplyRelay applies the facts of all bulletins once more: this node may have become a
// home since they were written.
func (c *Core) reapplyRelay() {
	for _, r := range ordered(c.relay.inboxes) {
		for _, p := range ordered(r.pages) {
			if err := c.applyRelayEntries(p); err != nil {
				c.log(Error, "bulletin is not understood", "error", err.Error())
			}
		}
	}
}
