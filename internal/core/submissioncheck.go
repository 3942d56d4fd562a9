package core

import (
	"net/http"
	"slices"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/core/job"
)

// Rejections of jobs that can never run at this site.
var (
	errUnknownTeam   = &rejection{http.StatusUnprocessableEntity, "team is unknown"}
	errOverTeamLimit = &rejection{http.StatusUnprocessableEntity, "job needs more than the limit of its team"}
	errUnknownZone   = &rejection{http.StatusUnprocessableEntity, "zone is unknown"}
	errNoMachineType = &rejection{http.StatusUnprocessableEntity, "no allowed machine type can hold a task"}
	errCannotSpread  = &rejection{http.StatusUnprocessableEntity, "its tasks would all be in one zone, over which they are to be spread"}
)

// submissionCheck decides whether a job can ever run at this site. A job that only has to wait for
// other tasks to end or for machines to be rented can run.
type submissionCheck struct {
	zones   []string
	catalog catalog.Catalog
}

// submissionCheck returns the check for the current settings and catalog.
func (c *Core) submissionCheck() submissionCheck {
	return submissionCheck{zones: c.cfg.Params.Zones, catalog: c.catalog}
}

// reject returns the reason why a job can never run, or nil if it can. The team is nil if it is
// unknown.
func (s submissionCheck) reject(t *team, spec *job.Spec) *rejection {
	if t == nil {
		return errUnknownTeam
	}
	if !withinLimit(t, job.Resources{}.Plus(spec.Need, float64(spec.MinConcurrency()))) {
		return errOverTeamLimit
	}
	if spec.Zone != "" && !slices.Contains(s.zones, spec.Zone) {
		return errUnknownZone
	}
	zones := s.feasibleZones(spec)
	if zones == 0 {
		return errNoMachineType
	}
	spreads := spec.Spread && spec.MinConcurrency() > 1
	if spreads && (spec.OneZone || zones == 1) {
		return errCannotSpread
	}
	return nil
}

// feasibleZones counts the zones in which the cloud offers a machine type that the job allows and
// that is large enough for one task. A type that is listed in no zone cannot be rented.
func (s submissionCheck) feasibleZones(spec *job.Spec) int {
	zones := map[string]bool{}
	for _, machineType := range s.catalog.All() {
		if !spec.Need.Fits(catalog.Capacity(machineType)) {
			continue
		}
		for _, zone := range machineType.Zones {
			if spec.Allows(machineType.Name, zone, spec.Spot) {
				zones[zone] = true
			}
		}
	}
	return len(zones)
}
