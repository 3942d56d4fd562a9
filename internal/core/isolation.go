package core

import (
	"time"

	"pepperlever/internal/protocol"
)

// lonely is what a controller keeps that has lost the state service and all other
// controllers, but not its workers. It knows of no cancellation and no new home any
// more, and the others know nothing of its machines: they would have them given back
// with all that runs on them. So it sends each worker on to another controller, once:
// one that comes back has found none, and is answered as before.
//
// In a zone that is cut off it must not: there its workers have nowhere to go, and
// looking for it would cost them their leases. What tells the two apart is that machines
// of a second zone go on reporting here.
type isolation struct {
	since time.Duration
	zones map[string]bool
	sent  map[string]bool
}

// checkIsolation follows whether this node is alone.
func (c *Core) checkIsolation() {
	alone := !c.storeOK && len(c.peers) > 0
	for node := range c.peers {
		alone = alone && !c.inDirectContact(node)
	}
	switch l := &c.isolation; {
	case !alone:
		c.isolation = isolation{}
	case l.zones == nil:
		c.log(Info, "neither the state service nor another controller is heard", "does", "sends workers on, once each, if more than one zone reports here")
		c.isolation = isolation{since: c.now.Steady, zones: map[string]bool{}, sent: map[string]bool{}}
	}
}

// redirects tells whether a worker is to look for another controller.
func (c *Core) redirects(r *protocol.Report) bool {
	l := &c.isolation
	if l.zones == nil || c.now.Steady-l.since < c.reportInterval() {
		return false
	}
	l.zones[r.Zone] = true
	if len(l.zones) < 2 || l.sent[r.Machine] {
		return false
	}
	l.sent[r.Machine] = true
	return true
}
