package core

import (
	"time"

	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// maxRebalanceBackoff is the longest time, in leases of a worker, for which no workers are
// sent to a controller that some of them could not reach.
const maxRebalanceBackoff = 8

// rebalancer decides which workers are sent to less loaded controllers. It counts how many
// workers report to each, as of a moment ago, and remembers what came of sending them on.
type rebalancer struct {
	// nextAt is when a worker may be sent on again.
	nextAt time.Duration
	// countedUntil is until when the counts hold.
	countedUntil time.Duration
	// workers counts the workers of each controller, zones holds where they are.
	workers map[string]int
	zones   map[nodeZone]bool
	// redirected holds, by machine, the controller that its worker was sent to, for workers
	// that have not reported since.
	redirected map[string]string
	// backoffs holds the controllers that some workers could not reach.
	backoffs map[string]backoff
}

// nodeZone is a zone that a controller has workers in.
type nodeZone struct{ node, zone string }

func newRebalancer() rebalancer {
	return rebalancer{redirected: map[string]string{}, backoffs: map[string]backoff{}}
}

// count counts the workers anew once in a while, not at every report.
func (r *rebalancer) count(machines *worker.Registry, now, reportInterval time.Duration) {
	if now < r.countedUntil {
		return
	}
	r.countedUntil = now + reportInterval/3
	r.workers = map[string]int{}
	r.zones = map[nodeZone]bool{}
	for _, m := range machines.All() {
		if now-m.LastContact < 2*reportInterval {
			r.workers[m.Node]++
			r.zones[nodeZone{m.Node, m.Zone}] = true
		}
	}
}

// target names the peer that a worker of a zone should report to instead of self, if any, and
// how many workers self has beyond its share.
func (r *rebalancer) target(self, zone string, peers []string) (target string, surplus int) {
	sum := r.workers[self]
	for _, peer := range peers {
		sum += r.workers[peer]
		if r.isReachableFrom(zone, peer) && (target == "" || r.workers[peer] < r.workers[target]) {
			target = peer
		}
	}
	share := sum / (len(peers) + 1)
	surplus = r.workers[self] - share
	if target == "" || r.workers[target] >= share || surplus < share/8+1 {
		return "", surplus
	}
	return target, surplus
}

// isReachableFrom tells whether workers of a zone are likely to reach a controller. One
// without any workers is tried with a single one.
func (r *rebalancer) isReachableFrom(zone, node string) bool {
	if r.workers[node] > 0 {
		return r.zones[nodeZone{node, zone}]
	}
	for _, target := range r.redirected {
		if target == node {
			return false
		}
	}
	return true
}

// redirect notes that a worker is sent from one controller to another.
func (r *rebalancer) redirect(machine, from, to string) {
	r.workers[from]--
	r.workers[to]++
	r.redirected[machine] = to
}

// isBackedOff tells whether no workers are sent to a controller for now.
func (r *rebalancer) isBackedOff(node string, now time.Duration) bool {
	return now < r.backoffs[node].until
}

// forget forgets a machine that is gone.
func (r *rebalancer) forget(machine string) { delete(r.redirected, machine) }

// recordArrival notes where a worker reports that was sent on. It returns the controller that
// the worker could not reach, if that begins a pause, and how long the pause is.
func (r *rebalancer) recordArrival(machine, node string, now, lease time.Duration) (string, time.Duration) {
	target, wasSent := r.redirected[machine]
	if !wasSent {
		return "", 0
	}
	delete(r.redirected, machine)
	if node == target {
		delete(r.backoffs, target)
		return "", 0
	}
	if r.isBackedOff(target, now) {
		return "", 0
	}
	r.backoffs[target] = r.backoffs[target].grow(now, lease, maxRebalanceBackoff*lease)
	return target, r.backoffs[target].last
}

// lessLoadedPeer names a controller that a worker should report to instead, or nothing. It is
// one that has fewer workers than its share while this node has more, and some of them from
// this worker's zone, so that it can be reached from there. Workers with something under way
// stay, and only a part of the surplus is sent on at a time: others send theirs too.
func (c *Core) lessLoadedPeer(report *protocol.Report, session *agentSession) string {
	now := c.now.Steady
	if c.machines.Get(report.Machine).IsUnreachable() || now < c.rebalancer.nextAt || session.isBusy() {
		return ""
	}
	c.rebalancer.count(c.machines, now, c.reportInterval())
	target, surplus := c.rebalancer.target(c.cfg.Node, report.Zone, c.peersTakingWorkers())
	if target == "" {
		return ""
	}
	c.rebalancer.nextAt = now + 4*c.reportInterval()/time.Duration(surplus)
	c.rebalancer.redirect(report.Machine, c.cfg.Node, target)
	return target
}

// peersTakingWorkers lists the controllers that workers can be sent to.
func (c *Core) peersTakingWorkers() []string {
	var out []string
	for _, node := range c.peers.names {
		if c.peers.servesWorkers(node, c.now.Steady) && !c.rebalancer.isBackedOff(node, c.now.Steady) {
			out = append(out, node)
		}
	}
	return out
}

// recordArrival notes that a worker reports to a controller. A controller may be cut off from
// workers alone; it looks idle to the others, who would send it their workers again and again,
// each to be without a controller for seconds.
func (c *Core) recordArrival(machine, node string) {
	unreached, pause := c.rebalancer.recordArrival(machine, node, c.now.Steady, c.times.lease())
	if unreached != "" {
		c.log(Info, "controller cannot be reached by workers", "node", unreached,
			"effect", "no workers are redirected to it", "backoff", pause)
	}
}
