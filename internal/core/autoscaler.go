package core

import (
	"time"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/protocol"
)

// autoscaler is the state of scaling out and in. Only the fleet leader scales.
type autoscaler struct {
	// cordoning holds the time since which each machine is being cordoned or returned.
	cordoning map[string]time.Duration
	// releasing holds the time of the latest release of each machine, that is, of the call to the
	// cloud.
	releasing map[string]time.Duration
	// inventory is the cloud's latest list of machines, received at inventoryAt.
	inventory   map[string]protocol.ListedMachine
	inventoryAt time.Duration
	// firstSeen holds the time at which each machine was rented. It is derived from the machine's age
	// in the list, or is the time of the first call of firstSeenAt for the machine.
	firstSeen map[string]time.Duration
	// backoffs holds the backoffs of offers that the cloud could not supply, or whose machines
	// repeatedly failed to boot. Nothing is rented from an offer in backoff.
	backoffs map[offerKey]backoff
	// returnReasons holds the machines that are to be returned to the cloud together with
	// everything that runs on them, and the reason for each.
	returnReasons map[string]string
	provisioning  provisioningTimes
	// zoneOutages holds whether each zone was considered partitioned at the latest check.
	zoneOutages map[string]bool
	// leaderSince is when this node became the fleet leader.
	leaderSince time.Duration
}

// offerKey identifies an offer of the cloud: a machine type in a zone, either spot or on-demand. The
// cloud may or may not have capacity for it.
type offerKey struct {
	typ, zone string
	spot      bool
}

func newAutoscaler() autoscaler {
	return autoscaler{
		cordoning:     map[string]time.Duration{},
		releasing:     map[string]time.Duration{},
		inventory:     map[string]protocol.ListedMachine{},
		firstSeen:     map[string]time.Duration{},
		backoffs:      map[offerKey]backoff{},
		returnReasons: map[string]string{},
		provisioning:  newProvisioningTimes(),
	}
}

// reset clears the state when this node becomes the fleet leader.
func (a *autoscaler) reset(now time.Duration) {
	*a = newAutoscaler()
	a.leaderSince = now
}

// setInventory replaces the inventory with the cloud's latest list.
func (a *autoscaler) setInventory(machines []protocol.ListedMachine, now time.Duration) {
	a.inventoryAt = now
	a.inventory = make(map[string]protocol.ListedMachine, len(machines))
	for _, l := range machines {
		a.inventory[l.ID] = l
		if _, known := a.firstSeen[l.ID]; !known {
			a.firstSeen[l.ID] = now - seconds(l.AgeS)
		}
	}
}

// firstSeenAt returns when a machine was rented, as far as known. For a machine that is not known yet,
// it records and returns the current time.
func (a *autoscaler) firstSeenAt(machine string, now time.Duration) time.Duration {
	if _, known := a.firstSeen[machine]; !known {
		a.firstSeen[machine] = now
	}
	return a.firstSeen[machine]
}

// isListed reports whether the cloud's latest list contains a machine.
func (a *autoscaler) isListed(machine string) bool {
	_, listed := a.inventory[machine]
	return listed
}

// isCordoning reports whether a machine is being cordoned or returned.
func (a *autoscaler) isCordoning(machine string) bool {
	_, cordoning := a.cordoning[machine]
	return cordoning
}

// beginCordon records that a machine is being cordoned.
func (a *autoscaler) beginCordon(machine string, now time.Duration) { a.cordoning[machine] = now }

// beginReturn records that a machine is to be returned together with everything that runs on it.
func (a *autoscaler) beginReturn(machine, reason string, now time.Duration) {
	a.returnReasons[machine] = reason
	a.beginCordon(machine, now)
}

// isReturning reports whether a machine is to be returned together with everything that runs on
// it.
func (a *autoscaler) isReturning(machine string) bool { return a.returnReasons[machine] != "" }

// forgetReturned drops the state of a machine that has been returned to the cloud.
func (a *autoscaler) forgetReturned(machine string) {
	delete(a.cordoning, machine)
	delete(a.returnReasons, machine)
}

// forgetReturns drops the state of all machines that are to be returned, when this node stops being the
// fleet leader. The next fleet leader decides about them from what it knows, and cordons are stored.
func (a *autoscaler) forgetReturns() {
	clear(a.cordoning)
	clear(a.returnReasons)
	clear(a.releasing)
}

// isBackedOff reports whether an offer is in backoff: nothing is rented from it for now.
func (a *autoscaler) isBackedOff(key offerKey, now time.Duration) bool {
	return now < a.backoffs[key].until
}

// backOff puts an offer in backoff for twice as long as the last time, within the given bounds, and
// returns the duration.
func (a *autoscaler) backOff(key offerKey, now, least, most time.Duration) time.Duration {
	a.backoffs[key] = a.backoffs[key].grow(now, least, most)
	return a.backoffs[key].lastPause
}

// handleCatalog replaces the catalog of machine types.
func (c *Core) handleCatalog(m CatalogReceived) {
	if !c.catalog.Loaded() {
		c.log(Info, "catalog loaded", "types", len(m.Types))
	}
	c.catalog = catalog.New(m.Types)
	c.requestRound()
}

// handleInventory handles the cloud's reply with its list of machines.
func (c *Core) handleInventory(m InventoryReceived) {
	c.autoscaler.setInventory(m.Machines, c.now.Steady)
}

// runAutoscaler rents machines for unplaced demand and returns machines that are idle, lost, reclaimed
// or faulty.
func (c *Core) runAutoscaler() {
	if !c.catalog.Loaded() {
		return
	}
	c.autoscaler.updateProvisioningTimes(c.now.Steady, c.machines, c.catalog)
	c.checkIntents()
	c.reconcileInventory()
	c.cordonIdle()
	c.releaseCordoned()
	c.deleteTerminatedCordons()
	c.scaleOut()
}
