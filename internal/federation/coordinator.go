package federation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// rngStream is the second word of the seed of a coordinator's random number generator.
const rngStream = 7

// Coordinator runs the hand-offs of one site. It acts only on what is in the site's store: a
// message is sent only after the write that it reports has been applied, and requests are
// answered from the stored records.
type Coordinator struct {
	cfg     *Config
	rng     *rand.Rand
	now     time.Duration
	effects []Effect
	// loaded is true while records is up to date with the store.
	loaded  bool
	records Records
	index   *index
	writes  pendingWrites
	peers   map[Site]*peerState
	// waiting holds the pending jobs that may be handed off.
	waiting []WaitingJob
	// longestWaitS is the LongestWaitS of the last JobsWaiting.
	longestWaitS float64
	// refusals records which sites have refused a job for a reason that is not temporary. The
	// entries of a job are removed when it ends at another site or when a cancellation reverts its
	// hand-off.
	refusals map[refusalKey]bool
	// reloadAt is when to read the records again after a write with an unknown outcome, or 0 if
	// no read is scheduled.
	reloadAt time.Duration
}

// refusalKey identifies a job and a site that has refused it.
type refusalKey struct {
	job  string
	site Site
}

// New creates a coordinator. It does nothing before it receives RecordsLoaded.
func New(cfg *Config, seed uint64) *Coordinator {
	return &Coordinator{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(seed, rngStream)),
		writes:   newPendingWrites(),
		peers:    map[Site]*peerState{},
		refusals: map[refusalKey]bool{},
	}
}

// Loaded reports whether the records are loaded.
func (c *Coordinator) Loaded() bool { return c.loaded }

// Step processes inputs in order and returns the resulting effects in order.
func (c *Coordinator) Step(now time.Duration, inputs ...Input) []Effect {
	c.now, c.effects = now, nil
	for _, input := range inputs {
		c.handle(input)
	}
	c.advance()
	return c.effects
}

// handle dispatches one input to its handler.
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
	case ResumeHandOffs:
		c.handleResumeHandOffs(input)
	default:
		panic(fmt.Sprintf("federation: unknown input %T", input))
	}
}

// handleWithoutRecords answers requests from users and operators while the records are not
// loaded. All other inputs are dropped, because their senders repeat them.
func (c *Coordinator) handleWithoutRecords(input Input) {
	switch input := input.(type) {
	case CancelRequested:
		c.emit(Answer{Req: input.Req})
	case GiveUp:
		c.answerError(input.Req, errRecordsNotLoaded)
	case Drain:
		c.answerError(input.Req, errRecordsNotLoaded)
	case ResumeHandOffs:
		c.answerError(input.Req, errRecordsNotLoaded)
	}
}

// handleMessage processes a message from a peer. Every message updates the state of the peer.
// Before this site has compared its records with the peer's, the contents of a message are
// processed only if it belongs to the comparison or ends a hand-off. A decision or result about an
// epoch that is not outgoing changes no record.
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
		c.handleUncompared(msg)
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

// handleUncompared processes a message from a peer with which the records have not been compared. Only a
// result is accepted: it ends a hand-off that the records hold open, and stays the same whatever else the
// records lack, whereas the comparison needs the link in both directions.
func (c *Coordinator) handleUncompared(msg Message) {
	if msg.Kind == KindResult && c.peer(msg.From).suspendedReason == "" {
		c.finishOutgoing(msg)
	}
}

// advance requests a reload of the records if one is due, sends the messages that are due, within
// the limits of circuit breakers and retry budgets, and hands off pending jobs.
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

// advancePeer sends a peer everything that is due and deletes the decisions on epochs that the
// peer has closed.
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

// send sends a message with the sender, low-water mark and load filled in.
func (c *Coordinator) send(msg Message) {
	msg.From = c.cfg.Site
	msg.LowWaterMark = c.lowWaterMark(msg.To)
	msg.LongestWaitS = c.longestWaitS
	c.emit(Send{msg})
}
