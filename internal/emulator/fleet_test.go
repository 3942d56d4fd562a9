package emulator

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// fleetHarness runs a fleet of two workers with 4 CPUs each, without a network and with a
// simulated clock.
type fleetHarness struct {
	t     *testing.T
	fleet *Fleet
	now   time.Duration
}

func newFleetHarness(t *testing.T, runner Runner) *fleetHarness {
	cfg := Default()
	h := &fleetHarness{t: t, fleet: NewFleet(&cfg, runner), now: time.Second}
	for _, id := range []string{"vm-1", "vm-2"} {
		h.fleet.Add(h.now, id, id, &cfg.Types[0], "north", true)
	}
	return h
}

// addJob adds a job whose tasks run for ten seconds.
func (h *fleetHarness) addJob(id, kind string, tasks int64, cpus, checkpoint float64) {
	zero, one, ten, image := 0.0, 1.0, 10.0, "i"
	h.fleet.AddJob(&protocol.Submission{ID: &id, Kind: &kind, Tasks: &tasks, CPUs: &cpus, GPUs: &zero, MemoryGB: &one, Image: &image,
		ImageGB: &zero, EstimateS: &ten, CheckpointS: &checkpoint, SaveS: &one})
}

// execute sends one command to a machine and reports whether it was accepted.
func (h *fleetHarness) execute(machine string, token uint64, op, task string, attempt uint64, grace float64) bool {
	return h.fleet.Execute(h.now, machine, protocol.CommandBatch{Token: token, WorkerEpoch: 1,
		Commands: []protocol.Command{{Op: op, Task: task, Attempt: attempt, GraceS: &grace}}})
}

// advance moves the clock forward while renewing the workers' leases.
func (h *fleetHarness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 100 * time.Millisecond
		for id, m := range h.fleet.machines {
			h.fleet.HandleReply(h.now, h.now, id, m.WorkerEpoch, protocol.CommandBatch{Token: max(m.Token, 1)})
		}
		h.fleet.Advance(h.now)
	}
}

// tasks formats the tasks that a machine reports.
func (h *fleetHarness) tasks(machine string) string {
	report, _ := h.fleet.NextReport(h.now, machine)
	out := ""
	for _, t := range report.Tasks {
		out += fmt.Sprintf("%s#%d %s", t.Task, t.Attempt, t.State)
		if t.ExitReason != "" {
			out += " " + t.ExitReason
		}
		if t.Saved {
			out += " saved"
		}
		out += ";"
	}
	return out
}

// want checks the tasks that a machine reports.
func (h *fleetHarness) want(machine, tasks string) {
	h.t.Helper()
	if got := h.tasks(machine); got != tasks {
		h.t.Errorf("%s: got report %q, want %q", machine, got, tasks)
	}
}

// Short names of the command operations.
const opStart, opStop, opForget = protocol.OpStart, protocol.OpStop, protocol.OpForget

func TestWorkerExecutesCommands(t *testing.T) {
	for name, c := range map[string]struct {
		steps func(h *fleetHarness)
		want  string
	}{
		"task completes": {func(h *fleetHarness) { h.execute("vm-1", 1, opStart, "req-a/0", 1, 0); h.advance(11 * time.Second) }, "req-a/0#1 exited done;"},
		"start repeated": {func(h *fleetHarness) {
			h.execute("vm-1", 1, opStart, "req-a/0", 1, 0)
			h.execute("vm-1", 1, opStart, "req-a/0", 1, 0)
		}, "req-a/0#1 running;"},
		"forgotten and started again": {func(h *fleetHarness) {
			h.execute("vm-1", 1, opStart, "req-a/0", 1, 0)
			h.execute("vm-1", 1, opStop, "req-a/0", 1, 0)
			h.execute("vm-1", 1, opForget, "req-a/0", 1, 0)
			h.execute("vm-1", 1, opStart, "req-a/0", 1, 0)
		}, "req-a/0#1 running;"},
		"not forgotten while it runs": {func(h *fleetHarness) {
			h.execute("vm-1", 1, opStart, "req-a/0", 1, 0)
			h.execute("vm-1", 1, opForget, "req-a/0", 1, 0)
		}, "req-a/0#1 running;"},
		"another attempt is running": {func(h *fleetHarness) {
			h.execute("vm-1", 1, opStart, "req-a/0", 1, 0)
			h.execute("vm-1", 1, opStart, "req-a/0", 2, 0)
		}, "req-a/0#1 running;req-a/0#2 exited busy;"},
		"not enough capacity": {func(h *fleetHarness) {
			h.execute("vm-1", 1, opStart, "req-a/0", 1, 0)
			h.execute("vm-1", 1, opStart, "req-big/0", 1, 0)
		}, "req-a/0#1 running;req-big/0#1 exited full;"},
		"no such job":  {func(h *fleetHarness) { h.execute("vm-1", 1, opStart, "req-none/0", 1, 0) }, "req-none/0#1 exited no_such;"},
		"no such task": {func(h *fleetHarness) { h.execute("vm-1", 1, opStart, "req-a/7", 1, 0) }, "req-a/7#1 exited no_such;"},
		"lower token": {func(h *fleetHarness) {
			h.execute("vm-1", 5, opStart, "req-a/0", 1, 0)
			h.execute("vm-1", 4, opStop, "req-a/0", 1, 0)
		}, "req-a/0#1 running;"},
		"lease expires": {func(h *fleetHarness) {
			h.execute("vm-1", 1, opStart, "req-a/0", 1, 0)
			h.now += 9 * time.Second
			h.fleet.Advance(h.now)
		}, ""},
		"stopped without saving": {func(h *fleetHarness) {
			h.execute("vm-1", 1, opStart, "req-s/0", 1, 0)
			h.advance(time.Second)
			h.execute("vm-1", 1, opStop, "req-s/0", 1, 0.5)
		}, "req-s/0#1 exited stopped;"},
		"stopped and saved": {func(h *fleetHarness) {
			h.execute("vm-1", 1, opStart, "req-s/0", 1, 0)
			h.advance(5 * time.Second)
			h.execute("vm-1", 1, opStop, "req-s/0", 1, 2)
			h.advance(2 * time.Second)
			h.execute("vm-1", 1, opStart, "req-s/0", 2, 0)
			h.advance(6 * time.Second)
		}, "req-s/0#1 exited stopped saved;req-s/0#2 exited done;"},
	} {
		h := newFleetHarness(t, nil)
		h.addJob("req-a", protocol.KindArray, 2, 1, 0)
		h.addJob("req-s", protocol.KindArray, 1, 1, 1)
		h.addJob("req-big", protocol.KindArray, 1, 4, 0)
		c.steps(h)
		if got := h.tasks("vm-1"); got != c.want {
			t.Errorf("%s: got report %q, want %q", name, got, c.want)
		}
	}
}

func TestGangStartsAndEndsTogether(t *testing.T) {
	h := newFleetHarness(t, nil)
	h.addJob("req-g", protocol.KindGang, 2, 2, 0)
	h.execute("vm-1", 1, opStart, "req-g/0", 1, 0)
	h.advance(time.Second)
	h.want("vm-1", "req-g/0#1 waiting;")
	h.execute("vm-2", 1, opStart, "req-g/1", 1, 0)
	h.advance(time.Second)
	h.want("vm-1", "req-g/0#1 running;")
	h.want("vm-2", "req-g/1#1 running;")
	h.advance(11 * time.Second)
	h.want("vm-1", "req-g/0#1 exited done;")
	h.want("vm-2", "req-g/1#1 exited done;")
}

func TestIncompleteGangExits(t *testing.T) {
	h := newFleetHarness(t, nil)
	h.addJob("req-g", protocol.KindGang, 2, 2, 0)
	h.execute("vm-1", 1, opStart, "req-g/0", 1, 0)
	h.advance(16 * time.Second)
	h.want("vm-1", "req-g/0#1 exited alone;")
	h.execute("vm-1", 1, opStart, "req-g/0", 2, 0)
	h.execute("vm-2", 1, opStart, "req-g/1", 2, 0)
	h.advance(time.Second)
	h.fleet.Remove("vm-2")
	h.advance(time.Second)
	h.want("vm-1", "req-g/0#1 exited alone;req-g/0#2 running;")
	h.advance(2 * time.Second)
	h.want("vm-1", "req-g/0#1 exited alone;req-g/0#2 exited mates_gone;")
}

// scriptedRunner is a Runner whose program ends when the test calls done.
type scriptedRunner struct {
	done    func(bool)
	stopped bool
}

func (s *scriptedRunner) HasProgram(string) bool { return true }
func (s *scriptedRunner) Start(_ string, _ *protocol.Submission, _ string, _ uint64, done func(bool)) func() {
	s.done = done
	return func() { s.stopped = true }
}

func TestProgramExitDecidesResultAndStopKillsProgram(t *testing.T) {
	for ok, want := range map[bool]string{true: "req-a/0#1 exited done;", false: "req-a/0#1 exited error;"} {
		var p scriptedRunner
		h := newFleetHarness(t, &p)
		h.addJob("req-a", protocol.KindArray, 2, 1, 0)
		h.execute("vm-1", 1, opStart, "req-a/0", 1, 0)
		h.advance(30 * time.Second)
		h.want("vm-1", "req-a/0#1 running;")
		p.done(ok)
		h.want("vm-1", want)
	}
	var p scriptedRunner
	h := newFleetHarness(t, &p)
	h.addJob("req-a", protocol.KindArray, 2, 1, 0)
	h.execute("vm-1", 1, opStart, "req-a/0", 1, 0)
	h.advance(time.Second)
	h.execute("vm-1", 1, opStop, "req-a/0", 1, 0)
	p.done(true) // the program's exit is reported after the stop
	if h.want("vm-1", "req-a/0#1 exited stopped;"); !p.stopped {
		t.Error("program was not killed when its task was stopped")
	}
}

func TestRentIsIdempotentAndLimitedByCapacity(t *testing.T) {
	cfg := Default()
	c := NewCloud(&cfg, 0)
	request := protocol.Rental{Request: "r-1", Type: "small", Zone: "north", Spot: true, Count: 5}
	first, ok := c.Rent(0, request)
	again, _ := c.Rent(time.Hour, request)
	if !ok || len(first.Machines) != 5 || fmt.Sprint(first) != fmt.Sprint(again) {
		t.Errorf("got %v, then %v for the same request, want the same 5 machines", first, again)
	}
	request.Request = "r-2"
	if rest, ok := c.Rent(0, request); !ok || len(rest.Machines) != cfg.Types[0].Spot-5 {
		t.Errorf("got %v, want the remaining capacity", rest)
	}
	request.Request = "r-3"
	if more, ok := c.Rent(0, request); ok {
		t.Errorf("got %v, want nothing beyond the capacity", more)
	}
	c.Release(time.Second, first.Machines)
	if _, ok := c.Rent(time.Second, request); !ok {
		t.Error("released machines cannot be rented again")
	}
}

func TestListLagsAndOmitsReleasedMachines(t *testing.T) {
	cfg := Default()
	c := NewCloud(&cfg, 0)
	names, _ := c.Rent(time.Second, protocol.Rental{Request: "r", Type: "small", Zone: "north", Count: 3})
	if n := len(c.List(2*time.Second, "", 500).Machines); n != 0 {
		t.Errorf("got %d machines before the lag has passed, want 0", n)
	}
	c.Advance(20 * time.Second)
	page := c.List(20*time.Second, "", 2)
	if len(page.Machines) != 2 || !page.More || page.Machines[0].State != protocol.Running {
		t.Errorf("got first page %+v, want 2 running machines and more", page)
	}
	if page = c.List(20*time.Second, page.Machines[1].ID, 2); len(page.Machines) != 1 || page.More {
		t.Errorf("got second page %+v, want 1 machine and no more", page)
	}
	c.Release(30*time.Second, names.Machines)
	if n := len(c.List(60*time.Second, "", 500).Machines); n != 0 {
		t.Errorf("got %d machines long after their release, want 0", n)
	}
}

// Guards against an emulated network that carries out every delivery once: a copy starts a forgotten task
// again, unless the worker has seen a higher token.
func TestRepeatedDeliveryStartsForgottenTaskUnlessTokenIsHigher(t *testing.T) {
	for name, c := range map[string]struct {
		forgetToken  uint64
		want         string
		wantOverlaps int
	}{
		"forgotten under the token of the start": {1, "req-a/0#1 running;", 1},
		"forgotten under a higher token":         {2, "", 0},
	} {
		h := newFleetHarness(t, nil)
		h.addJob("req-a", protocol.KindArray, 1, 2, 0)
		h.fleet.cfg.Workers.RepeatShare = 1
		h.execute("vm-1", 1, opStart, "req-a/0", 1, 0)
		h.fleet.cfg.Workers.RepeatShare = 0
		copies := h.fleet.repeats
		h.fleet.repeats = nil
		h.execute("vm-1", 1, opStop, "req-a/0", 1, 0)
		h.execute("vm-1", c.forgetToken, opForget, "req-a/0", 1, 0)
		h.execute("vm-2", 1, opStart, "req-a/0", 2, 0)
		for i := range copies {
			copies[i].at = h.now
		}
		h.fleet.repeats = copies
		h.fleet.Advance(h.now)
		h.want("vm-1", c.want)
		if got := h.fleet.Overlaps(); len(copies) != 1 || got != c.wantOverlaps {
			t.Errorf("%s: got %d overlaps after %d copies, want %d after one", name, got, len(copies), c.wantOverlaps)
		}
	}
}
