package core

import (
	"maps"
	"slices"
	"strings"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// checkStart counts the start of a task on a machine and checks the scheduling invariants.
func (cluster *simCluster) checkStart(f *fakeWorker, task string) {
	cluster.starts[task]++
	id, _, _ := job.ParseTaskID(task)
	for other, g := range cluster.workers {
		for _, t := range g.Tasks {
			if t.Task == task && t.State != protocol.Exited {
				cluster.t.Errorf("%v: %s started on %s while it was still on %s", cluster.now, task, f.Machine, other)
			}
		}
	}
	if s, ok := cluster.state(id); ok && !cluster.allowRacingStarts {
		cluster.t.Errorf("%v: %s started although its job is %s", cluster.now, task, s.State)
	}
	if dependency := cluster.unfinishedDependency(id); dependency != "" {
		cluster.t.Errorf("%v: %s started before its dependency %s was done", cluster.now, task, dependency)
	}
	if deadline, cancelled := cluster.cancelDeadlines[id]; cancelled && cluster.now > deadline {
		cluster.t.Errorf("%v: %s started on %s, but its job had to be gone by %v", cluster.now, task, f.Machine, deadline)
	}
	cluster.checkPlacement(f, id)
	for _, t := range cluster.cfg[cluster.names[0]].Params.Teams {
		if used := cluster.cpusInUse(t.Name); t.CPUsMax > 0 && used > t.CPUsMax+1e-6 {
			cluster.t.Errorf("%v: team %s uses %v CPUs, more than its limit", cluster.now, t.Name, used)
		}
	}
}

// unfinishedDependency returns the first dependency of a job that is not done, or "".
func (cluster *simCluster) unfinishedDependency(id string) string {
	if s := cluster.specs[id]; s != nil {
		for _, dependency := range s.Dependencies {
			if s, _ := cluster.state(dependency); s.State != protocol.Done {
				return dependency
			}
		}
	}
	return ""
}

// checkForget counts an attempt that a worker forgets, and checks that no copy of its start command has
// an effect on the worker any more.
func (cluster *simCluster) checkForget(f *fakeWorker, attempt taskAttempt) {
	cluster.forgotten++
	if token := f.startTokens[attempt]; token >= f.Token {
		cluster.t.Errorf("%v: %s forgets attempt %d of %s under the token of its start, %d", cluster.now, f.Machine, attempt.attempt, attempt.task, token)
	}
}

// confirmCancelled records that a user has been told that a job is cancelled.
func (cluster *simCluster) confirmCancelled(id string) {
	cluster.cancelConfirmedAt[id] = cluster.now
	cluster.cancelDeadlines[id] = cluster.now + seconds(cluster.cfg[cluster.names[0]].Params.Workers.CancelS)
}

// checkCancelDeadlines checks that no task of a job still runs cancel_s after the cancellation was
// confirmed to its user.
func (cluster *simCluster) checkCancelDeadlines() {
	for id, at := range cluster.cancelConfirmedAt {
		if cluster.now-at > seconds(cluster.cfg[cluster.names[0]].Params.Workers.CancelS) {
			if n := cluster.onMachines(id); n > 0 {
				cluster.t.Errorf("%v: %d tasks of %s still run, want 0: its cancellation was confirmed at %v", cluster.now, n, id, at)
			}
			delete(cluster.cancelConfirmedAt, id)
		}
	}
}

// checkPlacement checks that a job's constraints on machines and zones allow one more of its
// tasks on a machine.
func (cluster *simCluster) checkPlacement(f *fakeWorker, id string) {
	s := cluster.specs[id]
	if s == nil {
		return
	}
	if !s.Allows(f.Type, f.Zone, f.Spot) {
		cluster.t.Errorf("%v: a task of %s started on %s, but the job does not allow type %s, zone %s, spot %v", cluster.now, id, f.Machine, f.Type, f.Zone, f.Spot)
	}
	zones := cluster.tasksPerZone(id)
	if zones[f.Zone]++; s.OneZone && len(zones) > 1 {
		cluster.t.Errorf("%v: tasks of %s are in zones %v, want a single zone", cluster.now, id, zones)
	}
	if s.Spread && zones[f.Zone] > (s.Tasks+1)/2 {
		cluster.t.Errorf("%v: %d of the %d tasks of %s are in zone %s, want at most half, rounded up", cluster.now, zones[f.Zone], s.Tasks, id, f.Zone)
	}
}

// tasksPerZone counts, by zone, the tasks of a job that have not exited and are on machines that
// are not dead.
func (cluster *simCluster) tasksPerZone(id string) map[string]int {
	out := map[string]int{}
	for _, g := range cluster.workers {
		for _, t := range g.Tasks {
			if !g.dead && strings.HasPrefix(t.Task, id+"/") && t.State != protocol.Exited {
				out[g.Zone]++
			}
		}
	}
	return out
}

// cpusInUse returns the CPUs that a team's tasks use on all machines.
func (cluster *simCluster) cpusInUse(team string) float64 {
	sum := 0.0
	for _, f := range cluster.workers {
		sum += cluster.loadOf(f, team).CPUs
	}
	return sum
}

// loadOf returns the resources that tasks use on a machine: those of one team, or of all teams
// if team is empty.
func (cluster *simCluster) loadOf(f *fakeWorker, team string) (sum job.Resources) {
	for _, t := range f.Tasks {
		id, _, _ := job.ParseTaskID(t.Task)
		if s := cluster.specs[id]; s != nil && t.State != protocol.Exited && (team == "" || s.Team == team) {
			sum = sum.Plus(s.Need, 1)
		}
	}
	return sum
}

// hasCapacityFor reports whether the machines have free capacity for the tasks that a job needs to
// run simultaneously, and its team's limit allows them.
func (cluster *simCluster) hasCapacityFor(s *job.Spec) bool {
	needed, zones := s.MinConcurrency(), cluster.tasksPerZone(s.ID)
	for _, t := range cluster.cfg[cluster.names[0]].Params.Teams {
		if t.Name == s.Team && t.CPUsMax > 0 && cluster.cpusInUse(t.Name)+float64(needed)*s.Need.CPUs > t.CPUsMax {
			return false
		}
	}
	freeSlots := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(cluster.workers)) {
		f := cluster.workers[id]
		if f.dead || cluster.isHung(id) || !s.Allows(f.Type, f.Zone, f.Spot) || s.OneZone && len(zones) > 0 && zones[f.Zone] == 0 {
			continue
		}
		available := cluster.capacityOf(f.Type).Plus(cluster.loadOf(f, ""), -1)
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

// allDone returns a condition for run: all the given jobs are done.
func (cluster *simCluster) allDone(ids ...string) func() bool {
	return func() bool {
		for _, id := range ids {
			if s, _ := cluster.state(id); s.State != protocol.Done {
				return false
			}
		}
		return true
	}
}

// waitUntilStarted runs the simulation until at least n tasks of a job are on machines.
func (cluster *simCluster) waitUntilStarted(id string, n int) {
	cluster.t.Helper()
	if !cluster.run(time.Minute, func() bool { return cluster.onMachines(id) >= n }) {
		cluster.t.Fatalf("%s did not start", id)
	}
}

// checkStartedOnce checks that no task was started twice.
func (cluster *simCluster) checkStartedOnce() {
	cluster.t.Helper()
	for task, n := range cluster.starts {
		if n != 1 {
			cluster.t.Errorf("%s was started %d times, want 1", task, n)
		}
	}
}

// onMachines counts the tasks of a job that are on machines and have not exited.
func (cluster *simCluster) onMachines(id string) int {
	n := 0
	for _, f := range cluster.workers {
		for _, t := range f.Tasks {
			if strings.HasPrefix(t.Task, id+"/") && t.State != protocol.Exited {
				n++
			}
		}
	}
	return n
}

// leaderOf returns the leader of a team according to the replica of a controller that can reach the
// store, or "".
func (cluster *simCluster) leaderOf(team string) string {
	for _, n := range cluster.names {
		if c := cluster.cores[n]; c != nil && !cluster.withoutStore[n] && c.replica.loaded {
			return c.teamsByName[team].leader
		}
	}
	return ""
}
