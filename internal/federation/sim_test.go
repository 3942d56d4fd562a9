package federation

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// sim is three sites with their stores and a network that does as it likes. It
// checks after every step what must hold.
type sim struct {
	now   time.Duration
	sites map[Site]*simSite
	// inFlight are the messages on their way, heldBack those that come when all is over.
	inFlight, heldBack []Message
	// userJobs holds for each job of a user what has become of it.
	userJobs map[string]*userJob
	fail     func(format string, args ...any)
	// cut holds back what passes between two sites, in one direction.
	cut map[[2]Site]bool
	// down holds the sites whose store answers nothing.
	down map[Site]bool
}

type userJob struct {
	runs    int
	final   string // at the origin, once it is
	givenUp bool
}

type simSite struct {
	name        Site
	cfg         *Config
	coordinator *Coordinator
	records     Records
	jobs        map[string]*simJob
	// leaderVersion is the version of the leader's key; writes of an earlier one fail.
	leaderVersion int
	// late are writes that may yet be applied.
	late []lateWrite
	seed uint64
	// loggedErrors counts the lines that ask an operator to do something.
	loggedErrors int
	answers      []Answer
}

type lateWrite struct {
	write         Write
	leaderVersion int
}

type simJob struct {
	userJobID, class string
	final            string
	outgoingEpoch    Epoch
	running          bool
	path             []Site
}

var siteNames = []Site{"a", "b", "c"}

func simConfig(self Site) *Config {
	c := Default()
	c.Site, c.RetryS, c.RetryMaxS = self, 1, 8
	k := Class{Name: "k", AllowsRepeat: true}
	once := Class{Name: "once"}
	for _, s := range siteNames {
		if s != self {
			c.Peers = append(c.Peers, Peer{Site: s, MaxOutgoing: 2, MaxIncoming: 1})
			k.To, k.AcceptFrom = append(k.To, s), append(k.AcceptFrom, s)
			once.To, once.AcceptFrom = append(once.To, s), append(once.AcceptFrom, s)
		}
	}
	c.Classes = []Class{k, once}
	return &c
}

func newSim(fail func(format string, args ...any)) *sim {
	w := &sim{sites: map[Site]*simSite{}, userJobs: map[string]*userJob{}, fail: fail, cut: map[[2]Site]bool{}, down: map[Site]bool{}}
	for _, n := range siteNames {
		w.sites[n] = &simSite{name: n, cfg: simConfig(n), jobs: map[string]*simJob{},
			records: Records{}.copy()}
	}
	for _, n := range siteNames {
		w.boot(n)
	}
	return w
}

// boot starts a site's coordinator, or starts it again.
func (w *sim) boot(n Site) {
	s := w.sites[n]
	s.leaderVersion++
	s.seed++
	s.coordinator = New(s.cfg, s.seed)
	w.step(n, RecordsLoaded{s.records.copy()})
}

// fate is what becomes of a write.
type fate int

const (
	fine       fate = iota
	unanswered      // applied, no answer
	lost            // not applied, no answer
	late            // no answer, applied later or never
)

// step hands inputs to a site and carries the effects out, writes as planned.
func (w *sim) step(n Site, in ...Input) { w.stepWith(n, fine, in...) }

func (w *sim) stepWith(n Site, f fate, in ...Input) {
	s := w.sites[n]
	queue := in
	for first := true; first || len(queue) > 0; first = false {
		effects := s.coordinator.Step(w.now, queue...)
		queue = nil
		for _, e := range effects {
			switch e := e.(type) {
			case StoreWrite:
				queue = append(queue, WriteCompleted{e.ID, w.write(s, e.Write, f)})
			case Reload:
				if !w.down[n] {
					queue = append(queue, RecordsLoaded{s.records.copy()})
				} else {
					s.coordinator.reloadAt = w.now + time.Second // the adapter tries again
				}
			case Log:
				if e.IsError {
					s.loggedErrors++
				}
			case Answer:
				s.answers = append(s.answers, e)
			case Send:
				if !w.cut[[2]Site{n, e.Message.To}] {
					w.inFlight = append(w.inFlight, e.Message)
				}
			case CancelLocal:
				w.cancelLocal(n, e.LocalID)
			}
		}
	}
	w.check()
}

func (w *sim) write(s *simSite, wr Write, f fate) Outcome {
	if w.down[s.name] {
		f = lost
	}
	switch f {
	case unanswered:
		w.apply(s, wr, s.leaderVersion)
		return Unknown
	case lost:
		return Unknown
	case late:
		s.late = append(s.late, lateWrite{wr, s.leaderVersion})
		return Unknown
	}
	if w.apply(s, wr, s.leaderVersion) {
		return Applied
	}
	return Conflict
}

// apply is the store: one transaction under its conditions.
func (w *sim) apply(s *simSite, wr Write, leaderVersion int) bool {
	if leaderVersion != s.leaderVersion {
		return false
	}
	switch wr := wr.(type) {
	case CreateOutgoing:
		j := s.jobs[wr.JobID]
		if j == nil || j.final != "" || j.outgoingEpoch != 0 || j.running || wr.Outgoing.Epoch != s.records.LastEpochs[wr.Outgoing.To]+1 {
			return false
		}
		s.records.LastEpochs[wr.Outgoing.To], j.outgoingEpoch = wr.Outgoing.Epoch, wr.Outgoing.Epoch
		s.records.Outgoing[wr.JobID] = wr.Outgoing
	case MarkCancelRequested:
		a, ok := s.records.Outgoing[wr.JobID]
		if !ok || a.Epoch != wr.Epoch {
			return false
		}
		a.CancelRequested = true
		s.records.Outgoing[wr.JobID] = a
	case RevertOutgoing:
		if a, ok := s.records.Outgoing[wr.JobID]; !ok || a.Epoch != wr.Epoch {
			return false
		}
		delete(s.records.Outgoing, wr.JobID)
		s.jobs[wr.JobID].outgoingEpoch = 0
		if wr.Operator != "" {
			w.userJobs[s.jobs[wr.JobID].userJobID].givenUp = true
		}
		if wr.Cancelled {
			w.end(s, wr.JobID, Cancelled)
		}
	case FinishOutgoing:
		if a, ok := s.records.Outgoing[wr.JobID]; !ok || a.Epoch != wr.Epoch || s.jobs[wr.JobID].final != "" {
			return false
		}
		delete(s.records.Outgoing, wr.JobID)
		s.jobs[wr.JobID].outgoingEpoch = 0
		w.end(s, wr.JobID, wr.FinalState)
	case DecideIncoming:
		if _, ok := s.records.Incoming[wr.ID]; ok || wr.ID.Epoch <= s.records.LowWaterMarks[wr.ID.Origin] {
			return false
		}
		s.records.Incoming[wr.ID] = wr.Incoming
		if wr.Incoming.Accepted {
			from := w.sites[wr.ID.Origin].jobs[wr.Ticket.JobID]
			s.jobs[wr.Incoming.LocalID] = &simJob{userJobID: from.userJobID, class: from.class, path: wr.Ticket.Path}
		}
	case FinishIncoming:
		k, ok := s.records.Incoming[wr.ID]
		if !ok {
			return false
		}
		k.FinalState = wr.FinalState
		s.records.Incoming[wr.ID] = k
	case ForgetIncoming:
		if wr.LowWaterMark < s.records.LowWaterMarks[wr.Origin] {
			return false
		}
		s.records.LowWaterMarks[wr.Origin] = wr.LowWaterMark
		for _, h := range wr.IDs {
			delete(s.records.Incoming, h)
		}
	case MarkAccepted:
		a, ok := s.records.Outgoing[wr.JobID]
		if !ok || a.Epoch != wr.Epoch {
			return false
		}
		a.Accepted = true
		s.records.Outgoing[wr.JobID] = a
	case SetDrained:
		s.records.Drained[wr.Site] = wr.Drained
	case SetLastEpoch:
		s.records.LastEpochs[wr.Site] = wr.Epoch
	default:
		panic(fmt.Sprintf("unknown write %T", wr))
	}
	return true
}

// end gives a job its final state at a site, for good.
func (w *sim) end(s *simSite, job, state string) {
	j := s.jobs[job]
	if j.final != "" {
		w.fail("%s at %s was %s and becomes %s", job, s.name, j.final, state)
	}
	j.final, j.running = state, false
	if r := w.userJobs[j.userJobID]; j.userJobID == job {
		r.final = state
	}
}

// submit hands a job of a user in at a site.
func (w *sim) submit(n Site, id, class string) {
	w.userJobs[id] = &userJob{}
	w.sites[n].jobs[id] = &simJob{userJobID: id, class: class}
}

// mayRun tells whether a site holds the right to a job.
func (j *simJob) mayRun() bool { return j.final == "" && j.outgoingEpoch == 0 }

// run starts a job where it is, or ends it as done.
func (w *sim) run(n Site, id string) {
	s := w.sites[n]
	j := s.jobs[id]
	switch {
	case j.running: // it goes on, whatever the records say
		w.userJobs[j.userJobID].runs++
		w.end(s, id, Done)
	case j.mayRun():
		j.running = true
	}
	w.check()
}

// snapshot is a copy of a site's store; restore brings it back, as of then.
func (s *simSite) snapshot() (Records, map[string]simJob) {
	jobs := map[string]simJob{}
	for id, j := range s.jobs {
		jobs[id] = *j
	}
	return s.records.copy(), jobs
}

func (w *sim) restore(n Site, r Records, jobs map[string]simJob) {
	s := w.sites[n]
	s.records, s.late = r, nil
	clear(s.jobs)
	for id, j := range jobs {
		j.running = false
		s.jobs[id] = &j
	}
	w.boot(n)
}

// cancelLocal is the site's own cancellation of a job that it has accepted.
func (w *sim) cancelLocal(n Site, id string) {
	j := w.sites[n].jobs[id]
	switch {
	case j == nil || j.final != "":
	case j.outgoingEpoch != 0:
		w.step(n, CancelRequested{JobID: id})
	default:
		w.end(w.sites[n], id, Cancelled)
	}
}

// cancel is a user's request at the site where the job was handed in.
func (w *sim) cancel(n Site, id string) {
	j := w.sites[n].jobs[id]
	if j.final == "" && j.outgoingEpoch == 0 {
		w.end(w.sites[n], id, Cancelled)
	} else if j.final == "" {
		w.step(n, CancelRequested{Req: 1, JobID: id})
	}
	w.check()
}

// deliver hands the i-th message over, and keeps it when it comes again.
func (w *sim) deliver(i int, again bool, f fate) {
	m := w.inFlight[i]
	if !again {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	w.stepWith(m.To, f, MessageReceived{Message: m})
}

// tick lets a second pass at a site: its jobs that wait may go elsewhere, and ends
// that are not noted yet are reported to the coordinator.
func (w *sim) tick(n Site, f fate) {
	s := w.sites[n]
	var wait JobsWaiting
	for _, id := range sortedJobs(s) {
		j := s.jobs[id]
		if j.mayRun() && !j.running {
			wait.Jobs = append(wait.Jobs, WaitingJob{ID: id, Class: j.class, Path: j.path, Waited: time.Hour})
		}
	}
	in := []Input{wait}
	for _, k := range s.records.Incoming {
		if k.Accepted && k.FinalState == "" && s.jobs[k.LocalID].final != "" {
			in = append(in, LocalJobEnded{k.LocalID, s.jobs[k.LocalID].final})
		}
	}
	w.stepWith(n, f, in...)
}

// applyLate lets the oldest write of unknown outcome be applied now.
func (w *sim) applyLate(n Site) {
	s := w.sites[n]
	if len(s.late) > 0 {
		l := s.late[0]
		s.late = s.late[1:]
		if w.apply(s, l.write, l.leaderVersion) {
			w.step(n, RecordsLoaded{s.records.copy()}) // its watch tells
		}
	}
}

// check is what must hold at any moment.
func (w *sim) check() {
	holders := map[string][]string{}
	for _, n := range siteNames {
		for id, j := range w.sites[n].jobs {
			if j.mayRun() || j.running {
				holders[j.userJobID] = append(holders[j.userJobID], fmt.Sprintf("%s at %s", id, n))
			}
		}
	}
	for id, r := range w.userJobs {
		if r.givenUp {
			continue
		}
		if len(holders[id]) > 1 {
			w.fail("%s may run twice: %v", id, holders[id])
		}
		if r.runs > 1 {
			w.fail("%s ran %d times", id, r.runs)
		}
		if r.final == Done && r.runs == 0 {
			w.fail("%s is done and never ran", id)
		}
		if r.final == Cancelled && r.runs > 0 {
			w.fail("%s is cancelled at its origin and ran to its end", id)
		}
		if r.final != "" && len(holders[id]) > 0 {
			w.fail("%s is %s, and may still run: %v", id, r.final, holders[id])
		}
	}
}

// finish ends all faults, and plays until every job has its final state and no
// hand-off is open.
func (w *sim) finish() {
	clear(w.cut)
	clear(w.down)
	for range 400 {
		w.now += time.Second
		for _, n := range siteNames {
			w.applyLate(n)
			w.tick(n, fine)
			for _, id := range sortedJobs(w.sites[n]) {
				w.run(n, id)
			}
		}
		for len(w.inFlight) > 0 {
			w.deliver(0, false, fine)
		}
		if w.finished() && len(w.heldBack) > 0 {
			w.inFlight, w.heldBack = w.heldBack, nil // late, and harmless
		} else if w.finished() {
			return
		}
	}
	var state []Status
	for _, n := range siteNames {
		state = append(state, w.sites[n].coordinator.Status())
	}
	w.fail("hand-offs do not end: %+v", state)
}

func (w *sim) finished() bool {
	for _, s := range w.sites {
		for _, j := range s.jobs {
			if j.final == "" {
				return false
			}
		}
		for _, k := range s.records.Incoming {
			if k.Accepted {
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
