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

// A duplicate or delayed report changes nothing, neither at the controller that the machine
// reports to nor at the four others.
func TestDuplicateReportChangesNothing(t *testing.T) {
	w, _ := loadedWorld(t, 10, "req-free-1")
	f := w.workers[slices.Sorted(maps.Keys(w.workers))[3]]
	w.run(5*time.Second, nil) // until heartbeats have announced all reports
	node := w.cores["a"].machines.Get(f.Machine).Node
	old := w.snapshot(f)
	old.Tasks = nil // as before any task was started
	copies := map[string]protocol.Report{"duplicate": w.snapshot(f), "older": old, "older session": old}
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
				t.Errorf("%s: %s answered %d, want 503", name, to, a.Status)
			case to == node && (len(orders.Commands) > 0 || a.Status == http.StatusMisdirectedRequest):
				t.Errorf("%s: the machine's controller answered %d with %d commands, want no commands and no redirect", name, a.Status, len(orders.Commands))
			}
			m := w.cores[to].machines.Get(f.Machine)
			if m.Node != before.Node || m.GrantedToken != before.GrantedToken || m.Session != before.Session || len(m.Tasks) != len(before.Tasks) {
				t.Errorf("%s: %s now has the machine at %s in session %d with %d tasks, want no change", name, to, m.Node, m.Session, len(m.Tasks))
			}
		}
		if own := w.cores[node].agents.session(f.Machine); own.epoch != f.Session {
			t.Errorf("%s: the machine's controller went back to epoch %d", name, own.epoch)
		}
	}
	w.run(time.Minute, nil)
	w.startedOnce()
}

// A duplicate report does not revive a machine that the cloud has terminated.
func TestDuplicateReportDoesNotReviveATerminatedMachine(t *testing.T) {
	w, _ := loadedWorld(t, 10, "req-free-1")
	id := slices.Sorted(maps.Keys(w.workers))[3]
	r := w.snapshot(w.workers[id])
	w.workers[id].dead = true
	if !w.run(time.Minute, func() bool { return w.workers[id] == nil }) {
		t.Fatal("machine was not returned")
	}
	w.run(3*time.Second, nil)
	r.Seq += 100 // newer than any report received
	for _, to := range w.names {
		if a := w.request(to, func(req uint64) Command { return Heartbeat{Req: req, Report: r} }); a.Status != http.StatusServiceUnavailable {
			t.Errorf("%s answered %d, want 503", to, a.Status)
		}
	}
	for _, to := range w.names {
		w.cores[to].applyObservation(Observation{Node: "a", Token: 99, Report: r}) // as if another controller had accepted it
		if w.cores[to].machines.Get(id) != nil {
			t.Errorf("%s has the terminated machine again", to)
		}
	}
}

// Controllers that have all restarted know nothing newer than a duplicate report. It must not
// mislead them.
func TestDuplicateReportsAfterAllControllersRestarted(t *testing.T) {
	w := idleWorld(t, 20)
	w.replayReports = true
	var ids []string
	for n := range 6 {
		id := fmt.Sprintf("req-free-%d", n)
		accepted(t, w.submit(w.nodeWithStore(), id, 30, ""))
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
		t.Fatal("jobs did not end")
	}
}

// A report is delayed until its machine has changed controllers, started a new epoch or been
// returned. It is not a duplicate, and is newer than the reports that most controllers have.
func TestDelayedReportDoesNotRevertState(t *testing.T) {
	for name, meanwhile := range map[string]func(w *world, f *fakeWorker){
		"its controller crashed": func(w *world, f *fakeWorker) { n := w.names[f.node%5]; w.crash(n); w.expire(n) },
		"new epoch": func(w *world, f *fakeWorker) {
			w.silentWorkers[f.Machine] = true
			w.run(w.lease()*5/4, nil)
			clear(w.silentWorkers)
		},
		"returned":                  func(w *world, f *fakeWorker) { f.dead = true },
		"leader changed":            func(w *world, _ *fakeWorker) { n := w.leaderOf("free"); w.crash(n); w.expire(n) },
		"job cancelled":             func(w *world, _ *fakeWorker) { w.cancelJob("a", "req-free-1") },
		"all controllers restarted": func(w *world, _ *fakeWorker) { w.stopAllFor(time.Second) },
	} {
		for _, to := range fiveNodes {
			t.Run(name+", to "+to, func(t *testing.T) {
				t.Parallel()
				w, _ := loadedWorld(t, 10, "req-free-1")
				w.started("req-free-1", 20)
				w.run(3*time.Second, nil)
				f := w.workers[slices.Sorted(maps.Keys(w.workers))[3]]
				f.Seq++
				held := w.snapshot(f)
				held.Tasks = held.Tasks[:len(held.Tasks)/2] // as if some tasks had not started
				meanwhile(w, f)
				w.run(20*time.Second, nil)
				if m := w.cores[w.serving()].machines.Get(f.Machine); m != nil && max(m.Seq, m.AnnouncedSeq) <= held.Seq && m.Session == held.Session {
					t.Fatal("no newer report is known")
				}
				w.nextReq++
				w.send(to, Heartbeat{Req: w.nextReq, Report: held})
				w.run(time.Minute, nil)
				w.recover()
				w.run(w.cancelDeadline(), nil) // the simulation checks starts, limits and cancellations
				for _, node := range w.names {
					if m := w.cores[node].machines.Get(f.Machine); m != nil && (m.Session < f.Session || w.workers[f.Machine] == nil) {
						t.Errorf("%s has an outdated or terminated machine in epoch %d", node, m.Session)
					}
				}
			})
		}
	}
}
