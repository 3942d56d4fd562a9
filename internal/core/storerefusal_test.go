package core

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// storeRefusal is a scenario in which the store first refuses a single controller, another
// controller then confirms a cancellation, and finally the store is down for all.
type storeRefusal struct {
	// links names the link faults that begin with the refusal, see linkFaults. Unless cloud is
	// "well", the cloud refuses to take machines back.
	links, cloud string
	// outageDelay is the time from the refusal to the outage.
	outageDelay time.Duration
	// cancelAtRefusal makes the user cancel at the time of the refusal instead of right before the
	// outage.
	cancelAtRefusal bool
	// fleetLeader makes the store refuse the leader of the fleet instead of the leader of the team.
	fleetLeader bool
	// machines is the number of machines; tasks and extraFields describe the job, which by default
	// fills them.
	machines, tasks int
	extraFields     string
	// before, refused and outage inject further faults before the job is submitted, at the refusal
	// and at the outage. refusedNode is the controller that the store refuses, confirmingNode the
	// one that confirmed the cancellation.
	before, refused func(w *world)
	outage          func(w *world, refusedNode, confirmingNode string)
	// stoppedWithin, if set, is the longest time that a task may keep running after the outage
	// begins.
	stoppedWithin time.Duration
	// mustKeepMachines is set if no machine may be returned.
	mustKeepMachines bool
}

// linkFaults inject faults into the links of the controller that the store refuses.
var linkFaults = map[string]func(w *world, refusedNode string){
	"well":             func(*world, string) {},
	"inbound refused":  func(w *world, refusedNode string) { w.refuse(func(_, t string) bool { return t == refusedNode }) },
	"outbound refused": func(w *world, refusedNode string) { w.refuse(func(f, _ string) bool { return f == refusedNode }) },
	"inbound slow":     func(w *world, refusedNode string) { w.hold(func(_, t string) bool { return t == refusedNode }) },
	"inbound and outbound refused": func(w *world, refusedNode string) {
		w.refuse(func(f, t string) bool { return f == refusedNode || t == refusedNode })
	},
	// Controller e still reaches the refused controller and can relay messages to it.
	"to it over a third": func(w *world, refusedNode string) {
		w.refuse(func(f, t string) bool { return t == refusedNode && f != "e" })
	},
	"gone": func(w *world, _ string) { w.refuse(everyLink) },
}

// cancelledJob is the ID of the job that the scenarios cancel.
const cancelledJob = "req-free-1"

// run runs the scenario with a job whose tasks take four times the deadline of a cancellation.
func (d storeRefusal) run(t *testing.T) {
	machines := max(d.machines, 20)
	w := idleWorld(t, machines)
	w.allowRacingStarts, w.taskTime = true, 4*w.cancelDeadline()
	returns := w.countReturns()
	if d.before != nil {
		d.before(w)
	}
	accepted(t, w.submit("b", cancelledJob, max(d.tasks, 2*machines), d.extraFields))
	if w.run(10*time.Second, nil); !w.loseDeliveries {
		w.started(cancelledJob, max(d.tasks, 2*machines))
	}
	refusedNode, confirmingNode := d.refuseAndCancel(t, w)
	w.outage = true
	if d.outage != nil {
		d.outage(w, refusedNode, confirmingNode)
	}
	if d.stoppedWithin > 0 && !w.run(d.stoppedWithin, func() bool { return w.onMachines(cancelledJob) == 0 }) {
		t.Errorf("%d tasks still run %v after the outage began", w.onMachines(cancelledJob), d.stoppedWithin)
	}
	w.run(w.cancelDeadline()*3/2, nil)
	returns.check(t, d.mustKeepMachines)
	w.endOutage()
	w.noCloud, w.unreachableNodes = false, map[string]bool{}
	w.heal()
	w.run(w.cancelDeadline(), nil)
	if len(w.cancellationToldAt) > 0 {
		t.Error("the scenario ended before the deadline")
	}
}

// refuseAndCancel makes the store refuse a controller and the user cancel the job. It returns that
// controller and the one that confirmed the cancellation.
func (d storeRefusal) refuseAndCancel(t *testing.T, w *world) (refusedNode, confirmingNode string) {
	t.Helper()
	refusedNode = w.cores["b"].teamBy["free"].leader
	if d.fleetLeader {
		refusedNode = w.cores["b"].fleet.leader
	}
	linkFaults[d.links](w, refusedNode)
	w.noCloud = d.cloud != "well"
	w.refuseStoreTo(refusedNode)
	if d.refused != nil {
		d.refused(w)
	}
	begin := w.now
	if !d.cancelAtRefusal {
		w.run(d.outageDelay, nil)
	}
	if w.onMachines(cancelledJob) == 0 && !w.loseDeliveries {
		t.Fatal("no task is running when the user cancels")
	}
	confirmingNode = w.confirmCancellation()
	w.run(begin+d.outageDelay-w.now, nil)
	return refusedNode, confirmingNode
}

// returnCounts counts the machines that are returned because cancelled tasks do not end.
type returnCounts struct {
	// returned counts the returns of machines that still exist; released counts the releases by
	// controllers other than the fleet's leader, by controller and machine.
	returned int
	released map[string]int
}

// countReturns starts counting the returns of machines.
func (w *world) countReturns() *returnCounts {
	counts := &returnCounts{released: map[string]int{}}
	w.onEffect = func(node string, e Effect) {
		if r, ok := e.(ReleaseMachines); ok && !w.cores[node].fleet.leading && !w.noCloud {
			for _, m := range r.Machines {
				counts.released[node+m]++
			}
		}
		if l, ok := e.(Log); ok && slices.Contains(l.Attrs, any(reasonTaskNotStopped)) && w.workers[l.Attrs[1].(string)] != nil {
			counts.returned++
		}
	}
	return counts
}

// check fails the test if a controller has released a machine twice, or, with mustKeepMachines, if
// any machine was returned.
func (r *returnCounts) check(t *testing.T, mustKeepMachines bool) {
	t.Helper()
	if mustKeepMachines && r.returned > 0 {
		t.Errorf("machines were returned %d times for tasks that end when they are stopped", r.returned)
	}
	for m, n := range r.released {
		if n > 1 {
			t.Errorf("%s was released %d times", m, n)
		}
	}
}

// confirmCancellation retries the user's cancellation until a controller confirms it, and returns
// that controller.
func (w *world) confirmCancellation() (confirmingNode string) {
	w.t.Helper()
	for range 20 {
		confirmingNode = w.nodeWithStore()
		if a := w.cancelJob(confirmingNode, cancelledJob); a.Status == http.StatusOK {
			return confirmingNode
		}
		w.run(time.Second, nil)
	}
	w.t.Fatal("cancellation is not confirmed")
	return ""
}

// The store refuses only the leader, another controller confirms a cancellation, and then the store
// is down for all for longer than cancel_s, while workers keep reporting to the old leader
// (docs/cancel.md).
func TestConfirmedCancellationHoldsThroughStoreOutage(t *testing.T) {
	for links := range linkFaults {
		for _, cloud := range []string{"well", "refusing"} {
			for _, leases := range []float64{0, 0.1, 1, 3} {
				for _, cancelAtRefusal := range []bool{true, false} {
					t.Run(fmt.Sprintf("links %s, cloud %s, outage after %v leases, cancelled at the refusal %v", links, cloud, leases, cancelAtRefusal), func(t *testing.T) {
						t.Parallel()
						d := storeRefusal{links: links, cloud: cloud, outageDelay: time.Duration(leases * float64(controllerLease)), cancelAtRefusal: cancelAtRefusal}
						switch links {
						case "well":
							d.stoppedWithin, d.mustKeepMachines = reportIntervals(1), true
						case "to it over a third":
							d.stoppedWithin, d.mustKeepMachines = reportIntervals(3), true
						}
						d.run(t)
					})
				}
			}
		}
	}
}

// As above, with a further fault at the refusal or the outage.
func TestConfirmedCancellationHoldsUnderFurtherFaults(t *testing.T) {
	eachWorkerOf := func(w *world, refusedNode string, f func(*fakeWorker)) {
		for _, g := range w.workers {
			if w.names[g.node%len(w.names)] == refusedNode {
				f(g)
			}
		}
	}
	for name, d := range map[string]storeRefusal{
		"the old leader leads the fleet": {fleetLeader: true},
		"no further fault":               {},
		"the confirming controller crashes and restarts immediately": {outage: func(w *world, _, confirmingNode string) {
			w.crash(confirmingNode)
			w.run(100*time.Millisecond, nil)
			w.boot(confirmingNode)
		}},
		// Its last messages are lost, and no other controller's watch has delivered the cancellation.
		"the confirming controller crashes immediately": {
			refused: func(w *world) {
				w.watchLag, w.latency = 3*time.Second, true
				for _, n := range w.names {
					w.watchedAt[n] = w.now
				}
			},
			outage: func(w *world, _, confirmingNode string) { w.crash(confirmingNode) }},
		"the old leader restarts immediately": {outage: func(w *world, refusedNode, _ string) {
			w.crash(refusedNode)
			w.boot(refusedNode)
		}},
		"the old leader freezes": {outage: func(w *world, refusedNode, _ string) { w.frozen[refusedNode] = true }},
		"machines hang": {outage: func(w *world, refusedNode, _ string) {
			eachWorkerOf(w, refusedNode, func(f *fakeWorker) { f.dead = true })
		}},
		"machines report but are unreachable": {outage: func(w *world, refusedNode, _ string) {
			eachWorkerOf(w, refusedNode, func(f *fakeWorker) { w.unreachableWorkers[f.Machine] = true })
		}},
		"machines change controllers": {outage: func(w *world, refusedNode, _ string) { w.unreachableNodes[refusedNode] = true }},
		"machines move to a controller that does not know the job": {
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
		"starts are in flight": {
			before: func(w *world) { w.loseDeliveries = true },
			outage: func(w *world, refusedNode, _ string) {
				w.run(5*time.Second, nil)
				w.loseDeliveries = false
				for _, d := range w.heldDeliveries {
					w.deliver(refusedNode, d)
				}
			}},
		"starts arrive late at machines that then hang": {
			before: func(w *world) { w.loseDeliveries = true },
			outage: func(w *world, refusedNode, _ string) {
				w.loseDeliveries = false
				for _, d := range w.heldDeliveries {
					w.deliver(refusedNode, d)
				}
				eachWorkerOf(w, refusedNode, func(f *fakeWorker) { f.dead = true })
			}},
		"the cancellation is applied late": {
			outageDelay: 14 * time.Second,
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
		"links are restored": {
			refused: func(w *world) { w.refuse(everyLink) },
			outage: func(w *world, _, _ string) {
				w.run(reportIntervals(2), nil)
				w.restore()
			},
			stoppedWithin: reportIntervals(2), mustKeepMachines: true},
		"links are slow for a while": {
			refused: func(w *world) { w.hold(everyLink) },
			outage: func(w *world, _, _ string) {
				w.run(reportIntervals(2), nil)
				for l := range w.heldMessages {
					delete(w.heldMessages, l)
				}
				clear(w.slowLinks)
			},
			stoppedWithin: reportIntervals(2), mustKeepMachines: true},
		"the old leader loses its lease and drops its jobs": {
			refused: func(w *world) { w.hold(everyLink) },
			outage: func(w *world, refusedNode, _ string) {
				w.send(refusedNode, LeaseExpired{})
				w.run(reportIntervals(1), nil)
				w.restore()
			},
			stoppedWithin: reportIntervals(2), mustKeepMachines: true},
		"the cloud refuses from half of the deadline on": {
			refused: func(w *world) { w.refuse(everyLink) },
			outage: func(w *world, _, _ string) {
				w.run(w.cancelDeadline()/2-2*time.Second, nil)
				w.noCloud = true
			}},
		"gang with checkpoints":   {tasks: 20, extraFields: `,"shape":"group","markEveryS":5.0,"markCostS":3.0`},
		"service":                 {extraFields: `,"shape":"service","guessS":0.0,"dueS":null`},
		"array of several chunks": {machines: 70},
	} {
		for _, links := range []string{"well", "gone"} {
			t.Run(name+", links "+links, func(t *testing.T) {
				t.Parallel()
				d := d
				d.links, d.cloud, d.cancelAtRefusal = links, "well", true
				if links == "gone" {
					d.stoppedWithin, d.mustKeepMachines = 0, false
				}
				if d.outageDelay == 0 {
					d.outageDelay = controllerLease / 2
				}
				d.run(t)
			})
		}
	}
}

// Without a cancellation, an outage of the store stops no task, however long it lasts, whether or
// not the controllers are connected, and even if the store refused one of them first or one has
// restarted.
func TestStoreOutageAloneStopsNoTask(t *testing.T) {
	for name, injectFault := range map[string]func(w *world){
		"no further fault":                func(*world) {},
		"the cloud refuses":               func(w *world) { w.noCloud = true },
		"one controller is refused first": func(w *world) { w.refuseStoreTo("a"); w.run(5*time.Second, nil) },
		"no links":                        func(w *world) { w.refuse(everyLink) },
		"one controller restarts":         func(w *world) { w.crash("a"); w.run(time.Second, nil); w.boot("a") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := idleWorld(t, 20)
			w.taskTime = 20 * w.cancelDeadline()
			accepted(t, w.submit("b", cancelledJob, 40, ""))
			w.started(cancelledJob, 40)
			injectFault(w)
			w.outage = true
			w.run(3*w.cancelDeadline(), nil)
			if n := w.onMachines(cancelledJob); n != 40 {
				t.Errorf("%d of 40 tasks run during the outage", n)
			}
			w.endOutage()
			w.noCloud = false
			w.heal()
			w.run(w.cancelDeadline(), nil)
			if n := w.onMachines(cancelledJob); n != 40 {
				t.Errorf("%d of 40 tasks run after the outage", n)
			}
			w.startedOnce()
		})
	}
}
