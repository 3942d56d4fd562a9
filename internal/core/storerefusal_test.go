package core

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// storeRefusal is a scenario in which the store refuses a controller alone, another one confirms
// a cancellation, and then the store is down for all.
type storeRefusal struct {
	// links names the faults of links from the refusal on; cloud is "well" or the cloud
	// refuses to take machines back.
	links, cloud string
	// gap is how long after the refusal the outage begins.
	gap time.Duration
	// atOnce makes the user cancel with the refusal and not right before the outage.
	atOnce bool
	// fleetLeader makes the store refuse the leader of the fleet and not that of the team.
	fleetLeader bool
	// machines, tasks and more describe the job; by default it fills all machines.
	machines, tasks int
	more            string
	// before, refused and outage are further faults: before the job is submitted, with the
	// refusal and with the outage.
	before, refused func(w *world)
	outage          func(w *world, old, told string)
	// gone, if set, is how long after the beginning of the outage the last task may run.
	gone time.Duration
	// kept is set where no machine may be returned.
	kept bool
}

// linkFaults are the faults of links to and from the controller that the store refuses.
var linkFaults = map[string]func(w *world, old string){
	"well":          func(*world, string) {},
	"to it refused": func(w *world, old string) { w.refuse(func(_, t string) bool { return t == old }) },
	"from it":       func(w *world, old string) { w.refuse(func(f, _ string) bool { return f == old }) },
	"to it slow":    func(w *world, old string) { w.hold(func(_, t string) bool { return t == old }) },
	"its own gone":  func(w *world, old string) { w.refuse(func(f, t string) bool { return f == old || t == old }) },
	// An intermediary passes its messages on.
	"to it over a third": func(w *world, old string) { w.refuse(func(f, t string) bool { return t == old && f != "e" }) },
	"gone":               func(w *world, _ string) { w.refuse(everyLink) },
}

// cancelledJob is the job that is cancelled.
const cancelledJob = "req-free-1"

// run plays the scenario with a job whose tasks run for four times the time that a cancellation may
// take.
func (d storeRefusal) run(t *testing.T) {
	machines := max(d.machines, 20)
	w := idleWorld(t, machines)
	w.allowRacingStarts, w.taskTime = true, 4*w.cancelDeadline()
	returns := w.countReturns()
	if d.before != nil {
		d.before(w)
	}
	accepted(t, w.submit("b", cancelledJob, max(d.tasks, 2*machines), d.more))
	if w.run(10*time.Second, nil); !w.loseDeliveries {
		w.started(cancelledJob, max(d.tasks, 2*machines))
	}
	old, told := d.refuseAndCancel(t, w)
	w.outage = true
	if d.outage != nil {
		d.outage(w, old, told)
	}
	if d.gone > 0 && !w.run(d.gone, func() bool { return w.onMachines(cancelledJob) == 0 }) {
		t.Errorf("%d tasks run on %v after the outage began", w.onMachines(cancelledJob), d.gone)
	}
	w.run(w.cancelDeadline()*3/2, nil)
	returns.check(t, d.kept)
	w.endOutage()
	w.noCloud, w.unreachableNodes = false, map[string]bool{}
	w.heal()
	w.run(w.cancelDeadline(), nil)
	if len(w.cancellationToldAt) > 0 {
		t.Error("the scenario ended before the deadline")
	}
}

// refuseAndCancel makes the store refuse a controller and the user cancel, and returns that
// controller and the one that confirmed the cancellation.
func (d storeRefusal) refuseAndCancel(t *testing.T, w *world) (old, told string) {
	t.Helper()
	old = w.cores["b"].teamBy["free"].leader
	if d.fleetLeader {
		old = w.cores["b"].fleet.leader
	}
	linkFaults[d.links](w, old)
	w.noCloud = d.cloud != "well"
	w.refuseStoreTo(old)
	if d.refused != nil {
		d.refused(w)
	}
	begin := w.now
	if !d.atOnce {
		w.run(d.gap, nil)
	}
	if w.onMachines(cancelledJob) == 0 && !w.loseDeliveries {
		t.Fatal("no task is running when the user cancels")
	}
	told = w.confirmCancellation()
	w.run(begin+d.gap-w.now, nil)
	return old, told
}

// returnCounts counts how often machines are returned because cancelled tasks do not end.
type returnCounts struct {
	// returned counts the machines that still exist, released the releases without the
	// leader of the fleet, by controller and machine.
	returned int
	released map[string]int
}

// countReturns counts returns of machines from now on.
func (w *world) countReturns() *returnCounts {
	counts := &returnCounts{released: map[string]int{}}
	w.onEffect = func(node string, e Effect) {
		if r, is := e.(ReleaseMachines); is && !w.cores[node].fleet.leading && !w.noCloud {
			for _, m := range r.Machines {
				counts.released[node+m]++
			}
		}
		if l, is := e.(Log); is && slices.Contains(l.Attrs, any(reasonTaskNotStopped)) && w.workers[l.Attrs[1].(string)] != nil {
			counts.returned++
		}
	}
	return counts
}

// check checks that no controller has released a machine twice, and none was returned if kept is set.
func (r *returnCounts) check(t *testing.T, kept bool) {
	t.Helper()
	if kept && r.returned > 0 {
		t.Errorf("machines are returned %d times for tasks that end when they are told to", r.returned)
	}
	for m, n := range r.released {
		if n > 1 {
			t.Errorf("%s is released %d times", m, n)
		}
	}
}

// confirmCancellation lets the user cancel until some controller confirms that the job is cancelled,
// and names that controller.
func (w *world) confirmCancellation() (told string) {
	w.t.Helper()
	for range 20 {
		told = w.nodeWithStore()
		if a := w.cancelJob(told, cancelledJob); a.Status == http.StatusOK {
			return told
		}
		w.run(time.Second, nil)
	}
	w.t.Fatal("cancellation is not confirmed")
	return ""
}

// The store refuses the leader alone, another controller confirms a cancellation, then the store is
// down for all, for longer than cancel_s, while workers keep reporting to the old leader
// (docs/cancel.md).
func TestConfirmedCancellationHoldsThroughStoreOutage(t *testing.T) {
	for links := range linkFaults {
		for _, cloud := range []string{"well", "refusing"} {
			for _, lives := range []float64{0, 0.1, 1, 3} {
				for _, atOnce := range []bool{true, false} {
					t.Run(fmt.Sprintf("links %s, cloud %s, outage after %v lease lives, cancelled first %v", links, cloud, lives, atOnce), func(t *testing.T) {
						t.Parallel()
						d := storeRefusal{links: links, cloud: cloud, gap: time.Duration(lives * float64(controllerLease)), atOnce: atOnce}
						switch links {
						case "well":
							d.gone, d.kept = reportIntervals(1), true
						case "to it over a third":
							d.gone, d.kept = reportIntervals(3), true
						}
						d.run(t)
					})
				}
			}
		}
	}
}

// A further fault comes with the refusal or the outage.
func TestConfirmedCancellationHoldsUnderFurtherFaults(t *testing.T) {
	each := func(w *world, old string, f func(*fakeWorker)) {
		for _, g := range w.workers {
			if w.names[g.node%len(w.names)] == old {
				f(g)
			}
		}
	}
	for name, d := range map[string]storeRefusal{
		"it is the fleet leader": {fleetLeader: true},
		"nothing":                {},
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
		"machines are unreachable": {outage: func(w *world, old, _ string) {
			each(w, old, func(f *fakeWorker) { w.unreachableWorkers[f.Machine] = true })
		}},
		"machines change controllers": {outage: func(w *world, old, _ string) { w.unreachableNodes[old] = true }},
		"machines come to one that never heard of the job": {
			before: func(w *world) {
				w.refuse(func(f, t string) bool { return f == "e" || t == "e" })
				w.refuseStoreTo("e")
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
				w.run(reportIntervals(2), nil)
				w.restore()
			},
			gone: reportIntervals(2), kept: true},
		"links are slow for a while": {
			refused: func(w *world) { w.hold(everyLink) },
			outage: func(w *world, _, _ string) {
				w.run(reportIntervals(2), nil)
				for l := range w.heldMessages {
					delete(w.heldMessages, l)
				}
				clear(w.slowLinks)
			},
			gone: reportIntervals(2), kept: true},
		"the old leader has forgotten its jobs": {
			refused: func(w *world) { w.hold(everyLink) },
			outage: func(w *world, old, _ string) {
				w.send(old, LeaseExpired{})
				w.run(reportIntervals(1), nil)
				w.restore()
			},
			gone: reportIntervals(2), kept: true},
		"the cloud refuses when half of the time is over": {
			refused: func(w *world) { w.refuse(everyLink) },
			outage: func(w *world, _, _ string) {
				w.run(w.cancelDeadline()/2-2*time.Second, nil)
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
					d.gap = controllerLease / 2
				}
				d.run(t)
			})
		}
	}
}

// Without a cancellation an outage ends no task, however long: not where controllers have
// connections, nor where one of them was refused first, crashed and came back.
func TestStoreOutageAloneEndsNoTask(t *testing.T) {
	for name, also := range map[string]func(w *world){
		"nothing":                 func(*world) {},
		"the cloud refuses":       func(w *world) { w.noCloud = true },
		"one is refused first":    func(w *world) { w.refuseStoreTo("a"); w.run(5*time.Second, nil) },
		"no links":                func(w *world) { w.refuse(everyLink) },
		"one crashes and is back": func(w *world) { w.crash("a"); w.run(time.Second, nil); w.boot("a") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := idleWorld(t, 20)
			w.taskTime = 20 * w.cancelDeadline()
			accepted(t, w.submit("b", cancelledJob, 40, ""))
			w.started(cancelledJob, 40)
			also(w)
			w.outage = true
			w.run(3*w.cancelDeadline(), nil)
			if n := w.onMachines(cancelledJob); n != 40 {
				t.Errorf("of 40 tasks %d run on", n)
			}
			w.endOutage()
			w.noCloud = false
			w.heal()
			w.run(w.cancelDeadline(), nil)
			if n := w.onMachines(cancelledJob); n != 40 {
				t.Errorf("of 40 tasks %d run on after the outage", n)
			}
			w.startedOnce()
		})
	}
}
