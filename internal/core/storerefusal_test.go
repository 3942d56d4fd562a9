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
	// "healthy", the cloud refuses to release machines.
	links, cloud string
	// outageDelay is the time from the refusal to the outage.
	outageDelay time.Duration
	// cancelAtRefusal makes the user cancel at the time of the refusal instead of right before the
	// outage.
	cancelAtRefusal bool
	// fleetLeader makes the store refuse the fleet leader instead of the leader of the team.
	fleetLeader bool
	// machines is the number of machines; tasks and extraFields describe the job, which by default
	// fills them.
	machines, tasks int
	extraFields     string
	// before, refused and outage inject further faults before the job is submitted, at the refusal
	// and at the outage. refusedNode is the controller that the store refuses, confirmingNode the
	// one that confirmed the cancellation.
	before, refused func(cluster *simCluster)
	outage          func(cluster *simCluster, refusedNode, confirmingNode string)
	// stoppedWithin, if set, is the longest time that a task may keep running after the outage
	// begins.
	stoppedWithin time.Duration
	// mustKeepMachines is set if no machine may be returned.
	mustKeepMachines bool
}

// linkFaults inject faults into the links of the controller that the store refuses.
var linkFaults = map[string]func(cluster *simCluster, refusedNode string){
	"healthy": func(*simCluster, string) {},
	"inbound refused": func(cluster *simCluster, refusedNode string) {
		cluster.disconnectLinks(func(_, t string) bool { return t == refusedNode })
	},
	"outbound refused": func(cluster *simCluster, refusedNode string) {
		cluster.disconnectLinks(func(f, _ string) bool { return f == refusedNode })
	},
	"inbound slow": func(cluster *simCluster, refusedNode string) {
		cluster.delayLinks(func(_, t string) bool { return t == refusedNode })
	},
	"inbound and outbound refused": func(cluster *simCluster, refusedNode string) {
		cluster.disconnectLinks(func(f, t string) bool { return f == refusedNode || t == refusedNode })
	},
	// Controller e still reaches the refused controller and can relay messages to it.
	"inbound through a third controller": func(cluster *simCluster, refusedNode string) {
		cluster.disconnectLinks(func(f, t string) bool { return t == refusedNode && f != "e" })
	},
	"all refused": func(cluster *simCluster, _ string) { cluster.disconnectLinks(everyLink) },
}

// cancelledJobID is the ID of the job that the scenarios cancel.
const cancelledJobID = "req-free-1"

// run runs the scenario with a job whose tasks take four times the deadline of a cancellation.
func (d storeRefusal) run(t *testing.T) {
	machines := max(d.machines, 20)
	cluster := newIdleSimCluster(t, machines)
	cluster.allowRacingStarts, cluster.taskTime = true, 4*cluster.cancelDeadline()
	returns := cluster.countReturns()
	if d.before != nil {
		d.before(cluster)
	}
	requireAccepted(t, cluster.submit("b", cancelledJobID, max(d.tasks, 2*machines), d.extraFields))
	if cluster.run(10*time.Second, nil); !cluster.loseDeliveries {
		cluster.waitUntilStarted(cancelledJobID, max(d.tasks, 2*machines))
	}
	refusedNode, confirmingNode := d.refuseAndCancel(t, cluster)
	cluster.outage = true
	if d.outage != nil {
		d.outage(cluster, refusedNode, confirmingNode)
	}
	if d.stoppedWithin > 0 && !cluster.run(d.stoppedWithin, func() bool { return cluster.onMachines(cancelledJobID) == 0 }) {
		t.Errorf("%d tasks still run %v after the outage began", cluster.onMachines(cancelledJobID), d.stoppedWithin)
	}
	cluster.run(cluster.cancelDeadline()*3/2, nil)
	returns.check(t, d.mustKeepMachines)
	cluster.endOutage()
	cluster.cloudDegraded, cluster.unreachableNodes = false, map[string]bool{}
	cluster.heal()
	cluster.run(cluster.cancelDeadline(), nil)
	if len(cluster.cancelConfirmedAt) > 0 {
		t.Error("the scenario ended before the deadline")
	}
}

// refuseAndCancel makes the store refuse a controller and the user cancel the job. It returns that
// controller and the one that confirmed the cancellation.
func (d storeRefusal) refuseAndCancel(t *testing.T, cluster *simCluster) (refusedNode, confirmingNode string) {
	t.Helper()
	refusedNode = cluster.cores["b"].teamsByName["free"].leader
	if d.fleetLeader {
		refusedNode = cluster.cores["b"].fleet.leader
	}
	linkFaults[d.links](cluster, refusedNode)
	cluster.cloudDegraded = d.cloud != "healthy"
	cluster.refuseStoreTo(refusedNode)
	if d.refused != nil {
		d.refused(cluster)
	}
	begin := cluster.now
	if !d.cancelAtRefusal {
		cluster.run(d.outageDelay, nil)
	}
	if cluster.onMachines(cancelledJobID) == 0 && !cluster.loseDeliveries {
		t.Fatal("no task is running when the user cancels")
	}
	confirmingNode = cluster.confirmCancellation()
	cluster.run(begin+d.outageDelay-cluster.now, nil)
	return refusedNode, confirmingNode
}

// returnCounts counts the machines that are returned because cancelled tasks do not end.
type returnCounts struct {
	// returned counts the returns of machines that still exist; released counts the releases by
	// controllers other than the fleet leader, by controller and machine.
	returned int
	released map[string]int
}

// countReturns starts counting the returns of machines.
func (cluster *simCluster) countReturns() *returnCounts {
	counts := &returnCounts{released: map[string]int{}}
	cluster.onEffect = func(node string, e Effect) {
		if r, ok := e.(ReleaseMachines); ok && !cluster.cores[node].fleet.leading && !cluster.cloudDegraded {
			for _, m := range r.Machines {
				counts.released[node+m]++
			}
		}
		if l, ok := e.(Log); ok && slices.Contains(l.Attrs, any(reasonTaskNotStopped)) && cluster.workers[l.Attrs[1].(string)] != nil {
			counts.returned++
		}
	}
	return counts
}

// check fails the test if a controller has released a machine twice, or, with
// mustKeepMachines, if any machine was returned.
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
func (cluster *simCluster) confirmCancellation() (confirmingNode string) {
	cluster.t.Helper()
	for range 20 {
		confirmingNode = cluster.nodeWithStore()
		if a := cluster.cancelJob(confirmingNode, cancelledJobID); a.Status == http.StatusOK {
			return confirmingNode
		}
		cluster.run(time.Second, nil)
	}
	cluster.t.Fatal("cancellation is not confirmed")
	return ""
}

// The store refuses only the leader, another controller confirms a cancellation, and then the store
// is down for all for longer than cancel_s, while workers keep reporting to the old leader
// (docs/cancel.md).
func TestConfirmedCancellationHoldsThroughStoreOutage(t *testing.T) {
	for links := range linkFaults {
		for _, cloud := range []string{"healthy", "refusing"} {
			for _, leases := range []float64{0, 0.1, 1, 3} {
				for _, cancelAtRefusal := range []bool{true, false} {
					t.Run(fmt.Sprintf("links %s, cloud %s, outage after %v controller leases, cancelled at the refusal %v", links, cloud, leases, cancelAtRefusal), func(t *testing.T) {
						t.Parallel()
						d := storeRefusal{links: links, cloud: cloud, outageDelay: time.Duration(leases * float64(controllerLease)), cancelAtRefusal: cancelAtRefusal}
						switch links {
						case "healthy":
							d.stoppedWithin, d.mustKeepMachines = reportIntervals(1), true
						case "inbound through a third controller":
							d.stoppedWithin, d.mustKeepMachines = reportIntervals(3), true
						}
						d.run(t)
					})
				}
			}
		}
	}
}

// The same as TestConfirmedCancellationHoldsThroughStoreOutage, with a further fault before the
// submission, at the refusal or at the outage, or with another job.
func TestConfirmedCancellationHoldsUnderFurtherFaults(t *testing.T) {
	eachWorkerOf := func(cluster *simCluster, refusedNode string, f func(*fakeWorker)) {
		for _, g := range cluster.workers {
			if cluster.names[g.node%len(cluster.names)] == refusedNode {
				f(g)
			}
		}
	}
	for name, d := range map[string]storeRefusal{
		"the old leader leads the fleet": {fleetLeader: true},
		"no further fault":               {},
		"the confirming controller crashes and restarts immediately": {outage: func(cluster *simCluster, _, confirmingNode string) {
			cluster.crash(confirmingNode)
			cluster.run(100*time.Millisecond, nil)
			cluster.boot(confirmingNode)
		}},
		// The crashed controller's last messages are lost, and no other controller's watch has
		// delivered the cancellation.
		"the confirming controller crashes immediately": {
			refused: func(cluster *simCluster) {
				cluster.latency = true
				cluster.delayWatches(3 * time.Second)
			},
			outage: func(cluster *simCluster, _, confirmingNode string) { cluster.crash(confirmingNode) }},
		"the old leader restarts immediately": {outage: func(cluster *simCluster, refusedNode, _ string) {
			cluster.crash(refusedNode)
			cluster.boot(refusedNode)
		}},
		"the old leader freezes": {outage: func(cluster *simCluster, refusedNode, _ string) { cluster.frozen[refusedNode] = true }},
		"machines hang": {outage: func(cluster *simCluster, refusedNode, _ string) {
			eachWorkerOf(cluster, refusedNode, func(f *fakeWorker) { f.dead = true })
		}},
		"machines report but are unreachable": {outage: func(cluster *simCluster, refusedNode, _ string) {
			eachWorkerOf(cluster, refusedNode, func(f *fakeWorker) { cluster.workersReceivingNothing[f.Machine] = true })
		}},
		"machines change controllers": {outage: func(cluster *simCluster, refusedNode, _ string) { cluster.unreachableNodes[refusedNode] = true }},
		"machines move to a controller that does not know the job": {
			before: func(cluster *simCluster) {
				cluster.disconnectLinks(func(f, t string) bool { return f == "e" || t == "e" })
				cluster.refuseStoreTo("e")
				cluster.run(3*time.Second, nil)
			},
			outage: func(cluster *simCluster, _, _ string) {
				for _, n := range []string{"a", "b", "c", "d"} {
					cluster.unreachableNodes[n] = true
				}
			}},
		"starts are in flight": {
			before: func(cluster *simCluster) { cluster.loseDeliveries = true },
			outage: func(cluster *simCluster, refusedNode, _ string) {
				cluster.run(5*time.Second, nil)
				cluster.loseDeliveries = false
				for _, d := range cluster.heldDeliveries {
					cluster.deliver(refusedNode, d)
				}
			}},
		"starts arrive late at machines that then hang": {
			before: func(cluster *simCluster) { cluster.loseDeliveries = true },
			outage: func(cluster *simCluster, refusedNode, _ string) {
				cluster.loseDeliveries = false
				for _, d := range cluster.heldDeliveries {
					cluster.deliver(refusedNode, d)
				}
				eachWorkerOf(cluster, refusedNode, func(f *fakeWorker) { f.dead = true })
			}},
		"the cancellation is applied late": {
			outageDelay: 14 * time.Second,
			refused: func(cluster *simCluster) {
				cluster.lateWrite = func(_ string, e StoreTxn) time.Duration {
					if !e.FailFast {
						return 0
					}
					cluster.lateWrite = nil
					return 12 * time.Second
				}
			},
		},
		"links are restored": {
			refused: func(cluster *simCluster) { cluster.disconnectLinks(everyLink) },
			outage: func(cluster *simCluster, _, _ string) {
				cluster.run(reportIntervals(2), nil)
				cluster.restoreLinks()
			},
			stoppedWithin: reportIntervals(2), mustKeepMachines: true},
		"links are slow for a while": {
			refused: func(cluster *simCluster) { cluster.delayLinks(everyLink) },
			outage: func(cluster *simCluster, _, _ string) {
				cluster.run(reportIntervals(2), nil)
				for l := range cluster.heldMessages {
					delete(cluster.heldMessages, l)
				}
				clear(cluster.slowLinks)
			},
			stoppedWithin: reportIntervals(2), mustKeepMachines: true},
		"the old leader loses its lease and drops its jobs": {
			refused: func(cluster *simCluster) { cluster.delayLinks(everyLink) },
			outage: func(cluster *simCluster, refusedNode, _ string) {
				cluster.send(refusedNode, LeaseExpired{})
				cluster.run(reportIntervals(1), nil)
				cluster.restoreLinks()
			},
			stoppedWithin: reportIntervals(2), mustKeepMachines: true},
		"the cloud refuses from half of the deadline on": {
			refused: func(cluster *simCluster) { cluster.disconnectLinks(everyLink) },
			outage: func(cluster *simCluster, _, _ string) {
				cluster.run(cluster.cancelDeadline()/2-2*time.Second, nil)
				cluster.cloudDegraded = true
			}},
		"gang with checkpoints":   {tasks: 20, extraFields: `,"shape":"group","markEveryS":5.0,"markCostS":3.0`},
		"service":                 {extraFields: `,"shape":"service","guessS":0.0,"dueS":null`},
		"array of several chunks": {machines: 70},
	} {
		for _, links := range []string{"healthy", "all refused"} {
			t.Run(name+", links "+links, func(t *testing.T) {
				t.Parallel()
				d := d
				d.links, d.cloud, d.cancelAtRefusal = links, "healthy", true
				if links == "all refused" {
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
	for name, injectFault := range map[string]func(cluster *simCluster){
		"no further fault":                func(*simCluster) {},
		"the cloud refuses":               func(cluster *simCluster) { cluster.cloudDegraded = true },
		"one controller is refused first": func(cluster *simCluster) { cluster.refuseStoreTo("a"); cluster.run(5*time.Second, nil) },
		"no links":                        func(cluster *simCluster) { cluster.disconnectLinks(everyLink) },
		"one controller restarts":         func(cluster *simCluster) { cluster.crash("a"); cluster.run(time.Second, nil); cluster.boot("a") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newIdleSimCluster(t, 20)
			cluster.taskTime = 20 * cluster.cancelDeadline()
			requireAccepted(t, cluster.submit("b", cancelledJobID, 40, ""))
			cluster.waitUntilStarted(cancelledJobID, 40)
			injectFault(cluster)
			cluster.outage = true
			cluster.run(3*cluster.cancelDeadline(), nil)
			if n := cluster.onMachines(cancelledJobID); n != 40 {
				t.Errorf("%d of 40 tasks run during the outage", n)
			}
			cluster.endOutage()
			cluster.cloudDegraded = false
			cluster.heal()
			cluster.run(cluster.cancelDeadline(), nil)
			if n := cluster.onMachines(cancelledJobID); n != 40 {
				t.Errorf("%d of 40 tasks run after the outage", n)
			}
			cluster.checkStartedOnce()
		})
	}
}
