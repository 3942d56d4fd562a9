package core

import (
	"maps"
	"slices"
	"time"
)

// stopAllFor stops all controllers and restarts them after d.
func (cluster *simCluster) stopAllFor(d time.Duration) {
	cluster.allRestarted = true
	for _, n := range cluster.names {
		if cluster.cores[n] != nil {
			cluster.crash(n)
			cluster.expire(n)
		}
	}
	cluster.after(d, func() {
		for _, n := range cluster.names {
			if cluster.cores[n] == nil {
				cluster.boot(n)
			}
		}
	})
}

// changeLeaders repeatedly forces a leader change of a team: alternately it restarts the leader, or
// cuts it off from the store for a quarter of the interval. In both cases the lease that the leader
// held expires.
func (cluster *simCluster) changeLeaders(team string, times int, interval time.Duration) {
	for i := range times {
		cluster.after(time.Duration(i)*interval, func() {
			leader := cluster.leaderOf(team)
			if leader == "" || cluster.cores[leader] == nil || cluster.frozen[leader] {
				return
			}
			if i%2 == 0 {
				cluster.restartImmediately(leader)
				cluster.expireOldLeases(leader)
				return
			}
			cluster.cutStore(leader)
			cluster.after(interval/4, func() {
				if cluster.withoutStore[leader] && cluster.cores[leader] != nil {
					cluster.restoreStore(leader)
				}
			})
		})
	}
}

// canFail reports whether a controller and at least two others are healthy, so that two healthy
// ones remain if it fails.
func (cluster *simCluster) canFail(node string) bool {
	n := 0
	for _, other := range cluster.names {
		if cluster.cores[other] != nil && !cluster.withoutStore[other] && !cluster.frozen[other] {
			n++
		}
	}
	return n > 2 && cluster.cores[node] != nil && !cluster.withoutStore[node] && !cluster.frozen[node]
}

// after calls f once d has passed, unless recover has been called by then.
func (cluster *simCluster) after(d time.Duration, f func()) {
	at, recoveriesBefore := cluster.now+d, cluster.recoveryCount
	cluster.scheduledActions = append(cluster.scheduledActions, func() bool {
		if cluster.now >= at && cluster.recoveryCount == recoveriesBefore {
			f()
		}
		return cluster.now >= at
	})
}

// forRandomMachines calls f for a random selection of machines, on average one in oneIn.
func (cluster *simCluster) forRandomMachines(oneIn int, f func(id string)) {
	for _, id := range slices.Sorted(maps.Keys(cluster.workers)) {
		if cluster.rng.IntN(oneIn) == 0 {
			f(id)
		}
	}
}

// isolate cuts a controller off from the store and from all other controllers.
func (cluster *simCluster) isolate(node string) {
	cluster.cutStore(node)
	cluster.disconnectLinks(func(from, to string) bool { return from == node || to == node })
}

// restartImmediately restarts a controller without downtime. The lease of its previous
// incarnation stays until it times out.
func (cluster *simCluster) restartImmediately(node string) {
	if cluster.cores[node] == nil {
		return
	}
	previousLeases := cluster.leasesOf(node)
	cluster.crash(node)
	cluster.boot(node)
	cluster.after(controllerLease, func() { cluster.endLeases(previousLeases) })
}

// recover ends the faults that random scenarios inject, except that hung machines resume at their
// own time and lowered limits stay.
func (cluster *simCluster) recover() {
	cluster.recoveryCount++
	cluster.endOutage()
	cluster.cloudDegraded, cluster.delayDeliveries, cluster.watchLag, cluster.lateWrite, cluster.delayReports, cluster.fullZone = false, false, 0, nil, false, ""
	cluster.repeatDeliveries, cluster.repeatMessages = false, false
	cluster.reconnectZone()
	cluster.heal()
	clear(cluster.cutWorkers)
	clear(cluster.faulty)
	clear(cluster.notUpgraded)
}
