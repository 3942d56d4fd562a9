package core

import (
	"fmt"
	"time"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/core/scaling"
	"pepperlever/internal/protocol"
)

// autoscaler is what the renter keeps. One controller rents at a time: the home
// of the pseudo team of the fleet.
type autoscaler struct {
	// cordoning holds machines that are being closed for return.
	cordoning map[string]time.Duration
	// releasing holds machines whose release is on its way to the cloud.
	releasing map[string]time.Duration
	// inventory is the cloud's newest list; came is when a machine was first
	// listed or rented.
	inventory map[string]protocol.ListedMachine
	firstSeen map[string]time.Duration
	// inventoryAt is when that list came.
	inventoryAt time.Duration
	// backoffs remembers refusals per type, zone and kind.
	backoffs      map[offerKey]backoff
	returnReasons map[string]string
	provisioning  provisioningTimes
	// zoneOutages holds the zones that were cut off when they were last judged.
	zoneOutages map[string]bool
	// leaderSince is when this node became the renter.
	leaderSince time.Duration
}

type offerKey struct {
	typ, zone string
	spot      bool
}

func newAutoscaler() autoscaler {
	return autoscaler{cordoning: map[string]time.Duration{}, releasing: map[string]time.Duration{},
		inventory: map[string]protocol.ListedMachine{}, firstSeen: map[string]time.Duration{},
		backoffs: map[offerKey]backoff{}, returnReasons: map[string]string{}, provisioning: newProvisioningTimes()}
}

// isCordoning tells whether a machine is being cordoned or returned.
func (s *autoscaler) isCordoning(machine string) bool {
	_, cordoning := s.cordoning[machine]
	return cordoning
}

// reset starts the renter's part over.
func (s *autoscaler) reset(now time.Duration) {
	*s = newAutoscaler()
	s.leaderSince = now
}

func (c *Core) handleCatalog(m CatalogReceived) {
	if !c.catalog.Loaded() {
		c.log(Info, "catalog loaded", "types", len(m.Types))
	}
	c.catalog = catalog.New(m.Types)
	c.requestRound()
}

func (c *Core) handleInventory(m InventoryReceived) {
	c.autoscaler.inventoryAt = c.now.Steady
	c.autoscaler.inventory = make(map[string]protocol.ListedMachine, len(m.Machines))
	for _, l := range m.Machines {
		c.autoscaler.inventory[l.ID] = l
		if _, known := c.autoscaler.firstSeen[l.ID]; !known {
			c.autoscaler.firstSeen[l.ID] = c.now.Steady - seconds(l.AgeS)
		}
	}
}

// runAutoscaler rents for what finds no room and returns what nobody needs.
func (c *Core) runAutoscaler() {
	if !c.catalog.Loaded() {
		return
	}
	c.updateProvisioningTimes()
	c.checkIntents()
	c.reconcileInventory()
	c.scaleInIdle()
	c.returnCordoned()
	c.forgetTerminated()
	c.scaleOut()
}

// checkIntents repeats rentals without an answer under the same name, and drops
// those whose machines have all shown up.
func (c *Core) checkIntents() {
	for name, i := range ordered(c.intents) {
		switch {
		case i.pending:
		case i.Machines == nil:
			i.pending = true
			c.emit(RequestRental{Rental: i.Rental})
		case c.allRegistered(i):
			i.pending = true
			c.dropIntent(name, i)
		}
	}
}

func (c *Core) allRegistered(i *rentalIntent) bool {
	for _, id := range i.Machines {
		_, listed := c.autoscaler.inventory[id]
		_, gone := c.cordons[id]
		if !listed && !gone && c.machines.Get(id) == nil {
			return false
		}
	}
	return true
}

func (c *Core) dropIntent(name string, i *rentalIntent) {
	c.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{c.fleet.leaderCondition()},
		Then: []protocol.Change{{Delete: keyIntent + name}},
	}, false, func(r StoreReply) {
		i.pending = false
		if r.Outcome == Applied {
			delete(c.intents, name)
		}
	})
}

func (c *Core) onIntentPut(name string, i *rentalIntent, version uint64) {
	if old := c.intents[name]; old != nil {
		if old.version < version {
			old.version, old.Machines = version, i.Machines
		}
		return
	}
	i.version = version
	if !c.fleet.leading {
		c.intents[name] = i
	}
}

// pendingCapacity lists the machines that are rented but do not report yet.
func (c *Core) pendingCapacity() []*placement.Host {
	var out []*placement.Host
	seen := map[string]bool{}
	add := func(id, typ, zone string, spot bool) {
		t, known := c.catalog.Lookup(typ)
		_, closing := c.cordons[id]
		if !known || closing || seen[id] || c.machines.Get(id) != nil {
			return
		}
		seen[id] = true
		size := catalog.Capacity(t)
		out = append(out, &placement.Host{ID: id, Type: typ, Zone: zone, Spot: spot, Free: size, Capacity: size, RemainingS: -1})
	}
	for _, l := range ordered(c.autoscaler.inventory) {
		if l.State == protocol.Booting && c.now.Steady-c.autoscaler.firstSeen[l.ID] < c.provisioningDeadline(l.Type) {
			add(l.ID, l.Type, l.Zone, l.Spot)
		}
	}
	for name, i := range ordered(c.intents) {
		if i.Machines == nil {
			for n := range i.Rental.Count {
				add(fmt.Sprintf("%s#%d", name, n), i.Rental.Type, i.Rental.Zone, i.Rental.Spot)
			}
		}
		for _, id := range i.Machines {
			if c.now.Steady-c.firstSeenAt(id) < c.provisioningDeadline(i.Rental.Type) {
				add(id, i.Rental.Type, i.Rental.Zone, i.Rental.Spot)
			}
		}
	}
	return out
}

func (c *Core) firstSeenAt(id string) time.Duration {
	if _, ok := c.autoscaler.firstSeen[id]; !ok {
		c.autoscaler.firstSeen[id] = c.now.Steady
	}
	return c.autoscaler.firstSeen[id]
}

// scaleOut orders machines for the demand that the last round left over.
func (c *Core) scaleOut() {
	for _, i := range ordered(c.intents) {
		if i.Machines == nil {
			return // the answer first
		}
	}
	if len(c.scheduler.pendingDemand) == 0 {
		return
	}
	coming := c.pendingCapacity()
	// As many requests as the cloud takes in a second, the cheapest machines first:
	// bounded by one request an offer, a large demand went on to dear offers while
	// there were cheap machines left.
	requests := int(max(1, c.cfg.Params.Cloud.RPS))
	for _, o := range scaling.Plan(c.scheduler.pendingDemand, coming, c.bestEffortHosts(), c.offers(c.backlog(coming)), requests*protocol.MaxRental) {
		for ; o.Count > 0 && requests > 0; requests-- {
			part := o
			part.Count = min(o.Count, protocol.MaxRental)
			o.Count -= part.Count
			c.startRental(part)
		}
	}
}

// backlog is the time that the fleet, with what is coming, would take for the
// work without a place.
func (c *Core) backlog(coming []*placement.Host) time.Duration {
	work, cpus := 0.0, c.totalCapacity()[0]
	for _, d := range c.scheduler.pendingDemand {
		if d.Entitlement == scaling.BestEffort {
			continue
		}
		work += float64(d.Tasks) * d.Spec.Need.CPUs * d.Spec.EstimateS
	}
	for _, h := range coming {
		cpus += h.Capacity.CPUs
	}
	switch {
	case cpus == 0 && c.mayHaveSpot():
		return 0 // spot machines first: the next round knows how many come
	case cpus == 0:
		return 1 << 62
	}
	return seconds(work / cpus)
}

// mayHaveSpot tells whether the cloud may have any spot machine.
func (c *Core) mayHaveSpot() bool {
	for name, t := range c.catalog.All() {
		for _, zone := range t.Zones {
			if c.policy.Spot && c.now.Steady >= c.autoscaler.backoffs[offerKey{name, zone, true}].until {
				return true
			}
		}
	}
	return false
}

// offers lists what the cloud has not refused lately. Ordinary machines cost
// several times as much as spot ones, so they are for work that would be late
// without them, and for a backlog of several times as long as they take to boot.
// Guaranteed work need not wait for as long.
func (c *Core) offers(backlog time.Duration) []scaling.Offer {
	var out []scaling.Offer
	for name, t := range c.catalog.All() {
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				dear := scaling.BestEffort
				if !spot && t.SpotPrice < t.Price && c.policy.Spot {
					dear = minEntitlement(backlog, seconds(t.BootS))
				}
				if spot && !c.policy.Spot || c.now.Steady < c.autoscaler.backoffs[offerKey{name, zone, spot}].until {
					continue
				}
				out = append(out, scaling.Offer{Type: t, Zone: zone, Spot: spot, MinEntitlement: dear})
			}
		}
	}
	return out
}

// minEntitlement is the right that work needs to have ordinary machines rented, by
// the backlog in boots of such a machine.
func minEntitlement(backlog, boot time.Duration) scaling.Entitlement {
	switch {
	case backlog >= 5*boot:
		return scaling.Standard
	case backlog >= 2*boot:
		return scaling.Guaranteed
	}
	return scaling.AtRisk
}

// startRental stores the rental before it asks the cloud, so that a later renter can
// repeat it under the same name.
func (c *Core) startRental(o scaling.Order) {
	name := fmt.Sprintf("%s-%s-%d", c.cfg.Node, c.members.incarnation, c.ids.next())
	i := &rentalIntent{Rental: protocol.Rental{Request: name, Type: o.Offer.Type.Name, Zone: o.Offer.Zone,
		Spot: o.Offer.Spot, Count: o.Count}, pending: true}
	c.intents[name] = i
	c.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{c.fleet.leaderCondition(), {Key: keyIntent + name}},
		Then: []protocol.Change{putJSON(keyIntent+name, i)},
	}, true, func(r StoreReply) {
		if r.Outcome != Applied {
			delete(c.intents, name)
			return
		}
		i.version = r.Revision
		c.emit(RequestRental{Rental: i.Rental})
	})
}

// handleRental takes the cloud's answer to a rental.
func (c *Core) handleRental(m RentalResult) {
	i := c.intents[m.Rental.Request]
	if i == nil {
		return
	}
	i.pending = false
	if m.Outcome != Unknown {
		// What is still missing is asked for at once. Without an answer it is not:
		// a cloud in trouble was asked again as fast as its limit allows.
		c.timers.autoscaler = 0
	}
	key := offerKey{m.Rental.Type, m.Rental.Zone, m.Rental.Spot}
	switch m.Outcome {
	case Applied:
		i.Machines = m.Machines
		c.log(Info, "machines rented", "type", key.typ, "zone", key.zone, "spot", key.spot,
			"asked", m.Rental.Count, "got", len(m.Machines))
		if len(m.Machines) < m.Rental.Count {
			c.backOffOffer(key)
		} else {
			delete(c.autoscaler.backoffs, key)
		}
		c.storeIntent(m.Rental.Request, i)
	case Refused:
		c.backOffOffer(key)
		i.Machines, i.pending = []string{}, true
		c.dropIntent(m.Rental.Request, i)
	}
}

// backOffOffer pauses an offer, longer each time.
func (c *Core) backOffOffer(key offerKey) {
	lag := seconds(c.cfg.Params.Cloud.ListLagS)
	c.autoscaler.backoffs[key] = c.autoscaler.backoffs[key].grow(c.now.Steady, lag/2, 4*lag)
	c.log(Info, "cloud has no capacity", "type", key.typ, "zone", key.zone, "spot", key.spot)
}

func (c *Core) storeIntent(name string, i *rentalIntent) {
	i.pending = true
	c.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{c.fleet.leaderCondition()},
		Then: []protocol.Change{putJSON(keyIntent+name, i)},
	}, false, func(r StoreReply) { i.pending = false })
}
