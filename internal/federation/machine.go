package federation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Coordinator is one site's gateway. It acts only on what its state service holds: a
// message goes out after the write that it tells of, and what a message asks for is
// answered from the records.
type Coordinator struct {
	cfg     *Config
	rng     *rand.Rand
	now     time.Duration
	effects []Effect
	loaded  bool
	records Records
	index   *index
	nextID  uint64
	// pendingWrites holds the writes on their way; there is one at a time for each subject.
	pendingWrites  map[uint64]pendingWrite
	lockedSubjects map[string]bool
	peers          map[Site]*peerState
	// waiting are jobs that may go elsewhere, longestWaitS is for how long work waits here.
	waiting      []WaitingJob
	longestWaitS float64
	// rejected holds which site has refused which job, until it ends.
	rejected map[rejectionKey]bool
	// reloadAt is when the records are read again after a write of unknown outcome.
	reloadAt time.Duration
}

// Input is something that happened: a message, a reply of the store, a change of a job.
type Input any

// Effect is something to be done: a message to be sent, a record to be written.
type Effect any

type pendingWrite struct {
	write   Write
	subject string
	req     uint64
}

// New makes a gateway that knows nothing until Loaded comes.
func New(cfg *Config, seed uint64) *Coordinator {
	return &Coordinator{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 7)), pendingWrites: map[uint64]pendingWrite{}, lockedSubjects: map[string]bool{},
		peers: map[Site]*peerState{}, rejected: map[rejectionKey]bool{}}
}

// Step takes inputs in order and returns the effects in order.
func (m *Coordinator) Step(now time.Duration, inputs ...Input) []Effect {
	m.now, m.effects = now, nil
	for _, in := range inputs {
		m.handle(in)
	}
	m.advance()
	return m.effects
}

func (m *Coordinator) handle(in Input) {
	switch in := in.(type) {
	case RecordsLoaded:
		m.load(in.Records)
		return
	case ConfigChanged:
		m.cfg = in.Config
		return
	}
	if !m.loaded {
		m.handleWithoutRecords(in)
		return
	}
	switch in := in.(type) {
	case WriteCompleted:
		m.handleWriteCompleted(in)
	case MessageReceived:
		m.handleMessage(in)
	case JobsWaiting:
		m.waiting, m.longestWaitS = in.Jobs, in.LongestWaitS
	case LocalJobEnded:
		m.handleLocalJobEnded(in)
	case CancelRequested:
		m.handleCancelRequested(in)
	case PeerReachable:
		m.handlePeerReachable(in.Site)
	case GiveUp:
		m.handleGiveUp(in)
	case Drain:
		m.handleDrain(in)
	case Renew:
		m.handleRenew(in)
	default:
		panic(fmt.Sprintf("gateway: unknown input %T", in))
	}
}

// errRecordsNotLoaded answers operators while the records are not known.
const errRecordsNotLoaded = "records are not read yet"

// handleWithoutRecords answers users while the records are not known; all else comes again.
func (m *Coordinator) handleWithoutRecords(in Input) {
	switch in := in.(type) {
	case CancelRequested:
		m.emit(Answer{Req: in.Req})
	case GiveUp:
		m.emit(Answer{Req: in.Req, Error: errRecordsNotLoaded})
	case Drain:
		m.emit(Answer{Req: in.Req, Error: errRecordsNotLoaded})
	case Renew:
		m.emit(Answer{Req: in.Req, Error: errRecordsNotLoaded})
	}
}

// load takes the records, which replace all that was known. Writes that were on
// their way may still be applied; their conditions see to it that they or what
// follows them fail.
func (m *Coordinator) load(r Records) {
	m.records = r.copy()
	m.index = newIndex(&m.records)
	m.loaded = true
	m.reloadAt = 0
	clear(m.pendingWrites)
	clear(m.lockedSubjects)
	m.rebuildRetryQueues()
}

// rebuildRetryQueues puts all that is open on the agendas, and keeps the times of what was
// there before.
func (m *Coordinator) rebuildRetryQueues() {
	for _, p := range m.peers {
		for i := range p.retryQueue.byKey {
			if !m.isOpen(p.site, i) {
				p.retryQueue.remove(i)
			}
		}
	}
	for to, list := range m.index.openEpochs {
		for _, e := range list {
			m.scheduleIfMissing(to, retryKey{e, true})
		}
	}
	for origin, list := range m.index.incoming {
		for _, e := range list {
			if m.isOpen(origin, retryKey{e, false}) {
				m.scheduleIfMissing(origin, retryKey{e, false})
			}
		}
	}
}

// isOpen tells whether an item is still to be told.
func (m *Coordinator) isOpen(peer Site, i retryKey) bool {
	if i.outgoing {
		return m.index.outgoing[outgoingID{peer, i.epoch}] != ""
	}
	return m.records.Incoming[IncomingID{peer, i.epoch}].FinalState != ""
}

// scheduleIfMissing puts an item on a peer's agenda, unless it is there.
func (m *Coordinator) scheduleIfMissing(peer Site, i retryKey) {
	if p := m.peer(peer); p.retryQueue.byKey[i] == nil {
		p.retryQueue.schedule(i, 0, 0)
	}
}

func (m *Coordinator) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Coordinator) log(text string, attrs ...any) { m.emit(Log{Text: text, Attrs: attrs}) }

func (m *Coordinator) send(msg Message) {
	msg.From, msg.LowWaterMark, msg.LongestWaitS = m.cfg.Site, m.lowWaterMark(msg.To), m.longestWaitS
	m.emit(Send{msg})
}

// write writes, unless a write on the same subject is on its way.
func (m *Coordinator) write(subject string, w Write, req uint64) {
	if m.lockedSubjects[subject] {
		if req != 0 {
			m.emit(Answer{Req: req, Error: "another change is on its way, try again"})
		}
		return
	}
	m.nextID++
	m.lockedSubjects[subject] = true
	m.pendingWrites[m.nextID] = pendingWrite{w, subject, req}
	m.emit(StoreWrite{ID: m.nextID, Write: w})
}

// handleWriteCompleted takes the outcome of a write. What failed, or may have been applied, is
// found out by reading: only this node writes these records while it is the home.
func (m *Coordinator) handleWriteCompleted(s WriteCompleted) {
	p, known := m.pendingWrites[s.ID]
	if !known {
		return
	}
	delete(m.pendingWrites, s.ID)
	delete(m.lockedSubjects, p.subject)
	switch s.Outcome {
	case Applied:
		m.onApplied(p)
	case Conflict:
		m.loaded = false
		m.emit(Reload{})
	case Unknown:
		m.loaded = false
		m.reloadAt = m.now + jitter(m.rng, seconds(m.cfg.RetryS))
	}
	if s.Outcome != Applied && p.req != 0 {
		m.emit(Answer{Req: p.req, Error: "not stored, try again"})
	}
}

func (m *Coordinator) onApplied(p pendingWrite) {
	switch w := p.write.(type) {
	case CreateOutgoing:
		m.records.LastEpochs[w.Outgoing.To] = w.Outgoing.Epoch
		m.addOutgoing(w.JobID, w.Outgoing)
		m.log("job handed off", "job", w.JobID, "to", w.Outgoing.To, "epoch", w.Outgoing.Epoch)
		m.scheduleNow(w.Outgoing.To, retryKey{w.Outgoing.Epoch, true})
	case MarkAccepted:
		a := m.records.Outgoing[w.JobID]
		a.Accepted = true
		m.records.Outgoing[w.JobID] = a
	case MarkCancelRequested:
		a := m.records.Outgoing[w.JobID]
		a.CancelRequested = true
		m.records.Outgoing[w.JobID] = a
		m.scheduleNow(a.To, retryKey{a.Epoch, true})
	case RevertOutgoing:
		m.onReverted(w, p.req)
	case FinishOutgoing:
		m.onFinished(w.JobID, w.FinalState)
	case DecideIncoming:
		m.setIncoming(w.ID, w.Incoming)
		m.sendDecision(w.ID)
	case FinishIncoming:
		k := m.records.Incoming[w.ID]
		k.FinalState = w.FinalState
		m.setIncoming(w.ID, k)
		m.scheduleNow(w.ID.Origin, retryKey{w.ID.Epoch, false})
	case ForgetIncoming:
		m.onForgotten(w)
	case SetDrained:
		m.records.Drained[w.Site] = w.Drained
		m.log("operator's word on new hand-offs", "peer", w.Site, "drained", w.Drained)
		m.emit(Answer{Req: p.req, State: drainedText(w.Drained)})
	case SetLastEpoch:
		m.onRenewed(w, p.req)
	}
}

// handleMessage takes a message. One about an epoch that is not the record's is dropped,
// and all before the two sites have compared their records.
func (m *Coordinator) handleMessage(in MessageReceived) {
	msg := in.Message
	if _, known := m.cfg.peer(msg.From); !known || msg.To != m.cfg.Site {
		return
	}
	p := m.peer(msg.From)
	p.breaker.close()
	p.budget.add(retriesPerAnswer)
	p.longestWaitS, p.loadReceivedAt = msg.LongestWaitS, m.now
	if msg.Backoff > 0 {
		// Longer each time: a job that was offered over and over again to full sites
		// was never at home for long enough to start.
		p.backoff = min(max(msg.Backoff, 2*p.backoff), seconds(m.cfg.RetryMaxS))
		p.backoffUntil = m.now + p.backoff
	}
	switch msg.Kind {
	case KindViewRequest:
		m.send(Message{To: msg.From, Kind: KindView, Nonce: msg.Nonce, View: m.view(msg.From)})
		return
	case KindView:
		m.handleView(msg)
		return
	}
	if !p.recordsCompared {
		return
	}
	switch msg.Kind {
	case KindOffer:
		m.handleOffer(in)
	case KindCancel:
		m.handleCancelMessage(msg)
	case KindDecision:
		m.handleDecision(msg)
	case KindResult:
		m.handleResult(msg)
	}
	m.handleClosed(msg)
}

// advance tells again what is open, as far as breakers and budgets allow, and hands
// off what waits.
func (m *Coordinator) advance() {
	if m.reloadAt > 0 && m.now >= m.reloadAt {
		m.reloadAt = 0
		m.emit(Reload{})
	}
	if !m.loaded {
		return
	}
	for _, c := range m.cfg.Peers {
		p := m.peer(c.Site)
		p.budget.add((m.now - p.refilledAt).Seconds() * m.cfg.RetryRate)
		p.refilledAt = m.now
		p.breaker.checkTimeout(m.now, m.cfg)
		m.requestView(c.Site, p)
		if p.recordsCompared {
			m.sendDue(p)
			m.sendLoad(p)
			m.advanceLowWaterMark(p)
		}
	}
	m.offerWaiting()
}

// resolveAll tells a peer what is due.
func (m *Coordinator) sendDue(p *peerState) {
	for e := p.retryQueue.first(); e != nil && e.due <= m.now; e = p.retryQueue.first() {
		again := e.attempts > 0
		if !p.breaker.allows(m.now) || again && !p.budget.take() {
			return
		}
		if again {
			p.retryCount++
		}
		p.breaker.onTry(m.now, m.cfg)
		p.retryQueue.schedule(e.retryKey, m.now+jitter(m.rng, m.retryDelay(e.attempts)), e.attempts+1)
		if e.outgoing {
			m.sendOutgoing(m.index.outgoing[outgoingID{p.site, e.epoch}])
		} else {
			m.sendDecision(IncomingID{p.site, e.epoch})
		}
	}
}

// handlePeerReachable has all that is open at a peer told at once, as far as its budget goes.
// Without it the first word after a long cut waited for the longest pause.
func (m *Coordinator) handlePeerReachable(s Site) {
	p := m.peer(s)
	p.breaker.close()
	p.viewRequestDueAt = 0
	p.retryQueue.expedite(m.now)
}

// retryDelay is how long to wait after a try: twice as long each time, up to RetryMaxS.
func (m *Coordinator) retryDelay(tries int) time.Duration {
	return min(seconds(m.cfg.RetryS)<<min(tries, 16), seconds(m.cfg.RetryMaxS))
}

// scheduleNow has something told at the next chance.
func (m *Coordinator) scheduleNow(peer Site, i retryKey) { m.peer(peer).retryQueue.schedule(i, 0, 0) }

// sendLoad tells a peer now and then for how long work waits here.
func (m *Coordinator) sendLoad(p *peerState) {
	if m.now >= p.loadDueAt && p.breaker.allows(m.now) {
		p.loadDueAt = m.now + seconds(m.cfg.LoadMaxAgeS)/2
		m.send(Message{To: p.site, Kind: KindLoad})
	}
}
