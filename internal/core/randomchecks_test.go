package core

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// checkDependentsEnd checks that every job that depends on a cancelled job ends cancelled.
func (r *randomScenario) checkDependentsEnd() {
	dependsOnCancelled := func(id string) bool {
		return slices.ContainsFunc(r.specs[id].Dependencies, func(dependency string) bool {
			s, _ := r.state(dependency)
			return s.State == protocol.Cancelled
		})
	}
	notCancelled := func(id string) bool {
		s, _ := r.state(id)
		return s.State != protocol.Cancelled && dependsOnCancelled(id)
	}
	if !r.run(time.Minute, func() bool { return !slices.ContainsFunc(r.acceptedJobs, notCancelled) }) {
		r.t.Errorf("%s did not end cancelled within a minute, but one of its dependencies is cancelled", r.acceptedJobs[slices.IndexFunc(r.acceptedJobs, notCancelled)])
	}
}

// allServed reports whether all open jobs are done, or have all tasks on machines if they are
// services.
func (r *randomScenario) allServed() bool {
	return !slices.ContainsFunc(r.openJobs, func(id string) bool {
		s, _ := r.state(id)
		return s.State != protocol.Done && (r.specs[id].Kind != job.Service || r.onMachines(id) < r.specs[id].Tasks)
	})
}

// dependenciesDone reports whether all dependencies of a job have been done for at least duration.
func (r *randomScenario) dependenciesDone(id string, duration time.Duration) bool {
	return !slices.ContainsFunc(r.specs[id].Dependencies, func(dependency string) bool {
		s, _ := r.state(dependency)
		return s.State != protocol.Done || r.now-r.endedAt[dependency] < duration
	})
}

// checkNoneWaitsDespiteCapacity checks that no job whose dependencies are done is without tasks on
// machines for longer than within, while machines have capacity for the job and its team's limit
// allows it.
func (r *randomScenario) checkNoneWaitsDespiteCapacity(within time.Duration) {
	waitingSince := map[string]time.Duration{}
	for end := r.now + 3*within; r.now < end && !r.allServed(); r.run(time.Second, nil) {
		for _, id := range r.openJobs {
			s, _ := r.state(id)
			if s.State != "" || r.onMachines(id) > 0 || !r.dependenciesDone(id, 0) || !r.hasCapacityFor(r.specs[id]) {
				delete(waitingSince, id)
				continue
			}
			if _, waiting := waitingSince[id]; !waiting {
				waitingSince[id] = r.now
			}
			if r.now-waitingSince[id] > within {
				r.t.Fatalf("%v: %s has waited longer than %v although machines have capacity for it", r.now, id, within)
			}
		}
	}
}

// answerChecker returns a check for the answer to a request about a job that is sent now. The
// answer must not be older than what had been reported to users before the request, and a job has
// only one final state. The job must not be queued or running if the cancellation of a dependency
// was reported more than cancel_s before the request.
func (r *randomScenario) answerChecker(id string) func(Answer) {
	reportedBefore, askedAt := r.reportedFinalStates[id], r.now
	return func(a Answer) {
		r.checkAnswer(id, reportedBefore, a)
		if reportedAt, reported := r.dependencyCancelReportedAt(id); reported && askedAt-reportedAt > r.cancelDeadline() {
			if s, isState := a.Body.(protocol.JobState); isState && (s.State == protocol.Queued || s.State == protocol.Running) {
				r.t.Errorf("%v: %s is still %s, but the cancellation of a dependency was reported at %v", r.now, id, s.State, reportedAt)
			}
		}
	}
}

// checkAnswer checks that an answer does not contradict the final states that were reported to
// users, and that a job is cancelled only if a user cancelled it or one of its dependencies. It
// records the final state in the answer, if there is one.
func (r *randomScenario) checkAnswer(id, reportedBefore string, a Answer) {
	s, isState := a.Body.(protocol.JobState)
	switch now := r.reportedFinalStates[id]; {
	case a.Status == http.StatusNotFound:
		r.t.Errorf("%v: %s was accepted, but its state is not found", r.now, id)
	case !isState || a.Status != http.StatusOK:
	case reportedBefore != "" && s.State != reportedBefore,
		now != "" && s.State != now && (s.State == protocol.Done || s.State == protocol.Cancelled):
		r.t.Errorf("%v: final state of %s changed from %s to %s", r.now, id, now, s.State)
	case s.State == protocol.Cancelled:
		if r.reportedFinalStates[id] = s.State; now == "" {
			r.firstCancelReports[id] = r.now
			r.confirmCancelled(id)
		}
		if !r.mayBeCancelled(id) {
			r.t.Errorf("%v: %s is cancelled, but no user cancelled it or a dependency", r.now, id)
		}
	case s.State == protocol.Done:
		r.reportedFinalStates[id] = s.State
	}
}

// checkAllAnswered checks that for each accepted job some controller answers a status request
// within the given time.
func (r *randomScenario) checkAllAnswered(within time.Duration) {
	pending, checks := map[uint64]string{}, map[uint64]func(Answer){}
	answered := map[string]bool{}
	for end := r.now + within; r.now < end && len(answered) < len(r.acceptedJobs); r.run(5*time.Second, nil) {
		for _, id := range r.acceptedJobs {
			if !answered[id] {
				r.nextReq++
				pending[r.nextReq], checks[r.nextReq] = id, r.answerChecker(id)
				r.send(r.names[r.rng.IntN(len(r.names))], Status{Req: r.nextReq, ID: id})
			}
		}
		r.run(2*time.Second, nil)
		for req, id := range pending {
			if a, ok := r.answers[req]; ok {
				delete(pending, req)
				checks[req](a)
				if a.Status == http.StatusOK {
					answered[id] = true
				}
			}
		}
	}
	for _, id := range r.acceptedJobs {
		if !answered[id] {
			r.t.Errorf("no controller answered a status request for %s within %v", id, within)
		}
	}
}

// checkAllStart checks that all jobs of team free whose dependencies have long been done start
// within the given time. Team red has a limit, at which its jobs wait for its other tasks to end,
// so it is only an error if a job of team red waits for an eighth of that time while another task
// is within the limit. Team blue also has a limit, but its jobs vary in kind and size:
// checkNoneWaitsDespiteCapacity checks them instead.
func (r *randomScenario) checkAllStart(within time.Duration) {
	isWaiting := func(team string) bool {
		return slices.ContainsFunc(r.openJobs, func(id string) bool {
			limited := !strings.HasPrefix(id, "req-free")
			return limited == (team == "red") && !strings.HasPrefix(id, "req-blue") && r.startsOf(id) == 0 && r.dependenciesDone(id, within/2)
		})
	}
	waitedFor := time.Duration(0)
	for end := r.now + within; r.now < end && (isWaiting("red") || isWaiting("")); r.run(time.Second, nil) {
		if waitedFor += time.Second; r.cpusInUse("red") > 16-2 || !isWaiting("red") {
			waitedFor = 0
		}
		if waitedFor > within/8 {
			r.t.Fatalf("%v: a job of team red has waited for %v while the team is below its limit", r.now, waitedFor)
		}
	}
	if isWaiting("") {
		r.t.Errorf("not all jobs started within %v after all faults had ended", within)
	}
}
