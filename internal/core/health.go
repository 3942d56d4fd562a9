package core

import "net/http"

// health answers a load balancer's health check. A node that cannot reach the store is
// unhealthy while other controllers can. In an outage that at least half of its reachable peers
// see as well it stays healthy, because refusing requests at once serves users better than an
// empty list of nodes. A node that reaches neither the store nor any peer counts as partitioned
// and is unhealthy.
func (c *Core) health(m Health) {
	serves := c.replica.loaded && c.catalog.Loaded() && (c.storeOK || c.peers.reportStoreOutage(c.now.Steady))
	if !serves {
		c.replyUnavailable(m.Req)
		return
	}
	c.reply(m.Req, http.StatusOK, struct{}{})
}
