package core

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pepperlever/internal/core/fleet"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// rentState is what the renter keeps. One controller rents at a time: the home
// of the pseudo team of the fleet.
type rentState struct {
	// closing holds machines that are being closed for return.
	closing map[string]time.Duration
	// releasing holds machines whose release is on its way to the cloud.
	releasing map[string]time.Duration
	// listed is the cloud's newest list; came is when a machine was first
	// listed or rented.
	listed map[string]protocol.ListedMachine
	came   map[string]time.Duration
	// blocked remembers refusals per type, zone and kind.
	blocked map[offerKey]block
	doomed  map[string]string
	// since is when this node became the renter.
	since time.Duration
}

type offerKey struct {
	typ, zone string
	spot      bool
}

type block struct {
	until time.Duration
	pause time.Duration
}

func newRentState() rentState {
	return rentState{closing: map[string]time.Duration{}, releasing: map[string]time.Duration{},
		listed: map[string]protocol.ListedMachine{}, came: map[string]time.Duration{},
		blocked: map[offerKey]block{}, doomed: map[string]string{}}
}

// reset starts the renter's part over.
func (s *rentState) reset(now time.Duration) {
	*s = newRentState()
	s.since = now
}

func (c *Core) catalogIn(m CatalogIn) {
	if c.types == nil {
		c.log(Info, "catalogue read", "types", len(m.Types))
	}
	c.types = make(map[string]protocol.MachineType, len(m.Types))
	for _, t := range m.Types {
		c.types[t.Name] = t
	}
	c.sched.dirty = true
}

func (c *Core) listIn(m ListIn) {
	c.rental.listed = make(map[string]protocol.ListedMachine, len(m.Machines))
	for _, l := range m.Machines {
		c.rental.listed[l.ID] = l
		if _, known := c.rental.came[l.ID]; !known {
			c.rental.came[l.ID] = c.now.Steady - seconds(l.AgeS)
		}
	}
}

// tendFleet rents for what finds no room and returns what nobody needs.
func (c *Core) tendFleet() {
	if c.types == nil {
		return
	}
	c.tendIntents()
	c.tendListed()
	c.tendIdle()
	c.tendClosing()
	c.forgetGone()
	c.rentMore()
}

// forgetGone drops the marks of machines that have long been gone, so that the
// state does not grow. A binding that still came to one would be settled by
// another release, which the cloud answers for names that it does not know too.
func (c *Core) forgetGone() {
	txn := protocol.Txn{If: []protocol.Condition{{Key: c.fleet.key, Version: c.fleet.version}}}
	bound := c.bound()
	for id, k := range c.marks {
		if !k.Gone || bound[id] || c.now.Steady-k.since < keepGone*seconds(c.cfg.Params.Workers.LeaseS) {
			continue
		}
		if txn.Then = append(txn.Then, protocol.Change{Delete: keyMark + id}); len(txn.Then) == c.cfg.Params.State.TxnOps {
			break
		}
	}
	if len(txn.Then) > 0 && c.every(&c.timers.forget, c.reportInterval()) {
		c.txn(txn, false, func(StoreReply) {})
	}
}

// keepGone is for how many leases the mark of a machine that is gone is kept.
const keepGone = 100

// tendIntents repeats rentals without an answer under the same name, and drops
// those whose machines have all shown up.
func (c *Core) tendIntents() {
	for name, i := range c.intents {
		switch {
		case i.busy:
		case i.Machines == nil:
			i.busy = true
			c.emit(Rent{Rental: i.Rental})
		case c.allShown(i):
			i.busy = true
			c.dropIntent(name, i)
		}
	}
}

func (c *Core) allShown(i *intent) bool {
	for _, id := range i.Machines {
		_, listed := c.rental.listed[id]
		_, gone := c.marks[id]
		if !listed && !gone && c.machines[id] == nil {
			return false
		}
	}
	return true
}

func (c *Core) dropIntent(name string, i *intent) {
	c.txn(protocol.Txn{
		If:   []protocol.Condition{{Key: c.fleet.key, Version: c.fleet.version}},
		Then: []protocol.Change{{Delete: keyIntent + name}},
	}, false, func(r StoreReply) {
		i.busy = false
		if r.Outcome == Applied {
			delete(c.intents, name)
		}
	})
}

func (c *Core) intentWritten(name string, i *intent, version uint64) {
	if old := c.intents[name]; old != nil {
		if old.version < version {
			old.version, old.Machines = version, i.Machines
		}
		return
	}
	i.version = version
	if !c.fleet.acting {
		c.intents[name] = i
	}
}

// bound tells which machines have bindings of any team.
func (c *Core) bound() map[string]bool {
	out := map[string]bool{}
	for _, j := range c.jobs {
		for _, b := range j.Bound {
			out[b.Machine] = true
		}
	}
	return out
}

// tendListed gives up machines that failed, never come up, or fell silent. A new
// renter waits before it judges: workers may still be on their way to a node
// that answers them, and after an end of all controllers every machine is new
// to it.
func (c *Core) tendListed() {
	settled := c.now.Steady-c.rental.since > c.silence()
	for id := range c.rental.came {
		if _, listed := c.rental.listed[id]; !listed && c.marks[id].Gone {
			delete(c.rental.came, id)
		}
	}
	for id, l := range c.rental.listed {
		age := c.now.Steady - c.rental.came[id]
		limit := 4*seconds(c.types[l.Type].BootS) + c.silence()
		switch {
		case l.State == protocol.Failed:
			c.doom(id, "failed")
		case c.machines[id] != nil || !settled:
		case l.State == protocol.Booting && age > limit:
			c.doom(id, "does not come up")
		case l.State != protocol.Booting && c.now.Steady-c.rental.since > limit && age > limit:
			c.doom(id, "never heard")
		}
	}
	if !settled {
		return
	}
	for id, m := range c.machines {
		if c.now.Steady-m.Seen > c.silence() && c.everyoneHeard() {
			c.doom(id, "silent")
		}
		if m.Errors >= 3 {
			c.doom(id, "tasks fail on it")
		}
	}
}

// everyoneHeard tells whether this node hears from every live controller; only
// then is a machine's silence the machine's own.
func (c *Core) everyoneHeard() bool {
	for node := range c.nodes {
		p := c.peers[node]
		if p != nil && c.now.Steady-p.seen > c.reportInterval() {
			return false
		}
	}
	return true
}

// doom has a machine released with all that is on it.
func (c *Core) doom(id, why string) {
	if c.marks[id].Gone || c.rental.doomed[id] != "" {
		return
	}
	c.log(Info, "machine given up", "machine", id, "why", why)
	c.rental.doomed[id] = why
	c.closeMachine(id, why)
}

func (c *Core) condemned(m Condemn) {
	if c.fleet.acting {
		c.doom(m.Machine, m.Why)
	}
}

// tendIdle closes machines that have had nothing to do for a while.
func (c *Core) tendIdle() {
	bound := c.bound()
	for id, m := range c.machines {
		if bound[id] {
			m.IdleSince = c.now.Steady
		} else if c.now.Steady-m.IdleSince > c.idleTime(m) {
			c.closeMachine(id, "idle")
		}
	}
}

// idleTime is how long a machine is kept without work: a part of what a new
// one would take to come.
func (c *Core) idleTime(m *worker.Machine) time.Duration {
	return max(seconds(c.types[m.Type].BootS)/4, 2*c.reportInterval())
}

// closeMachine writes the mark that no binding can pass. Once the replica shows
// it, the replica also shows every binding that came before it.
func (c *Core) closeMachine(id, why string) {
	if _, marked := c.marks[id]; marked {
		return
	}
	if at, ok := c.rental.closing[id]; ok && c.now.Steady-at < c.silence() {
		return
	}
	c.rental.closing[id] = c.now.Steady
	c.txn(protocol.Txn{
		If:   []protocol.Condition{{Key: c.fleet.key, Version: c.fleet.version}, {Key: keyMark + id}},
		Then: []protocol.Change{put(keyMark+id, mark{Why: why})},
	}, false, func(r StoreReply) {
		if r.Outcome == Refused || r.Outcome == NoLease {
			delete(c.rental.closing, id)
		}
	})
}

// tendClosing releases closed machines that nothing is bound to, and doomed
// ones whatever is bound to them.
func (c *Core) tendClosing() {
	bound := c.bound()
	var names []string
	for _, id := range slices.Sorted(maps.Keys(c.marks)) {
		if c.marks[id].Gone || bound[id] && c.rental.doomed[id] == "" && c.marks[id].Why == "idle" {
			continue
		}
		if at, ok := c.rental.releasing[id]; ok && c.now.Steady-at < c.silence() {
			continue
		}
		if len(names) < 50 {
			c.rental.releasing[id] = c.now.Steady
			names = append(names, id)
		}
	}
	if len(names) > 0 {
		c.emit(Release{Machines: names})
	}
}

// released notes the cloud's word that machines are gone, which ends all that
// was bound to them.
func (c *Core) released(m Released) {
	if !c.fleet.acting {
		return
	}
	for batch := range slices.Chunk(m.Machines, c.cfg.Params.State.TxnOps) {
		if !m.OK {
			for _, id := range batch {
				delete(c.rental.releasing, id)
			}
			continue
		}
		txn := protocol.Txn{If: []protocol.Condition{{Key: c.fleet.key, Version: c.fleet.version}}}
		for _, id := range batch {
			txn.Then = append(txn.Then, put(keyMark+id, mark{Gone: true}))
		}
		c.txn(txn, true, func(r StoreReply) {
			for _, id := range batch {
				if r.Outcome != Applied {
					delete(c.rental.releasing, id)
					continue
				}
				c.log(Info, "machine returned", "machine", id, "why", c.marks[id].Why)
				c.marked(id, mark{Gone: true, version: r.Revision})
				delete(c.rental.closing, id)
			}
		})
	}
}

// coming lists the machines that are rented but do not report yet.
func (c *Core) coming() []*placement.Host {
	var out []*placement.Host
	seen := map[string]bool{}
	add := func(id, typ, zone string, spot bool) {
		t, known := c.types[typ]
		_, closing := c.marks[id]
		if !known || closing || seen[id] || c.machines[id] != nil {
			return
		}
		seen[id] = true
		size := capacity(t)
		out = append(out, &placement.Host{ID: id, Type: typ, Zone: zone, Spot: spot, Room: size, Size: size, Lasts: -1})
	}
	for _, l := range c.rental.listed {
		if l.State == protocol.Booting && c.now.Steady-c.rental.came[l.ID] < 2*seconds(c.types[l.Type].BootS) {
			add(l.ID, l.Type, l.Zone, l.Spot)
		}
	}
	for name, i := range c.intents {
		ids := i.Machines
		if ids == nil {
			for n := range i.Rental.Count {
				ids = append(ids, fmt.Sprintf("%s#%d", name, n))
			}
		}
		for _, id := range ids {
			if c.now.Steady-c.cameAt(id) < 2*seconds(c.types[i.Rental.Type].BootS) {
				add(id, i.Rental.Type, i.Rental.Zone, i.Rental.Spot)
			}
		}
	}
	return out
}

func (c *Core) cameAt(id string) time.Duration {
	if _, ok := c.rental.came[id]; !ok {
		c.rental.came[id] = c.now.Steady
	}
	return c.rental.came[id]
}

// rentMore orders machines for the demand that the last round left over.
func (c *Core) rentMore() {
	for _, i := range c.intents {
		if i.Machines == nil {
			return // the answer first
		}
	}
	var demands []fleet.Demand
	for _, d := range c.sched.unplaced {
		demands = append(demands, fleet.Demand{Spec: d.spec, Tasks: d.tasks})
	}
	if len(demands) == 0 {
		return
	}
	coming := c.coming()
	orders := fleet.Plan(demands, coming, c.offers(c.backlog(coming)), 4)
	for _, o := range orders[:min(len(orders), int(c.cfg.Params.Cloud.RPS))] {
		c.rent(o)
	}
}

// backlog is the time that the fleet, with what is coming, would take for the
// work without a place.
func (c *Core) backlog(coming []*placement.Host) time.Duration {
	work, cpus := 0.0, c.totalCapacity()[0]
	for _, d := range c.sched.unplaced {
		work += float64(d.tasks) * d.spec.Need.CPUs * d.spec.EstimateS
	}
	for _, h := range coming {
		cpus += h.Size.CPUs
	}
	if cpus == 0 {
		return 1 << 62
	}
	return seconds(work / cpus)
}

// offers lists what the cloud has not refused lately. Ordinary machines cost
// several times as much as spot ones, so they are for work that would wait
// longer than they take to boot.
func (c *Core) offers(backlog time.Duration) []fleet.Offer {
	var out []fleet.Offer
	for _, name := range slices.Sorted(maps.Keys(c.types)) {
		t := c.types[name]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				dear := !spot && t.SpotPrice < t.Price && c.policy.Spot && backlog < 2*seconds(t.BootS)
				if spot && !c.policy.Spot || dear || c.now.Steady < c.rental.blocked[offerKey{name, zone, spot}].until {
					continue
				}
				out = append(out, fleet.Offer{Type: t, Zone: zone, Spot: spot})
			}
		}
	}
	return out
}

// rent stores the rental before it asks the cloud, so that a later renter can
// repeat it under the same name.
func (c *Core) rent(o fleet.Order) {
	c.nextID++
	name := fmt.Sprintf("%s-%s-%d", c.cfg.Node, c.inc, c.nextID)
	i := &intent{Rental: protocol.Rental{Request: name, Type: o.Offer.Type.Name, Zone: o.Offer.Zone,
		Spot: o.Offer.Spot, Count: min(o.Count, 50)}, busy: true}
	c.intents[name] = i
	c.txn(protocol.Txn{
		If:   []protocol.Condition{{Key: c.fleet.key, Version: c.fleet.version}, {Key: keyIntent + name}},
		Then: []protocol.Change{put(keyIntent+name, i)},
	}, true, func(r StoreReply) {
		if r.Outcome != Applied {
			delete(c.intents, name)
			return
		}
		i.version = r.Revision
		c.emit(Rent{Rental: i.Rental})
	})
}

// rented takes the cloud's answer to a rental.
func (c *Core) rented(m Rented) {
	i := c.intents[m.Rental.Request]
	if i == nil {
		return
	}
	i.busy = false
	key := offerKey{m.Rental.Type, m.Rental.Zone, m.Rental.Spot}
	switch m.Outcome {
	case Applied:
		i.Machines = m.Machines
		c.log(Info, "machines rented", "type", key.typ, "zone", key.zone, "spot", key.spot,
			"asked", m.Rental.Count, "got", len(m.Machines))
		if len(m.Machines) < m.Rental.Count {
			c.refusedOffer(key)
		} else {
			delete(c.rental.blocked, key)
		}
		c.storeIntent(m.Rental.Request, i)
	case Refused:
		c.timers.fleet = 0 // the next offer is tried at once
		c.refusedOffer(key)
		i.Machines, i.busy = []string{}, true
		c.dropIntent(m.Rental.Request, i)
	}
}

// refusedOffer pauses an offer, longer each time.
func (c *Core) refusedOffer(key offerKey) {
	b := c.rental.blocked[key]
	b.pause = min(max(2*b.pause, seconds(c.cfg.Params.Cloud.ListLagS)/2), 4*seconds(c.cfg.Params.Cloud.ListLagS))
	b.until = c.now.Steady + b.pause
	c.rental.blocked[key] = b
	c.log(Info, "cloud has no capacity", "type", key.typ, "zone", key.zone, "spot", key.spot)
}

func (c *Core) storeIntent(name string, i *intent) {
	i.busy = true
	c.txn(protocol.Txn{
		If:   []protocol.Condition{{Key: c.fleet.key, Version: c.fleet.version}},
		Then: []protocol.Change{put(keyIntent+name, i)},
	}, false, func(r StoreReply) { i.busy = false })
}
