package gateway

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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
	nextID  uint64
	// writing holds the writes on their way; there is one at a time for each subject.
	writing map[uint64]pending
	subject map[string]bool
	// due is when what is open is told again, tries how often it was.
	due   map[string]time.Duration
	tries map[string]int
	peers map[Site]*peerState
	// refused holds which site has refused which job, until it ends.
	refused map[refusal]bool
	// reloadAt is when the records are read again after a write of unknown outcome.
	reloadAt time.Duration
}

// Input and Effect are what goes in and comes out.
type (
	Input  any
	Effect any
)

type pending struct {
	write   Write
	subject string
	req     uint64
}

// New makes a gateway that knows nothing until Loaded comes.
func New(cfg *Config, seed uint64) *Machine {
	return &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 7)), writing: map[uint64]pending{}, subject: map[string]bool{},
		due: map[string]time.Duration{}, tries: map[string]int{}, peers: map[Site]*peerState{},
		refused: map[refusal]bool{}}
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
	if l, ok := in.(Loaded); ok {
		m.load(l.Records)
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
		m.received(in.Message)
	case Waiting:
		m.offer(in.Job)
	case EndedHere:
		m.endedHere(in)
	case Cancel:
		m.cancel(in)
	case GiveUp:
		m.giveUp(in)
	default:
		panic(fmt.Sprintf("gateway: unknown input %T", in))
	}
}

// takeBlind answers users while the records are not known; all else comes again.
func (m *Machine) takeBlind(in Input) {
	switch in := in.(type) {
	case Cancel:
		m.emit(Answer{Req: in.Req})
	case GiveUp:
		m.emit(Answer{Req: in.Req, Err: "records are not read yet"})
	}
}

// load takes the records, which replace all that was known. Writes that were on
// their way may still be applied; their conditions see to it that they or what
// follows them fail.
func (m *Machine) load(r Records) {
	m.records = Records{Last: r.Last, Away: maps.Clone(r.Away), Taken: maps.Clone(r.Taken), Floors: maps.Clone(r.Floors)}
	if m.records.Away == nil {
		m.records.Away = map[string]Away{}
	}
	if m.records.Taken == nil {
		m.records.Taken = map[Hold]Taken{}
	}
	if m.records.Floors == nil {
		m.records.Floors = map[Site]Epoch{}
	}
	m.loaded = true
	m.reloadAt = 0
	clear(m.writing)
	clear(m.subject)
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) log(text string, attrs ...any) { m.emit(Log{Text: text, Attrs: attrs}) }

func (m *Machine) send(msg Message) {
	msg.From = m.cfg.Site
	msg.Floor = m.floor(msg.To)
	m.emit(Send{msg})
}

// store writes, unless a write on the same subject is on its way.
func (m *Machine) store(subject string, w Write, req uint64) {
	if m.subject[subject] {
		if req != 0 {
			m.emit(Answer{Req: req})
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
		m.emit(Answer{Req: p.req})
	}
}

func (m *Machine) applied(p pending) {
	switch w := p.write.(type) {
	case MakeAway:
		m.records.Last = w.Away.Epoch
		m.records.Away[w.Job] = w.Away
		m.log("job handed off", "job", w.Job, "to", w.Away.To, "epoch", w.Away.Epoch)
		m.tellNow(awayKey(w.Job))
	case MarkCancel:
		a := m.records.Away[w.Job]
		a.CancelAsked = true
		m.records.Away[w.Job] = a
		m.tellNow(awayKey(w.Job))
	case TakeBack:
		m.back(w, p.req)
	case Finish:
		m.over(w.Job, w.State)
	case Decide:
		m.records.Taken[w.Hold] = w.Taken
		m.tellDecision(w.Hold)
	case NoteEnd:
		k := m.records.Taken[w.Hold]
		k.State = w.State
		m.records.Taken[w.Hold] = k
		m.tellNow(takenKey(w.Hold))
	case Forget:
		m.forgotten(w)
	}
}

// received takes a message. One about an epoch that is not the record's is dropped.
func (m *Machine) received(msg Message) {
	if _, known := m.cfg.peer(msg.From); !known || msg.To != m.cfg.Site {
		return
	}
	m.peer(msg.From).breaker.answered()
	if msg.Busy > 0 {
		m.peer(msg.From).busyUntil = m.now + min(msg.Busy, seconds(m.cfg.RetryMaxS))
	}
	switch msg.Kind {
	case Offered:
		m.offered(msg)
	case CancelAsked:
		m.cancelAsked(msg)
	case Decided:
		m.decided(msg)
	case Ended:
		m.ended(msg)
	}
	m.raiseFloor(msg.From, msg.Floor, msg.Kind == Closed)
}

// tend tells again what is open, as far as breakers and budgets allow.
func (m *Machine) tend() {
	if m.reloadAt > 0 && m.now >= m.reloadAt {
		m.reloadAt = 0
		m.emit(Reload{})
	}
	if !m.loaded {
		return
	}
	for _, p := range m.cfg.Peers {
		s := m.peer(p.Site)
		s.budget.fill((m.now - s.at).Seconds() * m.cfg.RetriesPerS)
		s.at = m.now
	}
	for _, job := range slices.Sorted(maps.Keys(m.records.Away)) {
		a := m.records.Away[job]
		if m.mayTell(awayKey(job), a.To) {
			m.tellAway(job, a)
		}
	}
	for _, h := range slices.SortedFunc(maps.Keys(m.records.Taken), compareHolds) {
		if k := m.records.Taken[h]; k.State != "" && m.mayTell(takenKey(h), h.Origin) {
			m.send(Message{To: h.Origin, Kind: Ended, Epoch: h.Epoch, State: k.State})
		}
	}
}

// tellNow has something told at the next chance.
func (m *Machine) tellNow(key string) { m.due[key], m.tries[key] = 0, 0 }

// mayTell tells whether something is due and may be sent, and sets its next time:
// later each time, at most RetryMaxS apart.
func (m *Machine) mayTell(key string, to Site) bool {
	p := m.peer(to)
	if m.now < m.due[key] || !p.breaker.allows(m.now) {
		return false
	}
	again := m.tries[key] > 0
	if again && !p.budget.take() {
		return false
	}
	p.breaker.tried(m.now, again, m.cfg)
	pause := min(seconds(m.cfg.RetryS)<<min(m.tries[key], 16), seconds(m.cfg.RetryMaxS))
	m.tries[key]++
	m.due[key] = m.now + jitter(m.rng, pause)
	return true
}

func (m *Machine) drop(key string) {
	delete(m.due, key)
	delete(m.tries, key)
}

func awayKey(job string) string { return "away/" + job }
func takenKey(h Hold) string    { return fmt.Sprintf("taken/%s/%d", h.Origin, h.Epoch) }

func compareHolds(a, b Hold) int {
	if a.Origin != b.Origin {
		return compare(a.Origin, b.Origin)
	}
	return compare(a.Epoch, b.Epoch)
}
