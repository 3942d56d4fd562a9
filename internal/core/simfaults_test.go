package core

import (
	"maps"
	"slices"
	"time"
)

// simFaults holds the faults that a simulated cluster can have, all of which are off at first.
type simFaults struct {
	withoutStore map[string]bool // controllers that cannot reach the store
	outage       bool            // the store is unavailable to all controllers
	// loseDeliveries keeps deliveries in heldDeliveries instead of executing them.
	loseDeliveries bool
	heldDeliveries []Deliver
	// delayDeliveries makes one delivery in four run seconds later, without a reply.
	delayDeliveries bool
	// repeatDeliveries makes executed deliveries arrive again later.
	repeatDeliveries bool
	// repeatMessages makes messages between controllers, transactions, rentals and releases arrive again
	// later. grantedRentals holds the requests for which machines were rented.
	repeatMessages bool
	grantedRentals map[string]bool
	// lateWrite returns the delay after which a transaction with changes is executed. The sender
	// does not learn its outcome. Zero executes it immediately.
	lateWrite func(node string, e StoreTxn) time.Duration
	// lostReplies is the number of coming transactions whose reply is lost.
	lostReplies int
	// unlistedMachine is a machine that is missing from the cloud's inventory.
	unlistedMachine string
	// nameOneFailedKey makes the store report only the first failed condition of a transaction.
	nameOneFailedKey bool
	// broken holds jobs whose tasks fail on any machine. faulty holds machines on which any task
	// fails.
	broken, faulty map[string]bool
	// refusedLinks holds the links between controllers that are down and drop all messages.
	refusedLinks map[link]bool
	// slowLinks holds the links that queue messages in heldMessages until they are restored.
	slowLinks    map[link]bool
	heldMessages map[link][]PeerMessage
	// frozen holds the controllers whose process is paused. cutWorkers holds the machines without a
	// network.
	frozen     map[string]bool
	cutWorkers map[string]bool
	// workersReceivingNothing are the machines whose reports arrive but which receive nothing;
	// brokenWorkerLinks holds broken links from a controller to a machine.
	workersReceivingNothing map[string]bool
	brokenWorkerLinks       map[link]bool
	// nonReportingWorkers are the machines whose reports reach no controller, while deliveries to
	// them succeed.
	nonReportingWorkers map[string]bool
	// replayReports sends late duplicates of reports from pastReports to random controllers.
	replayReports bool
	pastReports   []Heartbeat
	// cloudDegraded makes the cloud return no catalog and release no machines.
	cloudDegraded bool
	// blockedWatcher is a controller whose watch delivers no events.
	blockedWatcher string
	// latency delays messages between controllers by one tick; a crash of their sender loses
	// those in flight.
	latency          bool
	messagesInFlight []inFlightMessage
	// previousVersion lists the controllers that run the previous version, which does not know the
	// newer message fields.
	previousVersion []string
	// rejection, if set, returns the reason for which a machine rejects all starts, or "".
	rejection func(machine string) string
	// fullZone is a zone in which the cloud has no capacity left.
	fullZone string
	// hungUntil holds the time at which each hung machine resumes.
	hungUntil map[string]time.Duration
	// allRestarted is set once all controllers have stopped at the same time. From then on only the
	// store knows which cancellations were confirmed to users. If the store is unavailable for
	// longer than cancel_s, only the expiry of the worker's lease ends the tasks on a hung machine.
	allRestarted bool
	// delayReports makes some reports get no answer and arrive much later, at any controller.
	delayReports bool
	// notUpgraded holds the controllers that run the previous version, which does not store its
	// version.
	notUpgraded map[string]bool
	// limitsLowered makes the store enforce the announced lower limits.
	limitsLowered bool
}

// newSimFaults returns faults that are all off.
func newSimFaults() simFaults {
	return simFaults{
		notUpgraded:             map[string]bool{},
		hungUntil:               map[string]time.Duration{},
		withoutStore:            map[string]bool{},
		broken:                  map[string]bool{},
		faulty:                  map[string]bool{},
		refusedLinks:            map[link]bool{},
		slowLinks:               map[link]bool{},
		heldMessages:            map[link][]PeerMessage{},
		frozen:                  map[string]bool{},
		cutWorkers:              map[string]bool{},
		workersReceivingNothing: map[string]bool{},
		nonReportingWorkers:     map[string]bool{},
		brokenWorkerLinks:       map[link]bool{},
		grantedRentals:          map[string]bool{},
	}
}

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
