package core

// link is one direction of the connection between two controllers, or from a controller to a
// machine.
type link struct{ from, to string }

// inFlightMessage is a message that has been sent but not received.
type inFlightMessage struct {
	link
	message PeerMessage
}

// connect notifies a controller that it can send to another, unless the link between them is down.
func (cluster *simCluster) connect(from, to string) {
	if !cluster.refusedLinks[link{from, to}] {
		cluster.send(from, PeerConnected{Node: to})
	}
}

// disconnectLinks takes down the links for which matches returns true. Each direction is a link of
// its own.
func (cluster *simCluster) disconnectLinks(matches func(from, to string) bool) {
	for _, from := range cluster.names {
		for _, to := range cluster.names {
			if from != to && matches(from, to) && !cluster.refusedLinks[link{from, to}] {
				cluster.refusedLinks[link{from, to}] = true
				cluster.send(from, PeerDisconnected{Node: to})
			}
		}
	}
}

// restoreLinks repairs all links between controllers and delivers the messages that slow links
// held.
func (cluster *simCluster) restoreLinks() {
	clear(cluster.slowLinks)
	for _, from := range cluster.names {
		for _, to := range cluster.names {
			if cluster.refusedLinks[link{from, to}] {
				delete(cluster.refusedLinks, link{from, to})
				cluster.connect(from, to)
			}
			for _, m := range cluster.heldMessages[link{from, to}] {
				cluster.send(to, PeerMessageReceived{Node: from, Message: m})
			}
			delete(cluster.heldMessages, link{from, to})
		}
	}
}

// delayLinks makes the links for which matches returns true hold messages until restoreLinks.
func (cluster *simCluster) delayLinks(matches func(from, to string) bool) {
	for _, from := range cluster.names {
		for _, to := range cluster.names {
			if from != to && matches(from, to) {
				cluster.slowLinks[link{from, to}] = true
			}
		}
	}
}

// assignZone sets the zones of a controller and its peers in its settings.
func (cluster *simCluster) assignZone(node string) {
	if cluster.controllerZones == nil {
		return
	}
	c := cluster.cfg[node]
	c.Zone = cluster.controllerZones[node]
	for i, p := range c.Peers {
		c.Peers[i].Zone = cluster.controllerZones[p.Node]
	}
}

// twoZones assigns the last two controllers to zone z2 and the others to z1, and limits each zone
// to half of the cloud's machines.
func (cluster *simCluster) twoZones() {
	cluster.limitZoneCapacity, cluster.controllerZones = true, map[string]string{}
	for i, n := range cluster.names {
		if cluster.controllerZones[n] = "z1"; i >= len(cluster.names)-2 {
			cluster.controllerZones[n] = "z2"
		}
	}
	for _, n := range cluster.names {
		cluster.assignZone(n)
	}
}

// cutZone partitions a zone from the other zones and from the store. Controllers and machines
// inside it still reach each other.
func (cluster *simCluster) cutZone(zone string) {
	cluster.isolatedZone = zone
	cluster.disconnectLinks(func(from, to string) bool {
		return (cluster.controllerZones[from] == zone) != (cluster.controllerZones[to] == zone)
	})
	for _, n := range cluster.names {
		if cluster.controllerZones[n] == zone {
			cluster.cutStore(n)
		}
	}
}

// reconnectZone ends the partition that cutZone began.
func (cluster *simCluster) reconnectZone() {
	if cluster.isolatedZone == "" {
		return
	}
	zone := cluster.isolatedZone
	cluster.isolatedZone = ""
	cluster.restoreLinks()
	for _, n := range cluster.names {
		if cluster.controllerZones[n] == zone && cluster.withoutStore[n] && cluster.cores[n] != nil {
			cluster.restoreStore(n)
		}
	}
}

// crossesZonePartition reports whether a zone partition separates a controller from a machine.
func (cluster *simCluster) crossesZonePartition(node string, f *fakeWorker) bool {
	return cluster.isolatedZone != "" && (cluster.controllerZones[node] == cluster.isolatedZone) != (f.Zone == cluster.isolatedZone)
}
