package core

import (
	"hash/fnv"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/federation"
)

// federationAdapter connects the coordinator, which hands jobs off between sites, to the core. The
// coordinator runs on one controller at a time: the leader of the federation shard.
type federationAdapter struct {
	core   *Core
	config *federation.Config
	shard  *shard
	// coordinator is nil while another controller leads the shard.
	coordinator *federation.Coordinator
	inputs      []federation.Input
	// pendingWrites holds the IDs of the coordinator's writes that have no reply yet.
	pendingWrites map[uint64]bool
	// unattributedRevisions holds the revisions at which records changed, except those that replies
	// to this coordinator's own writes account for.
	unattributedRevisions map[uint64]bool
	// reloadAt is the time at which all records are to be reloaded into the coordinator, 0 if no
	// reload is scheduled.
	reloadAt time.Duration
	// nextStep is the next time at which the coordinator runs even without input. nextJobUpdate is
	// the next time at which it is informed of waiting jobs and ended jobs.
	nextStep, nextJobUpdate time.Duration
	// pendingLookups holds the IDs of accepted jobs of other sites whose final state is being
	// looked up.
	pendingLookups map[string]bool
	// progress is replaced whenever the coordinator starts.
	progress  *progressWriter
	operators operatorRequestTable
}

// EnableFederation makes this site part of a federation. It must be called before the first Step.
func (c *Core) EnableFederation(config *federation.Config) {
	c.federation = &federationAdapter{
		core:                  c,
		config:                config,
		shard:                 &shard{name: "gateway", key: keyFederation},
		pendingWrites:         map[uint64]bool{},
		unattributedRevisions: map[uint64]bool{},
		pendingLookups:        map[string]bool{},
		operators:             newOperatorRequestTable(),
	}
	c.federation.limitWrites()
}

// limitWrites keeps the coordinator's writes within the store's limits. A write that deletes
// decisions needs one of its changes to raise the low-water mark.
func (f *federationAdapter) limitWrites() {
	f.config.MaxDeletionsPerWrite = f.core.limits.maxChanges() - 1
}

// running reports whether the coordinator runs on this controller.
func (f *federationAdapter) running() bool { return f != nil && f.coordinator != nil }

// owns reports whether a shard is the federation shard.
func (f *federationAdapter) owns(s *shard) bool { return f != nil && s == f.shard }

// startCoordinator starts the coordinator after this controller has become the leader of the
// federation shard. The replica then holds everything that earlier coordinators have stored.
// incarnation identifies this run of the process.
func (f *federationAdapter) startCoordinator(incarnation string, records federation.Records) {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(incarnation)) // never fails
	f.coordinator = federation.New(f.config, seed.Sum64()+f.shard.version)
	clear(f.pendingWrites)
	clear(f.unattributedRevisions)
	clear(f.pendingLookups)
	f.inputs = []federation.Input{federation.RecordsLoaded{Records: records}}
	f.reloadAt = 0
	f.progress = newProgressWriter(f)
}

// stopCoordinator stops the coordinator after this controller has lost the leadership.
func (f *federationAdapter) stopCoordinator() { f.coordinator = nil }

// add queues an input for the coordinator.
func (f *federationAdapter) add(input federation.Input) { f.inputs = append(f.inputs, input) }

// takeInputs removes and returns the queued inputs.
func (f *federationAdapter) takeInputs() []federation.Input {
	inputs := f.inputs
	f.inputs = nil
	return inputs
}

// handleSiteConnected notifies the coordinator that messages can be sent to another site again.
func (f *federationAdapter) handleSiteConnected(site federation.Site) {
	if f.running() {
		f.add(federation.PeerReachable{Site: site})
	}
}

// recordChange records the revision of a change of the records. Unless the reply to a write of this
// coordinator accounts for that revision, the records are reloaded into the coordinator.
func (f *federationAdapter) recordChange(revision uint64) {
	if f.running() {
		f.unattributedRevisions[revision] = true
	}
}

// reloadDue reports whether all records must be reloaded into the coordinator now.
func (f *federationAdapter) reloadDue(now time.Duration) bool {
	if len(f.pendingWrites) > 0 {
		return false
	}
	return len(f.unattributedRevisions) > 0 || f.reloadAt > 0 && now >= f.reloadAt
}

// reload passes all records to the coordinator.
func (f *federationAdapter) reload(records federation.Records) {
	clear(f.unattributedRevisions)
	f.reloadAt = 0
	f.add(federation.RecordsLoaded{Records: records})
}

// canRunElsewhere reports whether a job that can never run here may be handed off to a site that has
// the zone and machine types that it requires.
func (f *federationAdapter) canRunElsewhere(spec *job.Spec) bool {
	if f == nil || len(spec.Dependencies) > 0 {
		return false
	}
	return f.config.CanRunElsewhere(spec.Class, spec.Zone, spec.Types)
}

// updateFederationConfig applies a reloaded configuration file.
func (c *Core) updateFederationConfig(config *federation.Config) {
	f := c.federation
	if f == nil || config.Site != f.config.Site {
		c.log(Error, "federation configuration rejected: site name must not change", "site", config.Site)
		return
	}
	f.config = config
	c.federation.limitWrites()
	if f.running() {
		f.add(federation.ConfigChanged{Config: config})
	}
	c.log(Info, "federation configuration updated", "peers", len(config.Peers), "classes", len(config.Classes))
}
