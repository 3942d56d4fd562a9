package core

import (
	"net/http"
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// submitDependent accepts a job that awaits others, once it is known what has become of them.
func (c *Core) submitDependent(req uint64, t *team, s *job.Spec) {
	switch {
	case slices.Contains(s.Awaits, s.ID):
		c.rejectSubmission(req, s.ID, http.StatusUnprocessableEntity, "job can't await itself")
	case s.AwaitsBytes() > c.limits.maxDependencyBytes():
		c.rejectSubmission(req, s.ID, http.StatusBadRequest, "job awaits too many others")
	case !c.upgrade.complete():
		c.replyUnavailable(req) // a home of the version before would start it at once
	default:
		a := &awaitedCheck{core: c, req: req, team: t, spec: s, left: len(s.Awaits)}
		for _, id := range slices.Clone(s.Awaits) {
			a.check(id)
		}
		c.sendDependencyLookups()
	}
}

// awaitedCheck finds out what has become of the jobs that a submission awaits.
type awaitedCheck struct {
	core *Core
	req  uint64
	team *team
	spec *job.Spec
	// left is how many are still being asked about.
	left    int
	refusal string
	unknown bool
}

// check finds out about one awaited job: that it was accepted is known for one that the
// replica holds, and takes an answer of the state service otherwise.
func (a *awaitedCheck) check(id string) {
	if j := a.core.jobs[id]; j != nil && j.Kind == job.Service {
		a.refusal = "job can't await a service"
	}
	a.core.lookUpAccepted(id, func(f lookupResult, s protocol.JobState) {
		switch {
		case f == lookupAbsent:
			a.refusal = "awaited job " + id + " was never accepted"
		case f == lookupUnavailable:
			a.unknown = true
		case f == lookupFinal && s.State == protocol.Done:
			a.spec.Awaits = slices.DeleteFunc(a.spec.Awaits, func(other string) bool { return other == id })
		}
		a.checked()
	})
}

// checked answers the submission after the last awaited job.
func (a *awaitedCheck) checked() {
	if a.left--; a.left > 0 {
		return
	}
	switch {
	case a.refusal != "":
		a.core.rejectSubmission(a.req, a.spec.ID, http.StatusUnprocessableEntity, a.refusal)
	case a.unknown:
		a.core.replyUnavailable(a.req)
	default:
		a.core.accept(a.req, a.team, a.spec)
	}
}
