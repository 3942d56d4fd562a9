package federation

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// simulation runs three sites with their stores and an unreliable network, and checks the
// invariants after every step.
type simulation struct {
	now   time.Duration
	sites map[Site]*simSite
	// inFlight holds the messages that can be delivered, heldBack those that are delivered only
	// after all hand-offs have ended.
	inFlight, heldBack []Message
	// userJobs holds the outcome of each submitted job.
	userJobs map[string]*userJob
	fail     func(format string, args ...any)
	// cutLinks holds pairs of sites; messages from the first to the second are dropped.
	cutLinks map[[2]Site]bool
	// failedStores holds the sites whose store does not answer.
	failedStores map[Site]bool
}

// userJob records the outcome of a submitted job across all sites.
type userJob struct {
	runs       int
	finalState string // at the origin, empty until the job has ended there
	givenUp    bool
}

// simSite is a site with its coordinator and its store.
type simSite struct {
	name        Site
	cfg         *Config
	coordinator *Coordinator
	records     Records
	jobs        map[string]*simJob
	// leaderVersion is the version of the leader's key. Writes issued under an earlier version
	// fail.
	leaderVersion int
	// delayed holds writes with an unknown outcome that may still be applied.
	delayed []delayedWrite
	seed    uint64
	// loggedErrors counts log lines that ask an operator to act.
	loggedErrors int
	answers      []Answer
}

type delayedWrite struct {
	write         Write
	leaderVersion int
}

// simJob is a job in the store of a site.
type simJob struct {
	userJobID, class string
	finalState       string
	outgoingEpoch    Epoch
	running          bool
	path             []Site
}

var siteNames = []Site{"a", "b", "c"}

func simConfig(self Site) *Config {
	cfg := Default()
	cfg.Site, cfg.RetryS, cfg.RetryMaxS = self, 1, 8
	repeatable := Class{Name: "k", AllowsRepeat: true}
	once := Class{Name: "once"}
	for _, site := range siteNames {
		if site != self {
			cfg.Peers = append(cfg.Peers, Peer{Site: site, MaxOutgoing: 2, MaxIncoming: 1})
			repeatable.To, repeatable.AcceptFrom = append(repeatable.To, site), append(repeatable.AcceptFrom, site)
			once.To, once.AcceptFrom = append(once.To, site), append(once.AcceptFrom, site)
		}
	}
	cfg.Classes = []Class{repeatable, once}
	return &cfg
}

func newSimulation(fail func(format string, args ...any)) *simulation {
	sim := &simulation{sites: map[Site]*simSite{}, userJobs: map[string]*userJob{}, fail: fail, cutLinks: map[[2]Site]bool{}, failedStores: map[Site]bool{}}
	for _, site := range siteNames {
		sim.sites[site] = &simSite{name: site, cfg: simConfig(site), jobs: map[string]*simJob{},
			records: Records{}.copy()}
	}
	for _, site := range siteNames {
		sim.startCoordinator(site)
	}
	return sim
}

// startCoordinator starts or restarts the coordinator of a site.
func (sim *simulation) startCoordinator(site Site) {
	s := sim.sites[site]
	s.leaderVersion++
	s.seed++
	s.coordinator = New(s.cfg, s.seed)
	sim.step(site, RecordsLoaded{s.records.copy()})
}

// writeFault is a fault of a store while it handles a write.
type writeFault int

const (
	noFault           writeFault = iota
	appliedUnanswered            // applied, but the outcome is unknown
	notApplied                   // not applied, and the outcome is unknown
	delayed                      // outcome unknown, applied later or never
)

// step passes inputs to a site and carries out the effects without write faults.
func (sim *simulation) step(site Site, inputs ...Input) { sim.stepWith(site, noFault, inputs...) }

// stepWith passes inputs to a site and carries out the effects, with a fault at every write.
func (sim *simulation) stepWith(site Site, fault writeFault, inputs ...Input) {
	target := sim.sites[site]
	queue := inputs
	for first := true; first || len(queue) > 0; first = false {
		effects := target.coordinator.Step(sim.now, queue...)
		queue = nil
		for _, effect := range effects {
			switch effect := effect.(type) {
			case StoreWrite:
				queue = append(queue, WriteCompleted{effect.ID, sim.executeWrite(target, effect.Write, fault)})
			case Reload:
				if !sim.failedStores[site] {
					queue = append(queue, RecordsLoaded{target.records.copy()})
				} else {
					target.coordinator.reloadAt = sim.now + time.Second // the adapter retries the read
				}
			case Log:
				if effect.IsError {
					target.loggedErrors++
				}
			case Answer:
				target.answers = append(target.answers, effect)
			case Send:
				if !sim.cutLinks[[2]Site{site, effect.Message.To}] {
					sim.inFlight = append(sim.inFlight, effect.Message)
				}
			case CancelLocal:
				sim.cancelLocal(site, effect.LocalID)
			}
		}
	}
	sim.checkInvariants()
}

// executeWrite applies a write as far as the given fault allows, and returns the outcome. While the
// store of the site is unavailable, nothing is applied.
func (sim *simulation) executeWrite(s *simSite, write Write, fault writeFault) Outcome {
	if sim.failedStores[s.name] {
		fault = notApplied
	}
	switch fault {
	case appliedUnanswered:
		sim.apply(s, write, s.leaderVersion)
		return OutcomeUnknown
	case notApplied:
		return OutcomeUnknown
	case delayed:
		s.delayed = append(s.delayed, delayedWrite{write, s.leaderVersion})
		return OutcomeUnknown
	}
	if sim.apply(s, write, s.leaderVersion) {
		return OutcomeApplied
	}
	return OutcomeConflict
}

// apply executes a write on the store of a site if the conditions of the write hold.
func (sim *simulation) apply(s *simSite, write Write, leaderVersion int) bool {
	if leaderVersion != s.leaderVersion {
		return false
	}
	switch write := write.(type) {
	case CreateOutgoing:
		j := s.jobs[write.JobID]
		if j == nil || j.finalState != "" || j.outgoingEpoch != 0 || j.running || write.Outgoing.Epoch != s.records.LastEpochs[write.Outgoing.To]+1 {
			return false
		}
		s.records.LastEpochs[write.Outgoing.To], j.outgoingEpoch = write.Outgoing.Epoch, write.Outgoing.Epoch
		s.records.Outgoing[write.JobID] = write.Outgoing
	case MarkCancelRequested:
		outgoing, ok := s.records.Outgoing[write.JobID]
		if !ok || outgoing.Epoch != write.Epoch {
			return false
		}
		outgoing.CancelRequested = true
		s.records.Outgoing[write.JobID] = outgoing
	case RevertOutgoing:
		if outgoing, ok := s.records.Outgoing[write.JobID]; !ok || outgoing.Epoch != write.Epoch {
			return false
		}
		delete(s.records.Outgoing, write.JobID)
		s.jobs[write.JobID].outgoingEpoch = 0
		if write.Operator != "" {
			sim.userJobs[s.jobs[write.JobID].userJobID].givenUp = true
		}
		if write.Cancelled {
			sim.setFinalState(s, write.JobID, Cancelled)
		}
	case FinishOutgoing:
		if outgoing, ok := s.records.Outgoing[write.JobID]; !ok || outgoing.Epoch != write.Epoch || s.jobs[write.JobID].finalState != "" {
			return false
		}
		delete(s.records.Outgoing, write.JobID)
		s.jobs[write.JobID].outgoingEpoch = 0
		sim.setFinalState(s, write.JobID, write.FinalState)
	case DecideIncoming:
		if _, ok := s.records.Incoming[write.ID]; ok || write.ID.Epoch <= s.records.LowWaterMarks[write.ID.Origin] {
			return false
		}
		s.records.Incoming[write.ID] = write.Incoming
		if write.Incoming.Accepted {
			originJob := sim.sites[write.ID.Origin].jobs[write.Ticket.JobID]
			s.jobs[write.Incoming.LocalID] = &simJob{userJobID: originJob.userJobID, class: originJob.class, path: write.Ticket.Path}
		}
	case FinishIncoming:
		incoming, ok := s.records.Incoming[write.ID]
		if !ok {
			return false
		}
		incoming.FinalState = write.FinalState
		s.records.Incoming[write.ID] = incoming
	case DeleteIncoming:
		if write.LowWaterMark < s.records.LowWaterMarks[write.Origin] {
			return false
		}
		s.records.LowWaterMarks[write.Origin] = write.LowWaterMark
		for _, id := range write.IDs {
			delete(s.records.Incoming, id)
		}
	case MarkAccepted:
		outgoing, ok := s.records.Outgoing[write.JobID]
		if !ok || outgoing.Epoch != write.Epoch {
			return false
		}
		outgoing.Accepted = true
		s.records.Outgoing[write.JobID] = outgoing
	case SetDrained:
		s.records.Drained[write.Site] = write.Drained
	case SetLastEpoch:
		s.records.LastEpochs[write.Site] = write.Epoch
	default:
		panic(fmt.Sprintf("unknown write %T", write))
	}
	return true
}

// setFinalState sets the final state of a job at a site. It fails the test if the job already has a
// final state.
func (sim *simulation) setFinalState(s *simSite, job, state string) {
	j := s.jobs[job]
	if j.finalState != "" {
		sim.fail("%s at %s: final state changed from %s to %s", job, s.name, j.finalState, state)
	}
	j.finalState, j.running = state, false
	if user := sim.userJobs[j.userJobID]; j.userJobID == job {
		user.finalState = state
	}
}

// submit adds a user's job at a site.
func (sim *simulation) submit(site Site, id, class string) {
	sim.userJobs[id] = &userJob{}
	sim.sites[site].jobs[id] = &simJob{userJobID: id, class: class}
}

// mayRun reports whether the site holds the right to run the job.
func (j *simJob) mayRun() bool { return j.finalState == "" && j.outgoingEpoch == 0 }

// startOrFinish starts a job that the site may run, or finishes it if it is already running.
func (sim *simulation) startOrFinish(site Site, id string) {
	s := sim.sites[site]
	j := s.jobs[id]
	switch {
	case j.running: // a running job finishes regardless of its records
		sim.userJobs[j.userJobID].runs++
		sim.setFinalState(s, id, Done)
	case j.mayRun():
		j.running = true
	}
	sim.checkInvariants()
}

// snapshot returns a copy of a site's store, which restore can put back.
func (s *simSite) snapshot() (Records, map[string]simJob) {
	jobs := map[string]simJob{}
	for id, j := range s.jobs {
		jobs[id] = *j
	}
	return s.records.copy(), jobs
}

// restore replaces a site's store with a snapshot and restarts its coordinator.
func (sim *simulation) restore(site Site, stored Records, jobs map[string]simJob) {
	s := sim.sites[site]
	s.records, s.delayed = stored, nil
	clear(s.jobs)
	for id, j := range jobs {
		j.running = false
		s.jobs[id] = &j
	}
	sim.startCoordinator(site)
}

// cancelLocal cancels a job that the site has accepted from another site.
func (sim *simulation) cancelLocal(site Site, id string) {
	j := sim.sites[site].jobs[id]
	switch {
	case j == nil || j.finalState != "":
	case j.outgoingEpoch != 0:
		sim.step(site, CancelRequested{JobID: id})
	default:
		sim.setFinalState(sim.sites[site], id, Cancelled)
	}
}

// cancel is a user's request to cancel a job at the site where it was submitted.
func (sim *simulation) cancel(site Site, id string) {
	j := sim.sites[site].jobs[id]
	if j.finalState == "" && j.outgoingEpoch == 0 {
		sim.setFinalState(sim.sites[site], id, Cancelled)
	} else if j.finalState == "" {
		sim.step(site, CancelRequested{Req: 1, JobID: id})
	}
	sim.checkInvariants()
}

// deliver delivers the i-th message in flight. A duplicated message stays in flight.
func (sim *simulation) deliver(i int, duplicate bool, fault writeFault) {
	msg := sim.inFlight[i]
	if !duplicate {
		sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	}
	sim.stepWith(msg.To, fault, MessageReceived{Message: msg})
}

// tick passes a site's waiting jobs to its coordinator, and the final states that are not stored
// in its incoming records yet.
func (sim *simulation) tick(site Site, fault writeFault) {
	s := sim.sites[site]
	var waiting JobsWaiting
	for _, id := range sortedJobs(s) {
		j := s.jobs[id]
		if j.mayRun() && !j.running {
			waiting.Jobs = append(waiting.Jobs, WaitingJob{ID: id, Class: j.class, Path: j.path, Waited: time.Hour})
		}
	}
	inputs := []Input{waiting}
	for _, incoming := range s.records.Incoming {
		if incoming.Accepted && incoming.FinalState == "" && s.jobs[incoming.LocalID].finalState != "" {
			inputs = append(inputs, LocalJobEnded{incoming.LocalID, s.jobs[incoming.LocalID].finalState})
		}
	}
	sim.stepWith(site, fault, inputs...)
}

// applyDelayedWrite applies the oldest delayed write of a site.
func (sim *simulation) applyDelayedWrite(site Site) {
	s := sim.sites[site]
	if len(s.delayed) > 0 {
		oldest := s.delayed[0]
		s.delayed = s.delayed[1:]
		if sim.apply(s, oldest.write, oldest.leaderVersion) {
			sim.step(site, RecordsLoaded{s.records.copy()}) // the watch reports the change
		}
	}
}

// checkInvariants fails the test if a job may run twice or its final state contradicts its runs. It
// skips jobs whose hand-off was given up, since these may run twice.
func (sim *simulation) checkInvariants() {
	holders := map[string][]string{}
	for _, site := range siteNames {
		for id, j := range sim.sites[site].jobs {
			if j.mayRun() || j.running {
				holders[j.userJobID] = append(holders[j.userJobID], fmt.Sprintf("%s at %s", id, site))
			}
		}
	}
	for id, user := range sim.userJobs {
		if user.givenUp {
			continue
		}
		if len(holders[id]) > 1 {
			sim.fail("%s: more than one site may run it: %v", id, holders[id])
		}
		if user.runs > 1 {
			sim.fail("%s: got %d runs, want at most 1", id, user.runs)
		}
		if user.finalState == Done && user.runs == 0 {
			sim.fail("%s: final state is done, but the job never ran", id)
		}
		if user.finalState == Cancelled && user.runs > 0 {
			sim.fail("%s: final state is cancelled, but the job ran to its end", id)
		}
		if user.finalState != "" && len(holders[id]) > 0 {
			sim.fail("%s: final state is %s, but the job may still run: %v", id, user.finalState, holders[id])
		}
	}
}

// runToCompletion ends all faults and runs the simulation until every job has its final state and
// no hand-off is open.
func (sim *simulation) runToCompletion() {
	clear(sim.cutLinks)
	clear(sim.failedStores)
	for range 400 {
		sim.now += time.Second
		for _, site := range siteNames {
			sim.applyDelayedWrite(site)
			sim.tick(site, noFault)
			for _, id := range sortedJobs(sim.sites[site]) {
				sim.startOrFinish(site, id)
			}
		}
		for len(sim.inFlight) > 0 {
			sim.deliver(0, false, noFault)
		}
		if sim.isComplete() && len(sim.heldBack) > 0 {
			sim.inFlight, sim.heldBack = sim.heldBack, nil // delayed messages must have no effect
		} else if sim.isComplete() {
			return
		}
	}
	var state []Status
	for _, site := range siteNames {
		state = append(state, sim.sites[site].coordinator.Status())
	}
	sim.fail("hand-offs did not end: %+v", state)
}

// isComplete reports whether every job has its final state and no hand-off is open.
func (sim *simulation) isComplete() bool {
	for _, s := range sim.sites {
		for _, j := range s.jobs {
			if j.finalState == "" {
				return false
			}
		}
		for _, incoming := range s.records.Incoming {
			if incoming.Accepted {
				return false
			}
		}
		if len(s.records.Outgoing) > 0 {
			return false
		}
	}
	return true
}

func sortedJobs(s *simSite) []string { return slices.Sorted(maps.Keys(s.jobs)) }
