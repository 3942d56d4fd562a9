package core

import (
	"hash/fnv"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/federation"
)

// federationAdapter connects the coordinator of hand-offs between sites to the core. The
// coordinator runs on one controller at a time: the leader of the adapter's own shard.
type federationAdapter struct {
	core   *Core
	config *federation.Config
	shard  *shard
	// coordinator is nil while another controller leads the shard.
	coordinator *federation.Coordinator
	inputs      []federation.Input
	// pendingWrites holds the coordinator's writes that have no reply.
	pendingWrites map[uint64]bool
	// foreignRevisions are those at which its records changed by other writes, as far as known.
	foreignRevisions map[uint64]bool
	// reloadAt is when the coordinator is to get all records again, 0 for not at all.
	reloadAt time.Duration
	// stepAt is when the coordinator runs next without any input, jobsAt when it is told of
	// the waiting and the ended jobs.
	stepAt, jobsAt time.Duration
	// lookingUp holds the accepted jobs of other sites whose final state is being read.
	lookingUp map[string]bool
	operators operatorRequests
}

// Join makes this site part of a federation. It is called before the first Step.
func (c *Core) Join(config *federation.Config) {
	c.federation = &federationAdapter{
		core:             c,
		config:           config,
		shard:            &shard{name: "gateway", key: keyFederation},
		pendingWrites:    map[uint64]bool{},
		foreignRevisions: map[uint64]bool{},
		lookingUp:        map[string]bool{},
		operators:        newOperatorRequests(),
	}
	c.federation.limitWrites()
}

// limitWrites keeps the coordinator's writes within the store's limits. One change
// of a write that forgets decisions raises the low-water mark.
func (f *federationAdapter) limitWrites() {
	f.config.MaxForget = f.core.limits.maxChanges() - 1
}

// running tells whether the coordinator runs on this controller.
func (f *federationAdapter) running() bool { return f != nil && f.coordinator != nil }

// owns tells whether a shard is the adapter's.
func (f *federationAdapter) owns(s *shard) bool { return f != nil && s == f.shard }

// start runs the coordinator, as this controller has become its leader: the replica holds all
// that an earlier one has stored. incarnation tells the run of this process from others.
func (f *federationAdapter) start(incarnation string, records federation.Records) {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(incarnation)) // never fails
	f.coordinator = federation.New(f.config, seed.Sum64()+f.shard.version)
	clear(f.pendingWrites)
	clear(f.foreignRevisions)
	clear(f.lookingUp)
	f.inputs = []federation.Input{federation.RecordsLoaded{Records: records}}
	f.reloadAt = 0
}

// stop ends the coordinator, as this controller has lost the leadership.
func (f *federationAdapter) stop() { f.coordinator = nil }

// add queues an input of the coordinator.
func (f *federationAdapter) add(input federation.Input) { f.inputs = append(f.inputs, input) }

// takeInputs removes the queued inputs.
func (f *federationAdapter) takeInputs() []federation.Input {
	inputs := f.inputs
	f.inputs = nil
	return inputs
}

// peerReachable tells the coordinator that messages can be sent to a site again.
func (f *federationAdapter) peerReachable(site federation.Site) {
	if f.running() {
		f.add(federation.PeerReachable{Site: site})
	}
}

// noteChange notes a change of the records that did not come with the reply to a write. If no
// such reply tells of it later, the coordinator reads them again.
func (f *federationAdapter) noteChange(revision uint64) {
	if f.running() {
		f.foreignRevisions[revision] = true
	}
}

// reloadDue tells whether the coordinator is to get all records again.
func (f *federationAdapter) reloadDue(now time.Duration) bool {
	if len(f.pendingWrites) > 0 {
		return false
	}
	return len(f.foreignRevisions) > 0 || f.reloadAt > 0 && now >= f.reloadAt
}

// reload gives the coordinator all records.
func (f *federationAdapter) reload(records federation.Records) {
	clear(f.foreignRevisions)
	f.reloadAt = 0
	f.add(federation.RecordsLoaded{Records: records})
}

// canRunElsewhere tells whether a job that can never run here may go to a site that has
// what it asks for.
func (f *federationAdapter) canRunElsewhere(spec *job.Spec) bool {
	if f == nil || len(spec.Dependencies) > 0 {
		return false
	}
	return f.config.CanRunElsewhere(spec.Class, spec.Zone, spec.Types)
}

// updateFederationConfig takes the configuration file, read again.
func (c *Core) updateFederationConfig(config *federation.Config) {
	f := c.federation
	if f == nil || config.Site != f.config.Site {
		c.log(Error, "federation configuration rejected: the name of the site may not change", "site", config.Site)
		return
	}
	f.config = config
	c.federation.limitWrites()
	if f.running() {
		f.add(federation.ConfigChanged{Config: config})
	}
	c.log(Info, "federation configuration updated", "peers", len(config.Peers), "classes", len(config.Classes))
}
