package core

import (
	"slices"
	"time"

	"pepperlever/internal/protocol"
)

// boots is what the renter has seen of how long machines take to come up. The
// catalogue tells what is usual; there are days on which all take several times
// as long, or a part of them never comes.
type boots struct {
	// took holds the newest boot times by type, typical what follows from them.
	took    map[string][]time.Duration
	typical map[string]time.Duration
	// duds counts the machines of an offer that did not come up since one did.
	duds map[offerKey]int
}

const (
	// bootsKept is how many boot times of a type are remembered.
	bootsKept = 16
	// dudsAllowed is how many machines of an offer may fail to come up in a row
	// before the offer is left alone for a while.
	dudsAllowed = 3
)

func newBoots() boots {
	return boots{took: map[string][]time.Duration{}, typical: map[string]time.Duration{}, duds: map[offerKey]int{}}
}

// cameUp notes how long a machine took from its rental to its first report.
func (c *Core) cameUp(r *protocol.Report) {
	at, rented := c.rental.came[r.Machine]
	if !c.fleet.acting || !rented || at < c.rental.since {
		return
	}
	b := &c.rental.boots
	kept := append(b.took[r.Type], c.now.Steady-at)
	b.took[r.Type] = kept[max(0, len(kept)-bootsKept):]
	delete(b.duds, offerKey{r.Type, r.Zone, r.Spot})
}

// weighBoots takes the median of the newest boot times of each type as typical.
// Machines that are overdue count with their age: when most of a type are late,
// the rest will be too.
func (c *Core) weighBoots() {
	b := &c.rental.boots
	seen := map[string][]time.Duration{}
	for typ, took := range b.took {
		seen[typ] = slices.Clone(took)
	}
	for id, at := range c.rental.came {
		l, listed := c.rental.listed[id]
		if age := c.now.Steady - at; listed && l.State == protocol.Booting && c.machines[id] == nil && age > c.nominalBoot(l.Type) {
			seen[l.Type] = append(seen[l.Type], age)
		}
	}
	for typ := range c.types {
		b.typical[typ] = c.nominalBoot(typ)
		if all := seen[typ]; len(all) > 0 {
			slices.Sort(all)
			b.typical[typ] = max(b.typical[typ], all[len(all)/2])
		}
	}
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
