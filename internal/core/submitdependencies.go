package core

import (
	"net/http"
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// Rejections of jobs that await others.
var (
	errAwaitsItself  = &rejection{http.StatusUnprocessableEntity, "job can't await itself"}
	errAwaitsTooMany = &rejection{http.StatusBadRequest, "job awaits too many others"}
	errAwaitsService = &rejection{http.StatusUnprocessableEntity, "job can't await a service"}
)

// neverAccepted turns down a job that awaits one that does not exist.
func neverAccepted(id string) *rejection {
	return &rejection{http.StatusUnprocessableEntity, "awaited job " + id + " was never accepted"}
}

// submitDependent accepts a job that awaits others, once it is known what has become of them.
func (c *Core) submitDependent(req uint64, t *team, spec *job.Spec) {
	switch {
	case slices.Contains(spec.Dependencies, spec.ID):
		c.rejectSubmission(req, spec.ID, errAwaitsItself)
	case spec.DependencyBytes() > c.limits.maxDependencyBytes():
		c.rejectSubmission(req, spec.ID, errAwaitsTooMany)
	case !c.upgrade.complete():
		c.replyUnavailable(req) // a leader of the version before would start it at once
	default:
		check := &dependencyCheck{core: c, req: req, team: t, spec: spec, unresolved: len(spec.Dependencies)}
		for _, id := range slices.Clone(spec.Dependencies) {
			check.lookUp(id)
		}
		c.lookups.sendAcceptance()
	}
}

// dependencyCheck finds out what has become of the jobs that a submission awaits.
type dependencyCheck struct {
	core *Core
	req  uint64
	team *team
	spec *job.Spec
	// unresolved is how many of them have not been looked up.
	unresolved int
	rejected   *rejection
	// unavailable is set if nobody can tell what has become of some.
	unavailable bool
}

// lookUp finds out about one awaited job: that it was accepted is known for one that the
// replica holds, and takes an answer of the store otherwise.
func (d *dependencyCheck) lookUp(id string) {
	if awaited := d.core.jobs[id]; awaited != nil && awaited.Kind == job.Service {
		d.rejected = errAwaitsService
	}
	d.core.lookups.requestAcceptance(id, func(result lookup.Result) {
		switch result.Outcome {
		case lookup.Absent:
			d.rejected = neverAccepted(id)
		case lookup.Unavailable:
			d.unavailable = true
		case lookup.Final:
			if result.State.State == protocol.Done {
				d.drop(id)
			}
		}
		d.resolved()
	})
}

// drop removes a job that is done from those that the submission awaits.
func (d *dependencyCheck) drop(id string) {
	d.spec.Dependencies = slices.DeleteFunc(d.spec.Dependencies, func(awaited string) bool { return awaited == id })
}

// resolved answers the submission after the last awaited job.
func (d *dependencyCheck) resolved() {
	d.unresolved--
	if d.unresolved > 0 {
		return
	}
	switch {
	case d.rejected != nil:
		d.core.rejectSubmission(d.req, d.spec.ID, d.rejected)
	case d.unavailable:
		d.core.replyUnavailable(d.req)
	default:
		d.core.accept(d.req, d.team, d.spec)
	}
}
