package core

import "time"

// isolationDetector tracks whether this controller has lost the store and all other controllers,
// while workers may still reach it. The controller then learns of no new cancellations or leaders.
// The other controllers learn nothing of its machines and would return them together with their
// tasks. The controller therefore redirects each worker once: a worker that comes back has found no
// other controller, and is served as before.
//
// If the whole zone is partitioned, the controller must not redirect workers: they can reach no other
// controller, and searching for one would cost them their leases. Reports from machines of a second
// zone show that the zone is not partitioned as a whole.
type isolationDetector struct {
	isolated bool
	// since is the time at which the isolation began.
	since time.Duration
	// zones holds the zones of the workers that have reported since the isolation has lasted for the
	// minimum duration (see redirectOnce).
	zones map[string]bool
	// redirected holds the machines whose workers have been redirected.
	redirected map[string]bool
}

// update records whether the controller is isolated now, and reports whether isolation has just
// begun.
func (d *isolationDetector) update(isolated bool, now time.Duration) (began bool) {
	if !isolated {
		*d = isolationDetector{}
		return false
	}
	if d.isolated {
		return false
	}
	*d = isolationDetector{isolated: true, since: now, zones: map[string]bool{}, redirected: map[string]bool{}}
	return true
}

// redirectOnce reports whether a reporting worker should look for another controller. It returns true
// at most once per machine, and only if the isolation has lasted for at least minDuration and workers
// of a second zone have reported since.
func (d *isolationDetector) redirectOnce(machine, zone string, now, minDuration time.Duration) bool {
	if !d.isolated || now-d.since < minDuration {
		return false
	}
	d.zones[zone] = true
	if len(d.zones) < 2 || d.redirected[machine] {
		return false
	}
	d.redirected[machine] = true
	return true
}

// checkIsolation updates whether this node is isolated.
func (c *Core) checkIsolation() {
	if c.isolation.update(!c.storeOK && c.peerReachability.isolated(), c.now.Steady) {
		c.log(Info, "controller is isolated", "effect", "redirects each worker once if more than one zone reports here")
	}
}
