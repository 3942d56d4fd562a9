package core

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// leaseLife is for how long a controller's own lease lives, an eighth of a worker's.
const leaseLife = 2 * time.Second

// refuseStore lets the state service refuse one controller alone. Its lease runs out,
// unless an outage comes before: then every lease has its full time again.
func (w *world) refuseStore(node string) {
	w.withoutStore[node] = true
	refusedAt := w.now
	w.scheduled = append(w.scheduled, func() bool {
		if w.outage || !w.withoutStore[node] {
			refusedAt = w.now
		}
		if w.now-refusedAt <= leaseLife {
			return !w.withoutStore[node]
		}
		w.expire(node)
		return true
	})
}

// endOutage gives the state service back to all.
func (w *world) endOutage() {
	w.outage = false
	for _, node := range w.names {
		if w.withoutStore[node] && w.cores[node] != nil {
			if len(w.leasesOf(node)) == 0 {
				w.restoreStore(node)
			}
			delete(w.withoutStore, node)
		}
	}
}

// refused is a day on which the state service refuses a controller alone, another one
// confirms a cancellation, and then it is down for all.
type refused struct {
	// links and cloud say how these are from the refusal on.
	links, cloud string
	// gap is how long after the refusal the outage begins, atOnce that the user
	// cancels before it and not right before the outage.
	gap    time.Duration
	atOnce bool
	// renter takes the renter for the one that is refused, and not the team's home.
	renter bool
	// machines, tasks and more are the job's; by default it fills all machines.
	machines, tasks int
	more            string
	// before, refused and outage are what else happens: before the job is submitted,
	// with the refusal and with the outage.
	before, refused func(w *world)
	outage          func(w *world, old, told string)
	// gone, if set, is how long after the outage began the last task has to be gone at the
	// latest, kept that no machine may be given back for it.
	gone time.Duration
	kept bool
}

var linkTroubles = map[string]func(w *world, old string){
	"well":          func(*world, string) {},
	"to it refused": func(w *world, old string) { w.refuse(func(_, t string) bool { return t == old }) },
	"from it":       func(w *world, old string) { w.refuse(func(f, _ string) bool { return f == old }) },
	"to it slow":    func(w *world, old string) { w.hold(func(_, t string) bool { return t == old }) },
	"its own gone":  func(w *world, old string) { w.refuse(func(f, t string) bool { return f == old || t == old }) },
	// A third controller passes on what is said to it.
	"to it over a third": func(w *world, old string) { w.refuse(func(f, t string) bool { return t == old && f != "e" }) },
	"gone":               func(w *world, _ string) { w.refuse(everyLink) },
}

const refusedJob = "req-free-1"

// play plays the day with a job whose tasks run for four times the time that a
// cancellation may take.
func (d refused) play(t *testing.T) {
	machines := max(d.machines, 20)
	w := idleWorld(t, machines)
	w.allowRacingStarts, w.taskTime = true, 4*w.allowed()
	given, released := 0, map[string]int{}
	w.onEffect = func(node string, e Effect) {
		if r, is := e.(ReleaseMachines); is && !w.cores[node].fleet.leading && !w.noCloud {
			for _, m := range r.Machines {
				released[node+m]++
			}
		}
		if l, is := e.(Log); is && slices.Contains(l.Attrs, any(reasonTaskNotStopped)) && w.workers[l.Attrs[1].(string)] != nil {
			given++
		}
	}
	if d.before != nil {
		d.before(w)
	}
	accepted(t, w.submit("b", refusedJob, max(d.tasks, 2*machines), d.more))
	if w.run(10*time.Second, nil); !w.loseDeliveries {
		w.started(refusedJob, max(d.tasks, 2*machines))
	}
	old := w.cores["b"].teamBy["free"].leader
	if d.renter {
		old = w.cores["b"].fleet.leader
	}
	linkTroubles[d.links](w, old)
	w.noCloud = d.cloud != "well"
	w.refuseStore(old)
	if d.refused != nil {
		d.refused(w)
	}
	begin := w.now
	if !d.atOnce {
		w.run(d.gap, nil)
	}
	if w.onMachines(refusedJob) == 0 && !w.loseDeliveries {
		t.Fatal("no task is running when the user cancels")
	}
	told := w.confirm()
	w.run(begin+d.gap-w.now, nil)
	w.outage = true
	if d.outage != nil {
		d.outage(w, old, told)
	}
	if d.gone > 0 && !w.run(d.gone, func() bool { return w.onMachines(refusedJob) == 0 }) {
		t.Errorf("%d tasks run on %v after the outage began", w.onMachines(refusedJob), d.gone)
	}
	w.run(w.allowed()*3/2, nil)
	if d.kept && given > 0 {
		t.Errorf("machines are given back %d times for tasks that end when they are told to", given)
	}
	for m, n := range released {
		if n > 1 {
			t.Errorf("%s is given back %d times", m, n)
		}
	}
	w.endOutage()
	w.noCloud, w.unreachableNodes = false, map[string]bool{}
	w.heal()
	w.run(w.allowed(), nil)
	if len(w.cancellationToldAt) > 0 {
		t.Error("the day ended before the time allowed")
	}
}

// reports is the time of that many report intervals.
func reports(n int) time.Duration { return time.Duration(n) * 2 * time.Second }

func (w *world) allowed() time.Duration { return seconds(w.cfg["a"].Params.Workers.CancelS) }

// confirm lets the user cancel until some controller says that the job is cancelled.
func (w *world) confirm() (told string) {
	w.t.Helper()
	for range 20 {
		told = w.informed()
		if a := w.cancelJob(told, refusedJob); a.Status == http.StatusOK {
			return told
		}
		w.run(time.Second, nil)
	}
	w.t.Fatal("cancellation is not confirmed")
	return ""
}

// The operators' first meeting: the state service refuses the leading controller alone,
// another confirms a cancellation, then it is down for all, longer than cancel_s, while
// workers keep reporting to the old leader. Only its watch told a controller of
// cancellations (docs/cancellation.md).
func TestConfirmedCancellationsHoldWhileTheStateServiceIsOut(t *testing.T) {
	for links := range linkTroubles {
		for _, cloud := range []string{"well", "refusing"} {
			for _, lives := range []float64{0, 0.1, 1, 3} {
				for _, atOnce := range []bool{true, false} {
					t.Run(fmt.Sprintf("links %s, cloud %s, outage after %v lease lives, cancelled first %v", links, cloud, lives, atOnce), func(t *testing.T) {
						t.Parallel()
						d := refused{links: links, cloud: cloud, gap: time.Duration(lives * float64(leaseLife)), atOnce: atOnce}
						switch links {
						case "well":
							d.gone, d.kept = reports(1), true
						case "to it over a third":
							d.gone, d.kept = reports(3), true
						}
						d.play(t)
					})
				}
			}
		}
	}
}

// What else may happen on that day.
func TestConfirmedCancellationsHoldWhateverElseHappens(t *testing.T) {
	each := func(w *world, old string, f func(*fakeWorker)) {
		for _, g := range w.workers {
			if w.names[g.node%len(w.names)] == old {
				f(g)
			}
		}
	}
	for name, d := range map[string]refused{
		"it is the renter": {renter: true},
		"nothing":          {},
		"the one that told crashes and is back at once": {outage: func(w *world, _, told string) {
			w.crash(told)
			w.run(100*time.Millisecond, nil)
			w.boot(told)
		}},
		// What it sent last is lost, and no other's watch has come to it yet.
		"the one that told ends at once": {
			refused: func(w *world) {
				w.watchLag, w.latency = 3*time.Second, true
				for _, n := range w.names {
					w.watchedAt[n] = w.now
				}
			},
			outage: func(w *world, _, told string) { w.crash(told) }},
		"the old leader is back at once": {outage: func(w *world, old, _ string) {
			w.crash(old)
			w.boot(old)
		}},
		"the old leader freezes": {outage: func(w *world, old, _ string) { w.frozen[old] = true }},
		"machines hang": {outage: func(w *world, old, _ string) {
			each(w, old, func(f *fakeWorker) { f.dead = true })
		}},
		"machines are deaf": {outage: func(w *world, old, _ string) {
			each(w, old, func(f *fakeWorker) { w.unreachableWorkers[f.Machine] = true })
		}},
		"machines change controllers": {outage: func(w *world, old, _ string) { w.unreachableNodes[old] = true }},
		"machines come to one that never heard of the job": {
			before: func(w *world) {
				w.refuse(func(f, t string) bool { return f == "e" || t == "e" })
				w.refuseStore("e")
				w.run(3*time.Second, nil)
			},
			outage: func(w *world, _, _ string) {
				for _, n := range []string{"a", "b", "c", "d"} {
					w.unreachableNodes[n] = true
				}
			}},
		"starts are on their way": {
			before: func(w *world) { w.loseDeliveries = true },
			outage: func(w *world, old, _ string) {
				w.run(5*time.Second, nil)
				w.loseDeliveries = false
				for _, d := range w.heldDeliveries {
					w.deliver(old, d)
				}
			}},
		"starts come late to machines that then hang": {
			before: func(w *world) { w.loseDeliveries = true },
			outage: func(w *world, old, _ string) {
				w.loseDeliveries = false
				for _, d := range w.heldDeliveries {
					w.deliver(old, d)
				}
				each(w, old, func(f *fakeWorker) { f.dead = true })
			}},
		"the cancellation is carried out late": {
			gap: 14 * time.Second,
			refused: func(w *world) {
				w.lateWrite = func(_ string, e StoreTxn) time.Duration {
					if !e.Quick {
						return 0
					}
					w.lateWrite = nil
					return 12 * time.Second
				}
			},
		},
		"links come back": {
			refused: func(w *world) { w.refuse(everyLink) },
			outage: func(w *world, _, _ string) {
				w.run(reports(2), nil)
				w.restore()
			},
			gone: reports(2), kept: true},
		"links are slow for a while": {
			refused: func(w *world) { w.hold(everyLink) },
			outage: func(w *world, _, _ string) {
				w.run(reports(2), nil)
				for l := range w.heldMessages {
					delete(w.heldMessages, l)
				}
				clear(w.slowLinks)
			},
			gone: reports(2), kept: true},
		"the old leader has forgotten its jobs": {
			refused: func(w *world) { w.hold(everyLink) },
			outage: func(w *world, old, _ string) {
				w.send(old, LeaseExpired{})
				w.run(reports(1), nil)
				w.restore()
			},
			gone: reports(2), kept: true},
		"the cloud refuses when half of the time is over": {
			refused: func(w *world) { w.refuse(everyLink) },
			outage: func(w *world, _, _ string) {
				w.run(w.allowed()/2-2*time.Second, nil)
				w.noCloud = true
			}},
		"a gang that saves":               {tasks: 20, more: `,"shape":"group","markEveryS":5.0,"markCostS":3.0`},
		"a service":                       {more: `,"shape":"service","guessS":0.0,"dueS":null`},
		"an array of more than one chunk": {machines: 70},
	} {
		for _, links := range []string{"well", "gone"} {
			t.Run(name+", links "+links, func(t *testing.T) {
				t.Parallel()
				d := d
				d.links, d.cloud, d.atOnce = links, "well", true
				if links == "gone" {
					d.gone, d.kept = 0, false
				}
				if d.gap == 0 {
					d.gap = leaseLife / 2
				}
				d.play(t)
			})
		}
	}
}

// Without a cancellation an outage ends no task, however long: not where controllers
// hear each other, nor where one of them was refused first, crashed and came back.
func TestOutageAloneEndsNoTask(t *testing.T) {
	for name, also := range map[string]func(w *world){
		"nothing":                 func(*world) {},
		"the cloud refuses":       func(w *world) { w.noCloud = true },
		"one is refused first":    func(w *world) { w.refuseStore("a"); w.run(5*time.Second, nil) },
		"no links":                func(w *world) { w.refuse(everyLink) },
		"one crashes and is back": func(w *world) { w.crash("a"); w.run(time.Second, nil); w.boot("a") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := idleWorld(t, 20)
			w.taskTime = 20 * w.allowed()
			accepted(t, w.submit("b", refusedJob, 40, ""))
			w.started(refusedJob, 40)
			also(w)
			w.outage = true
			w.run(3*w.allowed(), nil)
			if n := w.onMachines(refusedJob); n != 40 {
				t.Errorf("of 40 tasks %d run on", n)
			}
			w.endOutage()
			w.noCloud = false
			w.heal()
			w.run(w.allowed(), nil)
			if n := w.onMachines(refusedJob); n != 40 {
				t.Errorf("of 40 tasks %d run on after the outage", n)
			}
			w.startedOnce()
		})
	}
}

// After an outage in which all controllers ended, each finds in the stored state that a job
// was cancelled long ago, and nothing of where its tasks are, though they ended in time.
// Machines are given back only once reports had time to come.
func TestControllersThatStartOverWaitForReportsBeforeTheyGiveMachinesBack(t *testing.T) {
	w := idleWorld(t, 20)
	w.allowRacingStarts, w.taskTime = true, 10*time.Minute
	accepted(t, w.submit("a", refusedJob, 40, ""))
	w.started(refusedJob, 40)
	w.send("a", Cancel{Req: 1 << 20, ID: refusedJob})
	if !w.run(time.Second, func() bool { return w.kv[cancelKey(refusedJob)].Version > 0 }) {
		t.Fatal("the cancellation is not stored")
	}
	w.outage = true // the ends of the tasks are not
	w.run(w.allowed()*45/100, nil)
	for _, n := range w.names {
		w.crash(n)
		w.expire(n)
	}
	w.run(time.Second, nil)
	given := 0
	w.onEffect = func(node string, e Effect) {
		if l, is := e.(Log); is && slices.Contains(l.Attrs, any(reasonTaskNotStopped)) {
			given++
		}
	}
	w.outage = false
	for _, n := range w.names {
		w.boot(n)
	}
	w.run(w.allowed(), nil)
	if given > 0 || w.onMachines(refusedJob) > 0 {
		t.Errorf("%d times a machine was given back, %d tasks are left", given, w.onMachines(refusedJob))
	}
}

// A leader that was cut off comes back, and hears all at once of a job that was cancelled
// long ago. What it last knew of the machines says nothing of where its tasks are.
func TestLeaderThatIsBackGivesNoMachinesBack(t *testing.T) {
	w := idleWorld(t, 20)
	w.allowRacingStarts, w.taskTime = true, 10*time.Minute
	accepted(t, w.submit("b", refusedJob, 30, ""))
	w.started(refusedJob, 30)
	old := w.cores["b"].teamBy["free"].leader
	w.isolate(old)
	w.run(reports(2), nil)
	w.confirm()
	w.run(w.allowed(), nil)
	given := 0
	w.onEffect = func(_ string, e Effect) {
		if l, is := e.(Log); is && l.Level == Info && slices.Contains(l.Attrs, any(reasonTaskNotStopped)) && l.Text != "machine returned" {
			given++
		}
	}
	accepted(t, w.submit(w.informed(), "req-free-2", 30, ""))
	w.heal()
	w.run(w.allowed(), nil)
	if given > 0 {
		t.Errorf("machines are given back %d times", given)
	}
}
