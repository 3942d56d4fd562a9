package core

import (
	"maps"
	"slices"
	"strings"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// checkStart checks the scheduling invariants when a task starts on a machine.
func (w *world) checkStart(f *fakeWorker, task string) {
	w.starts[task]++
	id, _, _ := job.ParseTaskID(task)
	for other, g := range w.workers {
		for _, t := range g.Tasks {
			if t.Task == task && t.State != protocol.Exited {
				w.t.Errorf("%v: %s started on %s while it was still on %s", w.now, task, f.Machine, other)
			}
		}
	}
	if s, ok := w.state(id); ok && !w.allowRacingStarts {
		w.t.Errorf("%v: %s started although its job is %s", w.now, task, s.State)
	}
	if dependency := w.unfinishedDependency(id); dependency != "" {
		w.t.Errorf("%v: %s started before its dependency %s was done", w.now, task, dependency)
	}
	w.checkPlacement(f, id)
	for _, t := range w.cfg[w.names[0]].Params.Teams {
		if used := w.inUse(t.Name); t.CPUsMax > 0 && used > t.CPUsMax+1e-6 {
			w.t.Errorf("%v: team %s uses %v CPUs, more than its limit", w.now, t.Name, used)
		}
	}
}

// unfinishedDependency returns the first dependency of a job that is not done, or "".
func (w *world) unfinishedDependency(id string) string {
	if s := w.specs[id]; s != nil {
		for _, dependency := range s.Dependencies {
			if s, _ := w.state(dependency); s.State != protocol.Done {
				return dependency
			}
		}
	}
	return ""
}

// checkCancelDeadlines checks that no task of a job still runs cancel_s after its user was told
// that it is cancelled.
func (w *world) checkCancelDeadlines() {
	for id, at := range w.cancellationToldAt {
		if w.now-at > seconds(w.cfg[w.names[0]].Params.Workers.CancelS) {
			if n := w.onMachines(id); n > 0 {
				w.t.Errorf("%v: %d tasks of %s still run, want 0: its cancellation was confirmed at %v", w.now, n, id, at)
			}
			delete(w.cancellationToldAt, id)
		}
	}
}

// checkPlacement checks that a job's constraints on machines and zones allow one more of its
// tasks on a machine.
func (w *world) checkPlacement(f *fakeWorker, id string) {
	s := w.specs[id]
	if s == nil {
		return
	}
	if !s.Allows(f.Type, f.Zone, f.Spot) {
		w.t.Errorf("%v: a task of %s started on %s, but the job does not allow type %s, zone %s, spot %v", w.now, id, f.Machine, f.Type, f.Zone, f.Spot)
	}
	zones := w.zonesWith(id)
	if zones[f.Zone]++; s.OneZone && len(zones) > 1 {
		w.t.Errorf("%v: tasks of %s are in zones %v, want a single zone", w.now, id, zones)
	}
	if s.Spread && zones[f.Zone] > (s.Tasks+1)/2 {
		w.t.Errorf("%v: %d of the %d tasks of %s are in zone %s, want at most half, rounded up", w.now, zones[f.Zone], s.Tasks, id, f.Zone)
	}
}

// zonesWith counts a job's tasks on machines by zone.
func (w *world) zonesWith(id string) map[string]int {
	out := map[string]int{}
	for _, g := range w.workers {
		for _, t := range g.Tasks {
			if !g.dead && strings.HasPrefix(t.Task, id+"/") && t.State != protocol.Exited {
				out[g.Zone]++
			}
		}
	}
	return out
}

// inUse returns the CPUs that a team's tasks use on all machines.
func (w *world) inUse(team string) float64 {
	sum := 0.0
	for _, f := range w.workers {
		sum += w.loadOf(f, team).CPUs
	}
	return sum
}

// loadOf returns the resources that tasks use on a machine: those of one team, or of all teams
// if team is empty.
func (w *world) loadOf(f *fakeWorker, team string) (sum job.Resources) {
	for _, t := range f.Tasks {
		id, _, _ := job.ParseTaskID(t.Task)
		if s := w.specs[id]; s != nil && t.State != protocol.Exited && (team == "" || s.Team == team) {
			sum = sum.Plus(s.Need, 1)
		}
	}
	return sum
}

// hasCapacityFor reports whether the machines have free capacity for the tasks that a job needs
// to run at once, and its team's limit allows them.
func (w *world) hasCapacityFor(s *job.Spec) bool {
	needed, zones := s.MinConcurrency(), w.zonesWith(s.ID)
	for _, t := range w.cfg[w.names[0]].Params.Teams {
		if t.Name == s.Team && t.CPUsMax > 0 && w.inUse(t.Name)+float64(needed)*s.Need.CPUs > t.CPUsMax {
			return false
		}
	}
	freeSlots := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		f := w.workers[id]
		if f.dead || w.isHung(id) || !s.Allows(f.Type, f.Zone, f.Spot) || s.OneZone && len(zones) > 0 && zones[f.Zone] == 0 {
			continue
		}
		available := w.capacityOf(f.Type).Plus(w.loadOf(f, ""), -1)
		for s.Need.Fits(available) {
			available = available.Plus(s.Need, -1)
			freeSlots[f.Zone]++
		}
	}
	mostInZone, total := 0, 0
	for zone, slots := range freeSlots {
		if s.Spread {
			slots = min(slots, (s.Tasks+1)/2-zones[zone])
		}
		mostInZone, total = max(mostInZone, slots), total+slots
	}
	if s.OneZone {
		return mostInZone >= needed
	}
	return total >= needed
}

// finished returns a condition for run: all the given jobs are done.
func (w *world) finished(ids ...string) func() bool {
	return func() bool {
		for _, id := range ids {
			if s, _ := w.state(id); s.State != protocol.Done {
				return false
			}
		}
		return true
	}
}

// started runs the simulation until at least n tasks of a job are on machines.
func (w *world) started(id string, n int) {
	w.t.Helper()
	if !w.run(time.Minute, func() bool { return w.onMachines(id) >= n }) {
		w.t.Fatalf("%s did not start", id)
	}
}

// startedOnce checks that no task was started twice.
func (w *world) startedOnce() {
	w.t.Helper()
	for task, n := range w.starts {
		if n != 1 {
			w.t.Errorf("%s was started %d times, want 1", task, n)
		}
	}
}

// onMachines counts the tasks of a job that are on machines and have not exited.
func (w *world) onMachines(id string) int {
	n := 0
	for _, f := range w.workers {
		for _, t := range f.Tasks {
			if strings.HasPrefix(t.Task, id+"/") && t.State != protocol.Exited {
				n++
			}
		}
	}
	return n
}

// leaderOf returns the leader of a team according to the store, or "".
func (w *world) leaderOf(team string) string {
	for _, n := range w.names {
		if c := w.cores[n]; c != nil && !w.withoutStore[n] && c.replica.loaded {
			return c.teamBy[team].leader
		}
	}
	return ""
}
