package core

import (
	"time"

	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// Reasons for returning a machine together with everything that runs on it.
const (
	reasonProvisioningFailed = "failed"
	reasonNotProvisioned     = "does not come up"
	reasonNeverReported      = "never heard"
	reasonReclaimed          = "taken back"
	reasonSilent             = "silent"
	reasonUnlisted           = "no longer listed"
	reasonTasksFail          = "tasks fail on it"
	// reasonUnknownMachine is given by the leader of a job with a binding on the machine, if the
	// leader has had no contact with the machine for too long. It may not know the machine at all.
	reasonUnknownMachine = "unknown"
)

const (
	// zoneOutageLeases is how long machines in a zone outage are kept, in worker leases.
	zoneOutageLeases = 3
	// unlistedListLags is the number of list lags that a new machine may be missing from the cloud's
	// list. A machine that is missing later counts as terminated.
	unlistedListLags = 3
)

// reconcileInventory returns machines that failed, never booted, stopped reporting, were reclaimed, are
// no longer listed or fail their tasks. Until the silence timeout has passed, a new fleet leader only
// returns machines that the cloud lists as failed: workers may still be switching to a controller that
// answers them, and after a restart of all controllers no machine has reported to the leader yet.
func (c *Core) reconcileInventory() {
	settled := c.now.Steady-c.autoscaler.leaderSince > c.silenceTimeout()
	c.autoscaler.deleteTerminatedTimes(c.cordons)
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

// deleteTerminatedTimes drops the recorded times of machines that have been terminated.
func (a *autoscaler) deleteTerminatedTimes(cordoned cordons) {
	for name := range a.firstSeen {
		if !a.isListed(name) && cordoned.isTerminated(name) {
			delete(a.firstSeen, name)
			delete(a.provisioning.observed, name)
		}
	}
}

// reconcileListed returns a listed machine that the cloud reports as failed, or that has never
// reported within its provisioning timeout. absenceConclusive is set if the absence of reports shows
// that a machine has failed.
func (c *Core) reconcileListed(l protocol.ListedMachine, absenceConclusive bool) {
	if l.State == protocol.Failed {
		c.returnMachine(l.ID, reasonProvisioningFailed)
		return
	}
	if !absenceConclusive || c.machines.Get(l.ID) != nil {
		return
	}
	timeout := c.provisioningTimeout(l.Type)
	if age := c.now.Steady - c.autoscaler.firstSeen[l.ID]; age <= timeout {
		return
	}
	switch {
	case l.State == protocol.Booting:
		if c.returnMachine(l.ID, reasonNotProvisioned) {
			c.recordProvisioningFailure(l)
		}
	case c.now.Steady-c.autoscaler.leaderSince > timeout:
		c.returnMachine(l.ID, reasonNeverReported)
	}
}

// reconcileKnown returns a machine that has reported before but was reclaimed, stopped reporting, is
// no longer listed, or fails its tasks.
func (c *Core) reconcileKnown(name string, m *worker.Machine, zoneOutage bool) {
	sinceContact := c.now.Steady - m.LastContact
	toleratedInOutage := zoneOutage && sinceContact < zoneOutageLeases*seconds(c.cfg.Params.Workers.LeaseS)
	switch {
	case m.ReclaimAt > 0 && c.now.Steady > m.ReclaimAt+c.reportInterval()/4:
		c.returnMachine(name, reasonReclaimed)
	case sinceContact > c.silenceTimeout() && !toleratedInOutage && c.knowsMachinesOfAllControllers():
		c.returnMachine(name, reasonSilent)
	case sinceContact > 2*c.reportInterval() && c.autoscaler.isUnlisted(name, c.now.Steady, c.listTolerance()):
		c.returnMachine(name, reasonUnlisted)
	}
	if c.failureScore(m) >= cordonThreshold {
		c.returnMachine(name, reasonTasksFail)
	}
}

// knowsMachinesOfAllControllers reports whether this node knows which machines report to each live
// controller. Only then do missing reports mean that the machine itself has failed.
func (c *Core) knowsMachinesOfAllControllers() bool {
	for node := range c.members.live {
		if !c.peerReachability.knowsMachinesOf(node) {
			return false
		}
	}
	return true
}

// updateZoneOutages determines which zones are probably partitioned, and logs each change.
func (c *Core) updateZoneOutages() map[string]bool {
	outages := map[string]bool{}
	for _, zone := range c.cfg.Params.Zones {
		outages[zone] = c.isZoneOutage(zone)
		wasOutage := c.autoscaler.zoneOutages[zone]
		switch {
		case outages[zone] && !wasOutage:
			c.log(Info, "zone outage detected", "zone", zone)
		case wasOutage && !outages[zone]:
			c.log(Info, "zone outage ended", "zone", zone)
		}
	}
	c.autoscaler.zoneOutages = outages
	return outages
}

// isZoneOutage reports whether a zone is probably partitioned as a whole: it is not this node's zone,
// it has controllers, and there is no contact with any of them or with the zone's machines. Tasks in
// the zone keep running, since its controllers still answer its workers, and are still there when the
// partition ends. If the machines were returned after the usual silence timeout, all of these tasks
// would run again.
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
		if c.peerReachability.hasContact(p.Node) {
			return false
		}
	}
	return controllers > 0 && c.now.Steady-c.machines.LastZoneContact(zone) > 2*c.reportInterval()
}

// returnMachine marks a machine to be returned together with everything that runs on it. It
// reports false if the machine is already marked or terminated.
func (c *Core) returnMachine(name, reason string) bool {
	if c.cordons.isTerminated(name) || c.autoscaler.isReturning(name) {
		return false
	}
	c.log(Info, "returning machine", "machine", name, "reason", reason)
	c.autoscaler.beginReturn(name, reason, c.now.Steady)
	return true
}

// listTolerance is the time for which a new machine may be missing from the cloud's list.
func (c *Core) listTolerance() time.Duration {
	return unlistedListLags * seconds(c.cfg.Params.Cloud.ListLagS)
}

// isUnlisted reports whether a machine has probably been terminated by the cloud: it is missing from a
// list that was received more than the tolerance after the machine was rented. A list may be late or
// older than the previous one, and so lack a new machine, but any other machine stays listed until it
// is terminated.
func (a *autoscaler) isUnlisted(name string, now, tolerance time.Duration) bool {
	return !a.isListed(name) && a.inventoryAt-a.firstSeenAt(name, now) > tolerance
}

// handleReturnRequest handles another controller's request to return a machine.
func (c *Core) handleReturnRequest(m ReturnRequest) {
	if !c.fleet.leading {
		return
	}
	if m.Reason == reasonUnknownMachine && c.evaluatesMachine(m.Machine) {
		return
	}
	c.returnMachine(m.Machine, m.Reason)
}

// evaluatesMachine reports whether the fleet leader itself decides about a machine that another
// controller has no contact with. It does so if it knows the machine from reports, or if the cloud
// lists the machine in a zone with an outage: a controller that starts during the outage receives no
// reports of the zone's machines, which is no reason to terminate them and their tasks.
func (c *Core) evaluatesMachine(name string) bool {
	listed, isListed := c.autoscaler.inventory[name]
	return c.machines.Get(name) != nil || isListed && c.isZoneOutage(listed.Zone)
}
