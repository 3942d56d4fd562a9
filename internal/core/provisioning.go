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
	// maxProvisioningSamples is how many of the newest rentals of a type are weighed.
	maxProvisioningSamples = 32
	// maxProvisioningFactor is how many times the nominal boot time may become typical. Past
	// it machines are taken not to come at all.
	maxProvisioningFactor = 4
	// maxProvisioningFailures is how many machines of an offer may fail to come up in a row
	// before the offer is paused.
	maxProvisioningFailures = 3
	// maxBackoffBoots is the longest pause of an offer whose machines do not come up, in
	// nominal boot times.
	maxBackoffBoots = 8
)

// provisioningTimes is what the leader of the fleet has seen of how long machines take to come
// up. The catalog tells what is nominal; there are days on which all take several times as
// long, or a part of them never comes.
type provisioningTimes struct {
	// observed holds how long machines took, typical what follows for each type.
	observed map[string]time.Duration
	typical  map[string]time.Duration
	// failed counts the machines of an offer that did not come up since one did.
	failed map[offerKey]int
}

func newProvisioningTimes() provisioningTimes {
	return provisioningTimes{
		observed: map[string]time.Duration{},
		typical:  map[string]time.Duration{},
		failed:   map[offerKey]int{},
	}
}

// noteFailure counts a machine of an offer that did not come up, and tells whether there have
// been too many in a row, after which the count begins anew.
func (p *provisioningTimes) noteFailure(key offerKey) bool {
	p.failed[key]++
	if p.failed[key] < maxProvisioningFailures {
		return false
	}
	delete(p.failed, key)
	return true
}

// provisioningSample is one rented machine: when it was rented, and how long it took to
// come up or has taken so far.
type provisioningSample struct{ at, took time.Duration }

// noteProvisioned notes how long a machine took from its rental to its first report.
func (c *Core) noteProvisioned(r *protocol.Report) {
	a := &c.autoscaler
	rentedAt, rented := a.firstSeen[r.Machine]
	if !c.fleet.leading || !rented || rentedAt < a.leaderSince {
		return
	}
	a.provisioning.observed[r.Machine] = c.now.Steady - rentedAt
	delete(a.provisioning.failed, offerKey{r.Type, r.Zone, r.Spot})
}

// updateProvisioningTimes takes the median over the newest rentals of each type as typical.
func (a *autoscaler) updateProvisioningTimes(now time.Duration, machines *worker.Registry, types catalog.Catalog) {
	samples := a.provisioningSamples(now, machines, types)
	for name := range types.All() {
		nominal := types.BootTime(name)
		observed := median(samples[name])
		a.provisioning.typical[name] = min(max(nominal, observed), maxProvisioningFactor*nominal)
	}
}

// provisioningSamples lists by type how long machines took to come up. Machines that are overdue
// count with their age: when most are late, the rest will be too, and when a few are, the
// others tell that they hardly come.
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
		took, isUp := a.provisioning.observed[name]
		switch {
		case isUp && m != nil:
			samples[m.Type] = append(samples[m.Type], provisioningSample{rentedAt, took})
		case isUp || m != nil || !isListed || listed.State != protocol.Booting:
		case age > types.BootTime(listed.Type):
			samples[listed.Type] = append(samples[listed.Type], provisioningSample{rentedAt, age})
		}
	}
	return samples
}

// median is the median time of the newest rentals, 0 without any.
func median(all []provisioningSample) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.SortFunc(all, func(a, b provisioningSample) int { return cmp.Compare(b.at, a.at) })
	newest := all[:min(len(all), maxProvisioningSamples)]
	slices.SortFunc(newest, func(a, b provisioningSample) int { return cmp.Compare(a.took, b.took) })
	return newest[len(newest)/2].took
}

// deadline is for how long a machine is expected to come up: meanwhile no other is
// rented in its place.
func (p *provisioningTimes) deadline(typ string, types catalog.Catalog) time.Duration {
	return 2 * max(p.typical[typ], types.BootTime(typ))
}

// provisioningTimeout is the age at which a machine that is not up is returned.
func (c *Core) provisioningTimeout(typ string) time.Duration {
	deadline := c.autoscaler.provisioning.deadline(typ, c.catalog)
	return deadline + deadline/2 + c.silenceLimit()
}

// noteProvisioningFailure notes that a machine did not come up. After a few in a row the offer
// is paused, so that the next rental turns to another zone, kind or type.
func (c *Core) noteProvisioningFailure(l protocol.ListedMachine) {
	key := offerKey{l.Type, l.Zone, l.Spot}
	if !c.autoscaler.provisioning.noteFailure(key) {
		return
	}
	boot := c.catalog.BootTime(l.Type)
	pause := c.autoscaler.backOff(key, c.now.Steady, boot, maxBackoffBoots*boot)
	c.log(Info, "offer backed off after failed provisioning",
		"type", l.Type,
		"zone", l.Zone,
		"spot", l.Spot,
		"backoff", pause,
	)
}
