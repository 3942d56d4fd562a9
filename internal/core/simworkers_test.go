package core

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// Exit reasons that only workers distinguish.
const (
	exitMatesGone = "mates_gone"
	exitAlone     = "alone"
)

// fakeWorker simulates a machine and implements the worker's side of the protocol.
type fakeWorker struct {
	protocol.Report
	node           int                           // the index of the controller it reports to, modulo their number
	nextReportAt   time.Duration                 // when the next report is due
	leaseRenewedAt time.Duration                 // when an answer last renewed the lease, or when the epoch began
	running        map[taskAttempt]time.Duration // when each attempt ends
	dead           bool                          // the machine neither reports nor executes anything again
	// missingPeerSince is when a gang's task first lacked one of its peers.
	missingPeerSince map[taskAttempt]time.Duration
	// failing holds the attempts that were started on the machine while it was faulty, or of a broken job.
	failing map[taskAttempt]bool
	// startTokens holds the worker's token at the start of each attempt of its epoch.
	startTokens map[taskAttempt]uint64
}

// addWorker adds a machine that sends its first report in three seconds.
func (cluster *simCluster) addWorker(zone string, spot bool) string {
	cluster.rented++
	id := fmt.Sprintf("vm-%06d", cluster.rented)
	cluster.workers[id] = &fakeWorker{running: map[taskAttempt]time.Duration{}, missingPeerSince: map[taskAttempt]time.Duration{}, startTokens: map[taskAttempt]uint64{}, failing: map[taskAttempt]bool{}, node: cluster.rented,
		nextReportAt: cluster.now + 3*time.Second, leaseRenewedAt: cluster.now + 3*time.Second,
		Report: protocol.Report{Machine: id, Address: id, Type: "small", Zone: zone, Spot: spot, WorkerEpoch: 1}}
	return id
}

// stepWorkers ends tasks, expires leases and sends the reports that are due.
func (cluster *simCluster) stepWorkers() {
	for _, id := range slices.Sorted(maps.Keys(cluster.workers)) {
		f := cluster.workers[id]
		if f == nil || f.dead || cluster.isHung(id) {
			if f != nil && cluster.allRestarted {
				cluster.expireWorkerLease(f) // its tasks continue to run only until its lease expires
			}
			continue
		}
		changed := cluster.exitGangTasksWithoutPeers(f)
		for i, task := range f.Tasks {
			end, ok := f.running[taskAttempt{task.Task, task.Attempt}]
			if ok && task.State == protocol.Running && cluster.now >= end {
				f.Tasks[i].State, f.Tasks[i].ExitReason = protocol.Exited, protocol.ExitDone
				if cluster.fails(f, taskAttempt{task.Task, task.Attempt}) {
					f.Tasks[i].ExitReason = protocol.ExitError
				} else {
					cluster.recordCompletion(task.Task)
				}
				changed = true
			}
		}
		cluster.expireWorkerLease(f)
		if cluster.now >= f.nextReportAt || changed {
			cluster.report(f)
		}
	}
}

// report sends a worker's report to its controller and handles the answer immediately. Without a
// valid answer the worker switches to the next controller.
func (cluster *simCluster) report(f *fakeWorker) {
	f.nextReportAt = cluster.now + 2*time.Second
	node := cluster.names[f.node%len(cluster.names)]
	c := cluster.cores[node]
	if c == nil || cluster.unreachableNodes[node] || cluster.frozen[node] || cluster.cutWorkers[f.Machine] || cluster.nonReportingWorkers[f.Machine] || cluster.crossesZonePartition(node, f) {
		f.node++
		return
	}
	f.Seq++
	cluster.nextReq++
	req := cluster.nextReq
	heartbeat := Heartbeat{Req: req, Report: cluster.currentReport(f)}
	if cluster.replayReports && cluster.rng.IntN(4) == 0 {
		cluster.pastReports = append(cluster.pastReports, heartbeat)
	}
	if cluster.delayReports && cluster.rng.IntN(4) == 0 {
		cluster.delayReport(heartbeat)
		f.node++
		f.nextReportAt = cluster.now + 5*time.Second
		return
	}
	cluster.send(node, heartbeat)
	for range 4 {
		cluster.step(node)
	}
	if !cluster.reachesWorker(f, node) {
		f.node++
		f.nextReportAt = cluster.now + 5*time.Second // a timeout and a pause before the retry
		return
	}
	a, ok := cluster.answers[req]
	delete(cluster.answers, req)
	if to, ok := a.Body.(protocol.Redirect); ok {
		cluster.redirected[to.ReportTo]++
		f.node = slices.Index(cluster.names, to.ReportTo)
		f.nextReportAt = cluster.now + 500*time.Millisecond
		return
	}
	batch, isBatch := a.Body.(protocol.CommandBatch)
	if !ok || a.Status != http.StatusOK || !isBatch {
		f.node++
		return
	}
	if batch.Token >= f.Token {
		f.Token, f.leaseRenewedAt = batch.Token, cluster.now
		cluster.executeCommands(f, batch.Commands)
	}
}

// reachesWorker reports whether messages from a controller to a machine arrive.
func (cluster *simCluster) reachesWorker(f *fakeWorker, node string) bool {
	return !cluster.workersReceivingNothing[f.Machine] && !cluster.brokenWorkerLinks[link{node, f.Machine}]
}

// replayPastReports sometimes sends a duplicate of a past report to a random controller.
func (cluster *simCluster) replayPastReports() {
	if !cluster.replayReports || len(cluster.pastReports) == 0 || cluster.rng.IntN(3) > 0 {
		return
	}
	heartbeat := cluster.pastReports[cluster.rng.IntN(len(cluster.pastReports))]
	cluster.nextReq++
	heartbeat.Req = cluster.nextReq
	if node := cluster.names[cluster.rng.IntN(len(cluster.names))]; cluster.cores[node] != nil && !cluster.frozen[node] {
		cluster.send(node, heartbeat)
	}
}

// currentReport returns a copy of a worker's current report.
func (cluster *simCluster) currentReport(f *fakeWorker) protocol.Report {
	r := f.Report
	r.Tasks = slices.Clone(f.Tasks)
	return r
}

// deliver executes a delivery as a worker does and sends the result to the controller. A hung
// machine executes it later.
func (cluster *simCluster) deliver(node string, delivery Deliver) {
	f := cluster.workers[delivery.Machine]
	result := DeliveryResult{Machine: delivery.Machine, CommandBatch: delivery.CommandBatch}
	if f != nil && cluster.isHung(f.Machine) && !cluster.crossesZonePartition(node, f) {
		// Executed when the machine resumes, unless its lease has expired by then.
		cluster.delayDelivery(node, delivery, cluster.hungUntil[f.Machine]-cluster.now+2*cluster.tick)
		return
	}
	if f != nil && !f.dead && !cluster.cutWorkers[f.Machine] && cluster.reachesWorker(f, node) && !cluster.crossesZonePartition(node, f) {
		f.Seq++
		if result.Executed = cluster.executeDelivery(f, delivery.CommandBatch); result.Executed {
			cluster.repeatDelivery(delivery)
		}
		r := cluster.currentReport(f)
		result.Report = &r
	}
	if cluster.cores[node] != nil {
		cluster.send(node, result)
	}
}

// delayDelivery executes a delivery later and gives it no reply, as when the machine hangs for a
// while.
func (cluster *simCluster) delayDelivery(node string, delivery Deliver, delay time.Duration) {
	cluster.send(node, DeliveryResult{Machine: delivery.Machine, CommandBatch: delivery.CommandBatch})
	at := cluster.now + delay
	cluster.scheduledActions = append(cluster.scheduledActions, func() bool {
		if cluster.now < at {
			return false
		}
		if f := cluster.workers[delivery.Machine]; f != nil && !f.dead {
			f.Seq++
			cluster.executeDelivery(f, delivery.CommandBatch)
		}
		return true
	})
}

// executeDelivery executes the commands of a delivery, and reports whether the worker accepted them: it
// rejects those under a lower token or for another epoch.
func (cluster *simCluster) executeDelivery(f *fakeWorker, batch protocol.CommandBatch) (executed bool) {
	if batch.Token < f.Token || batch.WorkerEpoch != f.WorkerEpoch {
		return false
	}
	f.Token = batch.Token
	cluster.executeCommands(f, batch.Commands)
	return true
}

// executeCommands executes commands in order.
func (cluster *simCluster) executeCommands(f *fakeWorker, commands []protocol.Command) {
	for _, cmd := range commands {
		key := taskAttempt{cmd.Task, cmd.Attempt}
		at := slices.IndexFunc(f.Tasks, func(t protocol.TaskReport) bool {
			return t.Task == cmd.Task && t.Attempt == cmd.Attempt
		})
		switch cmd.Op {
		case protocol.OpStart:
			if at < 0 {
				f.startTokens[key] = f.Token
			}
			if why := cluster.rejectionReason(f, cmd.Task); at < 0 && why != "" {
				f.Tasks = append(f.Tasks, protocol.TaskReport{Task: cmd.Task, Attempt: cmd.Attempt, State: protocol.Exited, ExitReason: why})
			} else if at < 0 {
				cluster.checkStart(f, cmd.Task)
				f.Tasks = append(f.Tasks, protocol.TaskReport{Task: cmd.Task, Attempt: cmd.Attempt, State: protocol.Running})
				f.running[key] = cluster.now + cluster.runTime(cmd.Task)
				if cluster.fails(f, key) {
					f.running[key], f.failing[key] = cluster.now+time.Second, true
				}
			}
		case protocol.OpStop:
			if at >= 0 && f.Tasks[at].State != protocol.Exited {
				f.Tasks[at].State, f.Tasks[at].ExitReason = protocol.Exited, protocol.ExitStopped
			}
		case protocol.OpForget:
			if at >= 0 && f.Tasks[at].State == protocol.Exited {
				cluster.checkForget(f, key)
				f.Tasks = slices.Delete(f.Tasks, at, at+1)
				delete(f.running, key)
				delete(f.failing, key)
			}
		}
	}
}

// fails reports whether an attempt fails when it ends.
func (cluster *simCluster) fails(f *fakeWorker, attempt taskAttempt) bool {
	id, _, _ := job.ParseTaskID(attempt.task)
	return cluster.broken[id] || cluster.faulty[f.Machine] || f.failing[attempt]
}

// hang makes a machine hang for d. Its tasks take that much longer, and commands that arrive
// meanwhile are executed afterwards.
func (cluster *simCluster) hang(id string, d time.Duration) {
	f := cluster.workers[id]
	if f == nil || cluster.isHung(id) {
		return
	}
	cluster.hungUntil[id] = cluster.now + d
	for k := range f.running {
		f.running[k] += d
	}
}

// isHung reports whether a machine hangs.
func (cluster *simCluster) isHung(id string) bool { return cluster.now < cluster.hungUntil[id] }

// expireWorkerLease ends a worker's epoch and all its tasks once its lease has expired.
func (cluster *simCluster) expireWorkerLease(f *fakeWorker) {
	if cluster.now-f.leaseRenewedAt > cluster.workerLease() {
		f.WorkerEpoch, f.Tasks, f.leaseRenewedAt = f.WorkerEpoch+1, nil, cluster.now
		clear(f.running)
		clear(f.missingPeerSince)
		clear(f.startTokens)
		clear(f.failing)
	}
}

// delayReport delivers a report to a random controller after the worker has stopped waiting for an
// answer. The report is still the newest of its machine, unless the machine has reported again
// since.
func (cluster *simCluster) delayReport(heartbeat Heartbeat) {
	at := cluster.now + time.Duration(2+cluster.rng.IntN(30))*time.Second
	node := cluster.names[cluster.rng.IntN(len(cluster.names))]
	cluster.scheduledActions = append(cluster.scheduledActions, func() bool {
		if cluster.now < at {
			return false
		}
		if cluster.cores[node] != nil && !cluster.frozen[node] {
			cluster.nextReq++
			heartbeat.Req = cluster.nextReq
			cluster.send(node, heartbeat)
		}
		return true
	})
}

// runTime returns how long a task runs. A service's task never ends. A task that completed in an
// earlier attempt ends immediately.
func (cluster *simCluster) runTime(task string) time.Duration {
	id, n, _ := job.ParseTaskID(task)
	s := cluster.specs[id]
	switch {
	case cluster.completed[task]:
		return 0
	case s != nil && s.Kind == job.Service:
		return 1 << 50
	case cluster.unevenRunTimes && n%2 == 1 && (s == nil || s.Kind != job.Gang):
		return 3 * cluster.taskTime
	}
	return cluster.taskTime
}

// exitGangTasksWithoutPeers makes a machine's gang tasks exit if other tasks of their attempt have
// been missing for too long: longer than gang_peer_s if all tasks of the attempt have been on
// machines at the same time before, or else longer than gang_wait_s. If any task of an attempt has
// completed, its other tasks complete instead. The result reports whether a task exited.
func (cluster *simCluster) exitGangTasksWithoutPeers(f *fakeWorker) (changed bool) {
	p := cluster.cfg[cluster.names[0]].Params.Workers
	for i, t := range f.Tasks {
		id, _, _ := job.ParseTaskID(t.Task)
		s, key := cluster.specs[id], taskAttempt{t.Task, t.Attempt}
		if s == nil || s.Kind != job.Gang || t.State == protocol.Exited || cluster.completed[t.Task] {
			continue
		}
		present, anyCompleted := cluster.attemptProgress(id, t.Attempt)
		switch since, missing := f.missingPeerSince[key]; {
		case anyCompleted:
			// All tasks of a gang complete together.
			f.running[key] = min(f.running[key], cluster.now)
		case present == s.Tasks:
			delete(f.missingPeerSince, key)
		case !missing:
			f.missingPeerSince[key] = cluster.now
		case cluster.now-since > seconds(p.GangPeerS) && cluster.completeGangs[taskAttempt{id, t.Attempt}] || cluster.now-since > seconds(p.GangWaitS):
			f.Tasks[i].State, f.Tasks[i].ExitReason = protocol.Exited, exitMatesGone
			if !cluster.completeGangs[taskAttempt{id, t.Attempt}] {
				f.Tasks[i].ExitReason = exitAlone
			}
			changed = true
		}
		if present == s.Tasks {
			cluster.completeGangs[taskAttempt{id, t.Attempt}] = true
		}
	}
	return changed
}

// recordCompletion records that a task ran to its end. The tasks of a gang complete together. Results
// are kept, so a task that is started again has nothing left to do.
func (cluster *simCluster) recordCompletion(task string) {
	cluster.completed[task] = true
	id, _, _ := job.ParseTaskID(task)
	if s := cluster.specs[id]; s != nil && s.Kind == job.Gang {
		for n := range s.Tasks {
			cluster.completed[s.TaskID(n)] = true
		}
	}
}

// attemptProgress counts the tasks of an attempt that are on machines and have not exited. It also
// reports whether any task of the attempt has completed.
func (cluster *simCluster) attemptProgress(id string, attempt uint64) (present int, anyCompleted bool) {
	for _, f := range cluster.workers {
		for _, t := range f.Tasks {
			if t.Attempt != attempt || !strings.HasPrefix(t.Task, id+"/") {
				continue
			}
			if t.State != protocol.Exited {
				present++
			}
			anyCompleted = anyCompleted || t.ExitReason == protocol.ExitDone
		}
	}
	return present, anyCompleted
}

// rejectionReason returns why a worker rejects a start command: the machine lacks free resources,
// or another attempt of the task is on it. It returns "" if the worker accepts the command.
func (cluster *simCluster) rejectionReason(f *fakeWorker, task string) string {
	id, _, _ := job.ParseTaskID(task)
	s := cluster.specs[id]
	switch {
	case cluster.rejection != nil && cluster.rejection(f.Machine) != "":
		return cluster.rejection(f.Machine)
	case s == nil:
		return ""
	}
	if slices.ContainsFunc(f.Tasks, func(t protocol.TaskReport) bool { return t.Task == task && t.State != protocol.Exited }) {
		return protocol.ExitBusy
	}
	if available := cluster.capacityOf(f.Type).Plus(cluster.loadOf(f, ""), -1); !s.Need.Fits(available) {
		return protocol.ExitNoCapacity
	}
	return ""
}
