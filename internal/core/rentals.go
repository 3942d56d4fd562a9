package core

import (
	"fmt"

	"pepperlever/internal/core/scaling"
	"pepperlever/internal/protocol"
)

// rentalIntents holds the rentals that are not complete, by name.
type rentalIntents map[string]*rentalIntent

// awaitAnswer tells whether the cloud has yet to answer a rental.
func (r rentalIntents) awaitAnswer() bool {
	for _, intent := range r {
		if intent.Machines == nil {
			return true
		}
	}
	return false
}

// put takes a rental from the store. The leader of the fleet knows its rentals before the store
// does, so one that it does not know has been dropped.
func (r rentalIntents) put(name string, intent *rentalIntent, version uint64, leading bool) {
	if known := r[name]; known != nil {
		if known.version < version {
			known.version, known.Machines = version, intent.Machines
		}
		return
	}
	intent.version = version
	if !leading {
		r[name] = intent
	}
}

// startRental stores the rental before it asks the cloud, so that a later leader of the fleet
// can repeat it under the same name.
func (c *Core) startRental(order scaling.Order) {
	name := fmt.Sprintf("%s-%s-%d", c.cfg.Node, c.members.incarnation, c.ids.next())
	intent := &rentalIntent{
		Rental: protocol.Rental{
			Request: name,
			Type:    order.Offer.Type.Name,
			Zone:    order.Offer.Zone,
			Spot:    order.Offer.Spot,
			Count:   order.Count,
		},
		pending: true,
	}
	c.intents[name] = intent
	c.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{c.fleet.leaderCondition(), {Key: keyIntent + name}},
		Then: []protocol.Change{putJSON(keyIntent+name, intent)},
	}, true, func(r StoreReply) {
		if r.Outcome != Applied {
			delete(c.intents, name)
			return
		}
		intent.version = r.Revision
		c.emit(RequestRental{Rental: intent.Rental})
	})
}

// handleRental takes the cloud's answer to a rental.
func (c *Core) handleRental(m RentalResult) {
	intent := c.intents[m.Rental.Request]
	if intent == nil {
		return
	}
	intent.pending = false
	if m.Outcome != Unknown {
		// What is still missing is asked for at once, but not of a cloud in trouble.
		c.timers.autoscaler = 0
	}
	switch m.Outcome {
	case Applied:
		intent.Machines = m.Machines
		c.noteRented(m)
		c.storeIntent(m.Rental.Request, intent)
	case Refused:
		c.backOffOffer(offerOf(m.Rental))
		intent.Machines, intent.pending = []string{}, true
		c.dropIntent(m.Rental.Request, intent)
	}
}

// offerOf names the offer that a rental is of.
func offerOf(r protocol.Rental) offerKey { return offerKey{r.Type, r.Zone, r.Spot} }

// noteRented pauses an offer of which the cloud has no more.
func (c *Core) noteRented(m RentalResult) {
	key := offerOf(m.Rental)
	c.log(Info, "machines rented",
		"type", key.typ,
		"zone", key.zone,
		"spot", key.spot,
		"requested", m.Rental.Count,
		"received", len(m.Machines),
	)
	if len(m.Machines) < m.Rental.Count {
		c.backOffOffer(key)
	} else {
		delete(c.autoscaler.backoffs, key)
	}
}

// backOffOffer pauses an offer that the cloud cannot meet.
func (c *Core) backOffOffer(key offerKey) {
	lag := seconds(c.cfg.Params.Cloud.ListLagS)
	c.autoscaler.backOff(key, c.now.Steady, lag/2, 4*lag)
	c.log(Info, "cloud has no capacity", "type", key.typ, "zone", key.zone, "spot", key.spot)
}

// checkIntents repeats rentals without an answer under the same name, and drops those whose
// machines have all shown up.
func (c *Core) checkIntents() {
	for name, intent := range ordered(c.intents) {
		switch {
		case intent.pending:
		case intent.Machines == nil:
			intent.pending = true
			c.emit(RequestRental{Rental: intent.Rental})
		case c.haveAllShownUp(intent.Machines):
			intent.pending = true
			c.dropIntent(name, intent)
		}
	}
}

// haveAllShownUp tells whether rented machines are all listed, known or gone already.
func (c *Core) haveAllShownUp(names []string) bool {
	for _, name := range names {
		cordoned := c.cordons.has(name)
		if !cordoned && !c.autoscaler.isListed(name) && c.machines.Get(name) == nil {
			return false
		}
	}
	return true
}

// storeIntent stores the machines that a rental has got.
func (c *Core) storeIntent(name string, intent *rentalIntent) {
	intent.pending = true
	c.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{c.fleet.leaderCondition()},
		Then: []protocol.Change{putJSON(keyIntent+name, intent)},
	}, false, func(StoreReply) { intent.pending = false })
}

// dropIntent deletes a rental that is complete or refused.
func (c *Core) dropIntent(name string, intent *rentalIntent) {
	c.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{c.fleet.leaderCondition()},
		Then: []protocol.Change{{Delete: keyIntent + name}},
	}, false, func(r StoreReply) {
		intent.pending = false
		if r.Outcome == Applied {
			delete(c.intents, name)
		}
	})
}
