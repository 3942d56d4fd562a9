package core

import (
	"maps"
	"slices"
	"strings"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// checkStart checks the rules at the moment of a start.
func (w *world) checkStart(f *fakeWorker, task string) {
	w.starts[task]++
	id, _, _ := job.ParseTaskID(task)
	for other, g := range w.workers {
		for _, t := range g.Tasks {
			if t.Task == task && t.State != protocol.Exited {
				w.t.Errorf("%v: %s starts on %s while it is on %s", w.now, task, f.Machine, other)
			}
		}
	}
	if s, ok := w.state(id); ok && !w.allowRacingStarts {
		w.t.Errorf("%v: %s starts although its job is %s", w.now, task, s.State)
	}
	if awaited := w.unfinished(id); awaited != "" {
		w.t.Errorf("%v: %s starts before %s is done", w.now, task, awaited)
	}
	w.checkPlace(f, id)
	for _, t := range w.cfg[w.names[0]].Params.Teams {
		if used := w.inUse(t.Name); t.CPUsMax > 0 && used > t.CPUsMax+1e-6 {
			w.t.Errorf("%v: team %s uses %v CPUs", w.now, t.Name, used)
		}
	}
}

// unfinished names a job that a job awaits and that is not done, or nothing.
func (w *world) unfinished(id string) string {
	if s := w.specs[id]; s != nil {
		for _, awaited := range s.Dependencies {
			if s, _ := w.state(awaited); s.State != protocol.Done {
				return awaited
			}
		}
	}
	return ""
}

// checkCancelled checks that what a user was told is cancelled has gone in time.
func (w *world) checkCancelled() {
	for id, at := range w.cancellationToldAt {
		if w.now-at > seconds(w.cfg[w.names[0]].Params.Workers.CancelS) {
			if n := w.onMachines(id); n > 0 {
				w.t.Errorf("%v: %d tasks of %s still run, cancelled at %v", w.now, n, id, at)
			}
			delete(w.cancellationToldAt, id)
		}
	}
}

// checkPlace checks that a job's task may start on a machine, given where its other tasks
// are.
func (w *world) checkPlace(f *fakeWorker, id string) {
	s := w.specs[id]
	if s == nil {
		return
	}
	if !s.Allows(f.Type, f.Zone, f.Spot) {
		w.t.Errorf("%v: a task of %s starts on %s, a %s in %s (spot %v)", w.now, id, f.Machine, f.Type, f.Zone, f.Spot)
	}
	zones := w.zonesWith(id)
	if zones[f.Zone]++; s.OneZone && len(zones) > 1 {
		w.t.Errorf("%v: tasks of %s are in zones %v", w.now, id, zones)
	}
	if s.Spread && zones[f.Zone] > (s.Tasks+1)/2 {
		w.t.Errorf("%v: %d of %d tasks of %s are in zone %s", w.now, zones[f.Zone], s.Tasks, id, f.Zone)
	}
}

// zonesWith counts the tasks of a job that are on machines, by zone.
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

// inUse sums the CPUs of a team's tasks that are on machines.
func (w *world) inUse(team string) float64 {
	sum := 0.0
	for _, f := range w.workers {
		sum += w.loadOf(f, team).CPUs
	}
	return sum
}

// loadOf is what tasks take of a machine, those of one team or of all.
func (w *world) loadOf(f *fakeWorker, team string) (sum job.Resources) {
	for _, t := range f.Tasks {
		id, _, _ := job.ParseTaskID(t.Task)
		if s := w.specs[id]; s != nil && t.State != protocol.Exited && (team == "" || s.Team == team) {
			sum = sum.Plus(s.Need, 1)
		}
	}
	return sum
}

// hasRoom tells whether machines have room for what a job needs at once, and its team is
// under its limit.
func (w *world) hasRoom(s *job.Spec) bool {
	n, zones := s.MinConcurrency(), w.zonesWith(s.ID)
	for _, t := range w.cfg[w.names[0]].Params.Teams {
		if t.Name == s.Team && t.CPUsMax > 0 && w.inUse(t.Name)+float64(n)*s.Need.CPUs > t.CPUsMax {
			return false
		}
	}
	free := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		f := w.workers[id]
		if f.dead || w.hangs(id) || !s.Allows(f.Type, f.Zone, f.Spot) || s.OneZone && len(zones) > 0 && zones[f.Zone] == 0 {
			continue
		}
		room := w.sizeOf(f.Type).Plus(w.loadOf(f, ""), -1)
		for s.Need.Fits(room) {
			room = room.Plus(s.Need, -1)
			free[f.Zone]++
		}
	}
	most, sum := 0, 0
	for zone, k := range free {
		if s.Spread {
			k = min(k, (s.Tasks+1)/2-zones[zone])
		}
		most, sum = max(most, k), sum+k
	}
	if s.OneZone {
		return most >= n
	}
	return sum >= n
}

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

// started plays until at least n tasks of a job are on machines.
func (w *world) started(id string, n int) {
	w.t.Helper()
	if !w.run(time.Minute, func() bool { return w.onMachines(id) >= n }) {
		w.t.Fatalf("%s does not start", id)
	}
}

// startedOnce checks that no task was started twice.
func (w *world) startedOnce() {
	w.t.Helper()
	for task, n := range w.starts {
		if n != 1 {
			w.t.Errorf("%s was started %d times", task, n)
		}
	}
}

// onMachines counts tasks of a job that are on machines.
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

// leaderOf is the leader of a team by the store, or empty.
func (w *world) leaderOf(team string) string {
	for _, n := range w.names {
		if c := w.cores[n]; c != nil && !w.withoutStore[n] && c.replica.loaded {
			return c.teamBy[team].leader
		}
	}
	return ""
}
