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

// fakeWorker follows the worker's side of the protocol.
type fakeWorker struct {
	protocol.Report
	node           int
	next           time.Duration
	leaseRenewedAt time.Duration                 // when the last answered report was sent
	running        map[taskAttempt]time.Duration // when it ends
	dead           bool
	// missingPeerSince is since when a gang's task misses one of the others.
	missingPeerSince map[taskAttempt]time.Duration
}

func (w *world) addWorker(zone string, spot bool) string {
	w.rented++
	id := fmt.Sprintf("vm-%06d", w.rented)
	w.workers[id] = &fakeWorker{running: map[taskAttempt]time.Duration{}, missingPeerSince: map[taskAttempt]time.Duration{}, node: w.rented,
		next: w.now + 3*time.Second, leaseRenewedAt: w.now + 3*time.Second,
		Report: protocol.Report{Machine: id, Address: id, Type: "small", Zone: zone, Spot: spot, Session: 1}}
	return id
}

// stepWorkers lets tasks end and reports go out.
func (w *world) stepWorkers() {
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		f := w.workers[id]
		if f == nil || f.dead || w.hangs(id) {
			if f != nil && w.allRestarted {
				w.expireWorkerLease(f) // it may go on within its lease alone
			}
			continue
		}
		changed := w.checkGangPeers(f)
		for i, task := range f.Tasks {
			end, ok := f.running[taskAttempt{task.Task, task.Attempt}]
			if ok && task.State == protocol.Running && w.now >= end {
				f.Tasks[i].State, f.Tasks[i].Why = protocol.Exited, protocol.WhyDone
				w.complete(task.Task)
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

// report sends a report to the worker's node and takes the answer at once.
func (w *world) report(f *fakeWorker) {
	f.next = w.now + 2*time.Second
	node := w.names[f.node%len(w.names)]
	c := w.cores[node]
	if c == nil || w.unreachableNodes[node] || w.frozen[node] || w.cutWorkers[f.Machine] || w.silentWorkers[f.Machine] || w.isAcrossZoneCut(node, f) {
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
	if w.holdReports && w.rng.IntN(4) == 0 {
		w.holdReport(heartbeat)
		f.node++
		f.next = w.now + 5*time.Second
		return
	}
	w.send(node, heartbeat)
	for range 4 {
		w.step(node)
	}
	if !w.workerReaches(f, node) {
		f.node++
		f.next = w.now + 5*time.Second // a time-out and a pause
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
		w.execute(f, orders.Commands)
	}
}

// workerReaches tells whether what a controller tells a machine reaches it.
func (w *world) workerReaches(f *fakeWorker, node string) bool {
	return !w.unreachableWorkers[f.Machine] && !w.workerCannotReach[link{node, f.Machine}]
}

// replayPastReports lets a copy of a past report arrive, now and then.
func (w *world) replayPastReports() {
	if !w.replayReports || len(w.pastReports) == 0 || w.rng.IntN(3) > 0 {
		return
	}
	b := w.pastReports[w.rng.IntN(len(w.pastReports))]
	w.nextReq++
	b.Req = w.nextReq
	if node := w.names[w.rng.IntN(len(w.names))]; w.cores[node] != nil && !w.frozen[node] {
		w.send(node, b)
	}
}

func (w *world) snapshot(f *fakeWorker) protocol.Report {
	r := f.Report
	r.Tasks = slices.Clone(f.Tasks)
	return r
}

// deliver carries a direct call out as a worker would, early or late.
func (w *world) deliver(node string, d Deliver) {
	f := w.workers[d.Machine]
	out := DeliveryResult{Machine: d.Machine, Orders: d.Orders}
	if f != nil && w.hangs(f.Machine) && !w.isAcrossZoneCut(node, f) {
		// It is carried out when the machine goes on, unless its lease is over by then.
		w.delayDelivery(node, d, w.hungUntil[f.Machine]-w.now+2*w.tick)
		return
	}
	if f != nil && !f.dead && !w.cutWorkers[f.Machine] && w.workerReaches(f, node) && !w.isAcrossZoneCut(node, f) {
		f.Seq++
		if d.Orders.Token >= f.Token && d.Orders.Session == f.Session {
			f.Token = d.Orders.Token
			w.execute(f, d.Orders.Commands)
			out.Executed = true
		}
		r := w.snapshot(f)
		out.Report = &r
	}
	if w.cores[node] != nil {
		w.send(node, out)
	}
}

// delayDelivery lets a direct call get no answer and be carried out later, as when the machine
// hangs for a while.
func (w *world) delayDelivery(node string, d Deliver, d2 time.Duration) {
	w.send(node, DeliveryResult{Machine: d.Machine, Orders: d.Orders})
	at := w.now + d2
	w.scheduled = append(w.scheduled, func() bool {
		if w.now < at {
			return false
		}
		if f := w.workers[d.Machine]; f != nil && !f.dead && d.Orders.Token >= f.Token && d.Orders.Session == f.Session {
			f.Seq++
			f.Token = d.Orders.Token
			w.execute(f, d.Orders.Commands)
		}
		return true
	})
}

// execute carries commands out in order.
func (w *world) execute(f *fakeWorker, commands []protocol.Command) {
	for _, cmd := range commands {
		key := taskAttempt{cmd.Task, cmd.Attempt}
		at := slices.IndexFunc(f.Tasks, func(t protocol.TaskReport) bool {
			return t.Task == cmd.Task && t.Attempt == cmd.Attempt
		})
		switch cmd.Op {
		case protocol.OpStart:
			if why := w.rejectionOf(f, cmd.Task); at < 0 && why != "" {
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

// hang lets a machine stand still for a while: its tasks take that much longer, and what
// it is told meanwhile it carries out when it goes on.
func (w *world) hang(id string, d time.Duration) {
	f := w.workers[id]
	if f == nil || w.hangs(id) {
		return
	}
	w.hungUntil[id] = w.now + d
	for k := range f.running {
		f.running[k] += d
	}
}

func (w *world) hangs(id string) bool { return w.now < w.hungUntil[id] }

// expireWorkerLease ends a worker's session with all its tasks once its lease is over.
func (w *world) expireWorkerLease(f *fakeWorker) {
	if w.now-f.leaseRenewedAt > w.lease() {
		f.Session, f.Tasks, f.leaseRenewedAt = f.Session+1, nil, w.now
		clear(f.running)
		clear(f.missingPeerSince)
	}
}

// holdReport lets a report arrive later than any answer is waited for, at any controller:
// nobody has had one that is as new from that machine, unless it has reported again.
func (w *world) holdReport(b Heartbeat) {
	at := w.now + time.Duration(2+w.rng.IntN(30))*time.Second
	node := w.names[w.rng.IntN(len(w.names))]
	w.scheduled = append(w.scheduled, func() bool {
		if w.now < at {
			return false
		}
		if w.cores[node] != nil && !w.frozen[node] {
			w.nextReq++
			b.Req = w.nextReq
			w.send(node, b)
		}
		return true
	})
}

// runTime is how long a task runs: a replica for good, what has been done before no time.
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

// checkGangPeers has the tasks of gangs on a machine exit that miss one of the others for too
// long: gang_peer_s once the gang was whole, gang_wait_s before.
func (w *world) checkGangPeers(f *fakeWorker) (changed bool) {
	p := w.cfg[w.names[0]].Params.Workers
	for i, t := range f.Tasks {
		id, _, _ := job.ParseTaskID(t.Task)
		s, key := w.specs[id], taskAttempt{t.Task, t.Attempt}
		if s == nil || s.Kind != job.Gang || t.State == protocol.Exited || w.completed[t.Task] {
			continue
		}
		there, done := w.ofAttempt(id, t.Attempt)
		switch since, misses := f.missingPeerSince[key]; {
		case done:
			// They complete together.
			f.running[key] = min(f.running[key], w.now)
		case there == s.Tasks:
			delete(f.missingPeerSince, key)
		case !misses:
			f.missingPeerSince[key] = w.now
		case w.now-since > seconds(p.GangPeerS) && w.completeGangs[taskAttempt{id, t.Attempt}] || w.now-since > seconds(p.GangWaitS):
			f.Tasks[i].State, f.Tasks[i].Why = protocol.Exited, "mates_gone"
			changed = true
		}
		if there == s.Tasks {
			w.completeGangs[taskAttempt{id, t.Attempt}] = true
		}
	}
	return changed
}

// complete notes that a task has ended by itself. The tasks of a gang complete together, and
// the results are kept: one that is started again has nothing left to do.
func (w *world) complete(task string) {
	w.completed[task] = true
	id, _, _ := job.ParseTaskID(task)
	if s := w.specs[id]; s != nil && s.Kind == job.Gang {
		for n := range s.Tasks {
			w.completed[s.TaskID(n)] = true
		}
	}
}

// ofAttempt counts the tasks of an attempt that are on machines, and tells whether one has
// completed.
func (w *world) ofAttempt(id string, attempt uint64) (there int, done bool) {
	for _, f := range w.workers {
		for _, t := range f.Tasks {
			if t.Attempt != attempt || !strings.HasPrefix(t.Task, id+"/") {
				continue
			}
			if t.State != protocol.Exited {
				there++
			}
			done = done || t.Why == protocol.WhyDone
		}
	}
	return there, done
}

// rejectionOf tells why a worker refuses a start: there is no room, or the task is there with
// another attempt.
func (w *world) rejectionOf(f *fakeWorker, task string) string {
	id, _, _ := job.ParseTaskID(task)
	s := w.specs[id]
	if s == nil {
		return ""
	}
	if slices.ContainsFunc(f.Tasks, func(t protocol.TaskReport) bool { return t.Task == task && t.State != protocol.Exited }) {
		return protocol.WhyBusy
	}
	if room := w.sizeOf(f.Type).Plus(w.loadOf(f, ""), -1); !s.Need.Fits(room) {
		return protocol.WhyNoRoom
	}
	return ""
}
