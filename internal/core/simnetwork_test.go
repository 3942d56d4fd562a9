package core

// link is one direction between two controllers.
type link struct{ from, to string }

// flight is a message on its way.
type flight struct {
	link
	msg PeerMessage
}

// connect tells a controller that it can send to another, unless it can't.
func (w *world) connect(from, to string) {
	if !w.refusedLinks[link{from, to}] {
		w.send(from, PeerConnected{Node: to})
	}
}

// refuse cuts the links for which is holds, one direction at a time; restore mends
// all.
func (w *world) refuse(is func(from, to string) bool) {
	for _, from := range w.names {
		for _, to := range w.names {
			if from != to && is(from, to) && !w.refusedLinks[link{from, to}] {
				w.refusedLinks[link{from, to}] = true
				w.send(from, PeerDisconnected{Node: to})
			}
		}
	}
}

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

// hold lets all links for which is holds be slow.
func (w *world) hold(is func(from, to string) bool) {
	for _, from := range w.names {
		for _, to := range w.names {
			if from != to && is(from, to) {
				w.slowLinks[link{from, to}] = true
			}
		}
	}
}

// assignZone tells a controller where it and the others are.
func (w *world) assignZone(node string) {
	if w.zoneOf == nil {
		return
	}
	c := w.cfg[node]
	c.Zone = w.zoneOf[node]
	for i, p := range c.Peers {
		c.Peers[i].Zone = w.zoneOf[p.Node]
	}
}

// twoZones puts the last two controllers into the second zone, the others into the first.
func (w *world) twoZones() {
	w.zoned, w.zoneOf = true, map[string]string{}
	for i, n := range w.names {
		if w.zoneOf[n] = "z1"; i >= len(w.names)-2 {
			w.zoneOf[n] = "z2"
		}
	}
	for _, n := range w.names {
		w.assignZone(n)
	}
}

// cutZone cuts a zone off, with its machines and controllers, which go on hearing each
// other; reconnectZone ends that.
func (w *world) cutZone(zone string) {
	w.zoneCut = zone
	w.refuse(func(f, t string) bool { return (w.zoneOf[f] == zone) != (w.zoneOf[t] == zone) })
	for _, n := range w.names {
		if w.zoneOf[n] == zone {
			w.cutStore(n)
		}
	}
}

func (w *world) reconnectZone() {
	if w.zoneCut == "" {
		return
	}
	zone := w.zoneCut
	w.zoneCut = ""
	w.restore()
	for _, n := range w.names {
		if w.zoneOf[n] == zone && w.withoutStore[n] && w.cores[n] != nil {
			w.restoreStore(n)
		}
	}
}

// isAcrossZoneCut tells whether a cut is between a controller and a machine.
func (w *world) isAcrossZoneCut(node string, f *fakeWorker) bool {
	return w.zoneCut != "" && (w.zoneOf[node] == w.zoneCut) != (f.Zone == w.zoneCut)
}
