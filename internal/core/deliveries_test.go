package core

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// A controller must tolerate any reply to a delivery. A report in the reply that is outdated,
// belongs to another machine, or refers to tokens, attempts or jobs that never existed changes
// nothing.
func TestMalformedDeliveryReportsChangeNothing(t *testing.T) {
	for name, change := range map[string]func(r *protocol.Report, other *fakeWorker) *protocol.Report{
		"no report": func(*protocol.Report, *fakeWorker) *protocol.Report { return nil },
		"empty":     func(*protocol.Report, *fakeWorker) *protocol.Report { return &protocol.Report{} },
		"report of another machine": func(_ *protocol.Report, o *fakeWorker) *protocol.Report {
			r := o.Report
			r.Seq += 50
			return &r
		},
		"previous epoch": func(r *protocol.Report, _ *fakeWorker) *protocol.Report {
			r.WorkerEpoch--
			r.Seq += 50
			r.Tasks = nil
			return r
		},
		"earlier sequence number": func(r *protocol.Report, _ *fakeWorker) *protocol.Report { r.Seq -= 2; r.Tasks = nil; return r },
		"token never issued": func(r *protocol.Report, _ *fakeWorker) *protocol.Report {
			r.Seq, r.Token, r.Tasks = r.Seq+50, r.Token+1000, nil
			return r
		},
		"attempt never issued": func(r *protocol.Report, _ *fakeWorker) *protocol.Report {
			r.Seq++
			r.Tasks = append(r.Tasks, protocol.TaskReport{Task: nonReportingMachinesJob + "/0", Attempt: 999, State: protocol.Exited, ExitReason: protocol.ExitDone})
			return r
		},
		"task never submitted": func(r *protocol.Report, _ *fakeWorker) *protocol.Report {
			r.Seq++
			r.Tasks = append(r.Tasks, protocol.TaskReport{Task: "req-nobody-1/0", Attempt: 1, State: protocol.Exited, ExitReason: protocol.ExitDone},
				protocol.TaskReport{Task: "../x", Attempt: 1, State: "odd"}, protocol.TaskReport{Task: nonReportingMachinesJob + "/99999", Attempt: 1, State: protocol.Exited, ExitReason: protocol.ExitDone})
			return r
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster, _ := newLoadedSimCluster(t, 10, nonReportingMachinesJob)
			cluster.waitUntilStarted(nonReportingMachinesJob, 20)
			cluster.run(3*time.Second, nil)
			ids := slices.Sorted(maps.Keys(cluster.workers))
			f := cluster.workers[ids[3]]
			node := cluster.cores["a"].machines.Get(f.Machine).Node
			r := cluster.currentReport(f)
			batch := protocol.CommandBatch{Token: f.Token, WorkerEpoch: f.WorkerEpoch}
			cluster.send(node, DeliveryResult{Machine: f.Machine, CommandBatch: batch, Executed: true, Report: change(&r, cluster.workers[ids[4]])})
			cluster.run(time.Minute, nil)
			if a := cluster.status("b", nonReportingMachinesJob); requireJobState(t, a).Done > 0 || cluster.onMachines(nonReportingMachinesJob) != 20 || f.WorkerEpoch != 1 {
				t.Errorf("got state %v with %d tasks left, want 20 tasks left, none done, and no new epoch", a.Body, cluster.onMachines(nonReportingMachinesJob))
			}
			cluster.checkStartedOnce()
		})
	}
}
