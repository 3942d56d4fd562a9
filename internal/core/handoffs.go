package core

import (
	"strconv"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// Keys of the hand-offs between sites. Only the gateway's home writes them.
const (
	keyAway    = keyFederation + "a/" // j/ga/<job>: another site has the right to it
	keyTaken   = keyFederation + "t/" // j/gt/<origin>/<epoch>: what was decided here
	keyFloor   = keyFederation + "f/" // j/gf/<origin>: the epoch up to which all is closed
	keyLast    = keyFederation + "e/" // j/ge/<site>: the highest epoch given to it
	keyDrained = keyFederation + "d/" // j/gd/<site>: no new hand-offs with it
)

func awayKey(id string) string { return keyAway + id }
func takenKey(h federation.IncomingID) string {
	return keyTaken + string(h.Origin) + "/" + epochText(h.Epoch)
}
func floorKey(s federation.Site) string   { return keyFloor + string(s) }
func lastKey(s federation.Site) string    { return keyLast + string(s) }
func drainedKey(s federation.Site) string { return keyDrained + string(s) }
func epochText(e federation.Epoch) string { return strconv.FormatUint(uint64(e), 10) }

// handoffRecords mirror the hand-offs on every controller, with a gateway or without:
// what is away is bound nowhere here.
type handoffRecords struct {
	federation.Records
	// versions are the keys' versions, gone the revisions of deletions that the
	// watch has not told yet.
	versions map[string]uint64
	gone     map[string]uint64
	// unconfirmed holds jobs that were found to be away before their records came.
	unconfirmed map[string]time.Duration
	// progress is what the far sites have told of jobs that are away, for display.
	progress map[string]Progress
}

func newSiteRecords() handoffRecords {
	return handoffRecords{Records: federation.Records{LastEpochs: map[federation.Site]federation.Epoch{}, Outgoing: map[string]federation.Outgoing{},
		Incoming: map[federation.IncomingID]federation.Incoming{}, LowWaterMarks: map[federation.Site]federation.Epoch{}, Drained: map[federation.Site]bool{}},
		versions: map[string]uint64{}, gone: map[string]uint64{}, unconfirmed: map[string]time.Duration{}, progress: map[string]Progress{}}
}

// isOutgoing tells whether another site has the right to a job.
func (c *Core) isOutgoing(id string) bool {
	if _, away := c.handoffs.Outgoing[id]; away {
		return true
	}
	at, doubted := c.handoffs.unconfirmed[id]
	return doubted && c.now.Steady-at < c.reportInterval()
}

// notHandedOff is the condition that a job has not been handed off. Without a gateway
// none is; that all controllers of a site have one before anything is handed off is
// seen to by their own keys.
func (c *Core) notHandedOff(id string) []protocol.Condition {
	if c.federation == nil {
		return nil
	}
	return []protocol.Condition{{Key: awayKey(id)}}
}

// hidesOutgoing tells whether this node must be no home: hand-offs are stored, and it does
// not know how to keep away from them.
func (c *Core) hidesOutgoing() bool { return c.federation == nil && len(c.handoffs.versions) > 0 }

// handedOff ends the bindings that could not be stored since the job is away. Its
// record is on its way.
func (c *Core) handedOff(j *job.Job) {
	c.handoffs.unconfirmed[j.ID] = c.now.Steady
	for i, b := range j.Bound {
		if !b.Stored {
			c.unbind(j, i)
		}
	}
}

// onFederationPut takes over a stored record.
func (c *Core) onFederationPut(item protocol.KeyValue) error {
	if c.handoffs.versions[item.Key] >= item.Version || c.handoffs.gone[item.Key] > item.Version {
		return nil
	}
	if c.federation == nil && len(c.handoffs.versions) == 0 {
		c.log(Error, "jobs of this site are handed off: give this controller its gateway file; it takes no teams without")
	}
	if err := c.handoffs.put(item); err != nil {
		return err
	}
	c.handoffs.versions[item.Key] = item.Version
	c.siteChanged(item.Version)
	return nil
}

// put reads a record into the mirror.
func (s *handoffRecords) put(item protocol.KeyValue) error {
	kind, name, err := splitSite(item.Key)
	if err != nil {
		return err
	}
	switch kind {
	case keyAway:
		var a federation.Outgoing
		err = json.Unmarshal(item.Value, &a)
		s.Outgoing[name] = a
		delete(s.unconfirmed, name)
	case keyTaken:
		var k federation.Incoming
		var h federation.IncomingID
		if h, err = holdOf(name); err == nil {
			err = json.Unmarshal(item.Value, &k)
			s.Incoming[h] = k
		}
	case keyFloor, keyLast:
		var e federation.Epoch
		err = json.Unmarshal(item.Value, &e)
		of := map[string]map[federation.Site]federation.Epoch{keyFloor: s.LowWaterMarks, keyLast: s.LastEpochs}[kind]
		of[federation.Site(name)] = max(of[federation.Site(name)], e)
	case keyDrained:
		s.Drained[federation.Site(name)] = true
	}
	return err
}

// splitSite takes the key of a record apart.
func splitSite(key string) (kind, name string, err error) {
	for _, kind := range []string{keyAway, keyTaken, keyFloor, keyLast, keyDrained} {
		if name, ok := strings.CutPrefix(key, kind); ok {
			return kind, name, nil
		}
	}
	return "", "", strconv.ErrSyntax
}

func holdOf(name string) (federation.IncomingID, error) {
	origin, epoch, _ := strings.Cut(name, "/")
	e, err := strconv.ParseUint(epoch, 10, 64)
	return federation.IncomingID{Origin: federation.Site(origin), Epoch: federation.Epoch(e)}, err
}

// onFederationDelete applies the deletion of a record.
func (c *Core) onFederationDelete(key string, revision uint64) {
	s := &c.handoffs
	if s.gone[key] == revision {
		delete(s.gone, key) // told already
		return
	}
	if v, there := s.versions[key]; !there || v > revision {
		return
	}
	delete(s.versions, key)
	kind, name, err := splitSite(key)
	if err != nil {
		return
	}
	switch kind {
	case keyAway:
		delete(s.Outgoing, name)
		delete(s.progress, name)
		c.requestRound()
		if j := c.jobs[name]; j != nil {
			j.WaitingSince = c.now.Steady
		}
	case keyTaken:
		if h, err := holdOf(name); err == nil {
			delete(s.Incoming, h)
		}
	case keyDrained:
		delete(s.Drained, federation.Site(name))
	}
	c.siteChanged(revision)
}
