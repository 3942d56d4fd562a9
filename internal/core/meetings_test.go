package core

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// A term whose write got no answer may belong to whoever wrote the same number next.
func TestTermWithoutAnAnswerIsNotUsed(t *testing.T) {
	for _, late := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
		w := newWorldOf(t, five).ready()
		n := 0
		w.lateWrite = func(_ string, e StoreTxn) time.Duration {
			if e.Txn.Then[0].Put != keyTerm {
				return 0
			}
			if n++; n%2 == 0 {
				return 0
			}
			return late
		}
		for i := range 10 {
			for _, f := range w.workers {
				f.Token += 100 // a controller that hears of it takes a newer term
			}
			w.addWorker("z1", false)
			w.workers[fmt.Sprintf("vm-%06d", w.rented)].Token = uint64(1000 + i)
			w.run(2*time.Second, nil)
		}
		w.run(20*time.Second, nil) // the world checks whose each term is
		if n < 5 {
			t.Errorf("%d terms were written", n)
		}
	}
}

// A start that comes after its machine's term was raised, or its session has ended: a
// report has proved that it never will, and the task may be elsewhere. What waits is
// delivered under the present session, so the worker would not refuse it.
func TestStartOfATermOrSessionThatHasPassedIsRefused(t *testing.T) {
	for name, s := range map[string]Start{
		"as it is":        {Term: 5, Session: 2},
		"former term":     {Term: 3, Session: 2},
		"another's":       {Term: 4, Session: 2},
		"later term":      {Term: 6, Session: 2},
		"former session":  {Term: 5, Session: 1},
		"session to come": {Term: 5, Session: 3},
	} {
		c := newWorld(t).cores["a"]
		c.catalogIn(CatalogIn{Types: newWorld(t).types})
		c.term.own[3], c.term.own[5] = true, true
		w := &control{term: 5, session: 2, sent: map[taskAttempt]job.Resources{}, orders: map[taskAttempt]protocol.Command{}}
		c.own["vm"] = w
		m := c.addMachine("vm")
		m.Machine, m.Type, m.Node, m.Session = "vm", "small", "a", 2
		s.Machine, s.Task, s.Attempt = "vm", "req-free-1/0", 1
		c.start("b", s)
		if waits := len(w.queue) > 0; waits != (name == "as it is") {
			t.Errorf("%s: it waits to be delivered: %v", name, waits)
		}
	}
}

// A job's last task ends while its user cancels, at a controller whose replica is behind
// and of which the home hears nothing: one of the two it is, and stays.
func TestJobIsDoneOrCancelledAndStaysSo(t *testing.T) {
	seen := map[string]int{}
	for tenths := range 16 {
		w := newWorldOf(t, five).ready()
		w.racing = true
		accepted(t, w.submit("a", "req-blue-1", 1, ""))
		w.started("req-blue-1", 1)
		home := w.cores["a"].teamBy["blue"].home
		w.run(4200*time.Millisecond+time.Duration(tenths)*100*time.Millisecond, nil)
		for _, f := range w.workers {
			f.node = slices.Index(w.names, home) // it hears of the end by a report
		}
		w.slowWatcher = home
		w.hold(everyLink)
		var a Answer
		for range 5 { // it waits until another controller knows
			if a = w.ask("a", func(req uint64) Command { return Cancel{Req: req, ID: "req-blue-1"} }); a.Status == http.StatusOK {
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

// A home's write got no answer and is sent again, and its condition on the job fails: what
// the store holds is either that very write, or another home's, whatever it looks like.
func TestWriteOfAnotherHomeIsNotTakenForOnesOwn(t *testing.T) {
	for name, own := range map[string]bool{"own": true, "another's": false} {
		w := newWorld(t).ready()
		accepted(t, w.submit("a", "req-free-1", 3, ""))
		w.started("req-free-1", 3)
		c := w.cores[w.cores["a"].teamBy["free"].home]
		j, team := c.jobs["req-free-1"], c.teamBy["free"]
		u := &update{team: team, job: j, nonce: "mine", retries: 1}
		nonce := "another's"
		if own {
			nonce = u.nonce
		}
		c.headRead(u, StoreReply{Outcome: Applied, Item: protocol.KeyValue{Value: raw(map[string]string{"w": nonce}), Version: 99}})
		if team.acting != own || own && j.Version != 99 {
			t.Errorf("%s: still home %v, at version %d", name, team.acting, j.Version)
		}
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
				w.racing, w.taskTime = true, 30*time.Second
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
				w.closed = zone
				w.run(90*time.Second, nil)
				s, _ := w.state(id)
				if whole := w.onMachines(id) == 8 || s.State == protocol.Done; whole != c.other {
					t.Errorf("without the zone %d of 8 tasks run, the job is %q", w.onMachines(id), s.State)
				}
				w.closed = ""
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
	w.racing = true
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
	w.racing, w.taskTime = true, 10*time.Minute
	home, writes, met := w.homeOf("free"), 0, false
	w.tell = func(node string, e Effect) {
		txn, is := e.(StoreTxn)
		if !is || node != home || !slices.ContainsFunc(txn.Txn.Then, func(ch protocol.Change) bool { return ch.Put == activeKey(id) }) {
			return
		}
		if writes++; met || len(txn.Txn.If) < 4 {
			return // it binds nothing
		}
		met = true
		r := w.decide(protocol.Txn{If: []protocol.Condition{{Key: keyState + id}},
			Then: []protocol.Change{put(keyState+id, stateKey{State: protocol.Cancelled}), put(cancelKey(id), cancelMark{})}})
		w.send(home, PeerIn{Node: w.notHome(home), Msg: PeerMsg{Words: []Word{{Job: id, Revision: r.Revision}}}})
	}
	accepted(t, w.submit("a", id, 40, ""))
	if !w.run(20*time.Second, func() bool { return met }) {
		t.Fatal("nothing was bound")
	}
	writes = 0
	if !w.run(20*time.Second, func() bool { return w.kv[activeKey(id)].Version == 0 }) || writes > 5 {
		t.Errorf("it has not ended, after %d writes", writes)
	}
}

// A gang that waits for its team's limit, and not for machines, gathers none: it held all that
// came free, and others waited beside them.
func TestGangAtItsLimitGathersNothing(t *testing.T) {
	w := newWorldOf(t, five)
	w.most, w.racing, w.taskTime = 8, true, 10*time.Minute
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
