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

// forgetTerminated drops the marks of machines that have long been gone, so that the
// state does not grow. A binding that still came to one would be settled by
// another release, which the cloud answers for names that it does not know too.
func (c *Core) forgetTerminated() {
	txn := protocol.Txn{If: []protocol.Condition{c.fleet.leaderCondition()}}
	for id, k := range ordered(c.cordons) {
		if !k.Terminated || c.machines.HasBindings(id) || c.now.Steady-k.since < terminatedLeases*seconds(c.cfg.Params.Workers.LeaseS) {
			continue
		}
		if txn.Then = append(txn.Then, protocol.Change{Delete: keyCordon + id}); len(txn.Then) == c.limits.maxChanges() {
			break
		}
	}
	if len(txn.Then) > 0 && c.every(&c.timers.forget, c.reportInterval()) {
		c.compareAndSwap(txn, false, func(StoreReply) {})
	}
}

// terminatedLeases is for how many leases the mark of a machine that is gone is kept.
const terminatedLeases = 100

// reconcileInventory gives up machines that failed, never come up, or fell silent. A new
// renter waits before it judges: workers may still be on their way to a node
// that answers them, and after an end of all controllers every machine is new
// to it.
func (c *Core) reconcileInventory() {
	settled := c.now.Steady-c.autoscaler.leaderSince > c.silenceLimit()
	for id := range c.autoscaler.firstSeen {
		if _, listed := c.autoscaler.inventory[id]; !listed && c.cordons[id].Terminated {
			delete(c.autoscaler.firstSeen, id)
			delete(c.autoscaler.provisioning.observed, id)
		}
	}
	dark := c.zoneOutages()
	for id, l := range ordered(c.autoscaler.inventory) {
		age := c.now.Steady - c.autoscaler.firstSeen[id]
		limit := c.provisioningTimeout(l.Type)
		switch {
		case l.State == protocol.Failed:
			c.returnMachine(id, "failed")
		case c.machines.Get(id) != nil || !settled || dark[l.Zone]:
		case l.State == protocol.Booting && age > limit:
			if c.returnMachine(id, "does not come up") {
				c.failedProvisioning(l)
			}
		case l.State != protocol.Booting && c.now.Steady-c.autoscaler.leaderSince > limit && age > limit:
			c.returnMachine(id, "never heard")
		}
	}
	if !settled {
		return
	}
	for id, m := range c.machines.All() {
		switch quiet := c.now.Steady - m.LastContact; {
		case m.ReclaimAt > 0 && c.now.Steady > m.ReclaimAt+c.reportInterval()/4:
			c.returnMachine(id, "taken back")
		case quiet > c.silenceLimit() && c.knowsAllMachines() && !(dark[m.Zone] && quiet < zoneOutageLeases*seconds(c.cfg.Params.Workers.LeaseS)):
			c.returnMachine(id, "silent")
		case quiet > 2*c.reportInterval() && c.isUnlisted(id):
			c.returnMachine(id, "no longer listed")
		}
		if c.failureScore(m) >= cordonThreshold {
			c.returnMachine(id, "tasks fail on it")
		}
	}
}

// knowsAllMachines tells whether this node knows of every live controller which machines
// it hears; only then is a machine's silence the machine's own.
func (c *Core) knowsAllMachines() bool {
	for node := range c.members.live {
		if !c.knowsMachinesOf(node) {
			return false
		}
	}
	return true
}

// zoneOutageLeases is for how many leases machines behind a cut are left alone.
const zoneOutageLeases = 3

// zoneOutages lists the zones that are probably cut off, and tells the operator when
// one goes or comes back.
func (c *Core) zoneOutages() map[string]bool {
	now := map[string]bool{}
	for _, zone := range c.cfg.Params.Zones {
		if now[zone] = c.isZoneOutage(zone); now[zone] != c.autoscaler.zoneOutages[zone] {
			c.log(Info, "zone is cut off or back", "zone", zone, "cut off", now[zone])
		}
	}
	c.autoscaler.zoneOutages = now
	return now
}

// isZoneOutage tells whether a zone is probably cut off with all that is in it: nothing
// is heard from its machines, nor from any of its controllers. Work goes on in
// there, since those controllers go on answering its workers, and comes back
// whole with the zone; given up after the usual silence it would all run again.
func (c *Core) isZoneOutage(zone string) bool {
	controllers := 0
	for _, p := range c.cfg.Peers {
		if p.Zone != zone {
			continue
		}
		if controllers++; c.hasContact(p.Node) {
			return false
		}
	}
	return controllers > 0 && zone != c.cfg.Zone && c.now.Steady-c.machines.LastZoneContact(zone) > 2*c.reportInterval()
}

// returnMachine has a machine released with all that is on it, and tells whether that is
// new.
func (c *Core) returnMachine(id, why string) bool {
	if c.cordons[id].Terminated || c.autoscaler.returnReasons[id] != "" {
		return false
	}
	c.log(Info, "machine given up", "machine", id, "why", why)
	c.autoscaler.returnReasons[id], c.autoscaler.cordoning[id] = why, c.now.Steady
	return true
}

// isUnlisted tells whether the cloud has taken a machine back: a list may be late
// or older than the one before, but what has been listed stays so until it is
// gone.
func (c *Core) isUnlisted(id string) bool {
	_, listed := c.autoscaler.inventory[id]
	return !listed && c.autoscaler.inventoryAt-c.firstSeenAt(id) > 3*seconds(c.cfg.Params.Cloud.ListLagS)
}

func (c *Core) handleReturnRequest(m ReturnRequest) {
	if c.fleet.leading && (m.Reason != reasonUnknownMachine || !c.judgesMachine(m.Machine)) {
		c.returnMachine(m.Machine, m.Reason)
	}
}

// judgesMachine tells whether a machine that another controller has never heard of
// is the renter's to judge: one that the renter knows, or that the cloud lists in
// a dark zone. A controller that starts while a zone is cut off hears nothing of
// the machines in it, and had them all given up with the work on them.
func (c *Core) judgesMachine(id string) bool {
	l, listed := c.autoscaler.inventory[id]
	return c.machines.Get(id) != nil || listed && c.isZoneOutage(l.Zone)
}

// reasonUnknownMachine is why a home condemns a machine of which it has only the bindings.
const reasonUnknownMachine = "unknown"

// scaleInIdle closes machines that have had nothing to do for a while.
func (c *Core) scaleInIdle() {
	for id, m := range c.machines.All() {
		if !c.machines.UsedResources(m).Fits(job.Resources{}) {
			m.IdleSince = c.now.Steady
		} else if c.now.Steady-m.IdleSince > c.idleTimeout(m) && !c.scheduler.reservations.includes(id) {
			c.cordonMachine(id, "idle")
		}
	}
}

// idleTimeout is how long a machine is kept without work: a part of what a new
// one would take to come.
func (c *Core) idleTimeout(m *worker.Machine) time.Duration {
	return max(c.catalog.BootTime(m.Type)/4, 2*c.reportInterval())
}

// cordonMachine writes the mark that no binding can pass. Once the replica shows
// it, the replica also shows every binding that came before it.
func (c *Core) cordonMachine(id, why string) {
	if _, marked := c.cordons[id]; marked {
		return
	}
	if at, ok := c.autoscaler.cordoning[id]; ok && c.now.Steady-at < c.silenceLimit() {
		return
	}
	c.autoscaler.cordoning[id] = c.now.Steady
	c.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{c.fleet.leaderCondition(), {Key: keyCordon + id}},
		Then: []protocol.Change{putJSON(keyCordon+id, cordonRecord{Reason: why})},
	}, false, func(r StoreReply) {
		if r.Outcome == Refused || r.Outcome == NoLease {
			delete(c.autoscaler.cordoning, id)
		}
	})
}

// returnCordoned releases closed machines that nothing is bound to, and returning
// ones whatever is bound to them. Doomed ones need no mark first: what is bound
// to them meanwhile is bound to a machine that is gone. So a cancelled task is
// ended in time even while the state service is down.
func (c *Core) returnCordoned() {
	var names []string
	due := maps.Clone(c.cordons)
	for id := range c.autoscaler.returnReasons {
		due[id] = c.cordons[id]
	}
	for _, id := range slices.Sorted(maps.Keys(due)) {
		if c.cordons[id].Terminated || c.machines.HasBindings(id) && c.autoscaler.returnReasons[id] == "" && c.cordons[id].Reason == "idle" {
			continue
		}
		if at, ok := c.autoscaler.releasing[id]; ok && c.now.Steady-at < c.silenceLimit() {
			continue
		}
		if len(names) < protocol.MaxRelease {
			c.autoscaler.releasing[id] = c.now.Steady
			names = append(names, id)
		}
	}
	if len(names) > 0 {
		c.emit(ReleaseMachines{Machines: names})
	}
}

// handleRelease notes the cloud's word that machines are gone, which ends all that
// was bound to them.
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
		if !m.OK {
			for _, id := range batch {
				delete(c.autoscaler.releasing, id)
			}
			continue
		}
		txn := protocol.Txn{If: []protocol.Condition{c.fleet.leaderCondition()}}
		for _, id := range batch {
			txn.Then = append(txn.Then, putJSON(keyCordon+id, cordonRecord{Terminated: true}))
		}
		c.compareAndSwap(txn, true, func(r StoreReply) {
			for _, id := range batch {
				if r.Outcome != Applied {
					delete(c.autoscaler.releasing, id)
					continue
				}
				c.log(Info, "machine returned", "machine", id, "why", cmp.Or(c.autoscaler.returnReasons[id], c.cordons[id].Reason))
				c.onCordonPut(id, cordonRecord{Terminated: true, version: r.Revision})
				delete(c.autoscaler.cordoning, id)
				delete(c.autoscaler.returnReasons, id)
			}
		})
	}
}
