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

// handoffReplica is the replica of the hand-offs on every controller, with a federation or
// without: a job that is handed off is bound nowhere here.
type handoffReplica struct {
	federation.Records
	// versions are the keys' versions.
	versions map[string]uint64
	// deletions are the revisions of deletions that the watch has not told yet, by key.
	deletions map[string]uint64
	// unconfirmed holds when jobs were found to be handed off before their records came.
	unconfirmed map[string]time.Duration
	// progress is what other sites have told of jobs that were handed to them, for display.
	progress map[string]Progress
}

func newHandoffReplica() handoffReplica {
	return handoffReplica{
		Records:     federation.NewRecords(),
		versions:    map[string]uint64{},
		deletions:   map[string]uint64{},
		unconfirmed: map[string]time.Duration{},
		progress:    map[string]Progress{},
	}
}

// keys lists the stored keys of the replica.
func (r *handoffReplica) keys() iter.Seq[string] { return maps.Keys(r.versions) }

// anyStored tells whether any hand-off is stored.
func (r *handoffReplica) anyStored() bool { return len(r.versions) > 0 }

// noteProgress notes how a job at another site gets on. What was done stays done.
func (r *handoffReplica) noteProgress(id string, progress Progress) {
	if _, outgoing := r.Outgoing[id]; outgoing {
		progress.Done = max(progress.Done, r.progress[id].Done)
		r.progress[id] = progress
	}
}

// progressOf is how an outgoing job gets on, as far as its site has told.
func (r *handoffReplica) progressOf(id string) Progress { return r.progress[id] }

// progressCopy is how all outgoing jobs get on, as far as their sites have told.
func (r *handoffReplica) progressCopy() map[string]Progress { return maps.Clone(r.progress) }

// lacksProgress tells whether nobody here knows how an accepted job at another site gets on:
// anything said of it might be older than what its user was told before.
func (r *handoffReplica) lacksProgress(id string) bool {
	_, known := r.progress[id]
	return r.Outgoing[id].Accepted && !known
}

// noteDeleted notes that a record is deleted, ahead of the watch.
func (r *handoffReplica) noteDeleted(key string, revision uint64) {
	if _, _, err := parseHandoffKey(key); err == nil {
		r.deletions[key] = revision
	}
}

// isOlder tells whether a stored record is older than what the replica holds.
func (r *handoffReplica) isOlder(item protocol.KeyValue) bool {
	return r.versions[item.Key] >= item.Version || r.deletions[item.Key] > item.Version
}

// put reads a stored record.
func (r *handoffReplica) put(item protocol.KeyValue) error {
	kind, name, err := parseHandoffKey(item.Key)
	if err != nil {
		return err
	}
	switch kind {
	case keyOutgoing:
		err = r.putOutgoing(name, item.Value)
	case keyIncoming:
		err = r.putIncoming(name, item.Value)
	case keyLowWaterMark:
		err = putEpoch(r.LowWaterMarks, federation.Site(name), item.Value)
	case keyLastEpoch:
		err = putEpoch(r.LastEpochs, federation.Site(name), item.Value)
	case keyDrained:
		r.Drained[federation.Site(name)] = true
	}
	if err != nil {
		return fmt.Errorf("read hand-off record %s: %w", item.Key, err)
	}
	r.versions[item.Key] = item.Version
	return nil
}

func (r *handoffReplica) putOutgoing(id string, value json.RawMessage) error {
	var outgoing federation.Outgoing
	err := json.Unmarshal(value, &outgoing)
	r.Outgoing[id] = outgoing // even if malformed: the job is not to run here
	delete(r.unconfirmed, id)
	return err
}

func (r *handoffReplica) putIncoming(name string, value json.RawMessage) error {
	id, err := parseIncomingID(name)
	if err != nil {
		return err
	}
	var incoming federation.Incoming
	err = json.Unmarshal(value, &incoming)
	r.Incoming[id] = incoming
	return err
}

// putEpoch reads an epoch of a site, which never falls.
func putEpoch(epochs map[federation.Site]federation.Epoch, site federation.Site, value json.RawMessage) error {
	var epoch federation.Epoch
	err := json.Unmarshal(value, &epoch)
	epochs[site] = max(epochs[site], epoch)
	return err
}

// remove applies a deletion that the watch tells of, and reports whether the replica held a
// record of it.
func (r *handoffReplica) remove(key string, revision uint64) (removed bool) {
	if r.deletions[key] == revision {
		delete(r.deletions, key) // applied already
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
		delete(r.progress, name)
	case keyIncoming:
		if id, err := parseIncomingID(name); err == nil {
			delete(r.Incoming, id)
		}
	case keyDrained:
		delete(r.Drained, federation.Site(name))
	}
	return true
}

// isOutgoing tells whether another site has the right to run a job.
func (c *Core) isOutgoing(id string) bool {
	if _, outgoing := c.handoffs.Outgoing[id]; outgoing {
		return true
	}
	since, unconfirmed := c.handoffs.unconfirmed[id]
	return unconfirmed && c.now.Steady-since < c.reportInterval()
}

// notHandedOff is the condition that a job has not been handed off. Without a federation none
// is: all controllers of a site have one, by their own keys, before anything is handed off.
func (c *Core) notHandedOff(id string) []protocol.Condition {
	if c.federation == nil {
		return nil
	}
	return []protocol.Condition{{Key: outgoingKey(id)}}
}

// ignoresHandoffs tells whether this node must not lead anything: hand-offs are stored, and it
// has no federation to keep away from the jobs.
func (c *Core) ignoresHandoffs() bool { return c.federation == nil && c.handoffs.anyStored() }

// onHandedOff ends the bindings that could not be stored since the job is handed off. Its
// record is on its way.
func (c *Core) onHandedOff(j *job.Job) {
	c.handoffs.unconfirmed[j.ID] = c.now.Steady
	for i, b := range j.Bound {
		if !b.Stored {
			c.unbind(j, i)
		}
	}
}

// onFederationPut applies a stored record to the replica.
func (c *Core) onFederationPut(item protocol.KeyValue) error {
	if c.handoffs.isOlder(item) {
		return nil
	}
	if c.federation == nil && !c.handoffs.anyStored() {
		c.log(Error, "hand-offs are stored and this controller has no federation configuration: it will not lead any shard")
	}
	if err := c.handoffs.put(item); err != nil {
		return err
	}
	c.federation.noteChange(item.Version)
	return nil
}

// onFederationDelete applies the deletion of a record to the replica.
func (c *Core) onFederationDelete(key string, revision uint64) {
	if !c.handoffs.remove(key, revision) {
		return
	}
	if kind, id, _ := parseHandoffKey(key); kind == keyOutgoing {
		c.requestRound()
		if j := c.jobs[id]; j != nil {
			j.PendingSince = c.now.Steady
		}
	}
	c.federation.noteChange(revision)
}
