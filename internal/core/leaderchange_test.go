package core

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"
)

// Leaders change at least ten times within two minutes, with and without an outage in between.
// Long jobs are started once, a cancelled job stays cancelled, and no job starves afterwards.
func TestRepeatedLeaderChanges(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage %v", outage), func(t *testing.T) {
			t.Parallel()
			w := idleWorld(t, 20)
			w.allowRacingStarts, w.unevenRunTimes, w.taskTime = true, true, 50*time.Second
			for n := range 4 {
				accepted(t, w.submit("a", fmt.Sprintf("req-free-%d", n), 3, ""))
			}
			w.started("req-free-3", 3)
			changes := w.countLeaderChanges("free")
			w.changeLeaders("free", 20, 6*time.Second)
			w.run(40*time.Second, nil)
			if outage {
				w.outage = true
				w.run(15*time.Second, nil)
				w.endOutage()
			}
			if node := w.serving(); w.cancelJob(node, "req-free-3").Status != http.StatusOK {
				w.run(5*time.Second, nil)
				w.cancelJob(w.serving(), "req-free-3")
			}
			accepted(t, w.submit(w.serving(), "req-free-9", 3, ""))
			w.run(80*time.Second, nil)
			if n := changes(); n < 10 {
				t.Fatalf("leader changed %d times, want at least 10", n)
			}
			if len(w.cancellationToldAt) > 0 && w.onMachines("req-free-3") > 0 {
				t.Error("cancelled job is running")
			}
			w.recover()
			w.run(75*time.Second, nil)
			if w.startsOf("req-free-9") == 0 || !w.run(5*time.Minute, w.finished("req-free-0", "req-free-1", "req-free-2", "req-free-9")) {
				t.Error("jobs did not continue after leaders became stable")
			}
			w.startedOnce()
		})
	}
}

// A team is at its limit when its leader crashes. Some of its machines cannot be probed, and
// one of its jobs is cancelled meanwhile. Every later leader must count the cancelled tasks
// until their end is proven, and the capacity must be used again soon after that.
func TestLeaderChangeAtTeamLimit(t *testing.T) {
	for name, makeUnavailable := range map[string]func(w *world, id string){
		"hang":            func(w *world, id string) { w.hang(id, 14*time.Second) },
		"are partitioned": func(w *world, id string) { w.cutWorkers[id] = true },
		"are silent":      func(w *world, id string) { w.silentWorkers[id] = true },
		"are unreachable": func(w *world, id string) { w.unreachableWorkers[id] = true },
		"are reclaimed":   func(w *world, id string) { delete(w.workers, id) },
	} {
		for _, twice := range []bool{false, true} {
			t.Run(fmt.Sprintf("machines %s, twice %v", name, twice), func(t *testing.T) {
				t.Parallel()
				w := idleWorld(t, 20)
				w.allowRacingStarts, w.taskTime = true, 5*time.Minute
				accepted(t, w.submit("a", "req-red-1", 4, ""))
				accepted(t, w.submit("a", "req-red-2", 4, ""))
				accepted(t, w.submit("a", "req-red-3", 8, ""))
				w.run(30*time.Second, func() bool { return w.inUse("red") == 16 })
				first := "req-red-1"
				if w.onMachines(first) == 0 {
					first = "req-red-3"
				}
				if w.inUse("red") != 16 || w.onMachines(first) == 0 {
					t.Fatal("team is not at its limit")
				}
				for _, id := range slices.Sorted(maps.Keys(w.workers)) {
					if w.loadOf(w.workers[id], "red").CPUs > 0 {
						makeUnavailable(w, id)
					}
				}
				leader := w.leaderOf("red")
				w.crash(leader)
				w.expire(leader)
				w.run(time.Second, nil)
				a := w.cancelJob(w.serving(), first)
				if a.Status != http.StatusOK {
					w.run(3*time.Second, nil)
					a = w.cancelJob(w.serving(), first)
				}
				if a.Status != http.StatusOK {
					t.Fatalf("cancellation got status %d, want 200", a.Status)
				}
				if twice {
					w.run(4*time.Second, nil)
					if next := w.leaderOf("red"); next != "" && w.cores[next] != nil {
						w.crash(next)
						w.expire(next)
					}
				}
				w.run(w.lease(), nil) // the simulation checks the limit at every start
				w.recover()
				if !w.run(90*time.Second, func() bool { return w.inUse("red") == 16 }) {
					t.Errorf("90 s after all faults the team uses %v CPUs, want 16", w.inUse("red"))
				}
			})
		}
	}
}

// A team without a leader gets a new one as soon as the key of its controller is deleted, ahead
// of the next periodic election.
func TestTeamsFailOverAsSoonAsTheirLeaderExpires(t *testing.T) {
	w := newWorld(t).ready()
	w.run(5*time.Second, nil)
	for _, c := range w.cores {
		c.members.nextElection = w.now + time.Hour // as if an election had just run
	}
	w.crash("b")
	w.expire("b")
	w.run(3*w.tick, nil) // one tick each for the watch event, the election write, and its event
	for _, n := range []string{"a", "c"} {
		for _, shard := range w.cores[n].allShards() {
			if shard.leader != "a" && shard.leader != "c" {
				t.Errorf("%s: leader of %s is %q, want a or c", n, shard.name, shard.leader)
			}
		}
	}
}
