package core

import "time"

// isolationDetector follows whether this controller has lost the store and all other
// controllers, but not its workers. It then learns of no cancellation and no new leader
// any more, and the others learn nothing of its machines and would return them with all
// that runs on them. So it redirects each worker to another controller, once:
// one that comes back has found none, and is answered as before.
//
// In a zone that is cut off it must not: there workers have nowhere to go, and a search
// would cost them their leases. Machines of a second zone that go on reporting here
// show that this is not the case.
type isolationDetector struct {
	isolated bool
	// since is when the isolation began.
	since time.Duration
	// zones holds the zones of the workers that have reported since.
	zones map[string]bool
	// redirected holds the workers that have been sent to another controller.
	redirected map[string]bool
}

// update notes whether the controller is isolated now, and tells whether that has just begun.
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

// redirect tells whether a worker that reports is to look for another controller.
// Isolation has to last for minDuration first.
func (d *isolationDetector) redirect(machine, zone string, now, minDuration time.Duration) bool {
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

// checkIsolation follows whether this node is isolated.
func (c *Core) checkIsolation() {
	if c.isolation.update(!c.storeOK && c.reach.isolated(), c.now.Steady) {
		c.log(Info, "controller is isolated", "effect", "redirects each worker once if more than one zone reports here")
	}
}
