package core

import (
	"time"

	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// Reasons for which machines are returned with all that is on them.
const (
	reasonProvisioningFailed = "failed"
	reasonNotProvisioned     = "does not come up"
	reasonNeverReported      = "never heard"
	reasonReclaimed          = "taken back"
	reasonSilent             = "silent"
	reasonUnlisted           = "no longer listed"
	reasonTasksFail          = "tasks fail on it"
	// reasonUnknownMachine is why another leader asks for the return of a machine of which it
	// has only the bindings.
	reasonUnknownMachine = "unknown"
)

const (
	// zoneOutageLeases is for how many leases machines in a zone outage are left alone.
	zoneOutageLeases = 3
	// unlistedLags is after how many lags of the cloud's list a machine that was never listed
	// counts as gone.
	unlistedLags = 3
)

// reconcileInventory returns machines that failed, never come up, or fell silent. A new leader
// of the fleet waits before it judges: workers may still be on their way to a node that answers
// them, and after an end of all controllers every machine is new to it.
func (c *Core) reconcileInventory() {
	settled := c.now.Steady-c.autoscaler.leaderSince > c.silenceLimit()
	c.autoscaler.forgetUnlisted(c.cordons)
	outages := c.updateZoneOutages()
	for _, listed := range ordered(c.autoscaler.inventory) {
		c.reconcileListed(listed, settled && !outages[listed.Zone])
	}
	if !settled {
		return
	}
	for name, m := range c.machines.All() {
		c.reconcileKnown(name, m, outages[m.Zone])
	}
}

// forgetUnlisted forgets the times of machines that have been returned.
func (a *autoscaler) forgetUnlisted(cordoned cordons) {
	for name := range a.firstSeen {
		if !a.isListed(name) && cordoned.isTerminated(name) {
			delete(a.firstSeen, name)
			delete(a.provisioning.observed, name)
		}
	}
}

// reconcileListed returns a machine that the cloud calls failed, or that has never reported
// where silence can be judged.
func (c *Core) reconcileListed(l protocol.ListedMachine, mayJudgeSilence bool) {
	if l.State == protocol.Failed {
		c.returnMachine(l.ID, reasonProvisioningFailed)
		return
	}
	if !mayJudgeSilence || c.machines.Get(l.ID) != nil {
		return
	}
	timeout := c.provisioningTimeout(l.Type)
	if age := c.now.Steady - c.autoscaler.firstSeen[l.ID]; age <= timeout {
		return
	}
	switch {
	case l.State == protocol.Booting:
		if c.returnMachine(l.ID, reasonNotProvisioned) {
			c.noteProvisioningFailure(l)
		}
	case c.now.Steady-c.autoscaler.leaderSince > timeout:
		c.returnMachine(l.ID, reasonNeverReported)
	}
}

// reconcileKnown returns a machine that has reported before and is gone or of no use.
func (c *Core) reconcileKnown(name string, m *worker.Machine, zoneOutage bool) {
	quiet := c.now.Steady - m.LastContact
	leftAlone := zoneOutage && quiet < zoneOutageLeases*seconds(c.cfg.Params.Workers.LeaseS)
	switch {
	case m.ReclaimAt > 0 && c.now.Steady > m.ReclaimAt+c.reportInterval()/4:
		c.returnMachine(name, reasonReclaimed)
	case quiet > c.silenceLimit() && !leftAlone && c.knowsAllMachines():
		c.returnMachine(name, reasonSilent)
	case quiet > 2*c.reportInterval() && c.autoscaler.isUnlisted(name, c.now.Steady, c.listTolerance()):
		c.returnMachine(name, reasonUnlisted)
	}
	if c.failureScore(m) >= cordonThreshold {
		c.returnMachine(name, reasonTasksFail)
	}
}

// knowsAllMachines tells whether this node knows of every live controller which machines
// report to it; only then is a machine's silence the machine's own.
func (c *Core) knowsAllMachines() bool {
	for node := range c.members.live {
		if !c.reach.knowsMachinesOf(node) {
			return false
		}
	}
	return true
}

// updateZoneOutages lists the zones that are probably cut off, and logs each change.
func (c *Core) updateZoneOutages() map[string]bool {
	outages := map[string]bool{}
	for _, zone := range c.cfg.Params.Zones {
		outages[zone] = c.isZoneOutage(zone)
		before := c.autoscaler.zoneOutages[zone]
		switch {
		case outages[zone] && !before:
			c.log(Info, "zone outage began", "zone", zone)
		case before && !outages[zone]:
			c.log(Info, "zone outage ended", "zone", zone)
		}
	}
	c.autoscaler.zoneOutages = outages
	return outages
}

// isZoneOutage tells whether a zone is probably cut off with all that is in it: nothing is
// heard from its machines, nor from any of its controllers. Work goes on in there, since those
// controllers go on answering its workers, and comes back whole with the zone; returned after
// the usual silence it would all run again.
func (c *Core) isZoneOutage(zone string) bool {
	if zone == c.cfg.Zone {
		return false
	}
	controllers := 0
	for _, p := range c.cfg.Peers {
		if p.Zone != zone {
			continue
		}
		controllers++
		if c.reach.hasContact(p.Node) {
			return false
		}
	}
	return controllers > 0 && c.now.Steady-c.machines.LastZoneContact(zone) > 2*c.reportInterval()
}

// returnMachine has a machine released with all that is on it, and tells whether that is new.
func (c *Core) returnMachine(name, reason string) bool {
	if c.cordons.isTerminated(name) || c.autoscaler.isReturning(name) {
		return false
	}
	c.log(Info, "returning machine", "machine", name, "reason", reason)
	c.autoscaler.beginReturn(name, reason, c.now.Steady)
	return true
}

// listTolerance is how late the cloud's list may be.
func (c *Core) listTolerance() time.Duration {
	return unlistedLags * seconds(c.cfg.Params.Cloud.ListLagS)
}

// isUnlisted tells whether the cloud has taken a machine back: a list may be late or older
// than the one before, but what has been listed stays so until it is gone.
func (a *autoscaler) isUnlisted(name string, now, tolerance time.Duration) bool {
	return !a.isListed(name) && a.inventoryAt-a.firstSeenAt(name, now) > tolerance
}

// handleReturnRequest takes another controller's request to return a machine.
func (c *Core) handleReturnRequest(m ReturnRequest) {
	if !c.fleet.leading {
		return
	}
	if m.Reason == reasonUnknownMachine && c.judgesMachine(m.Machine) {
		return
	}
	c.returnMachine(m.Machine, m.Reason)
}

// judgesMachine tells whether the leader of the fleet itself judges a machine that another
// controller has never heard of: one that it knows, or that the cloud lists in a zone outage.
// A controller that starts during an outage hears nothing of the machines in the zone, which
// must not be returned for that with the work on them.
func (c *Core) judgesMachine(name string) bool {
	listed, isListed := c.autoscaler.inventory[name]
	return c.machines.Get(name) != nil || isListed && c.isZoneOutage(listed.Zone)
}
