package core

import (
	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/relay"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// onPagePut takes in a page of another controller.
func (r *storeRelay) onPagePut(item protocol.KeyValue) error {
	node, name := splitPageKey(item.Key)
	if node == r.cfg.Node {
		r.publication.Observe(name, item.Value, item.Version)
	}
	if r.core.peers.get(node) == nil {
		return nil
	}
	page := &relay.Page{}
	if err := json.Unmarshal(item.Value, page); err != nil {
		return err
	}
	inbox := r.put(node, name, page)
	if page.Heartbeat != nil {
		if err := r.applyHeartbeat(node, inbox, page.Heartbeat); err != nil {
			return err
		}
	}
	r.applyMachines(node, page)
	return r.applyEntries(page)
}

// applyHeartbeat takes in a heartbeat of another controller. It confirms the machines on
// all of that controller's pages.
func (r *storeRelay) applyHeartbeat(node string, inbox *relayInbox, raw json.RawMessage) error {
	var b relayHeartbeat
	if err := json.Unmarshal(raw, &b); err != nil {
		return err
	}
	inbox.lastHeartbeat = r.now.Steady
	r.core.handleNodeHeartbeat(node, b.NodeHeartbeat)
	for _, page := range ordered(inbox.pages) {
		r.applyMachines(node, page)
	}
	return nil
}

func (r *storeRelay) onPageDelete(key string, revision uint64) {
	node, name := splitPageKey(key)
	if node == r.cfg.Node {
		r.publication.Observe(name, nil, revision)
	}
	r.remove(node, name)
}

// applyMachines notes which machines another controller serves. That proves nothing of
// the tasks on them: that takes reports, or entries.
func (r *storeRelay) applyMachines(node string, p *relay.Page) {
	for _, group := range p.Machines {
		for _, id := range group.Machines {
			if !r.core.cordons.isTerminated(id) {
				r.applyMachine(node, id, group.MachineKind)
			}
		}
	}
}

func (r *storeRelay) applyMachine(node, id string, kind relay.MachineKind) {
	m := r.core.machines.Get(id)
	switch {
	case m == nil:
		r.core.noteProvisioned(&protocol.Report{Machine: id, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot})
		m = r.core.addMachine(id)
	case kind.Token < m.GrantedToken || kind.Epoch < m.Session:
		return // a newer controller serves it
	}
	if m.Session < kind.Epoch {
		// A new epoch has none of the tasks of the one before.
		fresh := protocol.Report{Machine: id, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot, Session: kind.Epoch}
		m.Update(fresh, r.now.Steady)
		r.core.machines.InvalidateLoad(id)
	}
	if m.Node != node || m.GrantedToken != kind.Token {
		m.Node, m.GrantedToken = node, kind.Token
		r.core.requestRound()
	}
	if kind.NoticeS > 0 && m.ReclaimAt == 0 {
		m.ReclaimAt = r.now.Steady + seconds(float64(kind.NoticeS))
	}
	r.core.machines.RecordContact(m, false, r.now.Steady)
}

// applyEntries ends the bindings of this node's teams whose outcome a page tells. Of a
// page with a malformed entry it applies none.
func (r *storeRelay) applyEntries(p *relay.Page) error {
	entries, err := p.Entries()
	if err != nil {
		return err
	}
	for _, e := range entries {
		j := r.core.jobs[e.Job]
		if j == nil || !r.core.leads(j) {
			continue
		}
		b := j.Bound[e.Index]
		if b != nil && b.Stored && b.Attempt == e.Attempt && b.Machine == e.Machine {
			r.applyEntry(j, b, e)
		}
	}
	return nil
}

// applyEntry ends one binding.
func (r *storeRelay) applyEntry(j *job.Job, b *job.Binding, e relay.Entry) {
	m := r.core.machines.Get(e.Machine)
	if m == nil {
		m = &worker.Machine{Report: protocol.Report{Machine: e.Machine}}
	}
	task := j.TaskID(e.Index)
	if e.Reason == "" {
		m.FullAt = r.now.Steady
		r.log(Debug, "task was not started", "task", task, "machine", e.Machine)
		r.core.unbind(j, e.Index)
		return
	}
	t := protocol.TaskReport{Task: task, Attempt: e.Attempt, State: protocol.Exited, Why: e.Reason}
	if e.Reason == protocol.WhyDone || e.Reason == protocol.WhyError {
		r.core.attributeExit(j, m, e.Machine, t)
	}
	r.core.reconciler.taskEnded(j, e.Index, m, t)
}

// reapplyEntries applies the entries of all pages once more: this node may have become
// a leader since they were written.
func (r *storeRelay) reapplyEntries() {
	for _, inbox := range ordered(r.inboxes) {
		for _, page := range ordered(inbox.pages) {
			if err := r.applyEntries(page); err != nil {
				r.log(Error, "malformed relay page", "error", err.Error())
			}
		}
	}
}
