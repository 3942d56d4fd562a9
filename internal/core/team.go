package core

import (
	"pepperlever/internal/core/fairness"
	"pepperlever/internal/core/job"
	"pepperlever/internal/settings"
)

// team is what is known of a team, whichever controller leads it.
type team struct {
	settings.Team
	shard
	// record is the newest known record of use; ranked is the one last exchanged, by which all
	// controllers rank alike.
	record, ranked fairness.Record
	jobs           map[string]*job.Job
}

func newTeam(t settings.Team) *team {
	return &team{
		Team:  t,
		shard: shard{name: t.Name, key: keyLeader + teamPart(t.Name)},
		jobs:  map[string]*job.Job{},
	}
}

func (c *Core) addTeam(t *team) {
	c.teams = append(c.teams, t)
	c.teamBy[t.Name] = t
}

// leads tells whether this node leads the job's team.
func (c *Core) leads(j *job.Job) bool {
	t := c.teamBy[j.Team]
	return t != nil && t.leading
}
