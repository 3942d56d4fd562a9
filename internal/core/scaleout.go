package core

import (
	"fmt"
	"time"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/core/scaling"
	"pepperlever/internal/protocol"
)

const (
	// standardBacklogBoots is the backlog, in boots of an ordinary machine, from which such
	// machines are rented for any work but best-effort work.
	standardBacklogBoots = 5
	// guaranteedBacklogBoots is the same for work within the guarantee of its team.
	guaranteedBacklogBoots = 2
	// endlessBacklog is the backlog of a fleet without machines.
	endlessBacklog = time.Duration(1 << 62)
)

// scaleOut rents machines for the demand that the newest round left over. It waits for the
// answer to rentals that are under way, and makes as many requests as the cloud takes in a
// second, the cheapest machines first.
func (c *Core) scaleOut() {
	demand := c.scheduler.pendingDemand
	if c.intents.awaitAnswer() || len(demand) == 0 {
		return
	}
	pending := c.pendingCapacity()
	offers := c.offers(c.backlog(demand, pending))
	requests := int(max(1, c.cfg.Params.Cloud.RPS))
	for _, order := range scaling.Plan(demand, pending, c.bestEffortHosts(), offers, requests*protocol.MaxRental) {
		for ; order.Count > 0 && requests > 0; requests-- {
			part := order
			part.Count = min(order.Count, protocol.MaxRental)
			order.Count -= part.Count
			c.startRental(part)
		}
	}
}

// pendingCapacity lists the machines that are rented but do not report yet.
func (c *Core) pendingCapacity() []*placement.Host {
	pending := pendingMachines{core: c, seen: map[string]bool{}}
	for _, l := range ordered(c.autoscaler.inventory) {
		age := c.now.Steady - c.autoscaler.firstSeen[l.ID]
		if l.State == protocol.Booting && age < c.autoscaler.provisioning.deadline(l.Type, c.catalog) {
			pending.add(l.ID, l.Type, l.Zone, l.Spot)
		}
	}
	for name, intent := range ordered(c.intents) {
		rental := intent.Rental
		if intent.Machines == nil {
			for n := range rental.Count {
				pending.add(fmt.Sprintf("%s#%d", name, n), rental.Type, rental.Zone, rental.Spot)
			}
		}
		for _, id := range intent.Machines {
			age := c.now.Steady - c.autoscaler.firstSeenAt(id, c.now.Steady)
			if age < c.autoscaler.provisioning.deadline(rental.Type, c.catalog) {
				pending.add(id, rental.Type, rental.Zone, rental.Spot)
			}
		}
	}
	return pending.hosts
}

// pendingMachines gathers machines that do not report yet, each once.
type pendingMachines struct {
	core  *Core
	hosts []*placement.Host
	seen  map[string]bool
}

// add enters a machine, unless it is known already, cordoned, or of an unknown type.
func (p *pendingMachines) add(id, typ, zone string, spot bool) {
	t, known := p.core.catalog.Lookup(typ)
	cordoned := p.core.cordons.has(id)
	if !known || cordoned || p.seen[id] || p.core.machines.Get(id) != nil {
		return
	}
	p.seen[id] = true
	capacity := catalog.Capacity(t)
	p.hosts = append(p.hosts, &placement.Host{
		ID:         id,
		Type:       typ,
		Zone:       zone,
		Spot:       spot,
		Free:       capacity,
		Capacity:   capacity,
		RemainingS: -1,
	})
}

// backlog is the time that the fleet, with what is pending, would take for the work without a
// place.
func (c *Core) backlog(demand []scaling.Demand, pending []*placement.Host) time.Duration {
	work := 0.0
	for _, d := range demand {
		if d.Entitlement != scaling.BestEffort {
			work += float64(d.Tasks) * d.Spec.Need.CPUs * d.Spec.EstimateS
		}
	}
	cpus := totalCapacity(c.machines, c.catalog)[0]
	for _, h := range pending {
		cpus += h.Capacity.CPUs
	}
	switch {
	case cpus == 0 && c.policy.Spot && c.autoscaler.mayHaveSpot(c.catalog, c.now.Steady):
		return 0 // spot machines first: the next round knows how many come
	case cpus == 0:
		return endlessBacklog
	}
	return seconds(work / cpus)
}

// mayHaveSpot tells whether the cloud may have any spot machine.
func (a *autoscaler) mayHaveSpot(types catalog.Catalog, now time.Duration) bool {
	for name, t := range types.All() {
		for _, zone := range t.Zones {
			if !a.isBackedOff(offerKey{name, zone, true}, now) {
				return true
			}
		}
	}
	return false
}

// offers lists what the cloud has not refused lately. Ordinary machines cost several times as
// much as spot ones, so they are for work that would be late without them, and for a backlog of
// several times as long as they take to boot. Guaranteed work need not wait for as long.
func (c *Core) offers(backlog time.Duration) []scaling.Offer {
	var offers []scaling.Offer
	for name, t := range c.catalog.All() {
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				if spot && !c.policy.Spot || c.autoscaler.isBackedOff(offerKey{name, zone, spot}, c.now.Steady) {
					continue
				}
				entitlement := scaling.BestEffort
				if !spot && c.policy.Spot && c.catalog.HasSpotDiscount(name) {
					entitlement = minEntitlement(backlog, c.catalog.BootTime(name))
				}
				offers = append(offers, scaling.Offer{Type: t, Zone: zone, Spot: spot, MinEntitlement: entitlement})
			}
		}
	}
	return offers
}

// minEntitlement is what work needs to have ordinary machines rented, by the backlog in boots
// of such a machine.
func minEntitlement(backlog, boot time.Duration) scaling.Entitlement {
	switch {
	case backlog >= standardBacklogBoots*boot:
		return scaling.Standard
	case backlog >= guaranteedBacklogBoots*boot:
		return scaling.Guaranteed
	}
	return scaling.AtRisk
}
