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
	// standardBacklogBoots is the backlog, in boot times of an on-demand machine, from which such
	// machines are rented for any job that is not best-effort.
	standardBacklogBoots = 5
	// guaranteedBacklogBoots is the same for jobs within their team's guarantee.
	guaranteedBacklogBoots = 2
	// unboundedBacklog is the backlog of a fleet without machines.
	unboundedBacklog = time.Duration(1 << 62)
)

// scaleOut rents machines for the demand that the latest round could not place. It does nothing
// while a rental is unanswered, and makes at most as many requests as the cloud accepts per
// second, cheapest machines first.
func (c *Core) scaleOut() {
	demand := c.scheduler.pendingDemand
	if c.intents.hasUnanswered() || len(demand) == 0 {
		return
	}
	pending := c.pendingCapacity()
	offers := c.offers(c.backlog(demand, pending))
	requests := int(max(1, c.cfg.Params.Cloud.RPS))
	orders := scaling.Plan(demand, pending, c.preemptibleBestEffortHosts(), offers, requests*protocol.MaxRental, c.progress)
	for _, order := range orders {
		for ; order.Count > 0 && requests > 0; requests-- {
			batch := order
			batch.Count = min(order.Count, protocol.MaxRental)
			order.Count -= batch.Count
			c.startRental(batch)
		}
	}
}

// pendingCapacity lists the machines that are rented but do not report yet, except for those that
// have taken too long to boot.
func (c *Core) pendingCapacity() []*placement.Host {
	pending := pendingMachines{core: c, seen: map[string]bool{}}
	for _, l := range ordered(c.autoscaler.inventory) {
		age := c.now.Steady - c.autoscaler.firstSeen[l.ID]
		if l.State == protocol.Booting && age < c.autoscaler.provisioning.pendingTimeout(l.Type, c.catalog) {
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
			if age < c.autoscaler.provisioning.pendingTimeout(rental.Type, c.catalog) {
				pending.add(id, rental.Type, rental.Zone, rental.Spot)
			}
		}
	}
	return pending.hosts
}

// pendingMachines collects machines that do not report yet, without duplicates.
type pendingMachines struct {
	core  *Core
	hosts []*placement.Host
	seen  map[string]bool
}

// add appends a machine unless it already reports, is cordoned, was added before or has an
// unknown type.
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

// backlog estimates how long the fleet, including pending machines, would need for the unplaced
// demand that is not best-effort.
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
	case cpus == 0 && c.policy.Spot && c.autoscaler.mayOfferSpot(c.catalog, c.now.Steady):
		return 0 // try spot machines first; the next round knows how many were supplied
	case cpus == 0:
		return unboundedBacklog
	}
	return seconds(work / cpus)
}

// mayOfferSpot reports whether any spot offer is not in backoff.
func (a *autoscaler) mayOfferSpot(types catalog.Catalog, now time.Duration) bool {
	for name, t := range types.All() {
		for _, zone := range t.Zones {
			if !a.isBackedOff(offerKey{name, zone, true}, now) {
				return true
			}
		}
	}
	return false
}

// offers lists the offers that are not in backoff. On-demand machines cost several times as much
// as spot machines, so they are rented only for jobs that would be late without them, or once the
// backlog is several times their boot time. The threshold is lower for guaranteed jobs.
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

// minEntitlement is the entitlement that a job needs to have on-demand machines rented, given the
// backlog and the machine's boot time.
func minEntitlement(backlog, boot time.Duration) scaling.Entitlement {
	switch {
	case backlog >= standardBacklogBoots*boot:
		return scaling.Standard
	case backlog >= guaranteedBacklogBoots*boot:
		return scaling.Guaranteed
	}
	return scaling.AtRisk
}
