package core

import (
	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/relay"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// noticeStepSeconds is to how many seconds the time of a termination notice is rounded: a page
// that changed every second would be written every second.
const noticeStepSeconds = 5

// update acts for the leaders that this node is partitioned from, and publishes to them.
func (r *storeRelay) update() {
	partitioned := r.core.reach.partitioned()
	if partitioned && r.every(&r.nextStartCheck, r.reportInterval()/30) {
		r.actForUnreachableLeaders()
	}
	if !r.every(&r.nextPublish, r.interval()) || r.writing || r.core.members.lease == 0 {
		return
	}
	var want map[string]json.RawMessage
	if partitioned {
		want = relay.Pages(r.nextHeartbeat(), r.entries(), r.servedMachines(), r.core.limits.relayPageBytes())
	}
	r.publish(r.publication.Diff(want, r.core.limits.maxRelayPages()))
}

// nextHeartbeat makes a heartbeat for a page.
func (r *storeRelay) nextHeartbeat() json.RawMessage {
	number := r.ids.next()
	b := r.core.newHeartbeat()
	b.Records = r.core.ownRecords()
	return mustjson.Marshal(relayHeartbeat{Sequence: number, NodeHeartbeat: b})
}

// entries lists the outcome of tasks on this node's machines whose leaders may not hear
// of it, for as long as the store shows them bound.
func (r *storeRelay) entries() []relay.Entry {
	var out []relay.Entry
	for _, m := range r.core.agents.ownMachines() {
		id, load := m.Machine, r.core.machines.Load(m.Machine)
		if load == nil {
			continue
		}
		for ref, b := range load.Tasks {
			if !b.Stored || !r.core.partitionedFromLeader(ref.Job) {
				continue
			}
			task := ref.Job.TaskID(ref.Index)
			evidence, t := m.Evidence(task, b)
			start, decided := r.core.agents.startLedgers.find(id, b.Token, taskAttempt{task, b.Attempt})
			if evidence == worker.Exited || evidence == worker.Absent || decided && start.refused {
				out = append(out, relay.Entry{
					Job:     ref.Job.ID,
					Index:   ref.Index,
					Attempt: b.Attempt,
					Machine: id,
					Reason:  t.Why,
				})
			}
		}
	}
	return out
}

// servedMachines lists the machines that report to this node.
func (r *storeRelay) servedMachines() map[relay.MachineKind][]string {
	out := map[relay.MachineKind][]string{}
	for session, m := range r.core.agents.ownMachines() {
		if r.now.Steady-m.LastContact > 2*r.reportInterval() {
			continue
		}
		kind := relay.MachineKind{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Token: session.token, Epoch: m.Session}
		if m.ReclaimAt > 0 {
			left := (m.ReclaimAt - r.now.Steady).Seconds()
			kind.NoticeS = max(1, int(left/noticeStepSeconds)*noticeStepSeconds)
		}
		out[kind] = append(out[kind], m.Machine)
	}
	return out
}

// publish writes changes of this node's pages, attached to its lease, so that they
// expire with this node.
func (r *storeRelay) publish(changes []relay.Change) {
	if len(changes) == 0 {
		return
	}
	var txn protocol.Txn
	for _, ch := range changes {
		key := pageKey(r.cfg.Node, ch.Page)
		txn.If = append(txn.If, protocol.Condition{Key: key, Version: ch.Version})
		if ch.Value == nil {
			txn.Then = append(txn.Then, protocol.Change{Delete: key})
		} else {
			txn.Then = append(txn.Then, protocol.Change{Put: key, Value: ch.Value, Lease: r.core.members.lease})
		}
	}
	r.writing = true
	r.compareAndSwap(txn, true, func(reply StoreReply) {
		r.writing = false
		if reply.Outcome == Applied {
			r.publication.Confirm(changes, reply.Revision)
		}
	})
}
