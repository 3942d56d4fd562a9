package core

import (
	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/relay"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// onPagePut processes a page that the store holds: one of another controller, or this node's
// own.
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
	inbox := r.putPage(node, name, page)
	if page.Heartbeat != nil {
		if err := r.applyHeartbeat(node, inbox, page.Heartbeat); err != nil {
			return err
		}
	}
	r.applyMachines(node, page)
	return r.applyEntries(page)
}

// applyHeartbeat processes a heartbeat from another controller. The heartbeat also counts as contact
// with the machines on all of that controller's pages.
func (r *storeRelay) applyHeartbeat(node string, inbox *relayInbox, raw json.RawMessage) error {
	var heartbeat relayHeartbeat
	if err := json.Unmarshal(raw, &heartbeat); err != nil {
		return err
	}
	inbox.lastHeartbeat.Record(r.now.Steady)
	r.core.handleNodeHeartbeat(node, heartbeat.NodeHeartbeat)
	for _, page := range ordered(inbox.pages) {
		r.applyMachines(node, page)
	}
	return nil
}

// onPageDelete processes the deletion of a page.
func (r *storeRelay) onPageDelete(key string, revision uint64) {
	node, name := splitPageKey(key)
	if node == r.cfg.Node {
		r.publication.Observe(name, nil, revision)
	}
	r.removePage(node, name)
}

// applyMachines records which machines another controller serves. This proves nothing about the
// tasks on them: only reports and entries are evidence of tasks.
func (r *storeRelay) applyMachines(node string, p *relay.Page) {
	for _, group := range p.Machines {
		for _, id := range group.Machines {
			if !r.core.cordons.isTerminated(id) {
				r.applyMachine(node, id, group.MachineKind)
			}
		}
	}
}

// applyMachine records that a controller serves a machine of the given kind.
func (r *storeRelay) applyMachine(node, id string, kind relay.MachineKind) {
	m := r.core.machines.Get(id)
	switch {
	case m == nil:
		r.core.recordProvisioned(&protocol.Report{Machine: id, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot})
		m = r.core.addMachine(id)
	case kind.Token < m.GrantedToken || kind.Epoch < m.WorkerEpoch:
		return // a newer token or epoch is known, so the page is outdated
	}
	if m.WorkerEpoch < kind.Epoch {
		// A new epoch starts without the tasks of the previous one.
		fresh := protocol.Report{Machine: id, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot, WorkerEpoch: kind.Epoch}
		m.Update(fresh, r.now.Steady)
		r.core.machines.InvalidateLoad(id)
	}
	if m.Node != node || m.GrantedToken != kind.Token {
		m.AssignTo(node, kind.Token)
		r.core.requestRound()
	}
	if kind.NoticeS > 0 && m.ReclaimAt == 0 {
		m.ReclaimAt = r.now.Steady + seconds(float64(kind.NoticeS))
	}
	r.core.machines.RecordContact(m, false, r.now.Steady)
}

// applyEntries applies the task outcomes that a page contains to the bindings of the teams that this
// node leads. If one entry is malformed, no entry of the page is applied.
func (r *storeRelay) applyEntries(p *relay.Page) error {
	entries, err := p.Entries()
	if err != nil {
		return err
	}
	for _, entry := range entries {
		j := r.core.jobs[entry.Job]
		if j == nil || !r.core.leads(j) {
			continue
		}
		binding := j.Bound[entry.Index]
		if binding != nil && binding.Stored && binding.Attempt == entry.Attempt && binding.Machine == entry.Machine {
			r.applyEntry(j, binding, entry)
		}
	}
	return nil
}

// applyEntry removes the binding of one task and records the outcome that an entry states.
func (r *storeRelay) applyEntry(j *job.Job, binding *job.Binding, entry relay.Entry) {
	m := r.core.machines.Get(entry.Machine)
	if m == nil {
		m = &worker.Machine{Report: protocol.Report{Machine: entry.Machine}}
	}
	task := j.TaskID(entry.Index)
	if entry.Reason == "" {
		m.LastRefusedAt = r.now.Steady
		r.log(Debug, "task was not started", "task", task, "machine", entry.Machine)
		r.core.unbind(j, entry.Index)
		return
	}
	taskReport := protocol.TaskReport{Task: task, Attempt: entry.Attempt, State: protocol.Exited, ExitReason: entry.Reason}
	if entry.Reason == protocol.ExitDone || entry.Reason == protocol.ExitError {
		r.core.attributeExit(j, m, entry.Machine, taskReport)
	}
	r.core.reconciler.taskEnded(j, entry.Index, m, taskReport)
}

// reapplyEntries applies the entries of all pages again, because this node may have become a
// leader since they arrived.
func (r *storeRelay) reapplyEntries() {
	for _, inbox := range ordered(r.inboxes) {
		for _, page := range ordered(inbox.pages) {
			if err := r.applyEntries(page); err != nil {
				r.log(Error, "malformed relay page", "error", err.Error())
			}
		}
	}
}
