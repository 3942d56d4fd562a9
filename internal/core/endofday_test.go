package core

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// A machine whose reports arrive while nothing reaches it looked alive: it got tasks again
// and again, and each was lost with its next lease (docs/fault-handling.md).
func TestDeafMachineGetsNoWorkUntilItHears(t *testing.T) {
	w, _ := partitionedWorld(t, 10, "req-free-first")
	w.noCloud, w.taskTime = true, 5*time.Second
	w.cancelJob("a", "req-free-first")
	deaf := slices.Sorted(maps.Keys(w.workers))[:2]
	sent := map[string]int{}
	w.onEffect = func(_ string, e Effect) {
		if d, ok := e.(Deliver); ok {
			for _, cmd := range d.Orders.Commands {
				if cmd.Op == protocol.OpStart {
					sent[d.Machine]++
				}
			}
		}
	}
	work := func(from, to int) {
		for n := from; n < to; n++ {
			accepted(t, w.submit("a", fmt.Sprintf("req-free-%d", n), 20, ""))
			w.run(4*time.Second, nil)
		}
	}
	for _, id := range deaf {
		w.unreachableWorkers[id] = true
	}
	work(0, 4) // two answers have to be lost
	clear(sent)
	work(4, 9)
	for _, id := range deaf {
		if sent[id] > 0 {
			t.Errorf("%s was sent %d starts that can't reach it", id, sent[id])
		}
	}
	clear(w.unreachableWorkers)
	w.run(12*time.Second, nil)
	for _, id := range deaf {
		for _, node := range w.names {
			if w.cores[node].machines.Get(id).IsUnreachable() {
				t.Errorf("%s takes %s for deaf although it hears", node, id)
			}
		}
	}
}

// One that stays deaf costs money and does nothing: it goes as an idle one does.
func TestDeafMachineIsGivenBack(t *testing.T) {
	w, _ := partitionedWorld(t, 10, "req-free-1")
	id := slices.Sorted(maps.Keys(w.workers))[2]
	w.unreachableWorkers[id] = true
	if !w.run(time.Minute, func() bool { return w.workers[id] == nil }) {
		t.Error("kept for a minute")
	}
	if len(w.workers) < 9 {
		t.Errorf("%d machines are left", len(w.workers))
	}
}

// A copy, or a report that was held back, comes to any controller: one that has the machine
// and four that have not.
func TestCopyOfAReportChangesNothing(t *testing.T) {
	w, _ := partitionedWorld(t, 10, "req-free-1")
	f := w.workers[slices.Sorted(maps.Keys(w.workers))[3]]
	w.run(5*time.Second, nil) // beats have told of all reports
	node := w.cores["a"].machines.Get(f.Machine).Node
	old := w.snapshot(f)
	old.Tasks = nil // as it was before anything was started
	copies := map[string]protocol.Report{"the same again": w.snapshot(f), "older": old, "older session": old}
	for name, change := range map[string]func(r *protocol.Report){
		"older": func(r *protocol.Report) { r.Seq -= 3 }, "older session": func(r *protocol.Report) { r.Session-- },
	} {
		r := copies[name]
		change(&r)
		copies[name] = r
	}
	for name, r := range copies {
		for _, to := range w.names {
			before := *w.cores[to].machines.Get(f.Machine)
			a := w.request(to, func(req uint64) Command { return Heartbeat{Req: req, Report: r} })
			switch orders, _ := a.Body.(protocol.Orders); {
			case to != node && a.Status != http.StatusServiceUnavailable:
				t.Errorf("%s: %s answers %d", name, to, a.Status)
			case to == node && (len(orders.Commands) > 0 || a.Status == http.StatusMisdirectedRequest):
				t.Errorf("%s: its controller answers %d with %d commands", name, a.Status, len(orders.Commands))
			}
			m := w.cores[to].machines.Get(f.Machine)
			if m.Node != before.Node || m.GrantedToken != before.GrantedToken || m.Session != before.Session || len(m.Tasks) != len(before.Tasks) {
				t.Errorf("%s: %s takes the machine for %s, session %d, %d tasks", name, to, m.Node, m.Session, len(m.Tasks))
			}
		}
		if own := w.cores[node].agents.session(f.Machine); own.epoch != f.Session {
			t.Errorf("%s: its controller went back to session %d", name, own.epoch)
		}
	}
	w.run(time.Minute, nil)
	w.startedOnce()
}

// A machine that the cloud has taken does not come back by a copy.
func TestCopyOfAReportBringsNoMachineBack(t *testing.T) {
	w, _ := partitionedWorld(t, 10, "req-free-1")
	id := slices.Sorted(maps.Keys(w.workers))[3]
	r := w.snapshot(w.workers[id])
	w.workers[id].dead = true
	if !w.run(time.Minute, func() bool { return w.workers[id] == nil }) {
		t.Fatal("not given back")
	}
	w.run(3*time.Second, nil)
	r.Seq += 100 // sent later than anything that was heard
	for _, to := range w.names {
		if a := w.request(to, func(req uint64) Command { return Heartbeat{Req: req, Report: r} }); a.Status != http.StatusServiceUnavailable {
			t.Errorf("%s answers %d", to, a.Status)
		}
	}
	for _, to := range w.names {
		w.cores[to].applyObservation(Observation{Node: "a", Token: 99, Report: r}) // another was taken in by it
		if w.cores[to].machines.Get(id) != nil {
			t.Errorf("%s knows it again", to)
		}
	}
}

// Controllers that have all started over know nothing newer than a copy.
func TestCopiesMisleadNoControllerThatStartedOver(t *testing.T) {
	w := idleWorld(t, 20)
	w.replayReports = true
	var ids []string
	for n := range 6 {
		id := fmt.Sprintf("req-free-%d", n)
		accepted(t, w.submit(w.informed(), id, 30, ""))
		ids = append(ids, id)
		w.run(8*time.Second, func() bool { return len(w.pastReports) > 10 })
		for _, node := range w.names {
			w.crash(node)
			w.expire(node)
		}
		for _, node := range w.names {
			w.boot(node)
			w.send(node, w.pastReports[w.rng.IntN(len(w.pastReports))])
		}
		w.run(5*time.Second, nil)
	}
	if !w.run(3*time.Minute, w.finished(ids...)) {
		t.Fatal("jobs do not end")
	}
}

// A controller that had its workers only kept them, unheard by the others, whose renter
// gave all of them back with what ran on them. One, two, and all but one in that state.
func TestIsolatedControllerSendsItsWorkersOn(t *testing.T) {
	for _, alone := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(alone), func(t *testing.T) {
			t.Parallel()
			w := gpuWorld(t, 30, 0)
			w.taskTime = 10 * time.Minute
			accepted(t, w.submit("a", "req-free-1", 60, ""))
			w.started("req-free-1", 60)
			for _, n := range w.names[:alone] {
				w.cutStore(n)
				w.refuse(func(f, t string) bool { return f == n || t == n })
				w.confirmsNothing(n) // it does not know yet
				w.send(n, StoreHealth{})
			}
			w.run(40*time.Second, nil)
			for _, n := range w.names[:alone] {
				w.confirmsNothing(n)
			}
			if n := w.onMachines("req-free-1"); len(w.workers) != 30 || n != 60 {
				t.Errorf("%d of 30 machines and %d of 60 tasks are left", len(w.workers), n)
			}
			w.heal()
			w.run(20*time.Second, nil)
			w.startedOnce()
		})
	}
}

// confirmsNothing checks that a controller without the state service turns all users away.
func (w *world) confirmsNothing(node string) {
	w.t.Helper()
	for what, a := range map[string]Answer{
		"question":     w.status(node, "req-free-1"),
		"cancellation": w.cancelJob(node, "req-free-1"),
		"submission":   w.submit(node, "req-free-2", 4, ""),
	} {
		if a.Status != http.StatusServiceUnavailable {
			w.t.Errorf("%s answers a %s with %d", node, what, a.Status)
		}
	}
}

// In a zone that is cut off no worker could be heard elsewhere.
func TestNoWorkerIsSentOnInAZoneThatIsCutOff(t *testing.T) {
	c := New(testSettings("a"), settings.DefaultPolicy(), "a1")
	c.loaded, c.storeOK = true, false
	c.now.Steady = time.Minute
	c.checkIsolation()
	c.now.Steady += 5 * time.Second
	away := func(machine, zone string) bool {
		return c.isolation.redirect(machine, zone, c.now.Steady, c.reportInterval())
	}
	for range 3 {
		if away("vm-1", "z1") {
			t.Fatal("sent on although no other zone is heard")
		}
	}
	if !away("vm-2", "z2") || away("vm-2", "z2") || !away("vm-1", "z1") {
		t.Error("not sent on once each with two zones heard")
	}
	c.storeOK = true
	c.checkIsolation()
	if away("vm-3", "z1") {
		t.Error("sent on although the state service is back")
	}
}

// The former run's lease, home, starts and claims are all still there when its successor
// begins, and what it had sent comes after that.
func TestControllerThatIsBackAtOnceResumesNothingOld(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			t.Parallel()
			w := idleWorld(t, 20)
			var ids []string
			for n := range 8 {
				id := fmt.Sprintf("req-free-%d", n)
				accepted(t, w.submit("a", id, 12, ""))
				ids = append(ids, id)
				w.hold(everyLink)
				w.run(300*time.Millisecond, nil)
				home, renter := w.cores["a"].teamBy["free"].leader, w.cores["a"].fleet.leader
				for _, node := range []string{home, renter, w.names[n%5]} {
					if w.cores[node] != nil {
						w.crash(node)
						w.run(pause, nil)
						w.boot(node)
					}
				}
				w.run(400*time.Millisecond, nil)
				w.restore()
				w.run(time.Second, nil)
			}
			if !w.run(2*time.Minute, w.finished(ids...)) {
				t.Fatal("jobs do not end")
			}
			w.startedOnce()
		})
	}
}
