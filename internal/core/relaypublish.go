package core

import (
	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/relay"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// noticeStepSeconds is the step to which the remaining time of a reclaim notice is rounded down.
// Without rounding a page would change every second, and be written as often.
const noticeStepSeconds = 5

// update acts for the leaders that this node is partitioned from. It publishes pages while this
// node is partitioned from any controller, and deletes them otherwise.
func (r *storeRelay) update() {
	partitioned := r.core.peerReachability.partitioned()
	if partitioned && r.every(&r.nextStartCheck, r.reportInterval()/30) {
		r.actForUnreachableLeaders()
	}
	if !r.every(&r.nextPublish, r.interval()) || r.writing || r.core.members.lease == 0 {
		return
	}
	var pages map[string]json.RawMessage
	if partitioned {
		pages = relay.Pages(r.nextHeartbeat(), r.entries(), r.servedMachines(), r.core.limits.relayPageBytes())
	}
	r.publish(r.publication.Diff(pages, r.core.limits.maxRelayPages()))
}

// nextHeartbeat returns the next heartbeat for the first page.
func (r *storeRelay) nextHeartbeat() json.RawMessage {
	sequenceNumber := r.ids.next()
	heartbeat := r.core.newHeartbeat()
	heartbeat.Records = r.core.ownUsageRecords()
	return mustjson.Marshal(relayHeartbeat{Sequence: sequenceNumber, NodeHeartbeat: heartbeat})
}

// entries returns the outcomes of tasks on this node's machines that may not reach their
// leaders otherwise, for as long as the replica shows the tasks as bound.
func (r *storeRelay) entries() []relay.Entry {
	var outcomes []relay.Entry
	for _, m := range r.core.agents.ownMachines() {
		id, load := m.Machine, r.core.machines.Load(m.Machine)
		if load == nil {
			continue
		}
		for ref, binding := range load.Tasks {
			if !binding.Stored || !r.core.partitionedFromLeader(ref.Job) {
				continue
			}
			task := ref.Job.TaskID(ref.Index)
			evidence, taskReport := m.Evidence(task, binding)
			decision, decided := r.core.agents.startLedgers.find(id, binding.Token, taskAttempt{task, binding.Attempt})
			if evidence == worker.Exited || evidence == worker.Absent || decided && decision.refused {
				outcomes = append(outcomes, relay.Entry{
					Job:     ref.Job.ID,
					Index:   ref.Index,
					Attempt: binding.Attempt,
					Machine: id,
					Reason:  taskReport.ExitReason,
				})
			}
		}
	}
	return outcomes
}

// servedMachines returns the machines that report to this node, grouped by kind.
func (r *storeRelay) servedMachines() map[relay.MachineKind][]string {
	machines := map[relay.MachineKind][]string{}
	for session, m := range r.core.agents.ownMachines() {
		if r.now.Steady-m.LastContact > 2*r.reportInterval() {
			continue
		}
		kind := relay.MachineKind{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Token: session.token, Epoch: m.WorkerEpoch}
		if m.ReclaimAt > 0 {
			remaining := (m.ReclaimAt - r.now.Steady).Seconds()
			kind.NoticeS = max(1, int(remaining/noticeStepSeconds)*noticeStepSeconds)
		}
		machines[kind] = append(machines[kind], m.Machine)
	}
	return machines
}

// publish writes changes to this node's pages. The pages are attached to this node's controller
// lease, so that they expire with it.
func (r *storeRelay) publish(changes []relay.Change) {
	if len(changes) == 0 {
		return
	}
	var txn protocol.Txn
	for _, change := range changes {
		key := pageKey(r.cfg.Node, change.Page)
		txn.If = append(txn.If, protocol.Condition{Key: key, Version: change.Version})
		if change.Value == nil {
			txn.Then = append(txn.Then, protocol.Change{Delete: key})
		} else {
			txn.Then = append(txn.Then, protocol.Change{Put: key, Value: change.Value, Lease: r.core.members.lease})
		}
	}
	r.writing = true
	r.compareAndSwap(txn, true, func(reply StoreReply) {
		r.writing = false
		if reply.Outcome == OutcomeApplied {
			r.publication.Confirm(changes, reply.Revision)
		}
	})
}
