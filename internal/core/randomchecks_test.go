package core

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// checkDependentsEnd checks that what needs a cancelled job ends cancelled.
func (d *randomDay) checkDependentsEnd() {
	needsCancelled := func(id string) bool {
		return slices.ContainsFunc(d.specs[id].Dependencies, func(awaited string) bool {
			s, _ := d.state(awaited)
			return s.State == protocol.Cancelled
		})
	}
	late := func(id string) bool {
		s, _ := d.state(id)
		return s.State != protocol.Cancelled && needsCancelled(id)
	}
	if !d.run(time.Minute, func() bool { return !slices.ContainsFunc(d.all, late) }) {
		d.t.Errorf("%s does not end cancelled with what it awaits", d.all[slices.IndexFunc(d.all, late)])
	}
}

// served tells whether all jobs are done, and all replicas of services up.
func (d *randomDay) served() bool {
	return !slices.ContainsFunc(d.open, func(id string) bool {
		s, _ := d.state(id)
		return s.State != protocol.Done && (d.specs[id].Kind != job.Service || d.onMachines(id) < d.specs[id].Tasks)
	})
}

// isReady tells whether all that a job awaits has been done for that long.
func (d *randomDay) isReady(id string, since time.Duration) bool {
	return !slices.ContainsFunc(d.specs[id].Dependencies, func(awaited string) bool {
		s, _ := d.state(awaited)
		return s.State != protocol.Done || d.now-d.endedAt[awaited] < since
	})
}

// checkNoneWaitsBesideRoom checks that no job has nothing on machines for that long while there is room
// for it and its team is under its limit.
func (d *randomDay) checkNoneWaitsBesideRoom(within time.Duration) {
	since := map[string]time.Duration{}
	for end := d.now + 3*within; d.now < end && !d.served(); d.run(time.Second, nil) {
		for _, id := range d.open {
			s, _ := d.state(id)
			if s.State != "" || d.onMachines(id) > 0 || !d.isReady(id, 0) || !d.hasRoom(d.specs[id]) {
				delete(since, id)
				continue
			}
			if _, waits := since[id]; !waits {
				since[id] = d.now
			}
			if d.now-since[id] > within {
				d.t.Fatalf("%v: %s waits for %v beside room", d.now, id, within)
			}
		}
	}
}

// answerChecker takes an answer to a request on a job that is sent now: it may not be older than
// what its user had been told by then, and a job has one final state.
func (d *randomDay) answerChecker(id string) func(Answer) {
	before, asked := d.final[id], d.now
	return func(a Answer) {
		d.checkAnswer(id, before, a)
		if at, told := d.dependencyToldAt(id); told && asked-at > d.cancelDeadline() {
			if s, is := a.Body.(protocol.JobState); is && (s.State == protocol.Queued || s.State == protocol.Running) {
				d.t.Errorf("%v: %s is %s, and one that it needs was cancelled at %v", d.now, id, s.State, at)
			}
		}
	}
}

// checkAnswer checks an answer against what was told before it was asked for.
func (d *randomDay) checkAnswer(id, before string, a Answer) {
	s, is := a.Body.(protocol.JobState)
	switch now := d.final[id]; {
	case a.Status == http.StatusNotFound:
		d.t.Errorf("%v: %s was accepted and is not known", d.now, id)
	case !is || a.Status != http.StatusOK:
	case before != "" && s.State != before,
		now != "" && s.State != now && (s.State == protocol.Done || s.State == protocol.Cancelled):
		d.t.Errorf("%v: %s was %s and is %s", d.now, id, now, s.State)
	case s.State == protocol.Cancelled:
		if d.final[id] = s.State; now == "" {
			d.cancellationToldAt[id], d.cancelledAt[id] = d.now, d.now
		}
		if !d.mayBeCancelled(id) {
			d.t.Errorf("%v: %s is cancelled, and nobody has asked for it", d.now, id)
		}
	case s.State == protocol.Done:
		d.final[id] = s.State
	}
}

// checkKnown checks that each job is answered by some controller within that time.
func (d *randomDay) checkKnown(within time.Duration) {
	asked, learn := map[uint64]string{}, map[uint64]func(Answer){}
	known := map[string]bool{}
	for end := d.now + within; d.now < end && len(known) < len(d.all); d.run(5*time.Second, nil) {
		for _, id := range d.all {
			if !known[id] {
				d.nextReq++
				asked[d.nextReq], learn[d.nextReq] = id, d.answerChecker(id)
				d.send(d.names[d.rng.IntN(len(d.names))], Status{Req: d.nextReq, ID: id})
			}
		}
		d.run(2*time.Second, nil)
		for req, id := range asked {
			if a, there := d.answers[req]; there {
				delete(asked, req)
				learn[req](a)
				if a.Status == http.StatusOK {
					known[id] = true
				}
			}
		}
	}
	for _, id := range d.all {
		if !known[id] {
			d.t.Errorf("no question about %s is answered for %v", id, within)
		}
	}
}

// checkAllStart checks that all jobs begin in time. A team at its limit waits for its own
// tasks; what may be asked of it is that it does not wait while it has room for one. Of the
// other one with a limit, whose jobs are of all shapes, checkNoneWaitsBesideRoom asks the same.
func (d *randomDay) checkAllStart(within time.Duration) {
	waits := func(team string) bool {
		return slices.ContainsFunc(d.open, func(id string) bool {
			limited := !strings.HasPrefix(id, "req-free")
			return limited == (team == "red") && !strings.HasPrefix(id, "req-blue") && d.startsOf(id) == 0 && d.isReady(id, within/2)
		})
	}
	idle := time.Duration(0)
	for end := d.now + within; d.now < end && (waits("red") || waits("")); d.run(time.Second, nil) {
		if idle += time.Second; d.inUse("red") > 16-2 || !waits("red") {
			idle = 0
		}
		if idle > within/8 {
			d.t.Fatalf("%v: a job of red waits for %v while red has room", d.now, idle)
		}
	}
	if waits("") {
		d.t.Errorf("jobs do not begin within %v once all troubles are over", within)
	}
}
