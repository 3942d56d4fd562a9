package core

import "net/http"

// health tells the load balancer to look elsewhere when others can reach the store and this
// node cannot. In an outage that half of its reachable peers see too it stays up, since
// refusing at once serves users better than an empty list of nodes. A node that reaches
// neither the store nor a peer takes itself to be cut off.
func (c *Core) health(m Health) {
	serves := c.replica.loaded && c.catalog.Loaded() && (c.storeOK || c.peers.lackStore(c.now.Steady))
	if !serves {
		c.replyUnavailable(m.Req)
		return
	}
	c.reply(m.Req, http.StatusOK, struct{}{})
}
