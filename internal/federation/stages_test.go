package federation

import (
	"fmt"
	"testing"
	"time"
)

// faults are what can happen to a message of a hand-off, or to a site at that moment.
var faults = map[string]func(w *sim, i int){
	"lost":  func(w *sim, i int) { w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...) },
	"twice": func(w *sim, i int) { w.deliver(i, true, fine); w.deliver(i, false, fine) },
	"held past all that follows": func(w *sim, i int) {
		w.heldBack = append(w.heldBack, w.inFlight[i])
		w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	},
	"write applied, no answer":     func(w *sim, i int) { w.deliver(i, false, unanswered) },
	"write lost":                   func(w *sim, i int) { w.deliver(i, false, lost) },
	"write late":                   func(w *sim, i int) { w.deliver(i, false, late) },
	"receiver ends before":         func(w *sim, i int) { w.boot(w.inFlight[i].To) },
	"receiver ends after":          func(w *sim, i int) { to := w.inFlight[i].To; w.deliver(i, false, fine); w.boot(to) },
	"sender ends":                  func(w *sim, i int) { w.boot(w.inFlight[i].From) },
	"both end":                     func(w *sim, i int) { m := w.inFlight[i]; w.boot(m.From); w.boot(m.To) },
	"link cut there for a while":   func(w *sim, i int) { m := w.inFlight[i]; w.cutFor(m.From, m.To, 30*time.Second) },
	"link cut back for a while":    func(w *sim, i int) { m := w.inFlight[i]; w.cutFor(m.To, m.From, 30*time.Second) },
	"link cut for less than a try": func(w *sim, i int) { m := w.inFlight[i]; w.cutFor(m.From, m.To, time.Second) },
	"receiver's store out":         func(w *sim, i int) { w.downFor(w.inFlight[i].To, 20*time.Second) },
	"sender's store out":           func(w *sim, i int) { w.downFor(w.inFlight[i].From, 20*time.Second) },
	"cancelled by its user":        func(w *sim, _ int) { w.cancelAnywhere("req-1") },
	"cancelled, and the link cut": func(w *sim, i int) {
		m := w.inFlight[i]
		w.cancelAnywhere("req-1")
		w.cutFor(m.From, m.To, 30*time.Second)
	},
	"job ends at that very moment": func(w *sim, _ int) { w.runAll(); w.runAll() },
	"receiver drained":             func(w *sim, i int) { w.drain(w.inFlight[i].To) },
}

// Every message of a hand-off, offered, run and closed, or refused, in turn meets
// every fault, in either direction.
func TestEveryStageSurvivesEveryFault(t *testing.T) {
	cases, runs, answers := 0, 0, 0
	for _, refused := range []bool{false, true} {
		for name, fault := range faults {
			for stage := 0; ; stage++ {
				where := fmt.Sprintf("%s at message %d, refused %v", name, stage, refused)
				w := newSim(func(format string, args ...any) { t.Errorf(where+": "+format, args...) })
				w.submit("a", "req-1", "k")
				if refused {
					w.drain("b")
					w.drain("c")
				}
				if !w.until(stage) {
					break
				}
				fault(w, 0)
				w.finish()
				cases++
				runs += w.userJobs["req-1"].runs
				if w.userJobs["req-1"].final != "" {
					answers++
				}
			}
		}
	}
	if answers != cases || runs > cases {
		t.Errorf("%d cases, %d runs, %d final answers", cases, runs, answers)
	}
	t.Logf("%d cases: %d final answers, %d runs to the end, the others cancelled", cases, answers, runs)
}

// A cancellation ends a job at the site that has it, however long it would have run.
func TestCancelEndsAnAcceptedJob(t *testing.T) {
	w := newSim(t.Errorf)
	w.submit("a", "req-1", "k")
	for range 30 {
		w.now += time.Second
		for _, s := range siteNames {
			w.tick(s, fine)
		}
		for len(w.inFlight) > 0 {
			w.deliver(0, false, fine)
		}
		if w.sites["a"].records.Outgoing["req-1"].Accepted {
			w.cancel("a", "req-1")
		}
	}
	if r := w.userJobs["req-1"]; r.final != Cancelled || r.runs > 0 {
		t.Errorf("it is %q after %d runs", r.final, r.runs)
	}
}

// What an origin has closed is reported one by one, and goes from the receiver's records
// once all before it is closed, wherever it lies.
func TestClosedHandOffsAreReportedAndForgotten(t *testing.T) {
	m := newRoutingCoordinator(nil, Outgoing{To: "b"}, Outgoing{To: "b"})
	delete(m.records.Outgoing, "req-away-b1")
	m.load(m.records)
	closed := false
	for _, e := range m.Step(2*time.Second, MessageReceived{Message: Message{From: "b", To: "a", Kind: KindResult, Epoch: 2, State: Done}}) {
		if s, ok := e.(Send); ok && s.Message.Kind == KindClosed {
			closed = s.Message.Epoch == 2 && s.Message.LowWaterMark == 0
		}
	}
	if !closed {
		t.Error("an epoch that is closed beside an open one is reported again and again")
	}
	r := Records{}.copy()
	r.LowWaterMarks["b"] = 5
	r.Incoming[IncomingID{"b", 3}] = Incoming{Reason: reasonBusy}
	var drop []IncomingID
	for _, e := range m.Step(3*time.Second, RecordsLoaded{r}) {
		if s, ok := e.(StoreWrite); ok {
			drop = append(drop, s.Write.(ForgetIncoming).IDs...)
		}
	}
	if len(drop) != 1 || drop[0] != (IncomingID{"b", 3}) {
		t.Errorf("forgets %v of what lies below the low-water mark", drop)
	}
}

// until plays without faults until the n-th message is on its way, and tells
// whether there is one.
func (w *sim) until(n int) bool {
	for range 60 {
		w.now += time.Second
		for _, s := range siteNames {
			w.tick(s, fine)
		}
		for len(w.inFlight) > 0 {
			if n == 0 {
				return true
			}
			n--
			w.deliver(0, false, fine)
		}
		w.runOutgoing()
	}
	return false
}

// runOutgoing runs the jobs that were handed to another site; runAll runs all.
func (w *sim) runOutgoing() {
	for _, n := range siteNames {
		for _, id := range sortedJobs(w.sites[n]) {
			if w.sites[n].jobs[id].userJobID != id {
				w.run(n, id)
			}
		}
	}
}

func (w *sim) runAll() {
	for _, n := range siteNames {
		for _, id := range sortedJobs(w.sites[n]) {
			w.run(n, id)
		}
	}
}

// cutFor holds a link back for some time; downFor a store.
func (w *sim) cutFor(from, to Site, d time.Duration) {
	w.cut[[2]Site{from, to}] = true
	w.play(d)
	delete(w.cut, [2]Site{from, to})
}

func (w *sim) downFor(n Site, d time.Duration) {
	w.down[n] = true
	w.play(d)
	delete(w.down, n)
}

// play lets time pass with whatever is cut.
func (w *sim) play(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += time.Second
		for _, s := range siteNames {
			w.tick(s, fine)
		}
		for len(w.inFlight) > 0 {
			w.deliver(0, false, fine)
		}
		w.runOutgoing()
	}
}

func (w *sim) cancelAnywhere(id string) {
	for _, n := range siteNames {
		if w.sites[n].jobs[id] != nil {
			w.cancel(n, id)
		}
	}
}

func (w *sim) drain(n Site) {
	for i := range w.sites[n].cfg.Peers {
		w.sites[n].cfg.Peers[i].Drained = true
	}
}
