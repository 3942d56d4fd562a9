package emulator

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"pepperlever/internal/protocol"
)

// Fleet simulates all workers of a site. It does no I/O; callers pass the current time. It
// also coordinates the tasks of a gang and stores the progress that tasks have saved.
type Fleet struct {
	cfg      *Config
	machines map[string]*machine
	jobs     map[string]*protocol.Submission
	// progressS holds the saved progress of each task in seconds. doneTasks holds the tasks
	// that are done.
	progressS map[string]float64
	doneTasks map[string]bool
	runner    Runner
	// lookUpJob, if not nil, returns the submission of a job that was handed off from another
	// site, or nil if the job is unknown.
	lookUpJob func(id string) *protocol.Submission
	// completedRuns counts the attempts that ran to completion.
	completedRuns int
	// repeats holds the copies of deliveries that are still on their way; rng decides which deliveries
	// are repeated, and when.
	repeats []repeatedDelivery
	rng     *rand.Rand
	// overlaps counts the starts of tasks that were on another machine.
	overlaps int
}

// Runner runs tasks as real programs. HasProgram reports whether an image has a program.
// Start calls done with whether the program succeeded, and returns a function that stops it.
type Runner interface {
	HasProgram(image string) bool
	Start(machine string, job *protocol.Submission, task string, attempt uint64, done func(ok bool)) (stop func())
}

// machine is the state of a simulated machine and of the worker that runs on it.
type machine struct {
	protocol.Report
	machineType   *MachineType
	tasks         []*task
	imagesReadyAt map[string]time.Duration // when the fetch of each image completes
	// epochStartedAt is when the current worker epoch began. leaseRenewedAt is the time at
	// which the worker sent the latest report that a controller has responded to.
	epochStartedAt, leaseRenewedAt time.Duration
	changed                        bool // since the last report
}

// task is one attempt of a task on a worker.
type task struct {
	protocol.TaskReport
	job *protocol.Submission
	// stateSince is when the current state began. stateEndsAt is when it ends by itself, or 0
	// if it does not.
	stateSince, stateEndsAt time.Duration
	// peerLossNoticedAt is when the fleet first found that the gang of this running task had lost
	// another task, or when this task began to save.
	peerLossNoticedAt time.Duration
	stop              func() // kills the task's program; nil if none is running
}

// Task states and exit reasons on the wire that only workers distinguish.
const (
	statePulling      = "pulling"
	stateWaiting      = "waiting"
	stateSaving       = "saving"
	whyGangIncomplete = "alone"
	whyGangPeerLost   = "mates_gone"
)

// NewFleet returns a fleet without machines. If runner is nil, all tasks are simulated.
func NewFleet(cfg *Config, runner Runner) *Fleet {
	return &Fleet{cfg: cfg, machines: map[string]*machine{}, jobs: map[string]*protocol.Submission{},
		progressS: map[string]float64{}, doneTasks: map[string]bool{}, runner: runner, rng: rand.New(rand.NewPCG(cfg.Seed, 2))}
}

// AddJob stores the submission of a job unless one is already stored. Workers read it when
// they start a task.
func (f *Fleet) AddJob(submission *protocol.Submission) {
	if submission != nil && submission.ID != nil && f.jobs[*submission.ID] == nil {
		f.jobs[*submission.ID] = submission
	}
}

// Add registers a machine that has booted and starts its first worker epoch.
func (f *Fleet) Add(now time.Duration, id, address string, typ *MachineType, zone string, spot bool) {
	f.machines[id] = &machine{machineType: typ, imagesReadyAt: map[string]time.Duration{}, epochStartedAt: now,
		Report: protocol.Report{Machine: id, Address: address, Type: typ.Name, Zone: zone, Spot: spot, WorkerEpoch: 1}}
}

// Remove removes a machine and kills its tasks.
func (f *Fleet) Remove(id string) {
	if m := f.machines[id]; m != nil {
		m.killAll()
		delete(f.machines, id)
	}
}

// ReclaimNotice notifies a machine of the time that remains until the cloud reclaims it.
func (f *Fleet) ReclaimNotice(id string, remaining time.Duration) {
	if m := f.machines[id]; m != nil {
		secs := remaining.Seconds()
		m.NoticeS, m.changed = &secs, true
	}
}

// killAll kills and removes all tasks of a machine.
func (m *machine) killAll() {
	for _, t := range m.tasks {
		t.kill()
	}
	m.tasks = nil
}

// kill kills the task's program if it has one.
func (t *task) kill() {
	if t.stop != nil {
		t.stop()
		t.stop = nil
	}
}

// NextReport returns the next report of a machine, and false if there is no such machine.
func (f *Fleet) NextReport(now time.Duration, id string) (protocol.Report, bool) {
	m := f.machines[id]
	if m == nil {
		return protocol.Report{}, false
	}
	f.Advance(now)
	m.Seq++
	m.changed = false
	report := m.Report
	report.Tasks = []protocol.TaskReport{}
	for _, t := range m.tasks {
		report.Tasks = append(report.Tasks, t.TaskReport)
	}
	return report, true
}

// HasChanges reports whether a machine has changed since its last report.
func (f *Fleet) HasChanges(id string) bool {
	m := f.machines[id]
	return m != nil && m.changed
}

// HandleReply renews a worker's lease and executes the commands in the response to a report
// that was sent at the given time. It ignores a response to a report of an earlier epoch or
// one with a lower fencing token.
func (f *Fleet) HandleReply(now, sent time.Duration, id string, epoch uint64, batch protocol.CommandBatch) {
	m := f.machines[id]
	if m == nil || m.WorkerEpoch != epoch || batch.Token < m.Token || batch.Token == 0 {
		return
	}
	m.leaseRenewedAt = max(m.leaseRenewedAt, sent)
	f.executeCommands(now, m, batch)
}

// Execute executes the commands of a delivery and reports whether it accepted them. It
// rejects those for another epoch or with a lower fencing token.
func (f *Fleet) Execute(now time.Duration, id string, batch protocol.CommandBatch) (executed bool) {
	m := f.machines[id]
	if m == nil || !m.accepts(batch) {
		return false
	}
	f.executeCommands(now, m, batch)
	f.mayRepeat(now, id, batch)
	return true
}

// executeCommands executes commands whose epoch and token have been checked. Repeated commands have no
// effect, except that a repeated start of a forgotten attempt starts it again.
func (f *Fleet) executeCommands(now time.Duration, m *machine, batch protocol.CommandBatch) {
	if batch.Token > m.Token {
		m.Token, m.changed = batch.Token, true
	}
	for _, command := range batch.Commands {
		index := slices.IndexFunc(m.tasks, func(t *task) bool { return t.Task == command.Task && t.Attempt == command.Attempt })
		switch {
		case command.Op == protocol.OpStart && index < 0:
			f.startTask(now, m, command)
		case command.Op == protocol.OpStop && index >= 0:
			graceS := 0.0
			if command.GraceS != nil {
				graceS = *command.GraceS
			}
			f.stopTask(now, m, m.tasks[index], graceS)
		case command.Op == protocol.OpForget && index >= 0 && m.tasks[index].State == protocol.Exited:
			m.tasks = slices.Delete(m.tasks, index, index+1)
		}
	}
}

// startTask adds a task to a machine. A task that cannot start is added as exited, with the
// reason.
func (f *Fleet) startTask(now time.Duration, m *machine, command protocol.Command) {
	jobID, index, _ := strings.Cut(command.Task, "/")
	if f.jobs[jobID] == nil && f.lookUpJob != nil {
		f.AddJob(f.lookUpJob(jobID))
	}
	j := f.jobs[jobID]
	t := &task{TaskReport: protocol.TaskReport{Task: command.Task, Attempt: command.Attempt, State: statePulling}, job: j, stateSince: now}
	m.tasks = append(m.tasks, t)
	m.changed = true
	taskIndex, err := strconv.ParseInt(index, 10, 64)
	switch {
	case j == nil || err != nil || taskIndex >= *j.Tasks:
		f.exitTask(t, protocol.ExitUnknownTask)
	case slices.ContainsFunc(m.tasks, func(other *task) bool { return other != t && other.Task == t.Task && other.State != protocol.Exited }):
		f.exitTask(t, protocol.ExitBusy)
	case !m.fitsCapacity():
		f.exitTask(t, protocol.ExitNoCapacity)
	default:
		f.recordOverlap(m, t)
		if _, requested := m.imagesReadyAt[*j.Image]; !requested {
			m.imagesReadyAt[*j.Image] = now + f.cfg.scaled(*j.ImageGB/m.machineType.FetchGBPS)
		}
		t.stateEndsAt = max(1, now, m.imagesReadyAt[*j.Image]) // at least 1, because 0 means that the state does not end
	}
}

// fitsCapacity reports whether a machine has enough capacity for all its tasks.
func (m *machine) fitsCapacity() bool {
	cpus, gpus, memory := m.machineType.CPUs, m.machineType.GPUs, m.machineType.MemoryGB
	for _, t := range m.tasks {
		if t.State != protocol.Exited && t.job != nil {
			cpus, gpus, memory = cpus-*t.job.CPUs, gpus-*t.job.GPUs, memory-*t.job.MemoryGB
		}
	}
	const slack = 1e-6 // absorbs floating-point rounding
	return cpus >= -slack && gpus >= -slack && memory >= -slack
}

// exitTask moves a task to the exited state.
func (f *Fleet) exitTask(t *task, reason string) {
	t.kill()
	t.State, t.ExitReason, t.stateEndsAt = protocol.Exited, reason, 0
	if reason == protocol.ExitDone {
		f.doneTasks[t.Task] = true
	}
}

// stopTask stops a task. A running task saves its progress first if it supports checkpoints
// and the grace period is long enough.
func (f *Fleet) stopTask(now time.Duration, m *machine, t *task, graceS float64) {
	if t.State == protocol.Exited {
		return
	}
	m.changed = true
	canSave := *t.job.CheckpointS > 0 && graceS >= *t.job.SaveS
	switch {
	case t.State == stateSaving && graceS > 0:
	case t.State == protocol.Running && canSave:
		f.saveProgress(t, now)
		t.State, t.stateSince, t.peerLossNoticedAt, t.stateEndsAt = stateSaving, now, now, now+f.cfg.scaled(*t.job.SaveS)
	default:
		f.exitTask(t, protocol.ExitStopped)
	}
}

// saveProgress adds the progress of a running task's current attempt to its saved progress.
func (f *Fleet) saveProgress(t *task, now time.Duration) {
	f.progressS[t.Task] += (now - t.stateSince).Seconds() * f.cfg.Speed
}
