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

// faults are what may happen on a day; each is a meeting with all others.
var faults = map[string]func(w *randomDay, node, other string){
	"all links refused": func(w *randomDay, _, _ string) { w.refuse(everyLink) },
	"one link refused": func(w *randomDay, node, other string) {
		w.refuse(func(f, t string) bool { return f == node && t == other })
	},
	"all of one refused": func(w *randomDay, node, _ string) { w.refuse(func(f, t string) bool { return f == node || t == node }) },
	"all links slow":     func(w *randomDay, _, _ string) { w.hold(everyLink) },
	"one link slow": func(w *randomDay, node, other string) {
		w.hold(func(f, t string) bool { return f == node && t == other })
	},
	"no store for one": func(w *randomDay, node, _ string) {
		if w.isHealthy(node) {
			w.cutStore(node)
		}
	},
	"one freezes": func(w *randomDay, node, _ string) {
		if w.isHealthy(node) {
			w.freeze(node)
		}
	},
	"one ends": func(w *randomDay, node, _ string) {
		if w.isHealthy(node) {
			w.crash(node)
			w.expire(node)
		}
	},
	"one is back at once": func(w *randomDay, node, _ string) {
		if w.isHealthy(node) {
			w.restartAtOnce(node)
			w.after(300*time.Millisecond, func() { w.restartAtOnce(node) })
		}
	},
	"all end and one is back": func(w *randomDay, node, _ string) {
		w.stopAllFor(8 * time.Second)
		w.boot(node)
	},
	"handed over and back": func(w *randomDay, node, _ string) {
		if w.isHealthy(node) {
			w.cutStore(node)
			w.after(700*time.Millisecond, func() {
				if w.withoutStore[node] && w.cores[node] != nil {
					w.restoreStore(node)
				}
			})
		}
	},
	"workers only": func(w *randomDay, node, _ string) {
		if w.isHealthy(node) {
			w.isolate(node)
		}
	},
	"refused, then an outage": func(w *randomDay, node, _ string) {
		if w.isHealthy(node) {
			w.refuseStoreTo(node)
			w.after(time.Duration(w.rng.IntN(6))*time.Second, func() { w.outage = true })
			w.after(time.Duration(10+w.rng.IntN(40))*time.Second, w.endOutage)
		}
	},
	"an outage": func(w *randomDay, _, _ string) {
		w.outage = true
		w.after(time.Duration(3+w.rng.IntN(40))*time.Second, w.endOutage)
	},
	"slow watches": func(w *randomDay, _, _ string) { w.watchLag = time.Duration(1+w.rng.IntN(3)) * time.Second },
	"late writes": func(w *randomDay, _, _ string) {
		w.lateWrite = func(string, StoreTxn) time.Duration {
			if w.rng.IntN(4) > 0 {
				return 0
			}
			return time.Duration(2+w.rng.IntN(11)) * time.Second
		}
	},
	"held commands":    func(w *randomDay, _, _ string) { w.delayDeliveries = true },
	"late reports":     func(w *randomDay, _, _ string) { w.replayReports = true },
	"a machine is cut": func(w *randomDay, _, _ string) { w.eachOfSome(20, func(id string) { w.cutWorkers[id] = true }) },
	"deaf machines":    func(w *randomDay, _, _ string) { w.eachOfSome(5, func(id string) { w.unreachableWorkers[id] = true }) },
	"deaf to one": func(w *randomDay, node, _ string) {
		w.eachOfSome(2, func(id string) { w.workerCannotReach[link{node, id}] = true })
	},
	"machines taken": func(w *randomDay, _, _ string) { w.eachOfSome(10, func(id string) { delete(w.workers, id) }) },
	"the cloud refuses": func(w *randomDay, _, _ string) {
		w.noCloud = true
		w.after(30*time.Second, func() { w.noCloud = false })
	},
	"mute machines": func(w *randomDay, _, _ string) {
		w.eachOfSome(5, func(id string) { w.silentWorkers[id] = true })
		w.after(time.Duration(4+w.rng.IntN(40))*time.Second, func() { clear(w.silentWorkers) })
	},
	"a mute zone": func(w *randomDay, _, _ string) {
		for id, f := range w.workers {
			if f.Zone == "z2" {
				w.silentWorkers[id] = true
			}
		}
		w.after(time.Duration(4+w.rng.IntN(30))*time.Second, func() { clear(w.silentWorkers) })
	},
	"machines hang": func(w *randomDay, _, _ string) {
		w.eachOfSome(10, func(id string) { w.hang(id, time.Duration(2+w.rng.IntN(30))*time.Second) })
	},
	"cancelled now":        func(w *randomDay, node, _ string) { w.cancelRunningJobs(node) },
	"cancelled at the end": func(w *randomDay, _, _ string) { w.cancelAtEndUntil = w.now + 30*time.Second },
	"odd requests":         func(w *randomDay, _, _ string) { w.sendInvalidRequests() },
	"held reports":         func(w *randomDay, _, _ string) { w.holdReports = true },
	"leaders change": func(w *randomDay, _, _ string) {
		w.changeLeaders([]string{"red", "blue", "free"}[w.rng.IntN(3)], 10, time.Duration(3+w.rng.IntN(10))*time.Second)
	},
	"all away":      func(w *randomDay, _, _ string) { w.stopAllFor(w.lease() + time.Duration(w.rng.IntN(12))*time.Second) },
	"a zone is cut": func(w *randomDay, _, _ string) { w.cutSecondZoneFor(time.Duration(5+w.rng.IntN(40)) * time.Second) },
	"a zone is full": func(w *randomDay, _, _ string) {
		w.fullZone = []string{"z1", "z2"}[w.rng.IntN(2)]
		w.after(30*time.Second, func() { w.fullZone = "" })
	},
	"limits become lower":  func(w *randomDay, _, _ string) { w.lowLimits = len(w.notUpgraded) == 0 },
	"the last is upgraded": func(w *randomDay, _, _ string) { clear(w.notUpgraded) },
	"all is well":          func(w *randomDay, _, _ string) { w.recover() },
}

// cancelRunningJobs has jobs called off that run, some of whose machines hang, while the state
// service refuses one controller; then it is out for all, for longer than a cancellation
// may take.
func (d *randomDay) cancelRunningJobs(node string) {
	hung := 0
	for range 4 {
		if len(d.open) == 0 {
			break
		}
		id := d.open[d.rng.IntN(len(d.open))]
		if d.onMachines(id) == 0 {
			continue
		}
		for _, m := range slices.Sorted(maps.Keys(d.workers)) {
			if hung < 8 && slices.ContainsFunc(d.workers[m].Tasks, func(t protocol.TaskReport) bool { return strings.HasPrefix(t.Task, id+"/") }) && d.rng.IntN(3) == 0 {
				hung++
				d.hang(m, time.Duration(2+d.rng.IntN(34))*time.Second)
			}
		}
		d.cancelAndPoll(id)
	}
	if d.isHealthy(node) {
		d.refuseStoreTo(node)
	}
	d.after(time.Second, func() { d.outage = true })
	d.after(time.Second+d.cancelDeadline()*6/5, d.endOutage)
}

// cancelEndingJobs calls jobs off at the moment at which their last task ends, for a while.
func (d *randomDay) cancelEndingJobs() {
	if d.now >= d.cancelAtEndUntil {
		return
	}
	for _, id := range slices.Clone(d.open) {
		n := 0
		for d.completed[fmt.Sprintf("%s/%d", id, n)] {
			n++
		}
		if s, _ := d.state(id); n == d.specs[id].Tasks && s.State == "" {
			d.cancelAndPoll(id)
		}
	}
}

// sendInvalidRequests repeats submissions, also in other words, calls off what has ended, and hands
// in what is malformed or can never run.
func (d *randomDay) sendInvalidRequests() {
	for range min(3, len(d.all)) {
		id := d.all[d.rng.IntN(len(d.all))]
		body := submission(id, d.specs[id].Team, d.specs[id].Tasks, []string{"", `,"vcpus":900.0`, `,"guessS":null`}[d.rng.IntN(3)])
		learn := d.answerChecker(id)
		d.sendRequest(func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} }, func(a Answer) {
			if learn(a); a.Status == http.StatusBadRequest || a.Status == http.StatusUnprocessableEntity {
				d.t.Errorf("%v: a repeated submission of %s got %d", d.now, id, a.Status)
			}
		})
		if d.final[id] == protocol.Done {
			d.sendRequest(func(req uint64) Command { return Cancel{Req: req, ID: id} }, d.answerChecker(id))
		}
	}
	for more, want := range ordered(map[string]int{
		`,"bundle":null`: http.StatusBadRequest,
		`,"vcpus":64.0`:  http.StatusUnprocessableEntity,
		`,"shape":"group","yard":"z1","spread":true`: http.StatusUnprocessableEntity,
	}) {
		body := submission(fmt.Sprintf("req-free-odd-%d", d.rng.Uint64()), "free", 4, more)
		d.sendRequest(func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} }, func(a Answer) {
			if a.Status != want && a.Status != http.StatusServiceUnavailable {
				d.t.Errorf("%v: what has %s got %d", d.now, more, a.Status)
			}
		})
	}
}

// cutSecondZoneFor cuts the second zone off for a while.
func (d *randomDay) cutSecondZoneFor(t time.Duration) {
	if d.zoneCut != "" {
		return
	}
	d.cutZone("z2")
	d.after(t, d.reconnectZone)
}
