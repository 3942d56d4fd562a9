package core

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// The page with the heartbeat leaves room in a transaction for the pages that list machines,
// whatever the limit on value sizes. Otherwise machines would be returned as silent while
// controllers have no connections (docs/incidents/pages.md).
func TestNoMachineIsReturnedWithoutLinksAtAnyValueLimit(t *testing.T) {
	for _, kb := range []float64{4, 16, 32, 64} {
		t.Run(fmt.Sprint(kb), func(t *testing.T) {
			t.Parallel()
			w := newWorldOf(t, fiveNodes)
			w.maxMachines = 30
			for _, cfg := range w.cfg {
				cfg.Params.State.ValueKB = kb
			}
			for i := range w.maxMachines {
				w.addWorker(fmt.Sprintf("z%d", 1+i%2), false)
			}
			w.ready().run(10*time.Second, nil)
			w.allowRacingStarts, w.taskTime = true, 10*time.Minute
			accepted(t, w.submit("a", "req-free-1", 60, ""))
			w.started("req-free-1", 60)
			names := slices.Sorted(maps.Keys(w.workers))
			w.refuse(everyLink)
			w.run(40*time.Second, nil)
			if now := slices.Sorted(maps.Keys(w.workers)); !slices.Equal(names, now) {
				t.Errorf("of %d machines, %d are left after 40 s without links", len(names), len(now))
			}
			w.startedOnce()
		})
	}
}

// Starts, outcomes and free capacity are relayed through the store while connections between
// controllers fail. Otherwise teams could use only the machines that their leaders serve
// themselves.
func TestJobsEndWithoutLinksBetweenControllers(t *testing.T) {
	for name, cut := range map[string]func(w *world){
		"refused":        func(w *world) { w.refuse(everyLink) },
		"slow":           func(w *world) { w.hold(everyLink) },
		"one way":        func(w *world) { w.refuse(func(f, t string) bool { return f < t }) },
		"two partitions": func(w *world) { w.refuse(func(f, t string) bool { return (f < "c") != (t < "c") }) },
		"no fault":       func(w *world) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := idleWorld(t, 30)
			accepted(t, w.submit("a", "req-free-0", 40, ""))
			w.run(2*time.Second, nil)
			cut(w)
			w.run(5*time.Second, nil)
			ids := []string{"req-free-0"}
			for i, team := range []string{"red", "blue", "free"} {
				id := "req-" + team + "-1"
				accepted(t, w.submit(w.names[i+1], id, 8, ""))
				ids = append(ids, id)
			}
			if !w.run(45*time.Second, w.finished(ids...)) {
				t.Fatal("jobs did not end without links")
			}
			w.restore()
			w.run(20*time.Second, nil)
			w.startedOnce()
			for key := range w.kv {
				if strings.HasPrefix(key, keyRelay) {
					t.Errorf("relay page %s is left after all links were restored", key)
				}
			}
		})
	}
}

// The write of a page is delayed until after newer writes, or until all pages have been deleted
// because the connections are back. No page may be left behind.
func TestLateRelayPageIsDeleted(t *testing.T) {
	w := idleWorld(t, 20)
	w.taskTime = 10 * time.Minute
	accepted(t, w.submit("a", "req-free-1", 40, ""))
	w.started("req-free-1", 40)
	w.lateWrite = func(_ string, e StoreTxn) time.Duration {
		if !strings.HasPrefix(e.Txn.Then[0].Put, keyRelay) || w.rng.IntN(3) > 0 {
			return 0
		}
		return time.Duration(2+w.rng.IntN(11)) * time.Second
	}
	w.refuse(everyLink)
	w.run(20*time.Second, nil)
	w.restore()
	w.run(30*time.Second, nil)
	for key := range w.kv {
		if strings.HasPrefix(key, keyRelay) {
			t.Errorf("relay page %s is left", key)
		}
	}
	w.startedOnce()
}
