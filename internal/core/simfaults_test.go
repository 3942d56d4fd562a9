package core

import (
	"maps"
	"slices"
	"time"
)

// stopAllFor stops all controllers and restarts them after d.
func (w *world) stopAllFor(d time.Duration) {
	w.allRestarted = true
	for _, n := range w.names {
		if w.cores[n] != nil {
			w.crash(n)
			w.expire(n)
		}
	}
	w.after(d, func() {
		for _, n := range w.names {
			if w.cores[n] == nil {
				w.boot(n)
			}
		}
	})
}

// changeLeaders repeatedly forces a leader change of a team: alternately it restarts the leader and
// lets its lease expire.
func (w *world) changeLeaders(team string, times int, interval time.Duration) {
	for i := range times {
		w.after(time.Duration(i)*interval, func() {
			leader := w.leaderOf(team)
			if leader == "" || w.cores[leader] == nil || w.frozen[leader] {
				return
			}
			if i%2 == 0 {
				w.restartImmediately(leader)
				w.expireOldLeases(leader)
				return
			}
			w.cutStore(leader)
			w.after(interval/4, func() {
				if w.withoutStore[leader] && w.cores[leader] != nil {
					w.restoreStore(leader)
				}
			})
		})
	}
}

// canFail reports whether a controller and at least two others are healthy, so that two healthy
// ones remain if it fails.
func (w *world) canFail(node string) bool {
	n := 0
	for _, other := range w.names {
		if w.cores[other] != nil && !w.withoutStore[other] && !w.frozen[other] {
			n++
		}
	}
	return n > 2 && w.cores[node] != nil && !w.withoutStore[node] && !w.frozen[node]
}

// after calls f once d has passed, unless recover has been called by then.
func (w *world) after(d time.Duration, f func()) {
	at, recoveriesBefore := w.now+d, w.recoveryCount
	w.scheduledActions = append(w.scheduledActions, func() bool {
		if w.now >= at && w.recoveryCount == recoveriesBefore {
			f()
		}
		return w.now >= at
	})
}

// eachOfSome calls f for a random selection of machines, on average one in oneIn.
func (w *world) eachOfSome(oneIn int, f func(id string)) {
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		if w.rng.IntN(oneIn) == 0 {
			f(id)
		}
	}
}

// isolate cuts a controller off from the store and from all other controllers.
func (w *world) isolate(node string) {
	w.cutStore(node)
	w.refuse(func(from, to string) bool { return from == node || to == node })
}

// restartImmediately restarts a controller without downtime. The lease of its previous
// incarnation stays until it times out.
func (w *world) restartImmediately(node string) {
	if w.cores[node] == nil {
		return
	}
	previousLeases := w.leasesOf(node)
	w.crash(node)
	w.boot(node)
	w.after(controllerLease, func() { w.endLeases(previousLeases) })
}

// recover ends all faults, except that a machine that hangs continues at its own time and lowered
// limits stay.
func (w *world) recover() {
	w.recoveryCount++
	w.endOutage()
	w.noCloud, w.delayDeliveries, w.watchLag, w.lateWrite, w.delayReports, w.fullZone = false, false, 0, nil, false, ""
	w.reconnectZone()
	w.heal()
	clear(w.cutWorkers)
	clear(w.notUpgraded)
}
