package federation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// rngStream is the second half of the seed of a coordinator's random numbers.
const rngStream = 7

// Coordinator runs one site's hand-offs. It acts only on what its store holds: a message
// goes out after the write that it tells of, and what a message asks for is answered from
// the records.
type Coordinator struct {
	cfg     *Config
	rng     *rand.Rand
	now     time.Duration
	effects []Effect
	// loaded is set while the records are known.
	loaded  bool
	records Records
	index   *index
	writes  pendingWrites
	peers   map[Site]*peerState
	// waiting are jobs that may go elsewhere.
	waiting []WaitingJob
	// longestWaitS is for how many seconds work waits here.
	longestWaitS float64
	// rejected holds which site has refused which job, until the job ends.
	rejected map[rejectionKey]bool
	// reloadAt is when the records are read again after a write of unknown outcome.
	reloadAt time.Duration
}

// rejectionKey names a job and a site that has refused it.
type rejectionKey struct {
	job string
	by  Site
}

// New makes a coordinator that knows nothing until RecordsLoaded comes.
func New(cfg *Config, seed uint64) *Coordinator {
	return &Coordinator{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(seed, rngStream)),
		writes:   newPendingWrites(),
		peers:    map[Site]*peerState{},
		rejected: map[rejectionKey]bool{},
	}
}

// Loaded tells whether the records are known.
func (c *Coordinator) Loaded() bool { return c.loaded }

// Step takes inputs in order and returns the effects in order.
func (c *Coordinator) Step(now time.Duration, inputs ...Input) []Effect {
	c.now, c.effects = now, nil
	for _, input := range inputs {
		c.handle(input)
	}
	c.advance()
	return c.effects
}

func (c *Coordinator) handle(input Input) {
	switch input := input.(type) {
	case RecordsLoaded:
		c.load(input.Records)
		return
	case ConfigChanged:
		c.cfg = input.Config
		return
	}
	if !c.loaded {
		c.handleWithoutRecords(input)
		return
	}
	switch input := input.(type) {
	case WriteCompleted:
		c.handleWriteCompleted(input)
	case MessageReceived:
		c.handleMessage(input)
	case JobsWaiting:
		c.waiting, c.longestWaitS = input.Jobs, input.LongestWaitS
	case LocalJobEnded:
		c.handleLocalJobEnded(input)
	case CancelRequested:
		c.handleCancelRequested(input)
	case PeerReachable:
		c.handlePeerReachable(input.Site)
	case GiveUp:
		c.handleGiveUp(input)
	case Drain:
		c.handleDrain(input)
	case Renew:
		c.handleRenew(input)
	default:
		panic(fmt.Sprintf("federation: unknown input %T", input))
	}
}

// handleWithoutRecords answers users and operators while the records are not known; all else
// comes again.
func (c *Coordinator) handleWithoutRecords(input Input) {
	switch input := input.(type) {
	case CancelRequested:
		c.emit(Answer{Req: input.Req})
	case GiveUp:
		c.answerError(input.Req, errRecordsNotLoaded)
	case Drain:
		c.answerError(input.Req, errRecordsNotLoaded)
	case Renew:
		c.answerError(input.Req, errRecordsNotLoaded)
	}
}

// handleMessage takes a message. One about an epoch that is not the record's is dropped,
// and all before the two sites have compared their records.
func (c *Coordinator) handleMessage(in MessageReceived) {
	msg := in.Message
	if _, known := c.cfg.peer(msg.From); !known || msg.To != c.cfg.Site {
		return
	}
	peer := c.peer(msg.From)
	peer.onMessage(msg, c.now, c.cfg)
	switch msg.Kind {
	case KindViewRequest:
		c.send(Message{To: msg.From, Kind: KindView, Nonce: msg.Nonce, View: c.view(msg.From)})
		return
	case KindView:
		c.handleView(msg)
		return
	}
	if !peer.recordsCompared {
		return
	}
	switch msg.Kind {
	case KindOffer:
		c.handleOffer(in)
	case KindCancel:
		c.handleCancelMessage(msg)
	case KindDecision:
		c.handleDecision(msg)
	case KindResult:
		c.handleResult(msg)
	}
	c.handleClosed(msg)
}

// advance sends again what has no answer, as far as circuit breakers and retry budgets allow,
// and hands off jobs that wait.
func (c *Coordinator) advance() {
	if c.reloadAt > 0 && c.now >= c.reloadAt {
		c.reloadAt = 0
		c.emit(Reload{})
	}
	if !c.loaded {
		return
	}
	for _, peer := range c.cfg.Peers {
		c.advancePeer(c.peer(peer.Site))
	}
	c.offerWaiting()
}

func (c *Coordinator) advancePeer(peer *peerState) {
	peer.budget.refill(c.now, c.cfg.RetryRate)
	peer.breaker.checkTimeout(c.now, c.cfg)
	c.requestView(peer)
	if !peer.recordsCompared {
		return
	}
	c.sendDue(peer)
	c.sendLoad(peer)
	c.advanceLowWaterMark(peer)
}

func (c *Coordinator) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Coordinator) log(text string, attrs ...any) { c.emit(Log{Text: text, Attrs: attrs}) }

func (c *Coordinator) logError(text string, attrs ...any) {
	c.emit(Log{Text: text, Attrs: attrs, IsError: true})
}

func (c *Coordinator) send(msg Message) {
	msg.From = c.cfg.Site
	msg.LowWaterMark = c.lowWaterMark(msg.To)
	msg.LongestWaitS = c.longestWaitS
	c.emit(Send{msg})
}
