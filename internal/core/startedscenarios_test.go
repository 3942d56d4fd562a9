package core

import (
	"slices"
	"testing"
	"time"
)

// startedLinkFaults are the states of the links of a controller that has just started, by the name of the
// fault. They match the links that are down.
var startedLinkFaults = map[string]func(from, to, started string) bool{
	"cancelled after a start, no links":          func(from, to, started string) bool { return from == started || to == started },
	"cancelled after a start, nothing arrives":   func(_, to, started string) bool { return to == started },
	"cancelled after a start, nothing gets out":  func(from, _, started string) bool { return from == started },
	"cancelled after a start, no links anywhere": func(_, _, _ string) bool { return true },
	"cancelled after a start, links one way":     func(from, to, _ string) bool { return from < to },
}

// TestInvariantsHoldUnderCancellationsAfterStart guards against what a controller that has just started takes
// for granted of the others: one restarts while links are down, possibly one way only, a user cancels a job
// there, the store goes down, and the controller ends again.
func TestInvariantsHoldUnderCancellationsAfterStart(t *testing.T) {
	for fault := range startedLinkFaults {
		checkRandomScenarios(t, fault, func(*randomScenario) {})
	}
}

// cancelAtStartedController restarts a controller and cancels a running job there. When the user has the
// answer, the store goes down for longer than a cancellation may take, and the controller restarts once more.
func (r *randomScenario) cancelAtStartedController(node string, refused func(from, to, started string) bool) {
	if r.outage || !r.canFail(node) {
		return
	}
	r.disconnectLinks(func(from, to string) bool { return refused(from, to, node) })
	r.restartImmediately(node)
	r.delayWatches(time.Duration(r.rng.IntN(4)) * time.Second)
	r.after(r.randomTicks(10), func() {
		r.cancelRunningJobAt(node, func() {
			r.outage = true
			r.restartImmediately(node)
		})
	})
	r.after(r.randomTicks(60), r.restoreLinks)
	r.after(r.cancelDeadline()*6/5, func() {
		r.watchLag = 0
		r.endOutage()
	})
}

// randomTicks returns a random duration of up to n ticks.
func (r *randomScenario) randomTicks(n int) time.Duration {
	return time.Duration(1+r.rng.IntN(n)) * r.tick
}

// cancelRunningJobAt cancels an open job that has tasks on machines at the given controller. It calls
// afterAnswer a tick or two after the answer, unless recover has been called by then.
func (r *randomScenario) cancelRunningJobAt(node string, afterAnswer func()) {
	running := slices.DeleteFunc(slices.Clone(r.openJobs), func(id string) bool { return r.onMachines(id) == 0 })
	if len(running) == 0 || r.cores[node] == nil {
		return
	}
	id := running[r.rng.IntN(len(running))]
	r.expectCancelled(id)
	checkAnswer, recoveriesBefore := r.answerChecker(id), r.recoveryCount
	r.nextReq++
	r.replyHandlers[r.nextReq] = func(a Answer) {
		checkAnswer(a)
		if r.recoveryCount == recoveriesBefore {
			r.after(r.randomTicks(2), afterAnswer)
		}
	}
	r.send(node, Cancel{Req: r.nextReq, ID: id})
}
