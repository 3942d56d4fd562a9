package federation

import (
	"fmt"
	"testing"
	"time"
)

// faults maps a description to a function that injects a fault at the i-th message in flight.
var faults = map[string]func(sim *simulation, i int){
	"message lost":       func(sim *simulation, i int) { sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...) },
	"message duplicated": func(sim *simulation, i int) { sim.deliver(i, true, noFault); sim.deliver(i, false, noFault) },
	"message delayed past the end of the hand-off": func(sim *simulation, i int) {
		sim.heldBack = append(sim.heldBack, sim.inFlight[i])
		sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
	},
	"write applied, outcome unknown":       func(sim *simulation, i int) { sim.deliver(i, false, appliedUnanswered) },
	"write not applied, outcome unknown":   func(sim *simulation, i int) { sim.deliver(i, false, notApplied) },
	"write applied later, outcome unknown": func(sim *simulation, i int) { sim.deliver(i, false, delayed) },
	"receiver restarted before delivery":   func(sim *simulation, i int) { sim.startCoordinator(sim.inFlight[i].To) },
	"receiver restarted after delivery": func(sim *simulation, i int) {
		to := sim.inFlight[i].To
		sim.deliver(i, false, noFault)
		sim.startCoordinator(to)
	},
	"sender restarted": func(sim *simulation, i int) { sim.startCoordinator(sim.inFlight[i].From) },
	"both sites restarted": func(sim *simulation, i int) {
		msg := sim.inFlight[i]
		sim.startCoordinator(msg.From)
		sim.startCoordinator(msg.To)
	},
	"link to receiver cut":                             func(sim *simulation, i int) { msg := sim.inFlight[i]; sim.cutLinkFor(msg.From, msg.To, 30*time.Second) },
	"link to sender cut":                               func(sim *simulation, i int) { msg := sim.inFlight[i]; sim.cutLinkFor(msg.To, msg.From, 30*time.Second) },
	"link to receiver cut for less than a retry delay": func(sim *simulation, i int) { msg := sim.inFlight[i]; sim.cutLinkFor(msg.From, msg.To, time.Second) },
	"receiver's store unavailable":                     func(sim *simulation, i int) { sim.failStoreFor(sim.inFlight[i].To, 20*time.Second) },
	"sender's store unavailable":                       func(sim *simulation, i int) { sim.failStoreFor(sim.inFlight[i].From, 20*time.Second) },
	"job cancelled by its user":                        func(sim *simulation, _ int) { sim.cancelEverywhere("req-1") },
	"job cancelled and link to receiver cut": func(sim *simulation, i int) {
		msg := sim.inFlight[i]
		sim.cancelEverywhere("req-1")
		sim.cutLinkFor(msg.From, msg.To, 30*time.Second)
	},
	"job runs to its end": func(sim *simulation, _ int) { sim.stepAllJobs(); sim.stepAllJobs() },
	"receiver drained":    func(sim *simulation, i int) { sim.drainPeersOf(sim.inFlight[i].To) },
}

// TestHandOffSurvivesEveryFaultAtEveryMessage injects every fault at every message of a hand-off,
// both for a job that a peer accepts and for one that all peers refuse. Each job must get a final
// state and run at most once.
func TestHandOffSurvivesEveryFaultAtEveryMessage(t *testing.T) {
	cases, runs, finalStates := 0, 0, 0
	for _, refused := range []bool{false, true} {
		for name, fault := range faults {
			for stage := 0; ; stage++ {
				where := fmt.Sprintf("%s at message %d, refused %v", name, stage, refused)
				sim := newSimulation(func(format string, args ...any) { t.Errorf(where+": "+format, args...) })
				sim.submit("a", "req-1", "k")
				if refused {
					sim.drainPeersOf("b")
					sim.drainPeersOf("c")
				}
				if !sim.runUntilMessage(stage) {
					break
				}
				fault(sim, 0)
				sim.runToCompletion()
				cases++
				runs += sim.userJobs["req-1"].runs
				if sim.userJobs["req-1"].finalState != "" {
					finalStates++
				}
			}
		}
	}
	if finalStates != cases || runs > cases {
		t.Errorf("got %d cases, %d runs and %d final states, want a final state per case and at most one run", cases, runs, finalStates)
	}
	t.Logf("%d cases: %d final states, %d completed runs, the others cancelled", cases, finalStates, runs)
}

// A cancellation must end a job at the site that accepted it, even if the job would run for much
// longer.
func TestCancelEndsAcceptedJob(t *testing.T) {
	sim := newSimulation(t.Errorf)
	sim.submit("a", "req-1", "k")
	for range 30 {
		sim.now += time.Second
		for _, site := range siteNames {
			sim.tick(site, noFault)
		}
		for len(sim.inFlight) > 0 {
			sim.deliver(0, false, noFault)
		}
		if sim.sites["a"].records.Outgoing["req-1"].Accepted {
			sim.cancel("a", "req-1")
		}
	}
	if job := sim.userJobs["req-1"]; job.finalState != Cancelled || job.runs > 0 {
		t.Errorf("got final state %q and %d runs, want cancelled and 0", job.finalState, job.runs)
	}
}

// The origin must acknowledge a result whose epoch it has already closed, even if an earlier
// epoch is still open. The receiver must delete decisions at or below the stored low-water mark.
func TestClosedHandOffsAreAcknowledgedAndDeleted(t *testing.T) {
	coordinator := newRoutingCoordinator(nil, Outgoing{To: "b"}, Outgoing{To: "b"})
	delete(coordinator.records.Outgoing, "req-away-b1")
	coordinator.load(coordinator.records)
	closed := false
	for _, effect := range coordinator.Step(2*time.Second, MessageReceived{Message: Message{From: "b", To: "a", Kind: KindResult, Epoch: 2, State: Done}}) {
		if s, ok := effect.(Send); ok && s.Message.Kind == KindClosed {
			closed = s.Message.Epoch == 2 && s.Message.LowWaterMark == 0
		}
	}
	if !closed {
		t.Error("result of a closed epoch not acknowledged while an earlier epoch is open")
	}
	stored := Records{}.copy()
	stored.LowWaterMarks["b"] = 5
	stored.Incoming[IncomingID{"b", 3}] = Incoming{Reason: reasonBusy}
	var deleted []IncomingID
	for _, effect := range coordinator.Step(3*time.Second, RecordsLoaded{stored}) {
		if s, ok := effect.(StoreWrite); ok {
			deleted = append(deleted, s.Write.(DeleteIncoming).IDs...)
		}
	}
	if len(deleted) != 1 || deleted[0] != (IncomingID{"b", 3}) {
		t.Errorf("got %v deleted below the low-water mark, want epoch 3 of b", deleted)
	}
}

// runUntilMessage runs the simulation without faults until n messages have been delivered and
// another one is in flight. It reports whether there was one.
func (sim *simulation) runUntilMessage(n int) bool {
	for range 60 {
		sim.now += time.Second
		for _, site := range siteNames {
			sim.tick(site, noFault)
		}
		for len(sim.inFlight) > 0 {
			if n == 0 {
				return true
			}
			n--
			sim.deliver(0, false, noFault)
		}
		sim.stepHandedOffJobs()
	}
	return false
}

// stepHandedOffJobs starts or finishes the jobs that were accepted from another site.
func (sim *simulation) stepHandedOffJobs() {
	for _, site := range siteNames {
		for _, id := range sortedJobs(sim.sites[site]) {
			if sim.sites[site].jobs[id].userJobID != id {
				sim.startOrFinish(site, id)
			}
		}
	}
}

// stepAllJobs starts or finishes the jobs at all sites.
func (sim *simulation) stepAllJobs() {
	for _, site := range siteNames {
		for _, id := range sortedJobs(sim.sites[site]) {
			sim.startOrFinish(site, id)
		}
	}
}

// cutLinkFor disconnects a link for the given duration.
func (sim *simulation) cutLinkFor(from, to Site, duration time.Duration) {
	sim.cutLinks[[2]Site{from, to}] = true
	sim.runFor(duration)
	delete(sim.cutLinks, [2]Site{from, to})
}

// failStoreFor makes a site's store unavailable for the given duration.
func (sim *simulation) failStoreFor(site Site, duration time.Duration) {
	sim.failedStores[site] = true
	sim.runFor(duration)
	delete(sim.failedStores, site)
}

// runFor runs the simulation for the given duration. Links and stores that are out of service stay
// so.
func (sim *simulation) runFor(duration time.Duration) {
	for end := sim.now + duration; sim.now < end; {
		sim.now += time.Second
		for _, site := range siteNames {
			sim.tick(site, noFault)
		}
		for len(sim.inFlight) > 0 {
			sim.deliver(0, false, noFault)
		}
		sim.stepHandedOffJobs()
	}
}

// cancelEverywhere cancels a job at every site that has a job with the given ID.
func (sim *simulation) cancelEverywhere(id string) {
	for _, site := range siteNames {
		if sim.sites[site].jobs[id] != nil {
			sim.cancel(site, id)
		}
	}
}

// drainPeersOf disables new hand-offs between a site and all its peers.
func (sim *simulation) drainPeersOf(site Site) {
	for i := range sim.sites[site].cfg.Peers {
		sim.sites[site].cfg.Peers[i].Drained = true
	}
}
