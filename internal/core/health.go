package core

import "net/http"

// health tells the load balancer to look elsewhere when others can reach the store and this
// node cannot. In an outage that half of its reachable peers see too it stays up, since
// refusing at once serves users better than an empty list of nodes. A node that reaches
// neither the store nor a peer takes itself to be cut off.
func (c *Core) health(m Health) {
	serves := c.loaded && c.catalog.Loaded() && (c.storeOK || c.peersLackStore())
	if !serves {
		c.replyUnavailable(m.Req)
		return
	}
	c.reply(m.Req, http.StatusOK, struct{}{})
}

// peersLackStore tells whether half of the peers that this node hears, and at least one, say
// that they do not reach the store. A controller without peers takes that for granted.
func (c *Core) peersLackStore() bool {
	if len(c.peers) == 0 {
		return true
	}
	reachable, withoutStore := 0, 0
	for _, peer := range c.peers {
		if c.now.Steady-peer.lastContact >= 2*c.reportInterval() {
			continue
		}
		reachable++
		if !peer.storeOK {
			withoutStore++
		}
	}
	return withoutStore > 0 && 2*withoutStore >= reachable
}
