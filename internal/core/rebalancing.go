package core

import (
	"time"

	"pepperlever/internal/protocol"
)

// rebalancing is what this node knows for sending workers on: how many each
// controller hears, as of a moment ago, and what came of sending.
type rebalancing struct {
	until time.Duration
	heard map[string]int
	near  map[nodeZone]bool
	// sent holds where workers were sent that have not reported since, avoid
	// the controllers that some of them could not reach.
	sent  map[string]string
	avoid map[string]backoff
}

// backoff is how long something is left alone; it grows each time.
type backoff struct {
	until time.Duration
	last  time.Duration
}

// grow starts the next pause, twice as long as the last one and at most most.
func (p backoff) grow(now, least, most time.Duration) backoff {
	p.last = min(max(2*p.last, least), most)
	p.until = now + p.last
	return p
}

type nodeZone struct{ node, zone string }

func newSpread() rebalancing {
	return rebalancing{sent: map[string]string{}, avoid: map[string]backoff{}}
}

// lessLoadedPeer names a controller that a worker should report to instead, or
// nothing. It is one that hears fewer workers than it should while this node
// hears more, and some of them from this worker's zone, so that it can be reached
// from there. Workers with something under way stay, and only a part of the
// surplus is sent on at a time: others send theirs too.
func (c *Core) lessLoadedPeer(r *protocol.Report) string {
	w := c.agents[r.Machine]
	if c.machines.Get(r.Machine).IsUnreachable() || c.now.Steady < c.timers.rebalance || len(w.queuedStarts)+len(w.queuedCommands)+len(w.pendingStarts) > 0 || w.delivering {
		return ""
	}
	c.countHeard()
	heard, best := c.rebalancing.heard, ""
	sum, able := heard[c.cfg.Node], 1
	for _, p := range c.cfg.Peers {
		if !c.able(p.Node) {
			continue
		}
		sum, able = sum+heard[p.Node], able+1
		if c.mayReach(p.Node, r.Zone) && (best == "" || heard[p.Node] < heard[best]) {
			best = p.Node
		}
	}
	fair := sum / able
	surplus := heard[c.cfg.Node] - fair
	if best == "" || heard[best] >= fair || surplus < fair/8+1 {
		return ""
	}
	c.timers.rebalance = c.now.Steady + 4*c.reportInterval()/time.Duration(surplus)
	heard[c.cfg.Node]--
	heard[best]++
	c.rebalancing.sent[r.Machine] = best
	return best
}

// able tells whether a controller is there to take workers.
func (c *Core) able(node string) bool {
	p := c.peers[node]
	return p.connected && p.storeOK && c.inDirectContact(node) && c.now.Steady >= c.rebalancing.avoid[node].until
}

// mayReach tells whether workers of a zone are likely to reach a controller. One
// that hears none at all is tried with a single worker.
func (c *Core) mayReach(node, zone string) bool {
	if c.rebalancing.heard[node] > 0 {
		return c.rebalancing.near[nodeZone{node, zone}]
	}
	for _, to := range c.rebalancing.sent {
		if to == node {
			return false
		}
	}
	return true
}

// arrived notes where a worker reports that was sent elsewhere. A controller may
// be cut off from workers alone; it looks idle to the others, who would send it
// their workers again and again, each to be without a controller for seconds.
func (c *Core) arrived(machine, node string) {
	to, sent := c.rebalancing.sent[machine]
	if !sent {
		return
	}
	delete(c.rebalancing.sent, machine)
	if node == to {
		delete(c.rebalancing.avoid, to)
		return
	}
	if c.now.Steady < c.rebalancing.avoid[to].until {
		return
	}
	lease := seconds(c.cfg.Params.Workers.LeaseS)
	c.rebalancing.avoid[to] = c.rebalancing.avoid[to].grow(c.now.Steady, lease, 8*lease)
	c.log(Info, "controller cannot be reached by workers", "node", to, "does", "sends it none", "for", c.rebalancing.avoid[to].last)
}

// countHeard counts anew once in a while, not at every report.
func (c *Core) countHeard() {
	if c.now.Steady < c.rebalancing.until {
		return
	}
	s := &c.rebalancing
	s.until, s.heard, s.near = c.now.Steady+c.reportInterval()/3, map[string]int{}, map[nodeZone]bool{}
	for _, m := range c.machines.All() {
		if c.now.Steady-m.LastContact < 2*c.reportInterval() {
			s.heard[m.Node]++
			s.near[nodeZone{m.Node, m.Zone}] = true
		}
	}
}
