package core

import (
	"strings"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/fairness"
	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// team is the state of a team, regardless of which controller leads it.
type team struct {
	settings.Team
	shard
	// record is the latest known usage record. exchangedRecord is the one last exchanged, which all
	// controllers use so that their rankings agree.
	record, exchangedRecord fairness.Record
	jobs                    map[string]*job.Job
}

// newTeam returns a team without jobs or a leader.
func newTeam(t settings.Team) *team {
	return &team{
		Team:  t,
		shard: shard{name: t.Name, key: keyLeader + encodeTeamName(t.Name)},
		jobs:  map[string]*job.Job{},
	}
}

// addTeam registers a team from the settings.
func (c *Core) addTeam(t *team) {
	c.teams = append(c.teams, t)
	c.teamsByName[t.Name] = t
}

// leads reports whether this node leads the job's team.
func (c *Core) leads(j *job.Job) bool {
	t := c.teamsByName[j.Team]
	return t != nil && t.leading
}

// usageTxn is the transaction that stores a team's usage record while this node leads the team.
func (t *team) usageTxn() protocol.Txn {
	return protocol.Txn{
		If:   []protocol.Condition{t.leaderCondition()},
		Then: []protocol.Change{putJSON(keyUsageRecord+encodeTeamName(t.Name), usageRecord{Record: t.record})},
	}
}

// onUsageRecordPut applies a usage record that a team's leader has stored.
func (c *Core) onUsageRecordPut(item protocol.KeyValue) error {
	name, err := decodeTeamName(strings.TrimPrefix(item.Key, keyUsageRecord))
	if err != nil {
		return err
	}
	var stored usageRecord
	if err := json.Unmarshal(item.Value, &stored); err != nil {
		return err
	}
	if t := c.teamsByName[name]; t != nil && !t.leading {
		t.record, t.exchangedRecord = stored.Record, stored.Record
	}
	return nil
}
