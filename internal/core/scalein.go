package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// reasonIdle is the cordon reason of a machine that has been idle. Such a machine is released
// once nothing is bound to it.
const reasonIdle = "idle"

// terminatedRetentionLeases is how long the cordon of a terminated machine is kept, in worker
// leases.
const terminatedRetentionLeases = 100

// cordonIdle cordons machines that have been idle for longer than their idle timeout and are not
// reserved.
func (c *Core) cordonIdle() {
	for name, m := range c.machines.All() {
		if !c.machines.IsIdle(m) {
			m.IdleSince = c.now.Steady
			continue
		}
		idle := c.now.Steady - m.IdleSince
		if idle > c.idleTimeout(m) && !c.scheduler.reservations.includes(name) {
			c.cordonMachine(name, reasonIdle)
		}
	}
}

// idleTimeout is how long a machine is kept idle: a fraction of the time that a replacement would
// take to boot, but at least two report intervals.
func (c *Core) idleTimeout(m *worker.Machine) time.Duration {
	return max(c.catalog.BootTime(m.Type)/4, 2*c.reportInterval())
}

// cordonMachine stores a cordon, after which no new binding to the machine can be stored. Once
// the replica shows the cordon, it also shows every earlier binding.
func (c *Core) cordonMachine(name, reason string) {
	if c.cordons.has(name) {
		return
	}
	if since, cordoning := c.autoscaler.cordoning[name]; cordoning && c.now.Steady-since < c.silenceTimeout() {
		return
	}
	c.autoscaler.beginCordon(name, c.now.Steady)
	c.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{c.fleet.leaderCondition(), {Key: keyCordon + name}},
		Then: []protocol.Change{putJSON(keyCordon+name, cordonRecord{Reason: reason})},
	}, false, func(r StoreReply) {
		if r.Outcome == OutcomeRefused || r.Outcome == OutcomeNoLease {
			delete(c.autoscaler.cordoning, name)
		}
	})
}

// releaseCordoned releases cordoned machines and machines that are being returned. Only machines that
// were cordoned because they were idle must have no bindings first. Machines that are being returned
// need no cordon first: a binding that is made in the meantime is removed once the machine is stored
// as terminated. A cancelled task is therefore stopped in time even while the store is down.
func (c *Core) releaseCordoned() {
	candidates := maps.Clone(c.cordons)
	for name := range c.autoscaler.returnReasons {
		candidates[name] = c.cordons[name]
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(candidates)) {
		if len(names) < protocol.MaxRelease && c.mayRelease(name) {
			c.autoscaler.releasing[name] = c.now.Steady
			names = append(names, name)
		}
	}
	if len(names) > 0 {
		c.emit(ReleaseMachines{Machines: names})
	}
}

// mayRelease reports whether a machine that is cordoned or being returned may be released now.
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
	return !releasing || c.now.Steady-since >= c.silenceTimeout()
}

// handleRelease handles the cloud's reply to a release. Once the release is confirmed, no task runs
// on the machines any more, and the fleet leader stores them as terminated.
func (c *Core) handleRelease(result ReleaseResult) {
	for _, id := range result.Machines {
		if result.OK {
			c.returnTracker.confirm(id)
		}
	}
	if !c.fleet.leading {
		return
	}
	for batch := range slices.Chunk(result.Machines, c.limits.maxChanges()) {
		if result.OK {
			c.storeTerminated(batch)
		} else {
			c.autoscaler.retryRelease(batch)
		}
	}
}

// retryRelease makes machines eligible for release again after the cloud or the store has failed.
func (a *autoscaler) retryRelease(names []string) {
	for _, name := range names {
		delete(a.releasing, name)
	}
}

// storeTerminated records in the store that machines are terminated.
func (c *Core) storeTerminated(names []string) {
	txn := protocol.Txn{If: []protocol.Condition{c.fleet.leaderCondition()}}
	for _, name := range names {
		txn.Then = append(txn.Then, putJSON(keyCordon+name, cordonRecord{Terminated: true}))
	}
	c.compareAndSwap(txn, true, func(r StoreReply) {
		if r.Outcome != OutcomeApplied {
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

// deleteTerminatedCordons deletes the cordons of machines that were terminated long ago, so that
// the stored state does not grow without bound. If a task is bound to such a machine even after that,
// the machine is released again: the cloud also confirms releases of machines that it does not know,
// and the binding is then removed.
func (c *Core) deleteTerminatedCordons() {
	retention := terminatedRetentionLeases * seconds(c.cfg.Params.Workers.LeaseS)
	txn := protocol.Txn{If: []protocol.Condition{c.fleet.leaderCondition()}}
	for name, cordon := range ordered(c.cordons) {
		if !cordon.Terminated || c.machines.HasBindings(name) || c.now.Steady-cordon.since < retention {
			continue
		}
		txn.Then = append(txn.Then, protocol.Change{Delete: keyCordon + name})
		if len(txn.Then) == c.limits.maxChanges() {
			break
		}
	}
	if len(txn.Then) > 0 && c.every(&c.timers.cordonCleanup, c.reportInterval()) {
		c.compareAndSwap(txn, false, func(StoreReply) {})
	}
}
