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
	cluster, _ := newLoadedSimCluster(t, 10, "req-free-1")
	f := cluster.workers[slices.Sorted(maps.Keys(cluster.workers))[3]]
	cluster.run(5*time.Second, nil) // until heartbeats have announced all reports
	node := cluster.cores["a"].machines.Get(f.Machine).Node
	old := cluster.currentReport(f)
	old.Tasks = nil // as before any task was started
	copies := map[string]protocol.Report{"duplicate": cluster.currentReport(f), "older": old, "older epoch": old}
	for name, change := range map[string]func(r *protocol.Report){
		"older": func(r *protocol.Report) { r.Seq -= 3 }, "older epoch": func(r *protocol.Report) { r.WorkerEpoch-- },
	} {
		r := copies[name]
		change(&r)
		copies[name] = r
	}
	for name, r := range copies {
		for _, to := range cluster.names {
			before := *cluster.cores[to].machines.Get(f.Machine)
			a := cluster.request(to, func(req uint64) Command { return Heartbeat{Req: req, Report: r} })
			switch batch, _ := a.Body.(protocol.CommandBatch); {
			case to != node && a.Status != http.StatusServiceUnavailable:
				t.Errorf("%s: %s answered %d, want 503", name, to, a.Status)
			case to == node && (len(batch.Commands) > 0 || a.Status == http.StatusMisdirectedRequest):
				t.Errorf("%s: the machine's controller answered %d with %d commands, want no commands and no redirect", name, a.Status, len(batch.Commands))
			}
			m := cluster.cores[to].machines.Get(f.Machine)
			if m.Node != before.Node || m.GrantedToken != before.GrantedToken || m.WorkerEpoch != before.WorkerEpoch || len(m.Tasks) != len(before.Tasks) {
				t.Errorf("%s: %s now has the machine at %s in epoch %d with %d tasks, want no change", name, to, m.Node, m.WorkerEpoch, len(m.Tasks))
			}
		}
		if own := cluster.cores[node].agents.session(f.Machine); own.epoch != f.WorkerEpoch {
			t.Errorf("%s: the machine's controller went back to epoch %d", name, own.epoch)
		}
	}
	cluster.run(time.Minute, nil)
	cluster.checkStartedOnce()
}

// A duplicate report does not revive a machine that the cloud has terminated.
func TestDuplicateReportDoesNotReviveATerminatedMachine(t *testing.T) {
	cluster, _ := newLoadedSimCluster(t, 10, "req-free-1")
	id := slices.Sorted(maps.Keys(cluster.workers))[3]
	r := cluster.currentReport(cluster.workers[id])
	cluster.workers[id].dead = true
	if !cluster.run(time.Minute, func() bool { return cluster.workers[id] == nil }) {
		t.Fatal("machine was not returned")
	}
	cluster.run(3*time.Second, nil)
	r.Seq += 100 // newer than any report received
	for _, to := range cluster.names {
		if a := cluster.request(to, func(req uint64) Command { return Heartbeat{Req: req, Report: r} }); a.Status != http.StatusServiceUnavailable {
			t.Errorf("%s answered %d, want 503", to, a.Status)
		}
	}
	for _, to := range cluster.names {
		cluster.cores[to].applyObservation(Observation{Node: "a", Token: 99, Report: r}) // as if another controller had accepted it
		if cluster.cores[to].machines.Get(id) != nil {
			t.Errorf("%s has the terminated machine again", to)
		}
	}
}

// After all controllers have restarted, they know nothing newer than a duplicate of an earlier
// report. Such duplicates must not mislead them: all jobs end.
func TestDuplicateReportsAfterAllControllersRestarted(t *testing.T) {
	cluster := newIdleSimCluster(t, 20)
	cluster.replayReports = true
	var ids []string
	for n := range 6 {
		id := fmt.Sprintf("req-free-%d", n)
		requireAccepted(t, cluster.submit(cluster.nodeWithStore(), id, 30, ""))
		ids = append(ids, id)
		cluster.run(8*time.Second, func() bool { return len(cluster.pastReports) > 10 })
		for _, node := range cluster.names {
			cluster.crash(node)
			cluster.expire(node)
		}
		for _, node := range cluster.names {
			cluster.boot(node)
			cluster.send(node, cluster.pastReports[cluster.rng.IntN(len(cluster.pastReports))])
		}
		cluster.run(5*time.Second, nil)
	}
	if !cluster.run(3*time.Minute, cluster.allDone(ids...)) {
		t.Fatal("jobs did not end")
	}
}

// A report is delayed while its machine changes controllers, starts a new epoch or is returned, or
// while the job is cancelled or other controllers fail. The report is not a duplicate, and is newer
// than the reports that most controllers have.
func TestDelayedReportDoesNotRevertState(t *testing.T) {
	for name, meanwhile := range map[string]func(cluster *simCluster, f *fakeWorker){
		"its controller crashed": func(cluster *simCluster, f *fakeWorker) {
			n := cluster.names[f.node%5]
			cluster.crash(n)
			cluster.expire(n)
		},
		"new epoch": func(cluster *simCluster, f *fakeWorker) {
			cluster.nonReportingWorkers[f.Machine] = true
			cluster.run(cluster.workerLease()*5/4, nil)
			clear(cluster.nonReportingWorkers)
		},
		"returned": func(cluster *simCluster, f *fakeWorker) { f.dead = true },
		"leader changed": func(cluster *simCluster, _ *fakeWorker) {
			n := cluster.leaderOf("free")
			cluster.crash(n)
			cluster.expire(n)
		},
		"job cancelled":             func(cluster *simCluster, _ *fakeWorker) { cluster.cancelJob("a", "req-free-1") },
		"all controllers restarted": func(cluster *simCluster, _ *fakeWorker) { cluster.stopAllFor(time.Second) },
	} {
		for _, to := range fiveNodes {
			t.Run(name+", to "+to, func(t *testing.T) {
				t.Parallel()
				cluster, _ := newLoadedSimCluster(t, 10, "req-free-1")
				cluster.waitUntilStarted("req-free-1", 20)
				cluster.run(3*time.Second, nil)
				f := cluster.workers[slices.Sorted(maps.Keys(cluster.workers))[3]]
				f.Seq++
				held := cluster.currentReport(f)
				held.Tasks = held.Tasks[:len(held.Tasks)/2] // as if some tasks had not started
				meanwhile(cluster, f)
				cluster.run(20*time.Second, nil)
				if m := cluster.cores[cluster.servingController()].machines.Get(f.Machine); m != nil && max(m.Seq, m.AnnouncedSeq) <= held.Seq && m.WorkerEpoch == held.WorkerEpoch {
					t.Fatal("no newer report is known")
				}
				cluster.nextReq++
				cluster.send(to, Heartbeat{Req: cluster.nextReq, Report: held})
				cluster.run(time.Minute, nil)
				cluster.recover()
				cluster.run(cluster.cancelDeadline(), nil) // the simulation checks starts, limits and cancellations
				for _, node := range cluster.names {
					if m := cluster.cores[node].machines.Get(f.Machine); m != nil && (m.WorkerEpoch < f.WorkerEpoch || cluster.workers[f.Machine] == nil) {
						t.Errorf("%s has an outdated or terminated machine in epoch %d", node, m.WorkerEpoch)
					}
				}
			})
		}
	}
}
