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
		if now-max(m.sent, m.began) > lease {
			m.killAll()
			m.Session++
			m.began, m.changed = now, true
		}
		for _, t := range m.tasks {
			if t.ends > 0 && now >= t.ends {
				f.next(m, t)
			}
		}
	}
	f.gangs(now)
}

// next moves a task whose present state is over.
func (f *Fleet) next(m *machine, t *task) {
	m.changed = true
	at := t.ends
	switch t.State {
	case pulling:
		switch {
		case f.results[t.Task]:
			f.exit(t, protocol.WhyDone)
		case *t.job.Kind == protocol.KindGang:
			t.State, t.at, t.ends = waiting, at, at+seconds(f.cfg.Workers.GangWaitS)
		default:
			f.run(m, t, at)
		}
	case waiting:
		f.exit(t, alone)
	case protocol.Running:
		f.completed++
		f.exit(t, protocol.WhyDone)
	case saving:
		f.exit(t, protocol.WhyStopped)
		t.Saved = true
	}
}

// run lets a task run, for as long as its owner has guessed, or as a program.
func (f *Fleet) run(m *machine, t *task, at time.Duration) {
	t.State, t.at, t.ends = protocol.Running, at, 0
	if f.runner != nil && f.runner.Has(*t.job.Image) {
		t.stop = f.runner.Start(m.Machine, t.job, t.Task, t.Attempt, func(ok bool) { f.ended(m, t, ok) })
		return
	}
	if *t.job.Kind != protocol.KindService {
		t.ends = at + max(1, f.cfg.scaled(*t.job.EstimateS-f.progress(t)))
	}
}

// ended takes the end of a task's program.
func (f *Fleet) ended(m *machine, t *task, ok bool) {
	if t.State != protocol.Running {
		return
	}
	m.changed = true
	t.stop = nil
	if ok {
		f.completed++
		f.exit(t, protocol.WhyDone)
	} else {
		f.exit(t, protocol.WhyError)
	}
}

// progress is what a task need not do again: what it saved when it was stopped,
// and whole checkpoints.
func (f *Fleet) progress(t *task) float64 {
	p := f.saved[t.Task]
	if *t.job.CheckpointS <= 0 {
		return 0
	}
	return min(p, *t.job.EstimateS)
}

// gangs lets the gangs whose tasks are all there begin, and those that have lost
// one end.
func (f *Fleet) gangs(now time.Duration) {
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
				f.run(owner[t], t, now)
				owner[t].changed = true
			}
		case done:
			f.endAll(tasks, owner, protocol.WhyDone)
		case in(protocol.Running) > 0 && (!whole || in(protocol.Running)+in(saving) < len(tasks)):
			f.lost(now, tasks, owner)
		}
	}
}

// endAll ends the running tasks of a gang.
func (f *Fleet) endAll(tasks []*task, owner map[*task]*machine, why string) {
	for _, t := range tasks {
		if t.State == protocol.Running {
			owner[t].changed = true
			f.exit(t, why)
		}
	}
}

// lost ends what is left of a gang once its tasks have noticed. Its progress falls
// back to the last checkpoint.
func (f *Fleet) lost(now time.Duration, tasks []*task, owner map[*task]*machine) {
	first := time.Duration(math.MaxInt64)
	for _, t := range tasks {
		if t.State == protocol.Running {
			if t.told == 0 {
				t.told = now // it has noticed
			}
			first = min(first, t.told)
		}
	}
	if now-first < seconds(f.cfg.Workers.GangPeerS) {
		return
	}
	for _, t := range tasks {
		if every := *t.job.CheckpointS; every > 0 {
			f.saved[t.Task] = math.Floor(f.saved[t.Task]/every) * every
		}
	}
	f.endAll(tasks, owner, matesGo)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
