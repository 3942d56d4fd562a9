package emulator

import (
	"maps"
	"math"
	"slices"
	"time"

	"pepperlever/internal/protocol"
)

// Advance moves all machines and tasks to now. A worker whose lease has expired kills its tasks
// and begins a new epoch.
func (f *Fleet) Advance(now time.Duration) {
	f.executeRepeats(now)
	leaseTTL := seconds(f.cfg.Workers.LeaseS)
	for _, id := range slices.Sorted(maps.Keys(f.machines)) {
		m := f.machines[id]
		if now-max(m.leaseRenewedAt, m.epochStartedAt) > leaseTTL {
			m.killAll()
			m.WorkerEpoch++
			m.epochStartedAt, m.changed = now, true
		}
		for _, t := range m.tasks {
			if t.stateEndsAt > 0 && now >= t.stateEndsAt {
				f.advanceState(m, t)
			}
		}
	}
	f.advanceGangs(now)
}

// advanceState moves a task to its next state when the current one has ended.
func (f *Fleet) advanceState(m *machine, t *task) {
	m.changed = true
	endedAt := t.stateEndsAt
	switch t.State {
	case statePulling:
		switch {
		case f.doneTasks[t.Task]:
			f.exitTask(t, protocol.ExitDone)
		case *t.job.Kind == protocol.KindGang:
			t.State, t.stateSince, t.stateEndsAt = stateWaiting, endedAt, endedAt+seconds(f.cfg.Workers.GangWaitS)
		default:
			f.runTask(m, t, endedAt)
		}
	case stateWaiting:
		f.exitTask(t, whyGangIncomplete)
	case protocol.Running:
		f.completedRuns++
		f.exitTask(t, protocol.ExitDone)
	case stateSaving:
		f.exitTask(t, protocol.ExitStopped)
		t.Saved = true
	}
}

// runTask starts a task. If the image has a program, the task runs that program. Otherwise the
// run is simulated: it takes the estimated duration less the progress that can be resumed, or
// never ends for a service.
func (f *Fleet) runTask(m *machine, t *task, startedAt time.Duration) {
	t.State, t.stateSince, t.stateEndsAt = protocol.Running, startedAt, 0
	if f.runner != nil && f.runner.HasProgram(*t.job.Image) {
		t.stop = f.runner.Start(m.Machine, t.job, t.Task, t.Attempt, func(ok bool) { f.handleProgramExit(m, t, ok) })
		return
	}
	if *t.job.Kind != protocol.KindService {
		t.stateEndsAt = startedAt + max(1, f.cfg.scaled(*t.job.EstimateS-f.resumableProgress(t)))
	}
}

// handleProgramExit moves a running task to the exited state after its program has exited.
func (f *Fleet) handleProgramExit(m *machine, t *task, ok bool) {
	if t.State != protocol.Running {
		return
	}
	m.changed = true
	t.stop = nil
	if ok {
		f.completedRuns++
		f.exitTask(t, protocol.ExitDone)
	} else {
		f.exitTask(t, protocol.ExitError)
	}
}

// resumableProgress returns the seconds of progress that a task does not have to repeat: its
// saved progress, but no more than its estimated duration. A task without checkpoints starts
// over.
func (f *Fleet) resumableProgress(t *task) float64 {
	saved := f.progressS[t.Task]
	if *t.job.CheckpointS <= 0 {
		return 0
	}
	return min(saved, *t.job.EstimateS)
}

// advanceGangs starts the gangs whose tasks are all waiting. It makes the running tasks of a
// gang exit if another task of the gang is done or lost.
func (f *Fleet) advanceGangs(now time.Duration) {
	type gangAttempt struct {
		job     string
		attempt uint64
	}
	gangs := map[gangAttempt][]*task{}
	owner := map[*task]*machine{}
	for _, id := range slices.Sorted(maps.Keys(f.machines)) {
		for _, t := range f.machines[id].tasks {
			if t.job != nil && *t.job.Kind == protocol.KindGang {
				k := gangAttempt{*t.job.ID, t.Attempt}
				gangs[k] = append(gangs[k], t)
				owner[t] = f.machines[id]
			}
		}
	}
	for _, tasks := range gangs {
		allPresent := int64(len(tasks)) == *tasks[0].job.Tasks
		countInState := func(state string) int {
			return len(slices.DeleteFunc(slices.Clone(tasks), func(t *task) bool { return t.State != state }))
		}
		anyDone := slices.ContainsFunc(tasks, func(t *task) bool { return t.ExitReason == protocol.ExitDone })
		switch {
		case allPresent && countInState(stateWaiting) == len(tasks):
			for _, t := range tasks {
				f.runTask(owner[t], t, now)
				owner[t].changed = true
			}
		case anyDone:
			f.exitRunning(tasks, owner, protocol.ExitDone)
		case countInState(protocol.Running) > 0 && (!allPresent || countInState(protocol.Running)+countInState(stateSaving) < len(tasks)):
			f.exitBrokenGang(now, tasks, owner)
		}
	}
}

// exitRunning moves the running tasks of a gang to the exited state.
func (f *Fleet) exitRunning(tasks []*task, owner map[*task]*machine, reason string) {
	for _, t := range tasks {
		if t.State == protocol.Running {
			owner[t].changed = true
			f.exitTask(t, reason)
		}
	}
}

// exitBrokenGang handles a gang that has lost a task. The other tasks take the configured time
// to notice the loss. Then the running ones exit, and the saved progress of all falls back to the
// last checkpoint.
func (f *Fleet) exitBrokenGang(now time.Duration, tasks []*task, owner map[*task]*machine) {
	firstNoticedAt := time.Duration(math.MaxInt64)
	for _, t := range tasks {
		if t.State == protocol.Running {
			if t.peerLossNoticedAt == 0 {
				t.peerLossNoticedAt = now
			}
			firstNoticedAt = min(firstNoticedAt, t.peerLossNoticedAt)
		}
	}
	if now-firstNoticedAt < seconds(f.cfg.Workers.GangPeerS) {
		return
	}
	for _, t := range tasks {
		if checkpointS := *t.job.CheckpointS; checkpointS > 0 {
			f.progressS[t.Task] = math.Floor(f.progressS[t.Task]/checkpointS) * checkpointS
		}
	}
	f.exitRunning(tasks, owner, whyGangPeerLost)
}

// seconds converts a number of seconds to a duration.
func seconds(secs float64) time.Duration { return time.Duration(secs * float64(time.Second)) }
