package core

import (
	"maps"
	"slices"
	"time"
)

// stopAllFor ends all controllers and lets them be back after a while.
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

// changeLeaders moves the leader of a team every so often, by an end or by a lease that runs
// out.
func (w *world) changeLeaders(team string, times int, every time.Duration) {
	for i := range times {
		w.after(time.Duration(i)*every, func() {
			leader := w.leaderOf(team)
			if leader == "" || w.cores[leader] == nil || w.frozen[leader] {
				return
			}
			if i%2 == 0 {
				w.restartAtOnce(leader)
				w.expireFormer(leader)
				return
			}
			w.cutStore(leader)
			w.after(every/4, func() {
				if w.withoutStore[leader] && w.cores[leader] != nil {
					w.restoreStore(leader)
				}
			})
		})
	}
}

// isHealthy tells whether a controller and at least two more are well, so that it may fail.
func (w *world) isHealthy(node string) bool {
	n := 0
	for _, other := range w.names {
		if w.cores[other] != nil && !w.withoutStore[other] && !w.frozen[other] {
			n++
		}
	}
	return n > 2 && w.cores[node] != nil && !w.withoutStore[node] && !w.frozen[node]
}

// after lets something happen later, unless the day's troubles are over by then.
func (w *world) after(d time.Duration, f func()) {
	at, day := w.now+d, w.recoveries
	w.scheduled = append(w.scheduled, func() bool {
		if w.now >= at && w.recoveries == day {
			f()
		}
		return w.now >= at
	})
}

// eachOfSome visits a part of all machines.
func (w *world) eachOfSome(part int, f func(id string)) {
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		if w.rng.IntN(part) == 0 {
			f(id)
		}
	}
}

func (w *world) isolate(node string) {
	w.cutStore(node)
	w.refuse(func(f, t string) bool { return f == node || t == node })
}

// restartAtOnce ends a controller that is back at once; the lease of its former run lives on for
// a while.
func (w *world) restartAtOnce(node string) {
	if w.cores[node] == nil {
		return
	}
	former := w.leasesOf(node)
	w.crash(node)
	w.boot(node)
	w.after(controllerLease, func() { w.endLeases(former) })
}

// recover ends all troubles.
func (w *world) recover() {
	w.recoveries++
	w.endOutage()
	w.noCloud, w.delayDeliveries, w.watchLag, w.lateWrite, w.holdReports, w.fullZone = false, false, 0, nil, false, ""
	w.reconnectZone()
	w.heal()
	clear(w.cutWorkers)
	clear(w.notUpgraded)
}
