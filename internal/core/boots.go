package core

import (
	"cmp"
	"slices"
	"time"

	"pepperlever/internal/protocol"
)

// boots is what the renter has seen of how long machines take to come up. The
// catalogue tells what is usual; there are days on which all take several times
// as long, or a part of them never comes.
type boots struct {
	// took holds how long machines took, typical what follows for each type.
	took    map[string]time.Duration
	typical map[string]time.Duration
	// duds counts the machines of an offer that did not come up since one did.
	duds map[offerKey]int
}

const (
	// bootsWeighed is how many of the newest rentals of a type are weighed.
	bootsWeighed = 32
	// slowest is how many times the usual boot time may become typical. Past it
	// machines are taken not to come at all.
	slowest = 4
	// dudsAllowed is how many machines of an offer may fail to come up in a row
	// before the offer is left alone for a while.
	dudsAllowed = 3
)

func newBoots() boots {
	return boots{took: map[string]time.Duration{}, typical: map[string]time.Duration{}, duds: map[offerKey]int{}}
}

// cameUp notes how long a machine took from its rental to its first report.
func (c *Core) cameUp(r *protocol.Report) {
	at, rented := c.rental.came[r.Machine]
	if !c.fleet.acting || !rented || at < c.rental.since {
		return
	}
	c.rental.boots.took[r.Machine] = c.now.Steady - at
	delete(c.rental.boots.duds, offerKey{r.Type, r.Zone, r.Spot})
}

// rental is one rented machine: when it was rented, and how long it took to come
// up or has taken so far.
type rental struct{ at, took time.Duration }

// weighBoots takes the median over the newest rentals of each type as typical.
// Machines that are overdue count with their age: when most are late, the rest
// will be too, and when a few are, the others tell that they hardly come.
func (c *Core) weighBoots() {
	b := &c.rental.boots
	seen := map[string][]rental{}
	for id, at := range ordered(c.rental.came) {
		l, listed := c.rental.listed[id]
		age := c.now.Steady - at
		switch took, up := b.took[id]; {
		case up && c.machines[id] != nil:
			typ := c.machines[id].Type
			seen[typ] = append(seen[typ], rental{at, took})
		case !up && listed && l.State == protocol.Booting && c.machines[id] == nil && age > c.nominalBoot(l.Type):
			seen[l.Type] = append(seen[l.Type], rental{at, age})
		}
	}
	for typ := range c.types {
		b.typical[typ] = min(max(c.nominalBoot(typ), median(seen[typ])), slowest*c.nominalBoot(typ))
	}
}

// median is the median time of the newest rentals.
func median(all []rental) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.SortFunc(all, func(a, b rental) int { return cmp.Compare(b.at, a.at) })
	all = all[:min(len(all), bootsWeighed)]
	slices.SortFunc(all, func(a, b rental) int { return cmp.Compare(a.took, b.took) })
	return all[len(all)/2].took
}

func (c *Core) nominalBoot(typ string) time.Duration { return seconds(c.types[typ].BootS) }

// awaited is for how long a machine is expected to come up: meanwhile no other is
// rented in its place.
func (c *Core) awaited(typ string) time.Duration {
	return 2 * max(c.rental.boots.typical[typ], c.nominalBoot(typ))
}

// givenUp is the age at which a machine that is not up is given up.
func (c *Core) givenUp(typ string) time.Duration {
	return c.awaited(typ) + c.awaited(typ)/2 + c.silence()
}

// dud notes that a machine did not come up. After a few in a row the offer is
// paused, so that the next rental turns to another zone, kind or type.
func (c *Core) dud(l protocol.ListedMachine) {
	key := offerKey{l.Type, l.Zone, l.Spot}
	b := &c.rental.boots
	if b.duds[key]++; b.duds[key] < dudsAllowed {
		return
	}
	delete(b.duds, key)
	boot := c.nominalBoot(l.Type)
	c.rental.blocked[key] = c.rental.blocked[key].grow(c.now.Steady, boot, 8*boot)
	c.log(Info, "machines do not come up", "type", l.Type, "zone", l.Zone, "spot", l.Spot,
		"does", "rents others", "for", c.rental.blocked[key].last)
}
