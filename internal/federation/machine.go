package federation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Machine is one site's gateway. It acts only on what its state service holds: a
// message goes out after the write that it tells of, and what a message asks for is
// answered from the records.
type Machine struct {
	cfg     *Config
	rng     *rand.Rand
	now     time.Duration
	effects []Effect
	loaded  bool
	records Records
	index   *index
	nextID  uint64
	// writing holds the writes on their way; there is one at a time for each subject.
	writing map[uint64]pending
	subject map[string]bool
	peers   map[Site]*peerState
	// waiting are jobs that may go elsewhere, waitS is for how long work waits here.
	waiting []Job
	waitS   float64
	// refused holds which site has refused which job, until it ends.
	refused map[refusal]bool
	// reloadAt is when the records are read again after a write of unknown outcome.
	reloadAt time.Duration
}

// Input is something that happened: a message, a reply of the store, a change of a job.
type Input any

// Effect is something to be done: a message to be sent, a record to be written.
type Effect any

type pending struct {
	write   Write
	subject string
	req     uint64
}

// New makes a gateway that knows nothing until Loaded comes.
func New(cfg *Config, seed uint64) *Machine {
	return &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 7)), writing: map[uint64]pending{}, subject: map[string]bool{},
		peers: map[Site]*peerState{}, refused: map[refusal]bool{}}
}

// Step takes inputs in order and returns the effects in order.
func (m *Machine) Step(now time.Duration, inputs ...Input) []Effect {
	m.now, m.effects = now, nil
	for _, in := range inputs {
		m.take(in)
	}
	m.tend()
	return m.effects
}

func (m *Machine) take(in Input) {
	switch in := in.(type) {
	case Loaded:
		m.load(in.Records)
		return
	case Configured:
		m.cfg = in.Config
		return
	}
	if !m.loaded {
		m.takeBlind(in)
		return
	}
	switch in := in.(type) {
	case Stored:
		m.stored(in)
	case Received:
		m.received(in)
	case Waiting:
		m.waiting, m.waitS = in.Jobs, in.WaitS
	case EndedHere:
		m.endedHere(in)
	case Cancel:
		m.cancel(in)
	case Reachable:
		m.reachable(in.Site)
	case GiveUp:
		m.giveUp(in)
	case Drain:
		m.drain(in)
	case Renew:
		m.renew(in)
	default:
		panic(fmt.Sprintf("gateway: unknown input %T", in))
	}
}

// unread answers operators while the records are not known.
const unread = "records are not read yet"

// takeBlind answers users while the records are not known; all else comes again.
func (m *Machine) takeBlind(in Input) {
	switch in := in.(type) {
	case Cancel:
		m.emit(Answer{Req: in.Req})
	case GiveUp:
		m.emit(Answer{Req: in.Req, Err: unread})
	case Drain:
		m.emit(Answer{Req: in.Req, Err: unread})
	case Renew:
		m.emit(Answer{Req: in.Req, Err: unread})
	}
}

// load takes the records, which replace all that was known. Writes that were on
// their way may still be applied; their conditions see to it that they or what
// follows them fail.
func (m *Machine) load(r Records) {
	m.records = r.copy()
	m.index = newIndex(&m.records)
	m.loaded = true
	m.reloadAt = 0
	clear(m.writing)
	clear(m.subject)
	m.planAll()
}

// planAll puts all that is open on the agendas, and keeps the times of what was
// there before.
func (m *Machine) planAll() {
	for _, p := range m.peers {
		for i := range p.agenda.of {
			if !m.open(p.site, i) {
				p.agenda.drop(i)
			}
		}
	}
	for to, list := range m.index.open {
		for _, e := range list {
			m.plan(to, item{e, true})
		}
	}
	for origin, list := range m.index.taken {
		for _, e := range list {
			if m.open(origin, item{e, false}) {
				m.plan(origin, item{e, false})
			}
		}
	}
}

// open tells whether an item is still to be told.
func (m *Machine) open(peer Site, i item) bool {
	if i.out {
		return m.index.job[given{peer, i.epoch}] != ""
	}
	return m.records.Taken[Hold{peer, i.epoch}].State != ""
}

// plan puts an item on a peer's agenda, unless it is there.
func (m *Machine) plan(peer Site, i item) {
	if p := m.peer(peer); p.agenda.of[i] == nil {
		p.agenda.set(i, 0, 0)
	}
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) log(text string, attrs ...any) { m.emit(Log{Text: text, Attrs: attrs}) }

func (m *Machine) send(msg Message) {
	msg.From, msg.Floor, msg.WaitS = m.cfg.Site, m.floor(msg.To), m.waitS
	m.emit(Send{msg})
}

// store writes, unless a write on the same subject is on its way.
func (m *Machine) store(subject string, w Write, req uint64) {
	if m.subject[subject] {
		if req != 0 {
			m.emit(Answer{Req: req, Err: "another change is on its way, try again"})
		}
		return
	}
	m.nextID++
	m.subject[subject] = true
	m.writing[m.nextID] = pending{w, subject, req}
	m.emit(Store{ID: m.nextID, Write: w})
}

// stored takes the outcome of a write. What failed, or may have been applied, is
// found out by reading: only this node writes these records while it is the home.
func (m *Machine) stored(s Stored) {
	p, known := m.writing[s.ID]
	if !known {
		return
	}
	delete(m.writing, s.ID)
	delete(m.subject, p.subject)
	switch s.Outcome {
	case Applied:
		m.applied(p)
	case Conflict:
		m.loaded = false
		m.emit(Reload{})
	case Unknown:
		m.loaded = false
		m.reloadAt = m.now + jitter(m.rng, seconds(m.cfg.RetryS))
	}
	if s.Outcome != Applied && p.req != 0 {
		m.emit(Answer{Req: p.req, Err: "not stored, try again"})
	}
}

func (m *Machine) applied(p pending) {
	switch w := p.write.(type) {
	case MakeAway:
		m.records.Last[w.Away.To] = w.Away.Epoch
		m.addAway(w.Job, w.Away)
		m.log("job handed off", "job", w.Job, "to", w.Away.To, "epoch", w.Away.Epoch)
		m.tellNow(w.Away.To, item{w.Away.Epoch, true})
	case MarkTold:
		a := m.records.Away[w.Job]
		a.Accepted = true
		m.records.Away[w.Job] = a
	case MarkCancel:
		a := m.records.Away[w.Job]
		a.CancelAsked = true
		m.records.Away[w.Job] = a
		m.tellNow(a.To, item{a.Epoch, true})
	case TakeBack:
		m.back(w, p.req)
	case Finish:
		m.over(w.Job, w.State)
	case Decide:
		m.setTaken(w.Hold, w.Taken)
		m.tellDecision(w.Hold)
	case NoteEnd:
		k := m.records.Taken[w.Hold]
		k.State = w.State
		m.setTaken(w.Hold, k)
		m.tellNow(w.Hold.Origin, item{w.Hold.Epoch, false})
	case Forget:
		m.forgotten(w)
	case SetDrain:
		m.records.Drained[w.Site] = w.On
		m.log("operator's word on new hand-offs", "peer", w.Site, "drained", w.On)
		m.emit(Answer{Req: p.req, State: drainWord(w.On)})
	case SetLast:
		m.renewed(w, p.req)
	}
}

// received takes a message. One about an epoch that is not the record's is dropped,
// and all before the two sites have compared their records.
func (m *Machine) received(in Received) {
	msg := in.Message
	if _, known := m.cfg.peer(msg.From); !known || msg.To != m.cfg.Site {
		return
	}
	p := m.peer(msg.From)
	p.breaker.answered()
	p.budget.fill(triesPerAnswer)
	p.waitS, p.waitAt = msg.WaitS, m.now
	if msg.Busy > 0 {
		// Longer each time: a job that was offered over and over again to full sites
		// was never at home for long enough to start.
		p.busy = min(max(msg.Busy, 2*p.busy), seconds(m.cfg.RetryMaxS))
		p.busyUntil = m.now + p.busy
	}
	switch msg.Kind {
	case Asked:
		m.send(Message{To: msg.From, Kind: Viewed, Nonce: msg.Nonce, View: m.view(msg.From)})
		return
	case Viewed:
		m.viewed(msg)
		return
	}
	if !p.met {
		return
	}
	switch msg.Kind {
	case Offered:
		m.offered(in)
	case CancelAsked:
		m.cancelAsked(msg)
	case Decided:
		m.decided(msg)
	case Ended:
		m.ended(msg)
	}
	m.closed(msg)
}

// tend tells again what is open, as far as breakers and budgets allow, and hands
// off what waits.
func (m *Machine) tend() {
	if m.reloadAt > 0 && m.now >= m.reloadAt {
		m.reloadAt = 0
		m.emit(Reload{})
	}
	if !m.loaded {
		return
	}
	for _, c := range m.cfg.Peers {
		p := m.peer(c.Site)
		p.budget.fill((m.now - p.at).Seconds() * m.cfg.RetriesPerS)
		p.at = m.now
		p.breaker.judge(m.now, m.cfg)
		m.meet(c.Site, p)
		if p.met {
			m.tellAll(p)
			m.tellRoom(p)
			m.raiseFloor(p)
		}
	}
	m.offerWaiting()
}

// resolveAll tells a peer what is due.
func (m *Machine) tellAll(p *peerState) {
	for e := p.agenda.first(); e != nil && e.due <= m.now; e = p.agenda.first() {
		again := e.tries > 0
		if !p.breaker.allows(m.now) || again && !p.budget.take() {
			return
		}
		if again {
			p.retries++
		}
		p.breaker.tried(m.now, m.cfg)
		p.agenda.set(e.item, m.now+jitter(m.rng, m.pause(e.tries)), e.tries+1)
		if e.out {
			m.tellAway(m.index.job[given{p.site, e.epoch}])
		} else {
			m.tellDecision(Hold{p.site, e.epoch})
		}
	}
}

// reachable has all that is open at a peer told at once, as far as its budget goes.
// Without it the first word after a long cut waited for the longest pause.
func (m *Machine) reachable(s Site) {
	p := m.peer(s)
	p.breaker.answered()
	p.askAt = 0
	p.agenda.hasten(m.now)
}

// pause is how long to wait after a try: twice as long each time, up to RetryMaxS.
func (m *Machine) pause(tries int) time.Duration {
	return min(seconds(m.cfg.RetryS)<<min(tries, 16), seconds(m.cfg.RetryMaxS))
}

// tellNow has something told at the next chance.
func (m *Machine) tellNow(peer Site, i item) { m.peer(peer).agenda.set(i, 0, 0) }

// tellRoom tells a peer now and then for how long work waits here.
func (m *Machine) tellRoom(p *peerState) {
	if m.now >= p.roomAt && p.breaker.allows(m.now) {
		p.roomAt = m.now + seconds(m.cfg.RoomAgeS)/2
		m.send(Message{To: p.site, Kind: Roomed})
	}
}
