package core

import (
	"time"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/protocol"
)

// autoscaler is what scaling out and in keeps. One controller scales at a time: the leader of
// the fleet.
type autoscaler struct {
	// cordoning is since when machines are being cordoned or returned.
	cordoning map[string]time.Duration
	// releasing is since when machines are being released at the cloud.
	releasing map[string]time.Duration
	// inventory is the cloud's newest list, inventoryAt when it came.
	inventory   map[string]protocol.ListedMachine
	inventoryAt time.Duration
	// firstSeen is when a machine was first listed or rented.
	firstSeen map[string]time.Duration
	// backoffs pause offers that the cloud has refused.
	backoffs map[offerKey]backoff
	// returnReasons names the machines that are to be returned with all that is on them.
	returnReasons map[string]string
	provisioning  provisioningTimes
	// zoneOutages holds the zones that were cut off when they were last judged.
	zoneOutages map[string]bool
	// leaderSince is when this node became the leader of the fleet.
	leaderSince time.Duration
}

// offerKey names a kind of machines in a zone, which the cloud may have or not.
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

// reset starts over on a node that has just become the leader of the fleet.
func (a *autoscaler) reset(now time.Duration) {
	*a = newAutoscaler()
	a.leaderSince = now
}

// setInventory takes the cloud's newest list.
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

// firstSeenAt is when a machine was first listed or rented, which is now for a new one.
func (a *autoscaler) firstSeenAt(machine string, now time.Duration) time.Duration {
	if _, known := a.firstSeen[machine]; !known {
		a.firstSeen[machine] = now
	}
	return a.firstSeen[machine]
}

// isListed tells whether the cloud's newest list has a machine.
func (a *autoscaler) isListed(machine string) bool {
	_, listed := a.inventory[machine]
	return listed
}

// isCordoning tells whether a machine is being cordoned or returned.
func (a *autoscaler) isCordoning(machine string) bool {
	_, cordoning := a.cordoning[machine]
	return cordoning
}

// beginCordon notes that a machine is being cordoned.
func (a *autoscaler) beginCordon(machine string, now time.Duration) { a.cordoning[machine] = now }

// beginReturn notes that a machine is to be returned with all that is on it.
func (a *autoscaler) beginReturn(machine, reason string, now time.Duration) {
	a.returnReasons[machine] = reason
	a.beginCordon(machine, now)
}

// isReturning tells whether a machine is to be returned with all that is on it.
func (a *autoscaler) isReturning(machine string) bool { return a.returnReasons[machine] != "" }

// forgetReturned forgets a machine that the cloud has taken back.
func (a *autoscaler) forgetReturned(machine string) {
	delete(a.cordoning, machine)
	delete(a.returnReasons, machine)
}

// isBackedOff tells whether an offer is paused.
func (a *autoscaler) isBackedOff(key offerKey, now time.Duration) bool {
	return now < a.backoffs[key].until
}

// backOff pauses an offer, longer each time, and tells for how long.
func (a *autoscaler) backOff(key offerKey, now, least, most time.Duration) time.Duration {
	a.backoffs[key] = a.backoffs[key].grow(now, least, most)
	return a.backoffs[key].last
}

// handleCatalog takes the cloud's machine types.
func (c *Core) handleCatalog(m CatalogReceived) {
	if !c.catalog.Loaded() {
		c.log(Info, "catalog loaded", "types", len(m.Types))
	}
	c.catalog = catalog.New(m.Types)
	c.requestRound()
}

// handleInventory takes the cloud's list of machines.
func (c *Core) handleInventory(m InventoryReceived) {
	c.autoscaler.setInventory(m.Machines, c.now.Steady)
}

// runAutoscaler rents for what finds no room and returns what nobody needs.
func (c *Core) runAutoscaler() {
	if !c.catalog.Loaded() {
		return
	}
	c.autoscaler.updateProvisioningTimes(c.now.Steady, c.machines, c.catalog)
	c.checkIntents()
	c.reconcileInventory()
	c.cordonIdle()
	c.releaseCordoned()
	c.forgetTerminated()
	c.scaleOut()
}
