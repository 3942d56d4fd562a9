package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// reasonIdle is why a machine is cordoned that has had nothing to do. It is released once
// nothing is bound to it.
const reasonIdle = "idle"

// terminatedLeases is for how many leases the cordon of a machine that is gone is kept.
const terminatedLeases = 100

// cordonIdle cordons machines that have had nothing to do for a while.
func (c *Core) cordonIdle() {
	for name, m := range c.machines.All() {
		if !c.machines.UsedResources(m).Fits(job.Resources{}) {
			m.IdleSince = c.now.Steady
			continue
		}
		idle := c.now.Steady - m.IdleSince
		if idle > c.idleTimeout(m) && !c.scheduler.reservations.includes(name) {
			c.cordonMachine(name, reasonIdle)
		}
	}
}

// idleTimeout is how long a machine is kept without work: a part of what a new one would take
// to come.
func (c *Core) idleTimeout(m *worker.Machine) time.Duration {
	return max(c.catalog.BootTime(m.Type)/4, 2*c.reportInterval())
}

// cordonMachine stores a cordon that no binding can pass. Once the replica shows it, the
// replica also shows every binding that came before it.
func (c *Core) cordonMachine(name, reason string) {
	if c.cordons.has(name) {
		return
	}
	if since, cordoning := c.autoscaler.cordoning[name]; cordoning && c.now.Steady-since < c.silenceLimit() {
		return
	}
	c.autoscaler.beginCordon(name, c.now.Steady)
	c.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{c.fleet.leaderCondition(), {Key: keyCordon + name}},
		Then: []protocol.Change{putJSON(keyCordon+name, cordonRecord{Reason: reason})},
	}, false, func(r StoreReply) {
		if r.Outcome == Refused || r.Outcome == NoLease {
			delete(c.autoscaler.cordoning, name)
		}
	})
}

// releaseCordoned releases cordoned machines that nothing is bound to, and returning ones
// whatever is bound to them. Returning ones need no cordon first: what is bound to them
// meanwhile is bound to a machine that is gone. So a cancelled task is ended in time even while
// the store is down.
func (c *Core) releaseCordoned() {
	due := maps.Clone(c.cordons)
	for name := range c.autoscaler.returnReasons {
		due[name] = c.cordons[name]
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(due)) {
		if len(names) < protocol.MaxRelease && c.mayRelease(name) {
			c.autoscaler.releasing[name] = c.now.Steady
			names = append(names, name)
		}
	}
	if len(names) > 0 {
		c.emit(ReleaseMachines{Machines: names})
	}
}

// mayRelease tells whether a cordoned or returning machine may be released now.
func (c *Core) mayRelease(name string) bool {
	cordon := c.cordons[name]
	if cordon.Terminated {
		return false
	}
	isIdle := cordon.Reason == reasonIdle && !c.autoscaler.isReturning(name)
	if isIdle && c.machines.HasBindings(name) {
		return false
	}
	since, releasing := c.autoscaler.releasing[name]
	return !releasing || c.now.Steady-since >= c.silenceLimit()
}

// handleRelease notes the cloud's word that machines are gone, which ends all that was bound
// to them.
func (c *Core) handleRelease(m ReleaseResult) {
	for _, id := range m.Machines {
		if m.OK {
			c.returns.confirm(id)
		}
	}
	if !c.fleet.leading {
		return
	}
	for batch := range slices.Chunk(m.Machines, c.limits.maxChanges()) {
		if m.OK {
			c.storeTerminated(batch)
		} else {
			c.autoscaler.retryRelease(batch)
		}
	}
}

// retryRelease has machines released again that the cloud or the store did not take.
func (a *autoscaler) retryRelease(names []string) {
	for _, name := range names {
		delete(a.releasing, name)
	}
}

// storeTerminated stores that machines are gone.
func (c *Core) storeTerminated(names []string) {
	txn := protocol.Txn{If: []protocol.Condition{c.fleet.leaderCondition()}}
	for _, name := range names {
		txn.Then = append(txn.Then, putJSON(keyCordon+name, cordonRecord{Terminated: true}))
	}
	c.compareAndSwap(txn, true, func(r StoreReply) {
		if r.Outcome != Applied {
			c.autoscaler.retryRelease(names)
			return
		}
		for _, name := range names {
			reason := cmp.Or(c.autoscaler.returnReasons[name], c.cordons[name].Reason)
			c.log(Info, "machine returned", "machine", name, "reason", reason)
			c.onCordonPut(name, cordonRecord{Terminated: true, version: r.Revision})
			c.autoscaler.forgetReturned(name)
		}
	})
}

// forgetTerminated drops the cordons of machines that have long been gone, so that the state
// does not grow. A binding that still came to one would be ended by another release, which the
// cloud answers for names that it does not know too.
func (c *Core) forgetTerminated() {
	kept := terminatedLeases * seconds(c.cfg.Params.Workers.LeaseS)
	txn := protocol.Txn{If: []protocol.Condition{c.fleet.leaderCondition()}}
	for name, cordon := range ordered(c.cordons) {
		if !cordon.Terminated || c.machines.HasBindings(name) || c.now.Steady-cordon.since < kept {
			continue
		}
		txn.Then = append(txn.Then, protocol.Change{Delete: keyCordon + name})
		if len(txn.Then) == c.limits.maxChanges() {
			break
		}
	}
	if len(txn.Then) > 0 && c.every(&c.timers.forget, c.reportInterval()) {
		c.compareAndSwap(txn, false, func(StoreReply) {})
	}
}
