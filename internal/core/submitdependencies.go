package core

import (
	"net/http"
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// Rejections of jobs because of their dependencies.
var (
	errSelfDependency      = &rejection{http.StatusUnprocessableEntity, "job can't await itself"}
	errTooManyDependencies = &rejection{http.StatusBadRequest, "job awaits too many others"}
	errServiceDependency   = &rejection{http.StatusUnprocessableEntity, "job can't await a service"}
)

// unknownDependency returns the rejection of a job that depends on one that does not exist.
func unknownDependency(id string) *rejection {
	return &rejection{http.StatusUnprocessableEntity, "awaited job " + id + " was never accepted"}
}

// submitDependent accepts a job that depends on others once the states of all of them are known.
func (c *Core) submitDependent(req uint64, t *team, spec *job.Spec) {
	switch {
	case slices.Contains(spec.Dependencies, spec.ID):
		c.rejectSubmission(req, spec.ID, errSelfDependency)
	case spec.DependencyBytes() > c.limits.maxDependencyBytes():
		c.rejectSubmission(req, spec.ID, errTooManyDependencies)
	case !c.upgrade.complete():
		c.replyUnavailable(req) // a leader of an earlier version would ignore the dependencies
	default:
		check := &dependencyCheck{core: c, req: req, team: t, spec: spec, unresolved: len(spec.Dependencies)}
		for _, id := range slices.Clone(spec.Dependencies) {
			check.lookUp(id)
		}
		c.lookups.sendAcceptanceLookups()
	}
}

// dependencyCheck looks up the states of the jobs that a submission depends on.
type dependencyCheck struct {
	core *Core
	req  uint64
	team *team
	spec *job.Spec
	// unresolved is the number of dependencies whose lookups have not finished.
	unresolved int
	rejected   *rejection
	// unavailable is set if the state of a dependency could not be determined.
	unavailable bool
}

// lookUp looks up one dependency. A job that the replica holds is known to have been accepted;
// for any other the store has to be asked.
func (d *dependencyCheck) lookUp(id string) {
	if dependency := d.core.jobs[id]; dependency != nil && dependency.Kind == job.Service {
		d.rejected = errServiceDependency
	}
	d.core.lookups.requestAcceptance(id, func(result lookup.Result) {
		switch result.Outcome {
		case lookup.Absent:
			d.rejected = unknownDependency(id)
		case lookup.Unavailable:
			d.unavailable = true
		case lookup.Final:
			if result.State.State == protocol.Done {
				d.removeDependency(id)
			}
		}
		d.onResolved()
	})
}

// removeDependency removes a job that is done from the dependencies of the submission.
func (d *dependencyCheck) removeDependency(id string) {
	d.spec.Dependencies = slices.DeleteFunc(d.spec.Dependencies, func(dependency string) bool { return dependency == id })
}

// onResolved records the end of one lookup and handles the submission after the last one.
func (d *dependencyCheck) onResolved() {
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
