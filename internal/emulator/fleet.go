package emulator

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"pepperlever/internal/protocol"
)

// Fleet is all workers without input or output: callers pass the time. Tasks of a
// gang find one another in it, and what tasks have saved is kept in it.
type Fleet struct {
	cfg      *Config
	machines map[string]*machine
	jobs     map[string]*protocol.Submission
	// progressS holds the progress of tasks in seconds; results the tasks that
	// completed.
	progressS map[string]float64
	results   map[string]bool
	runner    Runner
	// lookUpJob finds the description of a job that no user has submitted here.
	lookUpJob func(id string) *protocol.Submission
	// completed counts the runs that came to their end.
	completed int
}

// Runner runs a task as a real program. It is told when the task has to end, and
// calls done with whether the program succeeded.
type Runner interface {
	Has(image string) bool
	Start(machine string, job *protocol.Submission, task string, attempt uint64, done func(ok bool)) (stop func())
}

// machine is one worker.
type machine struct {
	protocol.Report
	machineType   *MachineType
	tasks         []*task
	imagesReadyAt map[string]time.Duration // when each is there
	// epochStartedAt is when the session did, sent when the last answered report was sent.
	epochStartedAt, leaseRenewedAt time.Duration
	changed                        bool
}

// task is one attempt on a worker.
type task struct {
	protocol.TaskReport
	job *protocol.Submission
	// stateSince is when the present state began, ends when it will end; 0 for never.
	stateSince, stateEndsAt time.Duration
	// peerLossNoticedAt is when a gang's task was told to stop.
	peerLossNoticedAt time.Duration
	stop              func()
}

// States of a task on the wire that only workers tell apart.
const (
	pulling           = "pulling"
	waiting           = "waiting"
	saving            = "saving"
	whyGangIncomplete = "alone"
	whyGangPeerLost   = "mates_gone"
)

// NewFleet makes a fleet without machines. runner may be nil.
func NewFleet(cfg *Config, runner Runner) *Fleet {
	return &Fleet{cfg: cfg, machines: map[string]*machine{}, jobs: map[string]*protocol.Submission{},
		progressS: map[string]float64{}, results: map[string]bool{}, runner: runner}
}

// AddJob notes the description of a job, which workers fetch when they start it.
func (f *Fleet) AddJob(s *protocol.Submission) {
	if s != nil && s.ID != nil && f.jobs[*s.ID] == nil {
		f.jobs[*s.ID] = s
	}
}

// Add lets a machine come up.
func (f *Fleet) Add(now time.Duration, id, address string, typ *MachineType, zone string, spot bool) {
	f.machines[id] = &machine{machineType: typ, imagesReadyAt: map[string]time.Duration{}, epochStartedAt: now,
		Report: protocol.Report{Machine: id, Address: address, Type: typ.Name, Zone: zone, Spot: spot, Session: 1}}
}

// Remove ends a machine with all that is on it.
func (f *Fleet) Remove(id string) {
	if m := f.machines[id]; m != nil {
		m.killAll()
		delete(f.machines, id)
	}
}

// Notice tells a machine that the cloud takes it away.
func (f *Fleet) Notice(id string, in time.Duration) {
	if m := f.machines[id]; m != nil {
		s := in.Seconds()
		m.NoticeS, m.changed = &s, true
	}
}

func (m *machine) killAll() {
	for _, t := range m.tasks {
		t.kill()
	}
	m.tasks = nil
}

func (t *task) kill() {
	if t.stop != nil {
		t.stop()
		t.stop = nil
	}
}

// Snapshot is a machine's next report.
func (f *Fleet) Snapshot(now time.Duration, id string) (protocol.Report, bool) {
	m := f.machines[id]
	if m == nil {
		return protocol.Report{}, false
	}
	f.Advance(now)
	m.Seq++
	m.changed = false
	r := m.Report
	r.Tasks = []protocol.TaskReport{}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	return r, true
}

// Changed tells whether a machine has something new to report.
func (f *Fleet) Changed(id string) bool {
	m := f.machines[id]
	return m != nil && m.changed
}

// HandleReply takes the answer to a report that was sent at some time.
func (f *Fleet) HandleReply(now, sent time.Duration, id string, session uint64, o protocol.Orders) {
	m := f.machines[id]
	if m == nil || m.Session != session || o.Token < m.Token || o.Token == 0 {
		return
	}
	m.leaseRenewedAt = max(m.leaseRenewedAt, sent)
	f.executeCommands(now, m, o)
}

// Execute takes a direct call; executed tells whether its commands were carried out.
func (f *Fleet) Execute(now time.Duration, id string, o protocol.Orders) (executed bool) {
	m := f.machines[id]
	if m == nil || o.Token < m.Token || o.Session != m.Session {
		return false
	}
	f.executeCommands(now, m, o)
	return true
}

func (f *Fleet) executeCommands(now time.Duration, m *machine, o protocol.Orders) {
	if o.Token > m.Token {
		m.Token, m.changed = o.Token, true
	}
	for _, c := range o.Commands {
		at := slices.IndexFunc(m.tasks, func(t *task) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
		switch {
		case c.Op == protocol.OpStart && at < 0:
			f.startTask(now, m, c)
		case c.Op == protocol.OpStop && at >= 0:
			grace := 0.0
			if c.GraceS != nil {
				grace = *c.GraceS
			}
			f.stopTask(now, m, m.tasks[at], grace)
		case c.Op == protocol.OpForget && at >= 0 && m.tasks[at].State == protocol.Exited:
			m.tasks = slices.Delete(m.tasks, at, at+1)
		}
	}
}

// startTask takes a task on, or notes why not.
func (f *Fleet) startTask(now time.Duration, m *machine, c protocol.Command) {
	id, index, _ := strings.Cut(c.Task, "/")
	if f.jobs[id] == nil && f.lookUpJob != nil {
		f.AddJob(f.lookUpJob(id))
	}
	j := f.jobs[id]
	t := &task{TaskReport: protocol.TaskReport{Task: c.Task, Attempt: c.Attempt, State: pulling}, job: j, stateSince: now}
	m.tasks = append(m.tasks, t)
	m.changed = true
	n, err := strconv.ParseInt(index, 10, 64)
	switch {
	case j == nil || err != nil || n >= *j.Tasks:
		f.exitTask(t, protocol.WhyUnknown)
	case slices.ContainsFunc(m.tasks, func(o *task) bool { return o != t && o.Task == t.Task && o.State != protocol.Exited }):
		f.exitTask(t, protocol.WhyBusy)
	case !m.fits():
		f.exitTask(t, protocol.WhyNoRoom)
	default:
		if _, there := m.imagesReadyAt[*j.Image]; !there {
			m.imagesReadyAt[*j.Image] = now + f.cfg.scaled(*j.ImageGB/m.machineType.FetchGBPS)
		}
		t.stateEndsAt = max(1, now, m.imagesReadyAt[*j.Image]) // 0 is never
	}
}

// fits tells whether all that is on a machine has room.
func (m *machine) fits() bool {
	cpus, gpus, memory := m.machineType.CPUs, m.machineType.GPUs, m.machineType.MemoryGB
	for _, t := range m.tasks {
		if t.State != protocol.Exited && t.job != nil {
			cpus, gpus, memory = cpus-*t.job.CPUs, gpus-*t.job.GPUs, memory-*t.job.MemoryGB
		}
	}
	const slack = 1e-6
	return cpus >= -slack && gpus >= -slack && memory >= -slack
}

func (f *Fleet) exitTask(t *task, why string) {
	t.kill()
	t.State, t.Why, t.stateEndsAt = protocol.Exited, why, 0
	if why == protocol.WhyDone {
		f.results[t.Task] = true
	}
}

// stopTask stops a task, which saves when it can and has the time to.
func (f *Fleet) stopTask(now time.Duration, m *machine, t *task, grace float64) {
	if t.State == protocol.Exited {
		return
	}
	m.changed = true
	saves := *t.job.CheckpointS > 0 && grace >= *t.job.SaveS
	switch {
	case t.State == saving && grace > 0:
	case t.State == protocol.Running && saves:
		f.saveProgress(t, now)
		t.State, t.stateSince, t.peerLossNoticedAt, t.stateEndsAt = saving, now, now, now+f.cfg.scaled(*t.job.SaveS)
	default:
		f.exitTask(t, protocol.WhyStopped)
	}
}

// saveProgress notes how far a running task has come.
func (f *Fleet) saveProgress(t *task, now time.Duration) {
	f.progressS[t.Task] += (now - t.stateSince).Seconds() * f.cfg.Speed
}
