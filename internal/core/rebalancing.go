package core

import (
	"time"

	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// maxRebalanceBackoff is the longest time, in worker leases, for which no workers are
// redirected to a controller that some of them could not reach.
const maxRebalanceBackoff = 8

// rebalancer decides which workers are redirected to less loaded controllers. It keeps recent
// counts of the workers of each controller, and the outcomes of earlier redirects.
type rebalancer struct {
	// nextRedirect is when a worker may be redirected next.
	nextRedirect time.Duration
	// countsValidUntil is the time at which the counts have to be refreshed.
	countsValidUntil time.Duration
	// workers counts the workers of each controller. zones holds the zones that they are in.
	workers map[string]int
	zones   map[nodeZone]bool
	// redirected maps machines to the controllers that their workers were redirected to, until
	// the workers report again.
	redirected map[string]string
	// backoffs holds the backoff of each controller that some workers could not reach.
	backoffs map[string]backoff
}

// nodeZone is a zone in which a controller has workers.
type nodeZone struct{ node, zone string }

func newRebalancer() rebalancer {
	return rebalancer{redirected: map[string]string{}, backoffs: map[string]backoff{}}
}

// refreshCounts counts the workers again once the counts have expired, not at every report.
func (r *rebalancer) refreshCounts(machines *worker.Registry, now, reportInterval time.Duration) {
	if now < r.countsValidUntil {
		return
	}
	r.countsValidUntil = now + reportInterval/3
	r.workers = map[string]int{}
	r.zones = map[nodeZone]bool{}
	for _, m := range machines.All() {
		if now-m.LastContact < 2*reportInterval {
			r.workers[m.Node]++
			r.zones[nodeZone{m.Node, m.Zone}] = true
		}
	}
}

// leastLoaded returns the peer with the fewest workers among those that workers of a zone are likely to
// reach, or an empty string if there is none.
func (r *rebalancer) leastLoaded(zone string, peers []string) (target string) {
	for _, peer := range peers {
		if r.isReachableFrom(zone, peer) && (target == "" || r.workers[peer] < r.workers[target]) {
			target = peer
		}
	}
	return target
}

// target returns the peer that a worker of a zone should report to instead of self, or an empty
// string, and the number of workers that self has beyond its fair share.
func (r *rebalancer) target(self, zone string, peers []string) (target string, surplus int) {
	total := r.workers[self]
	for _, peer := range peers {
		total += r.workers[peer]
	}
	target = r.leastLoaded(zone, peers)
	fairShare := total / (len(peers) + 1)
	surplus = r.workers[self] - fairShare
	if target == "" || r.workers[target] >= fairShare || surplus < fairShare/8+1 {
		return "", surplus
	}
	return target, surplus
}

// isReachableFrom reports whether workers of a zone are likely to reach a controller. A
// controller without any workers is tried with one worker at a time.
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

// redirect records that a worker is redirected from one controller to another.
func (r *rebalancer) redirect(machine, from, to string) {
	r.workers[from]--
	r.workers[to]++
	r.redirected[machine] = to
}

// isBackedOff reports whether no workers are redirected to a controller for now.
func (r *rebalancer) isBackedOff(node string, now time.Duration) bool {
	return now < r.backoffs[node].until
}

// forget removes a machine that is gone.
func (r *rebalancer) forget(machine string) { delete(r.redirected, machine) }

// recordArrival records where a redirected worker reports. If the worker could not reach its
// target and a new backoff starts, it returns the target and the length of the backoff.
func (r *rebalancer) recordArrival(machine, node string, now, lease time.Duration) (string, time.Duration) {
	target, wasRedirected := r.redirected[machine]
	if !wasRedirected {
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
	return target, r.backoffs[target].lastPause
}

// betterPeer returns the controller that a worker should report to instead, or an empty string. Workers
// with operations in progress stay, and so do machines that do not receive their answers.
func (c *Core) betterPeer(report *protocol.Report, session *agentSession) string {
	if c.machines.Get(report.Machine).IsUnreachable() || session.isBusy() {
		return ""
	}
	c.rebalancer.refreshCounts(c.machines, c.now.Steady, c.reportInterval())
	target := c.lessLoadedPeer(report)
	if target == "" && c.agents.needsTokenFromPeer(session) {
		target = c.rebalancer.leastLoaded(report.Zone, c.redirectTargets())
	}
	if target != "" {
		c.rebalancer.redirect(report.Machine, c.cfg.Node, target)
	}
	return target
}

// lessLoadedPeer returns a controller that has less than its fair share of workers, while this node has
// more, or an empty string. That controller already has workers in the same zone, so it can be reached
// from there, or it has no workers at all. Only a part of the surplus is redirected at a time, because
// other controllers redirect theirs as well.
func (c *Core) lessLoadedPeer(report *protocol.Report) string {
	now := c.now.Steady
	if now < c.rebalancer.nextRedirect {
		return ""
	}
	target, surplus := c.rebalancer.target(c.cfg.Node, report.Zone, c.redirectTargets())
	if target != "" {
		c.rebalancer.nextRedirect = now + 4*c.reportInterval()/time.Duration(surplus)
	}
	return target
}

// redirectTargets returns the controllers that workers can be redirected to.
func (c *Core) redirectTargets() []string {
	var targets []string
	for _, node := range c.peers.names {
		if c.peers.canServeWorkers(node, c.now.Steady) && !c.rebalancer.isBackedOff(node, c.now.Steady) {
			targets = append(targets, node)
		}
	}
	return targets
}

// recordArrival records that a worker reports to a controller. If the worker was redirected to a
// controller that it could not reach, no workers are redirected there for a while. Such a controller
// may be partitioned from workers alone: it would look idle to the other controllers, which would
// redirect workers to it again and again and leave each of them without a controller for seconds.
func (c *Core) recordArrival(machine, node string) {
	unreachable, backoff := c.rebalancer.recordArrival(machine, node, c.now.Steady, c.times.lease())
	if unreachable != "" {
		c.log(Info, "controller cannot be reached by workers", "node", unreachable,
			"effect", "no workers are redirected to it", "backoff", backoff)
	}
}
