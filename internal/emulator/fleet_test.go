package emulator

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// rig is two workers of 4 CPUs without a network.
type rig struct {
	t   *testing.T
	f   *Fleet
	now time.Duration
}

func newRig(t *testing.T, runner Runner) *rig {
	cfg := Default()
	r := &rig{t: t, f: NewFleet(&cfg, runner), now: time.Second}
	for _, id := range []string{"vm-1", "vm-2"} {
		r.f.Add(r.now, id, id, &cfg.Types[0], "north", true)
	}
	return r
}

func (r *rig) upload(id, kind string, tasks int64, cpus, checkpoint float64) {
	zero, one, ten, image := 0.0, 1.0, 10.0, "i"
	r.f.AddJob(&protocol.Submission{ID: &id, Kind: &kind, Tasks: &tasks, CPUs: &cpus, GPUs: &zero, MemoryGB: &one, Image: &image,
		ImageGB: &zero, EstimateS: &ten, CheckpointS: &checkpoint, SaveS: &one})
}

func (r *rig) do(machine string, token uint64, op, task string, attempt uint64, grace float64) bool {
	return r.f.Execute(r.now, machine, protocol.Orders{Token: token, Session: 1,
		Commands: []protocol.Command{{Op: op, Task: task, Attempt: attempt, GraceS: &grace}}})
}

// pass lets time pass with the workers' leases kept.
func (r *rig) pass(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += 100 * time.Millisecond
		for id, m := range r.f.machines {
			r.f.HandleReply(r.now, r.now, id, m.Session, protocol.Orders{Token: max(m.Token, 1)})
		}
		r.f.Advance(r.now)
	}
}

// tasks is what a machine reports.
func (r *rig) tasks(machine string) string {
	report, _ := r.f.Snapshot(r.now, machine)
	out := ""
	for _, t := range report.Tasks {
		out += fmt.Sprintf("%s#%d %s", t.Task, t.Attempt, t.State)
		if t.Why != "" {
			out += " " + t.Why
		}
		if t.Saved {
			out += " saved"
		}
		out += ";"
	}
	return out
}

func (r *rig) want(machine, tasks string) {
	r.t.Helper()
	if got := r.tasks(machine); got != tasks {
		r.t.Errorf("%s reports %q, want %q", machine, got, tasks)
	}
}

const run, halt, reap = protocol.OpStart, protocol.OpStop, protocol.OpForget

func TestWorkerFollowsItsOrders(t *testing.T) {
	for name, c := range map[string]struct {
		play func(r *rig)
		want string
	}{
		"task runs to its end": {func(r *rig) { r.do("vm-1", 1, run, "req-a/0", 1, 0); r.pass(11 * time.Second) }, "req-a/0#1 exited done;"},
		"start repeated":       {func(r *rig) { r.do("vm-1", 1, run, "req-a/0", 1, 0); r.do("vm-1", 1, run, "req-a/0", 1, 0) }, "req-a/0#1 running;"},
		"forgotten and started again": {func(r *rig) {
			r.do("vm-1", 1, run, "req-a/0", 1, 0)
			r.do("vm-1", 1, halt, "req-a/0", 1, 0)
			r.do("vm-1", 1, reap, "req-a/0", 1, 0)
			r.do("vm-1", 1, run, "req-a/0", 1, 0)
		}, "req-a/0#1 running;"},
		"not forgotten while it runs": {func(r *rig) { r.do("vm-1", 1, run, "req-a/0", 1, 0); r.do("vm-1", 1, reap, "req-a/0", 1, 0) }, "req-a/0#1 running;"},
		"another attempt is there":    {func(r *rig) { r.do("vm-1", 1, run, "req-a/0", 1, 0); r.do("vm-1", 1, run, "req-a/0", 2, 0) }, "req-a/0#1 running;req-a/0#2 exited busy;"},
		"no room":                     {func(r *rig) { r.do("vm-1", 1, run, "req-a/0", 1, 0); r.do("vm-1", 1, run, "req-big/0", 1, 0) }, "req-a/0#1 running;req-big/0#1 exited full;"},
		"no such job":                 {func(r *rig) { r.do("vm-1", 1, run, "req-none/0", 1, 0) }, "req-none/0#1 exited no_such;"},
		"no such task":                {func(r *rig) { r.do("vm-1", 1, run, "req-a/7", 1, 0) }, "req-a/7#1 exited no_such;"},
		"lower token":                 {func(r *rig) { r.do("vm-1", 5, run, "req-a/0", 1, 0); r.do("vm-1", 4, halt, "req-a/0", 1, 0) }, "req-a/0#1 running;"},
		"lease runs out":              {func(r *rig) { r.do("vm-1", 1, run, "req-a/0", 1, 0); r.now += 9 * time.Second; r.f.Advance(r.now) }, ""},
		"stopped without saving": {func(r *rig) {
			r.do("vm-1", 1, run, "req-s/0", 1, 0)
			r.pass(time.Second)
			r.do("vm-1", 1, halt, "req-s/0", 1, 0.5)
		}, "req-s/0#1 exited stopped;"},
		"stopped and saved": {func(r *rig) {
			r.do("vm-1", 1, run, "req-s/0", 1, 0)
			r.pass(5 * time.Second)
			r.do("vm-1", 1, halt, "req-s/0", 1, 2)
			r.pass(2 * time.Second)
			r.do("vm-1", 1, run, "req-s/0", 2, 0)
			r.pass(6 * time.Second)
		}, "req-s/0#1 exited stopped saved;req-s/0#2 exited done;"},
	} {
		r := newRig(t, nil)
		r.upload("req-a", protocol.KindArray, 2, 1, 0)
		r.upload("req-s", protocol.KindArray, 1, 1, 1)
		r.upload("req-big", protocol.KindArray, 1, 4, 0)
		c.play(r)
		if got := r.tasks("vm-1"); got != c.want {
			t.Errorf("%s: reports %q, want %q", name, got, c.want)
		}
	}
}

func TestGangBeginsTogetherAndEndsTogether(t *testing.T) {
	r := newRig(t, nil)
	r.upload("req-g", protocol.KindGang, 2, 2, 0)
	r.do("vm-1", 1, run, "req-g/0", 1, 0)
	r.pass(time.Second)
	r.want("vm-1", "req-g/0#1 waiting;")
	r.do("vm-2", 1, run, "req-g/1", 1, 0)
	r.pass(time.Second)
	r.want("vm-1", "req-g/0#1 running;")
	r.want("vm-2", "req-g/1#1 running;")
	r.pass(11 * time.Second)
	r.want("vm-1", "req-g/0#1 exited done;")
	r.want("vm-2", "req-g/1#1 exited done;")
}

func TestGangThatIsNotWholeEnds(t *testing.T) {
	r := newRig(t, nil)
	r.upload("req-g", protocol.KindGang, 2, 2, 0)
	r.do("vm-1", 1, run, "req-g/0", 1, 0)
	r.pass(16 * time.Second)
	r.want("vm-1", "req-g/0#1 exited alone;")
	r.do("vm-1", 1, run, "req-g/0", 2, 0)
	r.do("vm-2", 1, run, "req-g/1", 2, 0)
	r.pass(time.Second)
	r.f.Remove("vm-2")
	r.pass(time.Second)
	r.want("vm-1", "req-g/0#1 exited alone;req-g/0#2 running;")
	r.pass(2 * time.Second)
	r.want("vm-1", "req-g/0#1 exited alone;req-g/0#2 exited mates_gone;")
}

// scripted runs programs that end when the test says so.
type scripted struct {
	done    func(bool)
	stopped bool
}

func (s *scripted) Has(string) bool { return true }
func (s *scripted) Start(_ string, _ *protocol.Submission, _ string, _ uint64, done func(bool)) func() {
	s.done = done
	return func() { s.stopped = true }
}

func TestProgramsEndDecidesAndStoppedOnesAreKilled(t *testing.T) {
	for ok, want := range map[bool]string{true: "req-a/0#1 exited done;", false: "req-a/0#1 exited error;"} {
		var p scripted
		r := newRig(t, &p)
		r.upload("req-a", protocol.KindArray, 2, 1, 0)
		r.do("vm-1", 1, run, "req-a/0", 1, 0)
		r.pass(30 * time.Second)
		r.want("vm-1", "req-a/0#1 running;")
		p.done(ok)
		r.want("vm-1", want)
	}
	var p scripted
	r := newRig(t, &p)
	r.upload("req-a", protocol.KindArray, 2, 1, 0)
	r.do("vm-1", 1, run, "req-a/0", 1, 0)
	r.pass(time.Second)
	r.do("vm-1", 1, halt, "req-a/0", 1, 0)
	p.done(true) // its end comes late
	if r.want("vm-1", "req-a/0#1 exited stopped;"); !p.stopped {
		t.Error("the program is not killed")
	}
}

func TestCloudRentsARequestOnceAndNoMoreThanItHas(t *testing.T) {
	cfg := Default()
	c := NewCloud(&cfg, 0)
	r := protocol.Rental{Request: "r-1", Type: "small", Zone: "north", Spot: true, Count: 5}
	first, ok := c.Rent(0, r)
	again, _ := c.Rent(time.Hour, r)
	if !ok || len(first.Machines) != 5 || fmt.Sprint(first) != fmt.Sprint(again) {
		t.Errorf("rented %v, then %v", first, again)
	}
	r.Request = "r-2"
	if rest, ok := c.Rent(0, r); !ok || len(rest.Machines) != cfg.Types[0].Spot-5 {
		t.Errorf("of the rest got %v", rest)
	}
	r.Request = "r-3"
	if more, ok := c.Rent(0, r); ok {
		t.Errorf("got %v beyond what there is", more)
	}
	c.Release(time.Second, first.Machines)
	if _, ok := c.Rent(time.Second, r); !ok {
		t.Error("what was returned is not rented again")
	}
}

func TestListLagsAndHoldsNoMachineThatIsGoneForLong(t *testing.T) {
	cfg := Default()
	c := NewCloud(&cfg, 0)
	names, _ := c.Rent(time.Second, protocol.Rental{Request: "r", Type: "small", Zone: "north", Count: 3})
	if n := len(c.List(2*time.Second, "", 500).Machines); n != 0 {
		t.Errorf("%d machines are listed without a lag", n)
	}
	c.Advance(20 * time.Second)
	l := c.List(20*time.Second, "", 2)
	if len(l.Machines) != 2 || !l.More || l.Machines[0].State != protocol.Running {
		t.Errorf("first page %+v", l)
	}
	if l = c.List(20*time.Second, l.Machines[1].ID, 2); len(l.Machines) != 1 || l.More {
		t.Errorf("second page %+v", l)
	}
	c.Release(30*time.Second, names.Machines)
	if n := len(c.List(60*time.Second, "", 500).Machines); n != 0 {
		t.Errorf("%d machines are listed long after they are gone", n)
	}
}
