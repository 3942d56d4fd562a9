package emulator

import (
	"maps"
	"math"
	"slices"
	"time"

	"pepperlever/internal/protocol"
)

// Advance lets the time pass on all machines.
func (f *Fleet) Advance(now time.Duration) {
	lease := seconds(f.cfg.Workers.LeaseS)
	for _, id := range slices.Sorted(maps.Keys(f.machines)) {
		m := f.machines[id]
		if now-max(m.leaseRenewedAt, m.epochStartedAt) > lease {
			m.killAll()
			m.Session++
			m.epochStartedAt, m.changed = now, true
		}
		for _, t := range m.tasks {
			if t.stateEndsAt > 0 && now >= t.stateEndsAt {
				f.nextState(m, t)
			}
		}
	}
	f.advanceGangs(now)
}

// nextState moves a task whose present state is over.
func (f *Fleet) nextState(m *machine, t *task) {
	m.changed = true
	at := t.stateEndsAt
	switch t.State {
	case pulling:
		switch {
		case f.results[t.Task]:
			f.exitTask(t, protocol.WhyDone)
		case *t.job.Kind == protocol.KindGang:
			t.State, t.stateSince, t.stateEndsAt = waiting, at, at+seconds(f.cfg.Workers.GangWaitS)
		default:
			f.runTask(m, t, at)
		}
	case waiting:
		f.exitTask(t, whyGangIncomplete)
	case protocol.Running:
		f.completed++
		f.exitTask(t, protocol.WhyDone)
	case saving:
		f.exitTask(t, protocol.WhyStopped)
		t.Saved = true
	}
}

// runTask lets a task run, for as long as its owner has guessed, or as a program.
func (f *Fleet) runTask(m *machine, t *task, at time.Duration) {
	t.State, t.stateSince, t.stateEndsAt = protocol.Running, at, 0
	if f.runner != nil && f.runner.Has(*t.job.Image) {
		t.stop = f.runner.Start(m.Machine, t.job, t.Task, t.Attempt, func(ok bool) { f.programEnded(m, t, ok) })
		return
	}
	if *t.job.Kind != protocol.KindService {
		t.stateEndsAt = at + max(1, f.cfg.scaled(*t.job.EstimateS-f.resumableProgress(t)))
	}
}

// programEnded takes the end of a task's program.
func (f *Fleet) programEnded(m *machine, t *task, ok bool) {
	if t.State != protocol.Running {
		return
	}
	m.changed = true
	t.stop = nil
	if ok {
		f.completed++
		f.exitTask(t, protocol.WhyDone)
	} else {
		f.exitTask(t, protocol.WhyError)
	}
}

// resumableProgress is what a task need not do again: what it saved when it was stopped,
// and whole checkpoints.
func (f *Fleet) resumableProgress(t *task) float64 {
	p := f.progressS[t.Task]
	if *t.job.CheckpointS <= 0 {
		return 0
	}
	return min(p, *t.job.EstimateS)
}

// advanceGangs lets the gangs whose tasks are all there begin, and those that have lost
// one end.
func (f *Fleet) advanceGangs(now time.Duration) {
	type key struct {
		job     string
		attempt uint64
	}
	found := map[key][]*task{}
	owner := map[*task]*machine{}
	for _, id := range slices.Sorted(maps.Keys(f.machines)) {
		for _, t := range f.machines[id].tasks {
			if t.job != nil && *t.job.Kind == protocol.KindGang {
				k := key{*t.job.ID, t.Attempt}
				found[k] = append(found[k], t)
				owner[t] = f.machines[id]
			}
		}
	}
	for _, tasks := range found {
		whole := int64(len(tasks)) == *tasks[0].job.Tasks
		in := func(state string) int {
			return len(slices.DeleteFunc(slices.Clone(tasks), func(t *task) bool { return t.State != state }))
		}
		done := slices.ContainsFunc(tasks, func(t *task) bool { return t.Why == protocol.WhyDone })
		switch {
		case whole && in(waiting) == len(tasks):
			for _, t := range tasks {
				f.runTask(owner[t], t, now)
				owner[t].changed = true
			}
		case done:
			f.endRunning(tasks, owner, protocol.WhyDone)
		case in(protocol.Running) > 0 && (!whole || in(protocol.Running)+in(saving) < len(tasks)):
			f.endBrokenGang(now, tasks, owner)
		}
	}
}

// endRunning ends the running tasks of a gang.
func (f *Fleet) endRunning(tasks []*task, owner map[*task]*machine, why string) {
	for _, t := range tasks {
		if t.State == protocol.Running {
			owner[t].changed = true
			f.exitTask(t, why)
		}
	}
}

// endBrokenGang ends what is left of a gang once its tasks have noticed. Its progress falls
// back to the last checkpoint.
func (f *Fleet) endBrokenGang(now time.Duration, tasks []*task, owner map[*task]*machine) {
	first := time.Duration(math.MaxInt64)
	for _, t := range tasks {
		if t.State == protocol.Running {
			if t.peerLossNoticedAt == 0 {
				t.peerLossNoticedAt = now // it has noticed
			}
			first = min(first, t.peerLossNoticedAt)
		}
	}
	if now-first < seconds(f.cfg.Workers.GangPeerS) {
		return
	}
	for _, t := range tasks {
		if every := *t.job.CheckpointS; every > 0 {
			f.progressS[t.Task] = math.Floor(f.progressS[t.Task]/every) * every
		}
	}
	f.endRunning(tasks, owner, whyGangPeerLost)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
