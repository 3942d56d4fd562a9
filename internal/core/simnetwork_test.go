package core

// link is one direction of the connection between two controllers, or from a controller to a
// machine.
type link struct{ from, to string }

// inFlightMessage is a message that has been sent but not received.
type inFlightMessage struct {
	link
	message PeerMessage
}

// connect tells a controller that it can send to another, unless the link between them is down.
func (w *world) connect(from, to string) {
	if !w.refusedLinks[link{from, to}] {
		w.send(from, PeerConnected{Node: to})
	}
}

// refuse takes down the links for which matches returns true. Each direction is a link of its own.
func (w *world) refuse(matches func(from, to string) bool) {
	for _, from := range w.names {
		for _, to := range w.names {
			if from != to && matches(from, to) && !w.refusedLinks[link{from, to}] {
				w.refusedLinks[link{from, to}] = true
				w.send(from, PeerDisconnected{Node: to})
			}
		}
	}
}

// restore repairs all links between controllers and delivers the messages that slow links held.
func (w *world) restore() {
	clear(w.slowLinks)
	for _, from := range w.names {
		for _, to := range w.names {
			if w.refusedLinks[link{from, to}] {
				delete(w.refusedLinks, link{from, to})
				w.connect(from, to)
			}
			for _, m := range w.heldMessages[link{from, to}] {
				w.send(to, PeerMessageReceived{Node: from, Message: m})
			}
			delete(w.heldMessages, link{from, to})
		}
	}
}

// hold makes the links for which matches returns true hold messages until restore.
func (w *world) hold(matches func(from, to string) bool) {
	for _, from := range w.names {
		for _, to := range w.names {
			if from != to && matches(from, to) {
				w.slowLinks[link{from, to}] = true
			}
		}
	}
}

// assignZone sets the zones of a controller and its peers in its settings.
func (w *world) assignZone(node string) {
	if w.controllerZones == nil {
		return
	}
	c := w.cfg[node]
	c.Zone = w.controllerZones[node]
	for i, p := range c.Peers {
		c.Peers[i].Zone = w.controllerZones[p.Node]
	}
}

// twoZones assigns the last two controllers to zone z2 and the others to z1.
func (w *world) twoZones() {
	w.limitZoneCapacity, w.controllerZones = true, map[string]string{}
	for i, n := range w.names {
		if w.controllerZones[n] = "z1"; i >= len(w.names)-2 {
			w.controllerZones[n] = "z2"
		}
	}
	for _, n := range w.names {
		w.assignZone(n)
	}
}

// cutZone partitions a zone from the other zones and from the store. Controllers and machines
// inside it still reach each other.
func (w *world) cutZone(zone string) {
	w.isolatedZone = zone
	w.refuse(func(from, to string) bool {
		return (w.controllerZones[from] == zone) != (w.controllerZones[to] == zone)
	})
	for _, n := range w.names {
		if w.controllerZones[n] == zone {
			w.cutStore(n)
		}
	}
}

// reconnectZone ends the partition that cutZone began.
func (w *world) reconnectZone() {
	if w.isolatedZone == "" {
		return
	}
	zone := w.isolatedZone
	w.isolatedZone = ""
	w.restore()
	for _, n := range w.names {
		if w.controllerZones[n] == zone && w.withoutStore[n] && w.cores[n] != nil {
			w.restoreStore(n)
		}
	}
}

// crossesZonePartition reports whether a zone partition separates a controller from a machine.
func (w *world) crossesZonePartition(node string, f *fakeWorker) bool {
	return w.isolatedZone != "" && (w.controllerZones[node] == w.isolatedZone) != (f.Zone == w.isolatedZone)
}
