package core

import (
	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/relay"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// onRelayPagePut takes in a page of another controller.
func (c *Core) onRelayPagePut(item protocol.KeyValue) error {
	node, name := splitPageKey(item.Key)
	if node == c.cfg.Node {
		c.relay.publication.Observe(name, item.Value, item.Version)
	}
	if c.peers.get(node) == nil {
		return nil
	}
	page := &relay.Page{}
	if err := json.Unmarshal(item.Value, page); err != nil {
		return err
	}
	inbox := c.relay.put(node, name, page)
	if page.Heartbeat != nil {
		if err := c.applyRelayHeartbeat(node, inbox, page.Heartbeat); err != nil {
			return err
		}
	}
	c.applyRelayMachines(node, page)
	return c.applyRelayEntries(page)
}

// applyRelayHeartbeat takes in a heartbeat of another controller. It confirms the machines on
// all of that controller's pages.
func (c *Core) applyRelayHeartbeat(node string, inbox *relayInbox, raw json.RawMessage) error {
	var b relayHeartbeat
	if err := json.Unmarshal(raw, &b); err != nil {
		return err
	}
	inbox.lastHeartbeat = c.now.Steady
	c.handleNodeHeartbeat(node, b.NodeHeartbeat)
	for _, page := range ordered(inbox.pages) {
		c.applyRelayMachines(node, page)
	}
	return nil
}

func (c *Core) onRelayPageDelete(key string, revision uint64) {
	node, name := splitPageKey(key)
	if node == c.cfg.Node {
		c.relay.publication.Observe(name, nil, revision)
	}
	c.relay.remove(node, name)
}

// applyRelayMachines notes which machines another controller serves. That proves nothing of
// the tasks on them: that takes reports, or entries.
func (c *Core) applyRelayMachines(node string, p *relay.Page) {
	for _, group := range p.Machines {
		for _, id := range group.Machines {
			if !c.cordons.isTerminated(id) {
				c.applyRelayMachine(node, id, group.MachineKind)
			}
		}
	}
}

func (c *Core) applyRelayMachine(node, id string, kind relay.MachineKind) {
	m := c.machines.Get(id)
	switch {
	case m == nil:
		c.noteProvisioned(&protocol.Report{Machine: id, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot})
		m = c.addMachine(id)
	case kind.Token < m.GrantedToken || kind.Epoch < m.Session:
		return // a newer controller serves it
	}
	if m.Session < kind.Epoch {
		// A new epoch has none of the tasks of the one before.
		fresh := protocol.Report{Machine: id, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot, Session: kind.Epoch}
		m.Update(fresh, c.now.Steady)
		c.machines.InvalidateLoad(id)
	}
	if m.Node != node || m.GrantedToken != kind.Token {
		m.Node, m.GrantedToken = node, kind.Token
		c.requestRound()
	}
	if kind.NoticeS > 0 && m.ReclaimAt == 0 {
		m.ReclaimAt = c.now.Steady + seconds(float64(kind.NoticeS))
	}
	c.machines.RecordContact(m, false, c.now.Steady)
}

// applyRelayEntries ends the bindings of this node's teams whose outcome a page tells. Of a
// page with a malformed entry it applies none.
func (c *Core) applyRelayEntries(p *relay.Page) error {
	entries, err := p.Entries()
	if err != nil {
		return err
	}
	for _, e := range entries {
		j := c.jobs[e.Job]
		if j == nil || !c.leads(j) {
			continue
		}
		b := j.Bound[e.Index]
		if b != nil && b.Stored && b.Attempt == e.Attempt && b.Machine == e.Machine {
			c.applyRelayEntry(j, b, e)
		}
	}
	return nil
}

// applyRelayEntry ends one binding.
func (c *Core) applyRelayEntry(j *job.Job, b *job.Binding, e relay.Entry) {
	m := c.machines.Get(e.Machine)
	if m == nil {
		m = &worker.Machine{Report: protocol.Report{Machine: e.Machine}}
	}
	task := j.TaskID(e.Index)
	if e.Reason == "" {
		m.FullAt = c.now.Steady
		c.log(Debug, "task was not started", "task", task, "machine", e.Machine)
		c.unbind(j, e.Index)
		return
	}
	t := protocol.TaskReport{Task: task, Attempt: e.Attempt, State: protocol.Exited, Why: e.Reason}
	if e.Reason == protocol.WhyDone || e.Reason == protocol.WhyError {
		c.attributeExit(j, m, e.Machine, t)
	}
	c.taskEnded(j, e.Index, m, t)
}

// reapplyRelayEntries applies the entries of all pages once more: this node may have become
// a leader since they were written.
func (c *Core) reapplyRelayEntries() {
	for _, inbox := range ordered(c.relay.inboxes) {
		for _, page := range ordered(inbox.pages) {
			if err := c.applyRelayEntries(page); err != nil {
				c.log(Error, "malformed relay page", "error", err.Error())
			}
		}
	}
}
