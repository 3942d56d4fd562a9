package core

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"pepperlever/internal/protocol"
)

// faults holds the faults that a random scenario injects, by name. Any of them may overlap. A
// deaf machine receives nothing, a mute one sends no reports. The sorted names determine which fault
// a seed draws.
var faults = map[string]func(r *randomScenario, node, other string){
	"all links refused": func(r *randomScenario, _, _ string) { r.disconnectLinks(everyLink) },
	"one link refused": func(r *randomScenario, node, other string) {
		r.disconnectLinks(func(f, t string) bool { return f == node && t == other })
	},
	"all of one refused": func(r *randomScenario, node, _ string) {
		r.disconnectLinks(func(f, t string) bool { return f == node || t == node })
	},
	"all links slow": func(r *randomScenario, _, _ string) { r.delayLinks(everyLink) },
	"one link slow": func(r *randomScenario, node, other string) {
		r.delayLinks(func(f, t string) bool { return f == node && t == other })
	},
	"no store for one": func(r *randomScenario, node, _ string) {
		if r.canFail(node) {
			r.cutStore(node)
		}
	},
	"one freezes": func(r *randomScenario, node, _ string) {
		if r.canFail(node) {
			r.freeze(node)
		}
	},
	"one ends": func(r *randomScenario, node, _ string) {
		if r.canFail(node) {
			r.crash(node)
			r.expire(node)
		}
	},
	"one is back at once": func(r *randomScenario, node, _ string) {
		if r.canFail(node) {
			r.restartImmediately(node)
			r.after(300*time.Millisecond, func() { r.restartImmediately(node) })
		}
	},
	"all end and one is back": func(r *randomScenario, node, _ string) {
		r.stopAllFor(8 * time.Second)
		r.boot(node)
	},
	"handed over and back": func(r *randomScenario, node, _ string) {
		if r.canFail(node) {
			r.cutStore(node)
			r.after(700*time.Millisecond, func() {
				if r.withoutStore[node] && r.cores[node] != nil {
					r.restoreStore(node)
				}
			})
		}
	},
	"workers only": func(r *randomScenario, node, _ string) {
		if r.canFail(node) {
			r.isolate(node)
		}
	},
	"refused, then an outage": func(r *randomScenario, node, _ string) {
		if r.canFail(node) {
			r.refuseStoreTo(node)
			r.after(time.Duration(r.rng.IntN(6))*time.Second, func() { r.outage = true })
			r.after(time.Duration(10+r.rng.IntN(40))*time.Second, r.endOutage)
		}
	},
	"an outage": func(r *randomScenario, _, _ string) {
		r.outage = true
		r.after(time.Duration(3+r.rng.IntN(40))*time.Second, r.endOutage)
	},
	"slow watches": func(r *randomScenario, _, _ string) { r.watchLag = time.Duration(1+r.rng.IntN(3)) * time.Second },
	"late writes": func(r *randomScenario, _, _ string) {
		r.lateWrite = func(string, StoreTxn) time.Duration {
			if r.rng.IntN(4) > 0 {
				return 0
			}
			return time.Duration(2+r.rng.IntN(11)) * time.Second
		}
	},
	"held commands": func(r *randomScenario, _, _ string) { r.delayDeliveries = true },
	"late reports":  func(r *randomScenario, _, _ string) { r.replayReports = true },
	"a machine is cut": func(r *randomScenario, _, _ string) {
		r.forRandomMachines(20, func(id string) { r.cutWorkers[id] = true })
	},
	"deaf machines": func(r *randomScenario, _, _ string) {
		r.forRandomMachines(5, func(id string) { r.workersReceivingNothing[id] = true })
	},
	"deaf to one": func(r *randomScenario, node, _ string) {
		r.forRandomMachines(2, func(id string) { r.brokenWorkerLinks[link{node, id}] = true })
	},
	"machines taken": func(r *randomScenario, _, _ string) {
		r.forRandomMachines(10, func(id string) { delete(r.workers, id) })
	},
	"the cloud refuses": func(r *randomScenario, _, _ string) {
		r.cloudDegraded = true
		r.after(30*time.Second, func() { r.cloudDegraded = false })
	},
	"mute machines": func(r *randomScenario, _, _ string) {
		r.forRandomMachines(5, func(id string) { r.nonReportingWorkers[id] = true })
		r.after(time.Duration(4+r.rng.IntN(40))*time.Second, func() { clear(r.nonReportingWorkers) })
	},
	"a mute zone": func(r *randomScenario, _, _ string) {
		for id, f := range r.workers {
			if f.Zone == "z2" {
				r.nonReportingWorkers[id] = true
			}
		}
		r.after(time.Duration(4+r.rng.IntN(30))*time.Second, func() { clear(r.nonReportingWorkers) })
	},
	"machines hang": func(r *randomScenario, _, _ string) {
		r.forRandomMachines(10, func(id string) { r.hang(id, time.Duration(2+r.rng.IntN(30))*time.Second) })
	},
	"cancelled now":        func(r *randomScenario, node, _ string) { r.cancelRunningJobs(node) },
	"cancelled at the end": func(r *randomScenario, _, _ string) { r.cancelAtEndUntil = r.now + 30*time.Second },
	"odd requests":         func(r *randomScenario, _, _ string) { r.sendInvalidRequests() },
	"held reports":         func(r *randomScenario, _, _ string) { r.delayReports = true },
	"leaders change": func(r *randomScenario, _, _ string) {
		r.changeLeaders([]string{"red", "blue", "free"}[r.rng.IntN(3)], 10, time.Duration(3+r.rng.IntN(10))*time.Second)
	},
	"all away": func(r *randomScenario, _, _ string) {
		r.stopAllFor(r.workerLease() + time.Duration(r.rng.IntN(12))*time.Second)
	},
	"a zone is cut": func(r *randomScenario, _, _ string) {
		r.cutSecondZoneFor(time.Duration(5+r.rng.IntN(40)) * time.Second)
	},
	"a zone is full": func(r *randomScenario, _, _ string) {
		r.fullZone = []string{"z1", "z2"}[r.rng.IntN(2)]
		r.after(30*time.Second, func() { r.fullZone = "" })
	},
	"limits become lower":  func(r *randomScenario, _, _ string) { r.limitsLowered = len(r.notUpgraded) == 0 },
	"the last is upgraded": func(r *randomScenario, _, _ string) { clear(r.notUpgraded) },
	"all is well":          func(r *randomScenario, _, _ string) { r.recover() },
}

// cancelRunningJobs makes some machines of running jobs hang, cancels these jobs and makes the
// store refuse one controller. A second later the store becomes unavailable to all controllers, for
// longer than a cancellation may take.
func (r *randomScenario) cancelRunningJobs(node string) {
	hung := 0
	for range 4 {
		if len(r.openJobs) == 0 {
			break
		}
		id := r.openJobs[r.rng.IntN(len(r.openJobs))]
		if r.onMachines(id) == 0 {
			continue
		}
		for _, m := range slices.Sorted(maps.Keys(r.workers)) {
			if hung < 8 && slices.ContainsFunc(r.workers[m].Tasks, func(t protocol.TaskReport) bool { return strings.HasPrefix(t.Task, id+"/") }) && r.rng.IntN(3) == 0 {
				hung++
				r.hang(m, time.Duration(2+r.rng.IntN(34))*time.Second)
			}
		}
		r.cancelAndPoll(id)
	}
	if r.canFail(node) {
		r.refuseStoreTo(node)
	}
	r.after(time.Second, func() { r.outage = true })
	r.after(time.Second+r.cancelDeadline()*6/5, r.endOutage)
}

// cancelEndingJobs cancels jobs at the moment when their last task completes, until
// cancelAtEndUntil.
func (r *randomScenario) cancelEndingJobs() {
	if r.now >= r.cancelAtEndUntil {
		return
	}
	for _, id := range slices.Clone(r.openJobs) {
		n := 0
		for r.completed[fmt.Sprintf("%s/%d", id, n)] {
			n++
		}
		if s, _ := r.state(id); n == r.specs[id].Tasks && s.State == "" {
			r.cancelAndPoll(id)
		}
	}
}

// sendInvalidRequests repeats submissions, some of them with changed fields, cancels jobs that are
// done, and submits jobs that are malformed or can never run.
func (r *randomScenario) sendInvalidRequests() {
	for range min(3, len(r.acceptedJobs)) {
		id := r.acceptedJobs[r.rng.IntN(len(r.acceptedJobs))]
		body := submission(id, r.specs[id].Team, r.specs[id].Tasks, []string{"", `,"vcpus":900.0`, `,"guessS":null`}[r.rng.IntN(3)])
		checkAnswer := r.answerChecker(id)
		r.sendRequest(func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} }, func(a Answer) {
			if checkAnswer(a); a.Status == http.StatusBadRequest || a.Status == http.StatusUnprocessableEntity {
				r.t.Errorf("%v: repeated submission of %s got status %d, want neither 400 nor 422", r.now, id, a.Status)
			}
		})
		if r.reportedFinalStates[id] == protocol.Done {
			r.sendRequest(func(req uint64) Command { return Cancel{Req: req, ID: id} }, r.answerChecker(id))
		}
	}
	for extraFields, want := range ordered(map[string]int{
		`,"bundle":null`: http.StatusBadRequest,
		`,"vcpus":64.0`:  http.StatusUnprocessableEntity,
		`,"shape":"group","yard":"z1","spread":true`: http.StatusUnprocessableEntity,
	}) {
		body := submission(fmt.Sprintf("req-free-odd-%d", r.rng.Uint64()), "free", 4, extraFields)
		r.sendRequest(func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} }, func(a Answer) {
			if a.Status != want && a.Status != http.StatusServiceUnavailable {
				r.t.Errorf("%v: invalid submission with %s got status %d, want its rejection or 503", r.now, extraFields, a.Status)
			}
		})
	}
}

// cutSecondZoneFor partitions zone z2 from the rest for a while.
func (r *randomScenario) cutSecondZoneFor(duration time.Duration) {
	if r.isolatedZone != "" {
		return
	}
	r.cutZone("z2")
	r.after(duration, r.reconnectZone)
}
