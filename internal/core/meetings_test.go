package core

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// A job's last task ends while its user cancels, at a controller whose replica is behind
// and of which the home hears nothing: one of the two it is, and stays.
func TestJobIsDoneOrCancelledAndStaysSo(t *testing.T) {
	seen := map[string]int{}
	for tenths := range 16 {
		w := newWorldOf(t, five).ready()
		w.allowRacingStarts = true
		accepted(t, w.submit("a", "req-blue-1", 1, ""))
		w.started("req-blue-1", 1)
		home := w.cores["a"].teamBy["blue"].leader
		w.run(4200*time.Millisecond+time.Duration(tenths)*100*time.Millisecond, nil)
		for _, f := range w.workers {
			f.node = slices.Index(w.names, home) // it hears of the end by a report
		}
		w.slowWatcher = home
		w.hold(everyLink)
		var a Answer
		for range 5 { // it waits until another controller knows
			if a = w.request("a", func(req uint64) Command { return Cancel{Req: req, ID: "req-blue-1"} }); a.Status == http.StatusOK {
				break
			}
			w.run(time.Second, nil)
		}
		told := stateOf(t, a)
		w.run(5*time.Second, nil)
		w.slowWatcher = ""
		w.restore()
		w.run(10*time.Second, nil)
		seen[told.State]++
		for _, n := range w.names {
			if s := stateOf(t, w.status(n, "req-blue-1")); s.State != told.State {
				t.Errorf("cancelled after %d tenths: told %s, and %s by %s", tenths, told.State, s.State, n)
			}
		}
	}
	if seen[protocol.Done] == 0 || seen[protocol.Cancelled] == 0 {
		t.Errorf("the end and the cancellation never came close: %v", seen)
	}
}

// Jobs that are bound to one zone, or to half of their tasks in any, lose all machines of a
// zone, which has no more to give for a while: nothing starts where it must not, what may
// go elsewhere does, and what may not goes on where it was.
func TestJobsBoundToAZoneLoseMachines(t *testing.T) {
	const id = "req-free-1"
	for name, c := range map[string]struct {
		more string
		// other is whether another zone will do once the machines are lost.
		other bool
	}{
		"an array of a zone":       {`,"yard":"z2"`, false},
		"a gang of a zone":         {`,"yard":"z2","shape":"group"`, false},
		"an array in one place":    {`,"samePlace":true`, true},
		"a gang in one place":      {`,"samePlace":true,"shape":"group"`, true},
		"a gang that is spread":    {`,"spread":true,"shape":"group"`, false},
		"a service that is spread": {`,"spread":true,"shape":"service","guessS":0.0,"dueS":null`, false},
		"an array that is spread":  {`,"spread":true`, true},
	} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, silent %v", name, silent), func(t *testing.T) {
				t.Parallel()
				w := newWorldOf(t, five)
				w.twoZones()
				w.allowRacingStarts, w.taskTime = true, 30*time.Second
				w.ready()
				accepted(t, w.submit("a", id, 8, c.more))
				w.started(id, 8)
				zones := w.zonesWith(id)
				zone := "z2"
				if zones["z1"] > zones["z2"] {
					zone = "z1"
				}
				lost := 0
				for m, f := range w.workers {
					if f.Zone == zone {
						lost += len(f.Tasks)
						if f.dead = true; !silent {
							delete(w.workers, m) // the cloud's list shows it
						}
					}
				}
				if lost == 0 {
					t.Fatal("no task was lost")
				}
				w.fullZone = zone
				w.run(90*time.Second, nil)
				s, _ := w.state(id)
				if whole := w.onMachines(id) == 8 || s.State == protocol.Done; whole != c.other {
					t.Errorf("without the zone %d of 8 tasks run, the job is %q", w.onMachines(id), s.State)
				}
				w.fullZone = ""
				if !w.run(2*time.Minute, func() bool { return w.finished(id)() || w.onMachines(id) == 8 }) {
					t.Error("it does not go on")
				}
			})
		}
	}
}

// A service's replicas that are to be spread get machines in a second zone, also where no
// other job has any there.
func TestSpreadReplicasGetMachinesInTheirZones(t *testing.T) {
	w := newWorldOf(t, five).ready()
	w.allowRacingStarts = true
	accepted(t, w.submit("b", "req-free-2", 6, serviceMore))
	w.run(40*time.Second, nil)
	if zones := w.zonesWith("req-free-2"); zones["z1"] != 3 || zones["z2"] != 3 || w.rented > 12 {
		t.Errorf("replicas are in %v, %d machines were rented", zones, w.rented)
	}
}

// A cancellation meets the write that binds more of the job's tasks, and its home hears of
// it before that write's answer: the binding stayed, and was written again with all changes
// that the home has, in vain and for ever.
func TestCancellationMeetsABindingOnItsWay(t *testing.T) {
	const id = "req-free-1"
	w := newWorldOf(t, five).ready()
	w.allowRacingStarts, w.taskTime = true, 10*time.Minute
	home, writes, met := w.leaderOf("free"), 0, false
	w.onEffect = func(node string, e Effect) {
		txn, is := e.(StoreTxn)
		if !is || node != home || !slices.ContainsFunc(txn.Txn.Then, func(ch protocol.Change) bool { return ch.Put == jobKey(id) }) {
			return
		}
		if writes++; met || len(txn.Txn.If) < 4 {
			return // it binds nothing
		}
		met = true
		r := w.decide(protocol.Txn{If: []protocol.Condition{{Key: keyState + id}},
			Then: []protocol.Change{putJSON(keyState+id, finalStateRecord{State: protocol.Cancelled}), putJSON(cancelKey(id), cancelRecord{})}})
		w.send(home, PeerMessageReceived{Node: w.notHome(home), Message: PeerMessage{Cancellations: []Cancellation{{Job: id, Revision: r.Revision}}}})
	}
	accepted(t, w.submit("a", id, 40, ""))
	if !w.run(20*time.Second, func() bool { return met }) {
		t.Fatal("nothing was bound")
	}
	writes = 0
	if !w.run(20*time.Second, func() bool { return w.kv[jobKey(id)].Version == 0 }) || writes > 5 {
		t.Errorf("it has not ended, after %d writes", writes)
	}
}

// A gang that waits for its team's limit, and not for machines, gathers none: it held all that
// came free, and others waited beside them.
func TestGangAtItsLimitGathersNothing(t *testing.T) {
	w := newWorldOf(t, five)
	w.maxMachines, w.allowRacingStarts, w.taskTime = 8, true, 10*time.Minute
	w.ready()
	accepted(t, w.submit("a", "req-red-1", 6, ""))
	w.started("req-red-1", 6)
	accepted(t, w.submit("a", "req-red-2", 6, `,"shape":"group","dueS":null`)) // six more are over 16 CPUs
	w.run(5*time.Minute, nil)                                                  // it has waited for four time-outs
	if w.onMachines("req-red-2") > 0 || w.inUse("red") != 12 {
		t.Fatal("the team is not at its limit")
	}
	accepted(t, w.submit("b", "req-free-3", 10, ""))
	if !w.run(time.Minute, func() bool { return w.onMachines("req-free-3") == 10 }) {
		t.Errorf("%d of 10 tasks of another team run", w.onMachines("req-free-3"))
	}
}

// leads counts the homes that a team has had since the count began.
func (w *world) leads(team string) func() int {
	seen, last := 0, w.leaderOf(team)
	w.scheduled = append(w.scheduled, func() bool {
		if home := w.leaderOf(team); home != "" && home != last {
			seen, last = seen+1, home
		}
		return false
	})
	return func() int { return seen }
}

// Leaders change ten times in two minutes, with an outage in the middle: jobs that run long
// are started once, what is cancelled meanwhile stays so, and nobody starves after it.
func TestLeadersChangeTenTimes(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage %v", outage), func(t *testing.T) {
			t.Parallel()
			w := idleWorld(t, 20)
			w.allowRacingStarts, w.unevenRunTimes, w.taskTime = true, true, 50*time.Second
			for n := range 4 {
				accepted(t, w.submit("a", fmt.Sprintf("req-free-%d", n), 3, ""))
			}
			w.started("req-free-3", 3)
			changes := w.leads("free")
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
				t.Fatalf("the home has changed %d times", n)
			}
			if len(w.cancellationToldAt) > 0 && w.onMachines("req-free-3") > 0 {
				t.Error("what was cancelled runs")
			}
			w.recover()
			w.run(75*time.Second, nil)
			if w.startsOf("req-free-9") == 0 || !w.run(5*time.Minute, w.finished("req-free-0", "req-free-1", "req-free-2", "req-free-9")) {
				t.Error("jobs do not go on once leaders stay")
			}
			w.startedOnce()
		})
	}
}

// All controllers are away for longer than a lease: every session has risen, machines were
// taken meanwhile, and a cancellation was confirmed just before.
func TestAllAreAwayForLongerThanALease(t *testing.T) {
	for name, also := range map[string]func(w *world){
		"nothing":        func(*world) {},
		"machines taken": func(w *world) { w.eachOfSome(3, func(id string) { delete(w.workers, id) }) },
		"late reports":   func(w *world) { w.replayReports = true },
		"an outage":      func(w *world) { w.outage = true; w.after(30*time.Second, w.endOutage) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := idleWorld(t, 20)
			w.allowRacingStarts, w.taskTime = true, 25*time.Second
			accepted(t, w.submit("a", "req-free-1", 20, ""))
			accepted(t, w.submit("b", "req-red-2", 8, ""))
			accepted(t, w.submit("b", "req-free-3", 6, ""))
			w.run(30*time.Second, func() bool { return w.onMachines("req-free-3")+w.onMachines("req-red-2") == 14 })
			w.run(3*time.Second, nil) // reports have come
			if w.cancelJob("c", "req-free-3").Status != http.StatusOK || w.onMachines("req-red-2") != 8 {
				t.Fatal("not confirmed, or not started")
			}
			machines := slices.Sorted(maps.Keys(w.workers))
			also(w)
			w.stopAllFor(w.lease() * 3 / 2)
			w.run(w.lease()*3/2+time.Second, nil)
			if !w.sessions(machines) {
				t.Fatal("no session has risen")
			}
			if !w.run(3*time.Minute, w.finished("req-free-1", "req-red-2")) {
				t.Error("jobs do not end")
			}
			if s := stateOf(t, w.status("d", "req-free-3")); s.State != protocol.Cancelled || w.onMachines("req-free-3") > 0 {
				t.Errorf("what was cancelled is %q", s.State)
			}
		})
	}
}

// A zone with workers and controllers is cut off for longer than a lease: its tasks go on and
// are neither started again nor lost, jobs bound to it wait, and what is cancelled outside is
// gone in time.
func TestZoneIsCutOffWithItsControllers(t *testing.T) {
	for _, leases := range []float64{1.3, 2.5} {
		t.Run(fmt.Sprint(leases, " leases"), func(t *testing.T) {
			t.Parallel()
			w := newWorldOf(t, five)
			w.twoZones()
			w.allowRacingStarts, w.taskTime = true, 4*time.Minute
			w.ready()
			accepted(t, w.submit("a", "req-free-1", 8, `,"yard":"z2"`))
			accepted(t, w.submit("a", "req-blue-2", 4, `,"yard":"z2"`))
			accepted(t, w.submit("a", "req-free-3", 8, `,"yard":"z1"`))
			w.started("req-free-1", 8)
			w.started("req-blue-2", 4)
			w.run(20*time.Second, nil) // machines have settled with controllers of their zone, or others
			w.cutZone("z2")
			w.run(5*time.Second, nil)
			if a := w.cancelJob("a", "req-blue-2"); a.Status != http.StatusOK {
				t.Fatalf("cancellation got %d", a.Status)
			}
			accepted(t, w.submit("b", "req-free-4", 4, `,"yard":"z2"`))
			accepted(t, w.submit("b", "req-free-5", 4, ""))
			w.run(time.Duration(leases*float64(w.lease())), nil)
			if w.onMachines("req-free-5") != 4 || w.onMachines("req-free-4") != 0 {
				t.Errorf("%d tasks run outside, %d in the zone", w.onMachines("req-free-5"), w.onMachines("req-free-4"))
			}
			w.reconnectZone()
			w.run(w.allowed(), nil)
			if w.onMachines("req-blue-2") > 0 || len(w.cancellationToldAt) > 0 {
				t.Error("what was cancelled is left")
			}
			kept := 0
			for i := range 8 {
				if w.starts[fmt.Sprintf("req-free-1/%d", i)] == 1 {
					kept++
				}
			}
			if kept < 4 { // some were on machines that are given back for the cancelled job
				t.Errorf("%d of 8 tasks in the zone went on", kept)
			}
			if !w.run(8*time.Minute, w.finished("req-free-1", "req-free-3", "req-free-4", "req-free-5")) {
				t.Error("jobs do not end")
			}
		})
	}
}

// There is more work than room, urgent and not, and all links are slow: claims and starts take
// seconds. Nothing is bound to a machine that has no room for it for long, no limit is
// passed, and all work ends.
func TestMoreWorkThanRoomOverSlowLinks(t *testing.T) {
	w := idleWorld(t, 10)
	w.allowRacingStarts, w.latency, w.taskTime = true, true, 8*time.Second
	var ids []string
	for n := range 4 {
		for i, team := range []string{"red", "blue", "free"} {
			id := fmt.Sprintf("req-%s-%d", team, n)
			ids = append(ids, id)
			accepted(t, w.submit(w.names[(n+i)%5], id, 12, []string{"", `,"urgency":"critical"`, `,"urgency":"low"`}[n%3]))
		}
	}
	slow := 0
	for range 30 { // links hold everything for three seconds and let it go for one
		w.hold(everyLink)
		w.run(3*time.Second, nil)
		for _, held := range w.heldMessages {
			slow += len(held)
		}
		w.restore()
		w.run(time.Second, nil)
	}
	if slow == 0 || w.inUse("red") == 0 && w.startsOf("req-red-0") == 0 {
		t.Fatal("nothing was slow, or nothing ran")
	}
	if !w.run(6*time.Minute, w.finished(ids...)) {
		t.Error("jobs do not end")
	}
	for task, n := range w.starts {
		if n > 3 {
			t.Errorf("%s was started %d times", task, n)
		}
	}
}

// A team is at its limit when its home ends; some of its machines can't be asked, and one of
// its jobs is cancelled in that spell. What is cancelled counts until its end is proven, by
// every home that follows, and the room is used again soon after.
func TestTeamIsAtItsLimitWhenItsLeaderChanges(t *testing.T) {
	for name, unasked := range map[string]func(w *world, id string){
		"hang":      func(w *world, id string) { w.hang(id, 14*time.Second) },
		"are cut":   func(w *world, id string) { w.cutWorkers[id] = true },
		"are mute":  func(w *world, id string) { w.silentWorkers[id] = true },
		"are deaf":  func(w *world, id string) { w.unreachableWorkers[id] = true },
		"are taken": func(w *world, id string) { delete(w.workers, id) },
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
					t.Fatal("the team is not at its limit")
				}
				for _, id := range slices.Sorted(maps.Keys(w.workers)) {
					if w.loadOf(w.workers[id], "red").CPUs > 0 {
						unasked(w, id)
					}
				}
				home := w.leaderOf("red")
				w.crash(home)
				w.expire(home)
				w.run(time.Second, nil)
				a := w.cancelJob(w.serving(), first)
				if a.Status != http.StatusOK {
					w.run(3*time.Second, nil)
					a = w.cancelJob(w.serving(), first)
				}
				if a.Status != http.StatusOK {
					t.Fatalf("cancellation got %d", a.Status)
				}
				if twice {
					w.run(4*time.Second, nil)
					if next := w.leaderOf("red"); next != "" && w.cores[next] != nil {
						w.crash(next)
						w.expire(next)
					}
				}
				w.run(w.lease(), nil) // the world checks the limit with every start
				w.recover()
				if !w.run(90*time.Second, func() bool { return w.inUse("red") == 16 }) {
					t.Errorf("90 s after all troubles the team uses %v of 16 CPUs", w.inUse("red"))
				}
			})
		}
	}
}
