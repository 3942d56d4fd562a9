package core

import (
	"strings"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/fairness"
	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
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

// usageTxn stores a team's record of use while this node leads it.
func (t *team) usageTxn() protocol.Txn {
	return protocol.Txn{
		If:   []protocol.Condition{t.leaderCondition()},
		Then: []protocol.Change{putJSON(keyRecord+teamPart(t.Name), usageRecord{Record: t.record})},
	}
}

// onUsageRecordPut takes the record of use that a team's leader has stored.
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
