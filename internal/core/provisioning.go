package core

import (
	"cmp"
	"slices"
	"time"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

const (
	// maxProvisioningSamples is the number of latest rentals of a type that are taken into
	// account.
	maxProvisioningSamples = 32
	// maxProvisioningFactor bounds the typical provisioning time, in nominal boot times. Machines
	// that take longer are assumed never to boot.
	maxProvisioningFactor = 4
	// maxProvisioningFailures is the number of consecutive boot failures of an offer's machines
	// after which nothing is rented from the offer for a while.
	maxProvisioningFailures = 3
	// maxBackoffBoots is the longest time, in nominal boot times, for which nothing is rented from
	// an offer whose machines fail to boot.
	maxBackoffBoots = 8
)

// provisioningTimes holds the fleet leader's observations of how long machines take from rental
// to first report. The catalog states nominal boot times, but at times all machines take several
// times as long, or some never boot.
type provisioningTimes struct {
	// observed holds the provisioning time of each machine. typical holds the estimate for each
	// type that is derived from them.
	observed map[string]time.Duration
	typical  map[string]time.Duration
	// failures counts the machines of an offer that failed to boot since the last success.
	failures map[offerKey]int
}

func newProvisioningTimes() provisioningTimes {
	return provisioningTimes{
		observed: map[string]time.Duration{},
		typical:  map[string]time.Duration{},
		failures: map[offerKey]int{},
	}
}

// recordFailure counts a machine of an offer that failed to boot. It reports whether there have
// been too many in a row, and if so resets the count.
func (p *provisioningTimes) recordFailure(key offerKey) bool {
	p.failures[key]++
	if p.failures[key] < maxProvisioningFailures {
		return false
	}
	delete(p.failures, key)
	return true
}

// provisioningSample states when a machine was rented and how long it took to boot, or how long it
// has taken so far.
type provisioningSample struct{ rentedAt, elapsed time.Duration }

// recordProvisioned records, on the fleet leader, the time from a machine's rental to its first
// report, and resets the count of failures of its offer. Machines that were rented before this node
// became the leader are ignored.
func (c *Core) recordProvisioned(r *protocol.Report) {
	a := &c.autoscaler
	rentedAt, rented := a.firstSeen[r.Machine]
	if !c.fleet.leading || !rented || rentedAt < a.leaderSince {
		return
	}
	a.provisioning.observed[r.Machine] = c.now.Steady - rentedAt
	delete(a.provisioning.failures, offerKey{r.Type, r.Zone, r.Spot})
}

// updateProvisioningTimes sets the typical provisioning time of each type to the median of its
// latest rentals, but to at least the nominal boot time and at most maxProvisioningFactor times that.
func (a *autoscaler) updateProvisioningTimes(now time.Duration, machines *worker.Registry, types catalog.Catalog) {
	samples := a.provisioningSamples(now, machines, types)
	for name := range types.All() {
		nominal := types.BootTime(name)
		observed := median(samples[name])
		a.provisioning.typical[name] = min(max(nominal, observed), maxProvisioningFactor*nominal)
	}
}

// provisioningSamples collects provisioning times by type. Overdue machines count with their
// current age: if most machines are late, the others are likely to be late too; if only a few
// are, the samples of the others show that these few are unlikely to boot.
func (a *autoscaler) provisioningSamples(
	now time.Duration,
	machines *worker.Registry,
	types catalog.Catalog,
) map[string][]provisioningSample {
	samples := map[string][]provisioningSample{}
	for name, rentedAt := range ordered(a.firstSeen) {
		age := now - rentedAt
		m := machines.Get(name)
		listed, isListed := a.inventory[name]
		elapsed, isUp := a.provisioning.observed[name]
		switch {
		case isUp && m != nil:
			samples[m.Type] = append(samples[m.Type], provisioningSample{rentedAt, elapsed})
		case isUp || m != nil || !isListed || listed.State != protocol.Booting:
		case age > types.BootTime(listed.Type):
			samples[listed.Type] = append(samples[listed.Type], provisioningSample{rentedAt, age})
		}
	}
	return samples
}

// median returns the median provisioning time of the latest rentals, or 0 if there are none.
func median(all []provisioningSample) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.SortFunc(all, func(a, b provisioningSample) int { return cmp.Compare(b.rentedAt, a.rentedAt) })
	newest := all[:min(len(all), maxProvisioningSamples)]
	slices.SortFunc(newest, func(a, b provisioningSample) int { return cmp.Compare(a.elapsed, b.elapsed) })
	return newest[len(newest)/2].elapsed
}

// pendingTimeout is how long a rented machine counts as pending capacity, so that no other
// machine is rented in its place.
func (p *provisioningTimes) pendingTimeout(typ string, types catalog.Catalog) time.Duration {
	return 2 * max(p.typical[typ], types.BootTime(typ))
}

// provisioningTimeout is the age at which a machine that has not booted is returned.
func (c *Core) provisioningTimeout(typ string) time.Duration {
	pendingTimeout := c.autoscaler.provisioning.pendingTimeout(typ, c.catalog)
	return pendingTimeout + pendingTimeout/2 + c.silenceTimeout()
}

// recordProvisioningFailure records that a machine failed to boot. After several consecutive
// failures nothing is rented from the machine's offer for a while, so that the next rental uses
// another type or zone, or switches between spot and on-demand machines.
func (c *Core) recordProvisioningFailure(l protocol.ListedMachine) {
	key := offerKey{l.Type, l.Zone, l.Spot}
	if !c.autoscaler.provisioning.recordFailure(key) {
		return
	}
	boot := c.catalog.BootTime(l.Type)
	pause := c.autoscaler.backOff(key, c.now.Steady, boot, maxBackoffBoots*boot)
	c.log(Info, "offer backed off after provisioning failures",
		"type", l.Type,
		"zone", l.Zone,
		"spot", l.Spot,
		"backoff", pause,
	)
}
