package core

import (
	"fmt"
	"iter"
	"maps"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// handoffReplica is the replica of the hand-off records. Every controller has one, even without a
// federation configuration, because no task of an outgoing job may be bound at this site.
type handoffReplica struct {
	federation.Records
	// versions holds the version of each stored key.
	versions map[string]uint64
	// unwatchedDeletions holds, by key, the revisions of deletions that were applied before the
	// watch reported them.
	unwatchedDeletions map[string]uint64
	// unconfirmed holds the jobs that are handed off, as a failed write has shown, but whose records
	// have not arrived yet. The value is the time of the reply to that write.
	unconfirmed map[string]time.Duration
	progress    progressReplica
}

func newHandoffReplica() handoffReplica {
	return handoffReplica{
		Records:            federation.NewRecords(),
		versions:           map[string]uint64{},
		unwatchedDeletions: map[string]uint64{},
		unconfirmed:        map[string]time.Duration{},
		progress:           newProgressReplica(),
	}
}

// keys iterates over the stored keys of the replica.
func (r *handoffReplica) keys() iter.Seq[string] { return maps.Keys(r.versions) }

// hasRecords reports whether any hand-off record is stored.
func (r *handoffReplica) hasRecords() bool { return len(r.versions) > 0 }

// recordDeletion records the deletion of a record before the watch reports it.
func (r *handoffReplica) recordDeletion(key string, revision uint64) {
	if _, _, err := parseHandoffKey(key); err == nil {
		r.unwatchedDeletions[key] = revision
	}
}

// isStale reports whether the replica already reflects a stored record, a later version of it or its
// deletion.
func (r *handoffReplica) isStale(item protocol.KeyValue) bool {
	return r.versions[item.Key] >= item.Version || r.unwatchedDeletions[item.Key] > item.Version
}

// applyRecord applies a stored record to the replica.
func (r *handoffReplica) applyRecord(item protocol.KeyValue) error {
	kind, name, err := parseHandoffKey(item.Key)
	if err != nil {
		return err
	}
	switch kind {
	case keyOutgoing:
		err = r.applyOutgoing(name, item.Value)
	case keyIncoming:
		err = r.applyIncoming(name, item.Value)
	case keyLowWaterMark:
		err = applyEpoch(r.LowWaterMarks, federation.Site(name), item.Value)
	case keyLastEpoch:
		err = applyEpoch(r.LastEpochs, federation.Site(name), item.Value)
	case keyDrained:
		r.Drained[federation.Site(name)] = true
	}
	if err != nil {
		return fmt.Errorf("read hand-off record %s: %w", item.Key, err)
	}
	r.versions[item.Key] = item.Version
	return nil
}

func (r *handoffReplica) applyOutgoing(id string, value json.RawMessage) error {
	var outgoing federation.Outgoing
	err := json.Unmarshal(value, &outgoing)
	r.Outgoing[id] = outgoing // even if malformed, since the job must not run here
	delete(r.unconfirmed, id)
	return err
}

func (r *handoffReplica) applyIncoming(name string, value json.RawMessage) error {
	id, err := parseIncomingID(name)
	if err != nil {
		return err
	}
	var incoming federation.Incoming
	err = json.Unmarshal(value, &incoming)
	r.Incoming[id] = incoming
	return err
}

// applyEpoch applies a stored hand-off epoch of a site. These epochs never decrease.
func applyEpoch(epochs map[federation.Site]federation.Epoch, site federation.Site, value json.RawMessage) error {
	var epoch federation.Epoch
	err := json.Unmarshal(value, &epoch)
	epochs[site] = max(epochs[site], epoch)
	return err
}

// applyDeletion applies a deletion that the watch reports, and reports whether it removed a record
// from the replica.
func (r *handoffReplica) applyDeletion(key string, revision uint64) (removed bool) {
	if r.unwatchedDeletions[key] == revision {
		delete(r.unwatchedDeletions, key) // applied already
		return false
	}
	version, found := r.versions[key]
	if !found || version > revision {
		return false
	}
	delete(r.versions, key)
	kind, name, err := parseHandoffKey(key)
	if err != nil {
		return false
	}
	switch kind {
	case keyOutgoing:
		delete(r.Outgoing, name)
		delete(r.progress.announced, name)
	case keyIncoming:
		if id, err := parseIncomingID(name); err == nil {
			delete(r.Incoming, id)
		}
	case keyDrained:
		delete(r.Drained, federation.Site(name))
	}
	return true
}

// isOutgoing reports whether a job is handed off to another site, so that it must not run here. If the
// hand-off is known only from a failed write, the job counts as outgoing for one report interval.
func (c *Core) isOutgoing(id string) bool {
	if _, outgoing := c.handoffs.Outgoing[id]; outgoing {
		return true
	}
	since, unconfirmed := c.handoffs.unconfirmed[id]
	return unconfirmed && c.now.Steady-since < c.reportInterval()
}

// notHandedOff returns the condition that a job is not handed off. A controller without a federation
// configuration needs no condition: jobs are handed off only while the node key of every live
// controller says that it has a federation configuration.
func (c *Core) notHandedOff(id string) []protocol.Condition {
	if c.federation == nil {
		return nil
	}
	return []protocol.Condition{{Key: outgoingKey(id)}}
}

// mustNotLead reports whether this node must not lead any shard, because hand-offs are stored and
// the node has no federation configuration, so that it would run jobs that were handed off.
func (c *Core) mustNotLead() bool { return c.federation == nil && c.handoffs.hasRecords() }

// onHandedOff handles a write that failed because the job is handed off. It removes the job's unstored
// bindings. It also marks the job as outgoing, since the watch may not have delivered the hand-off's
// record yet.
func (c *Core) onHandedOff(j *job.Job) {
	c.handoffs.unconfirmed[j.ID] = c.now.Steady
	for i, b := range ordered(j.Bound) {
		if !b.Stored {
			c.unbind(j, i)
		}
	}
}

// onFederationPut applies a stored hand-off record to the replica.
func (c *Core) onFederationPut(item protocol.KeyValue) error {
	if c.handoffs.isStale(item) {
		return nil
	}
	if c.federation == nil && !c.handoffs.hasRecords() {
		c.log(Error, "hand-offs are stored but this controller has no federation configuration; it will not lead any shard")
	}
	if err := c.handoffs.applyRecord(item); err != nil {
		return err
	}
	c.federation.recordChange(item.Version)
	return nil
}

// onFederationDelete applies the deletion of a hand-off record to the replica.
func (c *Core) onFederationDelete(key string, revision uint64) {
	if !c.handoffs.applyDeletion(key, revision) {
		return
	}
	if kind, id, _ := parseHandoffKey(key); kind == keyOutgoing {
		c.requestRound()
		if j := c.jobs[id]; j != nil {
			j.PendingSince = c.now.Steady
		}
	}
	c.federation.recordChange(revision)
}
