package core

import (
	"cmp"
	"slices"
	"time"

	"pepperlever/internal/protocol"
)

// provisioningTimes is what the renter has seen of how long machines take to come up. The
// catalogue tells what is usual; there are days on which all take several times
// as long, or a part of them never comes.
type provisioningTimes struct {
	// observed holds how long machines took, typical what follows for each type.
	observed map[string]time.Duration
	typical  map[string]time.Duration
	// failed counts the machines of an offer that did not come up since one did.
	failed map[offerKey]int
}

const (
	// maxObservations is how many of the newest rentals of a type are weighed.
	maxObservations = 32
	// maxProvisioningFactor is how many times the usual boot time may become typical. Past it
	// machines are taken not to come at all.
	maxProvisioningFactor = 4
	// maxProvisioningFailures is how many machines of an offer may fail to come up in a row
	// before the offer is left alone for a while.
	maxProvisioningFailures = 3
)

func newProvisioningTimes() provisioningTimes {
	return provisioningTimes{observed: map[string]time.Duration{}, typical: map[string]time.Duration{}, failed: map[offerKey]int{}}
}

// provisioned notes how long a machine took from its rental to its first report.
func (c *Core) provisioned(r *protocol.Report) {
	at, rented := c.autoscaler.firstSeen[r.Machine]
	if !c.fleet.leading || !rented || at < c.autoscaler.leaderSince {
		return
	}
	c.autoscaler.provisioning.observed[r.Machine] = c.now.Steady - at
	delete(c.autoscaler.provisioning.failed, offerKey{r.Type, r.Zone, r.Spot})
}

// provisioningObservation is one rented machine: when it was rented, and how long it took to come
// up or has taken so far.
type provisioningObservation struct{ at, took time.Duration }

// updateProvisioningTimes takes the median over the newest rentals of each type as typical.
// Machines that are overdue count with their age: when most are late, the rest
// will be too, and when a few are, the others tell that they hardly come.
func (c *Core) updateProvisioningTimes() {
	b := &c.autoscaler.provisioning
	seen := map[string][]provisioningObservation{}
	for id, at := range ordered(c.autoscaler.firstSeen) {
		l, listed := c.autoscaler.inventory[id]
		age := c.now.Steady - at
		switch took, up := b.observed[id]; {
		case up && c.machines.Get(id) != nil:
			typ := c.machines.Get(id).Type
			seen[typ] = append(seen[typ], provisioningObservation{at, took})
		case !up && listed && l.State == protocol.Booting && c.machines.Get(id) == nil && age > c.nominalProvisioningTime(l.Type):
			seen[l.Type] = append(seen[l.Type], provisioningObservation{at, age})
		}
	}
	for typ := range c.catalog.All() {
		b.typical[typ] = min(max(c.nominalProvisioningTime(typ), median(seen[typ])), maxProvisioningFactor*c.nominalProvisioningTime(typ))
	}
}

// median is the median time of the newest rentals.
func median(all []provisioningObservation) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.SortFunc(all, func(a, b provisioningObservation) int { return cmp.Compare(b.at, a.at) })
	all = all[:min(len(all), maxObservations)]
	slices.SortFunc(all, func(a, b provisioningObservation) int { return cmp.Compare(a.took, b.took) })
	return all[len(all)/2].took
}

func (c *Core) nominalProvisioningTime(typ string) time.Duration { return c.catalog.BootTime(typ) }

// provisioningDeadline is for how long a machine is expected to come up: meanwhile no other is
// rented in its place.
func (c *Core) provisioningDeadline(typ string) time.Duration {
	return 2 * max(c.autoscaler.provisioning.typical[typ], c.nominalProvisioningTime(typ))
}

// provisioningTimeout is the age at which a machine that is not up is given up.
func (c *Core) provisioningTimeout(typ string) time.Duration {
	return c.provisioningDeadline(typ) + c.provisioningDeadline(typ)/2 + c.silenceLimit()
}

// failedProvisioning notes that a machine did not come up. After a few in a row the offer is
// paused, so that the next rental turns to another zone, kind or type.
func (c *Core) failedProvisioning(l protocol.ListedMachine) {
	key := offerKey{l.Type, l.Zone, l.Spot}
	b := &c.autoscaler.provisioning
	if b.failed[key]++; b.failed[key] < maxProvisioningFailures {
		return
	}
	delete(b.failed, key)
	boot := c.nominalProvisioningTime(l.Type)
	c.autoscaler.backoffs[key] = c.autoscaler.backoffs[key].grow(c.now.Steady, boot, 8*boot)
	c.log(Info, "machines do not come up", "type", l.Type, "zone", l.Zone, "spot", l.Spot,
		"does", "rents others", "for", c.autoscaler.backoffs[key].last)
}
