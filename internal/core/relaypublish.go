package core

import (
	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/relay"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// noticeStepSeconds is to how many seconds the time of a termination notice is rounded: a page
// that changed every second would be written every second.
const noticeStepSeconds = 5

// updateRelay acts for the leaders that this node is partitioned from, and publishes to them.
func (c *Core) updateRelay() {
	partitioned := c.reach.partitioned()
	if partitioned && c.every(&c.relay.nextStartCheck, c.reportInterval()/30) {
		c.actForUnreachableLeaders()
	}
	if !c.every(&c.relay.nextPublish, c.relay.interval()) || c.relay.writing || c.members.lease == 0 {
		return
	}
	var want map[string]json.RawMessage
	if partitioned {
		want = relay.Pages(c.nextRelayHeartbeat(), c.relayEntries(), c.machinesHeardHere(), c.limits.relayPageBytes())
	}
	c.publishRelay(c.relay.publication.Diff(want, c.limits.maxRelayPages()))
}

// nextRelayHeartbeat makes a heartbeat for a page.
func (c *Core) nextRelayHeartbeat() json.RawMessage {
	number := c.ids.next()
	b := c.newHeartbeat()
	b.Records = c.ownRecords()
	return mustMarshal(relayHeartbeat{Sequence: number, NodeHeartbeat: b})
}

// relayEntries lists the outcome of tasks on this node's machines whose leaders may not hear
// of it, for as long as the store shows them bound.
func (c *Core) relayEntries() []relay.Entry {
	var out []relay.Entry
	for id := range c.agents.all() {
		m, load := c.machines.Get(id), c.machines.Load(id)
		if m == nil || m.Node != c.cfg.Node || load == nil {
			continue
		}
		for ref, b := range load.Tasks {
			if !b.Stored || !c.partitionedFromLeader(ref.Job) {
				continue
			}
			task := ref.Job.TaskID(ref.Index)
			evidence, t := m.Evidence(task, b)
			start, decided := c.agents.startLedgers.find(id, b.Token, taskAttempt{task, b.Attempt})
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

// machinesHeardHere lists the machines that report to this node.
func (c *Core) machinesHeardHere() map[relay.MachineKind][]string {
	out := map[relay.MachineKind][]string{}
	for id, w := range c.agents.all() {
		m := c.machines.Get(id)
		if m == nil || m.Node != c.cfg.Node || c.now.Steady-m.LastContact > 2*c.reportInterval() {
			continue
		}
		kind := relay.MachineKind{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Token: w.token, Epoch: m.Session}
		if m.ReclaimAt > 0 {
			left := (m.ReclaimAt - c.now.Steady).Seconds()
			kind.NoticeS = max(1, int(left/noticeStepSeconds)*noticeStepSeconds)
		}
		out[kind] = append(out[kind], id)
	}
	return out
}

// publishRelay writes changes of this node's pages, attached to its lease, so that they
// expire with this node.
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
	c.relay.writing = true
	c.compareAndSwap(txn, true, func(r StoreReply) {
		c.relay.writing = false
		if r.Outcome == Applied {
			c.relay.publication.Confirm(changes, r.Revision)
		}
	})
}
