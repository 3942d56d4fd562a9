package core

import (
	"fmt"

	"pepperlever/internal/core/scaling"
	"pepperlever/internal/protocol"
)

// rentalIntents holds the intents of rentals that are not complete, by name.
type rentalIntents map[string]*rentalIntent

// hasUnanswered reports whether the cloud has not replied to a rental request yet.
func (r rentalIntents) hasUnanswered() bool {
	for _, intent := range r {
		if intent.Machines == nil {
			return true
		}
	}
	return false
}

// put applies a rental intent read from the store. The fleet leader knows its rental intents before
// the store does, so one that is unknown to it has been deleted.
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

// startRental stores the intent to rent machines before it requests them from the cloud, so that a
// later fleet leader can retry the rental under the same name.
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
		If:   []protocol.Condition{c.fleet.leaderCondition(), {Key: keyRentalIntent + name}},
		Then: []protocol.Change{putJSON(keyRentalIntent+name, intent)},
	}, true, func(r StoreReply) {
		if r.Outcome != OutcomeApplied {
			delete(c.intents, name)
			return
		}
		intent.version = r.Revision
		c.emit(RequestRental{Rental: intent.Rental})
	})
}

// handleRental handles the cloud's reply to a rental.
func (c *Core) handleRental(result RentalResult) {
	intent := c.intents[result.Rental.Request]
	if intent == nil {
		return
	}
	intent.pending = false
	if result.Outcome != OutcomeUnknown {
		// Request what is still missing immediately, unless it is unknown whether the cloud
		// has received the request.
		c.timers.autoscaler = 0
	}
	switch result.Outcome {
	case OutcomeApplied:
		intent.Machines = result.Machines
		c.recordRental(result)
		c.storeIntent(result.Rental.Request, intent)
	case OutcomeRefused:
		c.backOffOffer(offerOf(result.Rental))
		intent.Machines, intent.pending = []string{}, true
		c.deleteIntent(result.Rental.Request, intent)
	}
}

// offerOf returns the offer that a rental is for.
func offerOf(r protocol.Rental) offerKey { return offerKey{r.Type, r.Zone, r.Spot} }

// recordRental logs a rental. If the cloud supplied fewer machines than requested, nothing is rented
// from the offer for a while; otherwise the offer's backoff is reset.
func (c *Core) recordRental(result RentalResult) {
	key := offerOf(result.Rental)
	c.log(Info, "machines rented",
		"type", key.typ,
		"zone", key.zone,
		"spot", key.spot,
		"requested", result.Rental.Count,
		"received", len(result.Machines),
	)
	if len(result.Machines) < result.Rental.Count {
		c.backOffOffer(key)
	} else {
		delete(c.autoscaler.backoffs, key)
	}
}

// backOffOffer starts a backoff of an offer for which the cloud has no capacity: nothing is rented
// from the offer for a while.
func (c *Core) backOffOffer(key offerKey) {
	lag := seconds(c.cfg.Params.Cloud.ListLagS)
	c.autoscaler.backOff(key, c.now.Steady, lag/2, 4*lag)
	c.log(Info, "cloud has no capacity", "type", key.typ, "zone", key.zone, "spot", key.spot)
}

// checkIntents retries unanswered rentals under the same name, and deletes the intents of rentals
// whose machines have all appeared.
func (c *Core) checkIntents() {
	for name, intent := range ordered(c.intents) {
		switch {
		case intent.pending:
		case intent.Machines == nil:
			intent.pending = true
			c.emit(RequestRental{Rental: intent.Rental})
		case c.allMachinesAppeared(intent.Machines):
			intent.pending = true
			c.deleteIntent(name, intent)
		}
	}
}

// allMachinesAppeared reports whether each rented machine has been listed, has reported or is
// already cordoned.
func (c *Core) allMachinesAppeared(names []string) bool {
	for _, name := range names {
		cordoned := c.cordons.has(name)
		if !cordoned && !c.autoscaler.isListed(name) && c.machines.Get(name) == nil {
			return false
		}
	}
	return true
}

// storeIntent stores the machines that a rental received.
func (c *Core) storeIntent(name string, intent *rentalIntent) {
	intent.pending = true
	c.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{c.fleet.leaderCondition()},
		Then: []protocol.Change{putJSON(keyRentalIntent+name, intent)},
	}, false, func(StoreReply) { intent.pending = false })
}

// deleteIntent deletes the intent of a rental that is complete or was refused.
func (c *Core) deleteIntent(name string, intent *rentalIntent) {
	c.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{c.fleet.leaderCondition()},
		Then: []protocol.Change{{Delete: keyRentalIntent + name}},
	}, false, func(r StoreReply) {
		intent.pending = false
		if r.Outcome == OutcomeApplied {
			delete(c.intents, name)
		}
	})
}
