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

// fakeWorker simulates a machine and implements the worker's side of the protocol.
type fakeWorker struct {
	protocol.Report
	node           int                           // the index of the controller it reports to, modulo their number
	next           time.Duration                 // when the next report is due
	leaseRenewedAt time.Duration                 // when the last report that was answered was sent
	running        map[taskAttempt]time.Duration // when each attempt ends
	dead           bool                          // the machine has stopped for good
	// missingPeerSince is when a gang's task first lacked one of its peers.
	missingPeerSince map[taskAttempt]time.Duration
}

// addWorker adds a machine that sends its first report in three seconds.
func (w *world) addWorker(zone string, spot bool) string {
	w.rented++
	id := fmt.Sprintf("vm-%06d", w.rented)
	w.workers[id] = &fakeWorker{running: map[taskAttempt]time.Duration{}, missingPeerSince: map[taskAttempt]time.Duration{}, node: w.rented,
		next: w.now + 3*time.Second, leaseRenewedAt: w.now + 3*time.Second,
		Report: protocol.Report{Machine: id, Address: id, Type: "small", Zone: zone, Spot: spot, Session: 1}}
	return id
}

// stepWorkers ends tasks, expires leases and sends the reports that are due.
func (w *world) stepWorkers() {
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		f := w.workers[id]
		if f == nil || f.dead || w.isHung(id) {
			if f != nil && w.allRestarted {
				w.expireWorkerLease(f) // its tasks may run on only within its lease
			}
			continue
		}
		changed := w.checkGangPeers(f)
		for i, task := range f.Tasks {
			end, ok := f.running[taskAttempt{task.Task, task.Attempt}]
			if ok && task.State == protocol.Running && w.now >= end {
				f.Tasks[i].State, f.Tasks[i].Why = protocol.Exited, protocol.WhyDone
				w.recordCompletion(task.Task)
				if id, _, _ := job.ParseTaskID(task.Task); w.broken[id] || w.faulty[f.Machine] {
					f.Tasks[i].Why = protocol.WhyError
				}
				changed = true
			}
		}
		w.expireWorkerLease(f)
		if w.now >= f.next || changed {
			w.report(f)
		}
	}
}

// report sends a worker's report to its controller and handles the answer at once.
func (w *world) report(f *fakeWorker) {
	f.next = w.now + 2*time.Second
	node := w.names[f.node%len(w.names)]
	c := w.cores[node]
	if c == nil || w.unreachableNodes[node] || w.frozen[node] || w.cutWorkers[f.Machine] || w.silentWorkers[f.Machine] || w.crossesZonePartition(node, f) {
		f.node++
		return
	}
	f.Seq++
	w.nextReq++
	req := w.nextReq
	heartbeat := Heartbeat{Req: req, Report: w.snapshot(f)}
	if w.replayReports && w.rng.IntN(4) == 0 {
		w.pastReports = append(w.pastReports, heartbeat)
	}
	if w.delayReports && w.rng.IntN(4) == 0 {
		w.delayReport(heartbeat)
		f.node++
		f.next = w.now + 5*time.Second
		return
	}
	w.send(node, heartbeat)
	for range 4 {
		w.step(node)
	}
	if !w.reachesWorker(f, node) {
		f.node++
		f.next = w.now + 5*time.Second // a timeout and a pause before the retry
		return
	}
	a, ok := w.answers[req]
	delete(w.answers, req)
	if to, ok := a.Body.(protocol.Redirect); ok {
		w.redirected[to.ReportTo]++
		f.node = slices.Index(w.names, to.ReportTo)
		f.next = w.now + 500*time.Millisecond
		return
	}
	orders, isOrders := a.Body.(protocol.Orders)
	if !ok || a.Status != http.StatusOK || !isOrders {
		f.node++
		return
	}
	if orders.Token >= f.Token {
		f.Token, f.leaseRenewedAt = orders.Token, w.now
		w.executeCommands(f, orders.Commands)
	}
}

// reachesWorker reports whether messages from a controller to a machine arrive.
func (w *world) reachesWorker(f *fakeWorker, node string) bool {
	return !w.unreachableWorkers[f.Machine] && !w.workerCannotReach[link{node, f.Machine}]
}

// replayPastReports sometimes sends a duplicate of a past report to a random controller.
func (w *world) replayPastReports() {
	if !w.replayReports || len(w.pastReports) == 0 || w.rng.IntN(3) > 0 {
		return
	}
	heartbeat := w.pastReports[w.rng.IntN(len(w.pastReports))]
	w.nextReq++
	heartbeat.Req = w.nextReq
	if node := w.names[w.rng.IntN(len(w.names))]; w.cores[node] != nil && !w.frozen[node] {
		w.send(node, heartbeat)
	}
}

// snapshot returns a copy of a worker's current report.
func (w *world) snapshot(f *fakeWorker) protocol.Report {
	r := f.Report
	r.Tasks = slices.Clone(f.Tasks)
	return r
}

// deliver executes a delivery as a worker does and sends the result to the controller. A hung
// machine executes it later.
func (w *world) deliver(node string, delivery Deliver) {
	f := w.workers[delivery.Machine]
	result := DeliveryResult{Machine: delivery.Machine, Orders: delivery.Orders}
	if f != nil && w.isHung(f.Machine) && !w.crossesZonePartition(node, f) {
		// Executed when the machine continues, unless its lease has expired by then.
		w.delayDelivery(node, delivery, w.hungUntil[f.Machine]-w.now+2*w.tick)
		return
	}
	if f != nil && !f.dead && !w.cutWorkers[f.Machine] && w.reachesWorker(f, node) && !w.crossesZonePartition(node, f) {
		f.Seq++
		if delivery.Orders.Token >= f.Token && delivery.Orders.Session == f.Session {
			f.Token = delivery.Orders.Token
			w.executeCommands(f, delivery.Orders.Commands)
			result.Executed = true
		}
		r := w.snapshot(f)
		result.Report = &r
	}
	if w.cores[node] != nil {
		w.send(node, result)
	}
}

// delayDelivery executes a delivery later and gives it no reply, as when the machine hangs for a
// while.
func (w *world) delayDelivery(node string, delivery Deliver, delay time.Duration) {
	w.send(node, DeliveryResult{Machine: delivery.Machine, Orders: delivery.Orders})
	at := w.now + delay
	w.scheduledActions = append(w.scheduledActions, func() bool {
		if w.now < at {
			return false
		}
		if f := w.workers[delivery.Machine]; f != nil && !f.dead && delivery.Orders.Token >= f.Token && delivery.Orders.Session == f.Session {
			f.Seq++
			f.Token = delivery.Orders.Token
			w.executeCommands(f, delivery.Orders.Commands)
		}
		return true
	})
}

// executeCommands executes commands in order.
func (w *world) executeCommands(f *fakeWorker, commands []protocol.Command) {
	for _, cmd := range commands {
		key := taskAttempt{cmd.Task, cmd.Attempt}
		at := slices.IndexFunc(f.Tasks, func(t protocol.TaskReport) bool {
			return t.Task == cmd.Task && t.Attempt == cmd.Attempt
		})
		switch cmd.Op {
		case protocol.OpStart:
			if why := w.rejectionReason(f, cmd.Task); at < 0 && why != "" {
				f.Tasks = append(f.Tasks, protocol.TaskReport{Task: cmd.Task, Attempt: cmd.Attempt, State: protocol.Exited, Why: why})
			} else if at < 0 {
				w.checkStart(f, cmd.Task)
				f.Tasks = append(f.Tasks, protocol.TaskReport{Task: cmd.Task, Attempt: cmd.Attempt, State: protocol.Running})
				f.running[key] = w.now + w.runTime(cmd.Task)
				if id, _, _ := job.ParseTaskID(cmd.Task); w.broken[id] || w.faulty[f.Machine] {
					f.running[key] = w.now + time.Second
				}
			}
		case protocol.OpStop:
			if at >= 0 && f.Tasks[at].State != protocol.Exited {
				f.Tasks[at].State, f.Tasks[at].Why = protocol.Exited, protocol.WhyStopped
			}
		case protocol.OpForget:
			if at >= 0 && f.Tasks[at].State == protocol.Exited {
				f.Tasks = slices.Delete(f.Tasks, at, at+1)
				delete(f.running, key)
			}
		}
	}
}

// hang makes a machine hang for d. Its tasks take that much longer, and commands that arrive
// meanwhile are executed afterwards.
func (w *world) hang(id string, d time.Duration) {
	f := w.workers[id]
	if f == nil || w.isHung(id) {
		return
	}
	w.hungUntil[id] = w.now + d
	for k := range f.running {
		f.running[k] += d
	}
}

// isHung reports whether a machine hangs.
func (w *world) isHung(id string) bool { return w.now < w.hungUntil[id] }

// expireWorkerLease ends a worker's session and all its tasks once its lease has expired.
func (w *world) expireWorkerLease(f *fakeWorker) {
	if w.now-f.leaseRenewedAt > w.lease() {
		f.Session, f.Tasks, f.leaseRenewedAt = f.Session+1, nil, w.now
		clear(f.running)
		clear(f.missingPeerSince)
	}
}

// delayReport delivers a report to a random controller after the worker has stopped waiting for an
// answer. It is still the newest from that machine, unless the machine has reported again since.
func (w *world) delayReport(heartbeat Heartbeat) {
	at := w.now + time.Duration(2+w.rng.IntN(30))*time.Second
	node := w.names[w.rng.IntN(len(w.names))]
	w.scheduledActions = append(w.scheduledActions, func() bool {
		if w.now < at {
			return false
		}
		if w.cores[node] != nil && !w.frozen[node] {
			w.nextReq++
			heartbeat.Req = w.nextReq
			w.send(node, heartbeat)
		}
		return true
	})
}

// runTime returns how long a task runs. A service's task never ends, and one that completed in an
// earlier attempt has nothing left to do.
func (w *world) runTime(task string) time.Duration {
	id, n, _ := job.ParseTaskID(task)
	s := w.specs[id]
	switch {
	case w.completed[task]:
		return 0
	case s != nil && s.Kind == job.Service:
		return 1 << 50
	case w.unevenRunTimes && n%2 == 1 && (s == nil || s.Kind != job.Gang):
		return 3 * w.taskTime
	}
	return w.taskTime
}

// checkGangPeers makes gang tasks on a machine exit that have lacked a peer for too long:
// gang_peer_s if the gang has been complete before, else gang_wait_s.
func (w *world) checkGangPeers(f *fakeWorker) (changed bool) {
	p := w.cfg[w.names[0]].Params.Workers
	for i, t := range f.Tasks {
		id, _, _ := job.ParseTaskID(t.Task)
		s, key := w.specs[id], taskAttempt{t.Task, t.Attempt}
		if s == nil || s.Kind != job.Gang || t.State == protocol.Exited || w.completed[t.Task] {
			continue
		}
		present, anyCompleted := w.attemptProgress(id, t.Attempt)
		switch since, missing := f.missingPeerSince[key]; {
		case anyCompleted:
			// All tasks of a gang complete together.
			f.running[key] = min(f.running[key], w.now)
		case present == s.Tasks:
			delete(f.missingPeerSince, key)
		case !missing:
			f.missingPeerSince[key] = w.now
		case w.now-since > seconds(p.GangPeerS) && w.completeGangs[taskAttempt{id, t.Attempt}] || w.now-since > seconds(p.GangWaitS):
			f.Tasks[i].State, f.Tasks[i].Why = protocol.Exited, "mates_gone"
			changed = true
		}
		if present == s.Tasks {
			w.completeGangs[taskAttempt{id, t.Attempt}] = true
		}
	}
	return changed
}

// recordCompletion records that a task ran to its end. The tasks of a gang complete together.
// Results are kept, so a task that is started again has nothing left to do.
func (w *world) recordCompletion(task string) {
	w.completed[task] = true
	id, _, _ := job.ParseTaskID(task)
	if s := w.specs[id]; s != nil && s.Kind == job.Gang {
		for n := range s.Tasks {
			w.completed[s.TaskID(n)] = true
		}
	}
}

// attemptProgress counts the tasks of a job's attempt that are on machines, and reports whether any
// of its tasks has completed.
func (w *world) attemptProgress(id string, attempt uint64) (present int, anyCompleted bool) {
	for _, f := range w.workers {
		for _, t := range f.Tasks {
			if t.Attempt != attempt || !strings.HasPrefix(t.Task, id+"/") {
				continue
			}
			if t.State != protocol.Exited {
				present++
			}
			anyCompleted = anyCompleted || t.Why == protocol.WhyDone
		}
	}
	return present, anyCompleted
}

// rejectionReason returns why a worker rejects a start: the machine lacks free resources, or
// another attempt of the task is on it. It returns "" if the start is accepted.
func (w *world) rejectionReason(f *fakeWorker, task string) string {
	id, _, _ := job.ParseTaskID(task)
	s := w.specs[id]
	if s == nil {
		return ""
	}
	if slices.ContainsFunc(f.Tasks, func(t protocol.TaskReport) bool { return t.Task == task && t.State != protocol.Exited }) {
		return protocol.WhyBusy
	}
	if available := w.capacityOf(f.Type).Plus(w.loadOf(f, ""), -1); !s.Need.Fits(available) {
		return protocol.WhyNoRoom
	}
	return ""
}
