package core

import "net/http"

// health answers a load balancer's health check. A controller that has not loaded the replica and
// the catalog is unhealthy. A controller that cannot reach the store is unhealthy while most of its
// peers can reach it. It stays healthy if at least half of the peers with a recent heartbeat report the
// outage as well, because immediate errors serve users better than an empty list of controllers. A
// controller that has peers but reaches neither the store nor any of them counts as partitioned and
// is unhealthy, also if it has just started and has not heard of them yet. A controller without peers
// needs no contact to the store to be healthy.
func (c *Core) health(m Health) {
	serves := c.replica.loaded && c.catalog.Loaded() && (c.storeOK || c.peers.reportStoreOutage(c.now.Steady))
	if !serves {
		c.replyUnavailable(m.Req)
		return
	}
	c.reply(m.Req, http.StatusOK, struct{}{})
}
