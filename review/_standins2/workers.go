package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"pepperlever/internal/emulator"
	"pepperlever/internal/protocol"
)

// fleet runs a worker for each machine that is up. The tasks themselves are played by the project's
// own emulator, which follows the protocol; the fleet records every change of a task.
type fleet struct {
	w       *world
	mu      sync.Mutex
	play    *emulator.Fleet
	workers map[string]*workerAgent
	starts  map[string][]string
	// onMachine holds, by task, the machines that it is on.
	onMachine map[string]map[string]bool
	// overlaps lists the starts of tasks that were on another machine.
	overlaps []string
}

// workerAgent is the worker of one machine.
type workerAgent struct {
	f       *fleet
	name    string
	typ     *machineType
	zone    string
	spot    bool
	address string
	server  *http.Server
	cancel  context.CancelFunc
	// mu is held while the worker does anything.
	mu     sync.Mutex
	node   int
	seen   map[string]string
	client *http.Client
}

func newFleet(w *world) *fleet {
	cfg := emulator.Default()
	cfg.Speed = 1
	cfg.Workers = emulator.WorkerConfig{ReportS: w.cfg.reportS, LeaseS: w.cfg.leaseS, GangWaitS: w.cfg.gangWaitS, GangPeerS: w.cfg.gangPeerS, CancelS: w.cfg.cancelS}
	return &fleet{w: w, play: emulator.NewFleet(&cfg, nil), workers: map[string]*workerAgent{}, starts: map[string][]string{}, onMachine: map[string]map[string]bool{}}
}

// add starts the worker of a machine and returns its address.
func (f *fleet) add(m *instance, t *machineType) string {
	ln, err := net.Listen("tcp4", freePort)
	if err != nil {
		f.w.fail("worker cannot listen: %v", err)
		return ""
	}
	ctx, cancel := context.WithCancel(f.w.ctx)
	a := &workerAgent{f: f, name: m.name, typ: t, zone: m.zone, spot: m.spot, address: ln.Addr().String(), cancel: cancel,
		node: rand.IntN(len(f.w.ctrls)), seen: map[string]string{},
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	f.mu.Lock()
	f.workers[m.name] = a
	f.play.Add(f.w.now(), m.name, a.address, &emulator.MachineType{Name: t.name, CPUs: t.cpus, GPUs: t.gpus, MemoryGB: t.memoryGB, CacheGB: 100, FetchGBPS: 10}, m.zone, m.spot)
	f.mu.Unlock()
	f.w.rec.add("machine %s (%s, %s) is up", m.name, t.name, m.zone)
	go func() { _ = a.server.Serve(ln) }()
	go a.reportLoop(ctx)
	return a.address
}

// remove ends a machine with all that is on it.
func (f *fleet) remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.workers[name]
	if a == nil {
		return
	}
	f.play.Remove(name)
	delete(f.workers, name)
	for _, machines := range f.onMachine {
		delete(machines, name)
	}
	a.cancel()
	go a.server.Close()
	f.w.rec.add("machine %s is gone", name)
}

// report returns the next report of a machine, and records what has changed. The caller holds f.mu.
func (f *fleet) report(a *workerAgent) (protocol.Report, bool) {
	r, found := f.play.NextReport(f.w.now(), a.name)
	if !found {
		return r, false
	}
	seen := map[string]string{}
	for _, t := range r.Tasks {
		key := fmt.Sprintf("%s@%d", t.Task, t.Attempt)
		state := strings.TrimSpace(t.State + " " + t.ExitReason)
		seen[key] = state
		if a.seen[key] != state {
			f.w.rec.add("worker %s: %s %s", a.name, key, state)
			f.note(a, t, key)
		}
	}
	for key, state := range a.seen {
		if _, still := seen[key]; !still {
			if !strings.HasPrefix(state, "exited") {
				f.w.rec.add("worker %s: %s is gone with its lease", a.name, key)
				task, _, _ := strings.Cut(key, "@")
				delete(f.onMachine[task], a.name)
			}
		}
	}
	a.seen = seen
	return r, true
}

// note keeps where each task is.
func (f *fleet) note(a *workerAgent, t protocol.TaskReport, key string) {
	on := f.onMachine[t.Task]
	if on == nil {
		on = map[string]bool{}
		f.onMachine[t.Task] = on
	}
	if t.State == protocol.Exited {
		delete(on, a.name)
		return
	}
	if !on[a.name] {
		f.starts[t.Task] = append(f.starts[t.Task], key+" on "+a.name)
		for other := range on {
			f.overlaps = append(f.overlaps, fmt.Sprintf("%s starts on %s while it is on %s", key, a.name, other))
			f.w.rec.add("RAN TWICE: %s", f.overlaps[len(f.overlaps)-1])
		}
	}
	on[a.name] = true
}

func (a *workerAgent) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.f.mu.Lock()
	defer a.f.mu.Unlock()
	status := 200
	if r.URL.Path == protocol.PathCommands {
		var batch protocol.CommandBatch
		if json.Unmarshal(body, &batch) != nil || batch.Token == 0 || batch.WorkerEpoch == 0 {
			problem(rw, 400, "token or session is missing")
			return
		}
		a.f.play.Advance(a.f.w.now())
		if !a.f.play.Execute(a.f.w.now(), a.name, batch) {
			status = 409
		}
	}
	report, found := a.f.report(a)
	if !found {
		problem(rw, 503, "machine is gone")
		return
	}
	reply(rw, status, report)
}

func (a *workerAgent) reportLoop(ctx context.Context) {
	interval := time.Duration(a.f.w.cfg.reportS * float64(time.Second))
	for ctx.Err() == nil {
		pause := a.sendReport(ctx)
		if pause == 0 {
			a.waitForChange(ctx, interval*3/4+rand.N(interval/2))
			continue
		}
		wait(ctx, pause)
	}
}

func (a *workerAgent) waitForChange(ctx context.Context, most time.Duration) {
	wait(ctx, 500*time.Millisecond)
	for waited := 500 * time.Millisecond; waited < most && ctx.Err() == nil; waited += 20 * time.Millisecond {
		a.f.mu.Lock()
		a.f.play.Advance(a.f.w.now())
		changed := a.f.play.HasChanges(a.name)
		a.f.mu.Unlock()
		if changed {
			return
		}
		wait(ctx, 20*time.Millisecond)
	}
}

// sendReport sends one report. It returns the pause before the next try, or 0 if it was accepted.
func (a *workerAgent) sendReport(ctx context.Context) time.Duration {
	a.mu.Lock()
	a.f.mu.Lock()
	sent := a.f.w.now()
	report, found := a.f.report(a)
	a.f.mu.Unlock()
	a.mu.Unlock()
	if !found {
		return time.Second
	}
	raw, _ := json.Marshal(report)
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.f.w.ctrls[a.node].bind+protocol.PathReport, bytes.NewReader(raw))
	res, err := a.client.Do(req)
	status := 0
	var answer struct {
		protocol.CommandBatch
		protocol.Redirect
	}
	if err == nil {
		body, readErr := io.ReadAll(res.Body)
		res.Body.Close()
		if readErr == nil && json.Unmarshal(body, &answer) == nil {
			status = res.StatusCode
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if status == 200 {
		if a.f.w.now()-sent < 4*time.Second {
			a.f.mu.Lock()
			a.f.play.Advance(a.f.w.now())
			a.f.play.HandleReply(a.f.w.now(), sent, a.name, report.WorkerEpoch, answer.CommandBatch)
			a.f.mu.Unlock()
		}
		return 0
	}
	if status == 421 {
		for i, c := range a.f.w.ctrls {
			if c.node == answer.ReportTo && i != a.node {
				a.node = i
				return rand.N(500*time.Millisecond) + 1
			}
		}
	}
	a.node = (a.node + 1) % len(a.f.w.ctrls)
	return time.Second
}

// free returns the free CPUs and memory of each machine that is up, by name.
func (f *fleet) free() map[string][2]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][2]float64{}
	for name, a := range f.workers {
		out[name] = [2]float64{a.typ.cpus, a.typ.memoryGB}
	}
	for task, machines := range f.onMachine {
		id, _, _ := strings.Cut(task, "/")
		j := f.w.job(id)
		for name := range machines {
			if left, up := out[name]; up && j != nil {
				out[name] = [2]float64{left[0] - j.VCPUs, left[1] - j.MemoryGB}
			}
		}
	}
	return out
}

// usage returns the CPUs that a team's tasks are on.
func (f *fleet) usage(team string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0.0
	for task, machines := range f.onMachine {
		id, _, _ := strings.Cut(task, "/")
		if j := f.w.job(id); j != nil && j.Crew == team {
			sum += j.VCPUs * float64(len(machines))
		}
	}
	return sum
}

// startsOf returns how often tasks of a job were started.
func (f *fleet) startsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task, starts := range f.starts {
		if strings.HasPrefix(task, id+"/") {
			n += len(starts)
		}
	}
	return n
}

// machinesOf returns the machines that tasks of a job are on.
func (f *fleet) machinesOf(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for task, machines := range f.onMachine {
		if strings.HasPrefix(task, id+"/") {
			for name := range machines {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
