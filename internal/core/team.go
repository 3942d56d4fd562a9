package core

import (
	"strings"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/fairness"
	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// team is the state of a team, whichever controller leads it.
type team struct {
	settings.Team
	shard
	// record is the latest known usage record. ranked is the one last exchanged, which all
	// controllers use so that their rankings agree.
	record, ranked fairness.Record
	jobs           map[string]*job.Job
}

// newTeam returns a team without jobs or a leader.
func newTeam(t settings.Team) *team {
	return &team{
		Team:  t,
		shard: shard{name: t.Name, key: keyLeader + teamPart(t.Name)},
		jobs:  map[string]*job.Job{},
	}
}

// addTeam registers a team from the settings.
func (c *Core) addTeam(t *team) {
	c.teams = append(c.teams, t)
	c.teamBy[t.Name] = t
}

// leads reports whether this node leads the job's team.
func (c *Core) leads(j *job.Job) bool {
	t := c.teamBy[j.Team]
	return t != nil && t.leading
}

// usageTxn is the transaction that stores a team's usage record while this node leads the team.
func (t *team) usageTxn() protocol.Txn {
	return protocol.Txn{
		If:   []protocol.Condition{t.leaderCondition()},
		Then: []protocol.Change{putJSON(keyRecord+teamPart(t.Name), usageRecord{Record: t.record})},
	}
}

// onUsageRecordPut applies a usage record that a team's leader has stored.
func (c *Core) onUsageRecordPut(item protocol.KeyValue) error {
	name, err := parseTeamPart(strings.TrimPrefix(item.Key, keyRecord))
	if err != nil {
		return err
	}
	var stored usageRecord
	if err := json.Unmarshal(item.Value, &stored); err != nil {
		return err
	}
	if t := c.teamBy[name]; t != nil && !t.leading {
		t.record, t.ranked = stored.Record, stored.Record
	}
	return nil
}
