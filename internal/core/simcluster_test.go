package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// world plays scripted controllers, workers, cloud and state service against a
// fake clock, and checks the rules on every start.
type world struct {
	t            tester
	rng          *rand.Rand
	now          time.Duration
	tick         time.Duration
	cores        map[string]*Core
	inbox        map[string][]Command
	withoutStore map[string]bool // nodes without the store

	kv       map[string]protocol.KeyValue
	revision uint64
	events   []protocol.Event
	seen     map[string]uint64
	leases   map[uint64]string
	outage   bool

	workers map[string]*fakeWorker
	rented  int
	// loseDeliveries holds deliveries back instead of carrying them out.
	loseDeliveries bool
	heldDeliveries []Deliver
	// delayDeliveries lets every fourth delivery be carried out seconds later, without an answer.
	delayDeliveries bool
	// lateWrite says for a transaction with changes how late it is carried out, without an
	// answer, or 0.
	lateWrite func(node string, e StoreTxn) time.Duration
	// lostReplies makes transactions be applied without an answer.
	lostReplies int

	answers map[uint64]Answer
	nextReq uint64
	starts  map[string]int
	cfg     map[string]*settings.Settings
	// unlisted is a machine that the cloud has taken back without notice.
	unlisted string
	// requests counts what the controllers ask of the state service.
	requests int
	// nameOneFailedKey makes a failed transaction name one failed key only.
	nameOneFailedKey bool
	// unreachableNodes cannot be reached by workers; redirected counts how many workers were
	// sent to each node.
	unreachableNodes map[string]bool
	redirected       map[string]int
	// allowRacingStarts lets tasks start whose start was on its way when their job was
	// cancelled.
	allowRacingStarts bool
	// broken jobs fail wherever they run, on faulty machines everything does.
	broken, faulty map[string]bool
	// gateways holds the gateway files of the nodes that have one; sent is what was
	// sent to other sites.
	gateways map[string]*federation.Config
	sent     []federation.Message
	// onEffect, if set, is told of every effect.
	onEffect func(node string, e Effect)
	// names are the controllers; maxMachines is how many machines the cloud has.
	names       []string
	maxMachines int
	// taskTime is how long a task runs.
	taskTime time.Duration
	// types is the cloud's catalogue.
	types []protocol.MachineType
	// refusedLinks holds the links between controllers over which nothing passes.
	refusedLinks map[link]bool
	// slowLinks hold back what is sent over them until they are restored.
	slowLinks    map[link]bool
	heldMessages map[link][]PeerMessage
	// frozen holds the controllers that stand still, cutWorkers the workers without a network.
	frozen     map[string]bool
	cutWorkers map[string]bool
	// unreachableWorkers are the machines whose reports arrive while nothing reaches them;
	// workerCannotReach holds the links from a controller to a machine that carry nothing.
	unreachableWorkers map[string]bool
	workerCannotReach  map[link]bool
	// silentWorkers are the machines that reach no controller, while direct calls reach them.
	silentWorkers map[string]bool
	// replayReports lets copies of past reports come late, to any controller.
	replayReports bool
	pastReports   []Heartbeat
	// noCloud keeps the cloud from taking machines back.
	noCloud bool
	// storeLostAt is since when the state service answers a controller nothing, as it notices
	// after a report interval; storeLossNoticed holds those that have.
	storeLostAt      map[string]time.Duration
	storeLossNoticed map[string]bool
	// watchLag is the pause between two watches of a controller, watchedAt its last.
	watchLag  time.Duration
	watchedAt map[string]time.Duration
	// slowWatcher is a controller whose watch brings nothing.
	slowWatcher string
	// awaitingSnapshot holds the controllers that wait for the stored state, awaitingLease those
	// that wait for a lease.
	awaitingSnapshot, awaitingLease map[string]bool
	// scheduled holds what goes on beside, until it says that it is over.
	scheduled []func() bool
	// latency keeps messages between controllers flying from one tick to the next; those
	// of a controller that ends are lost.
	latency          bool
	messagesInFlight []flight
	// previousRelease are controllers of the release before, which know less of messages.
	previousRelease []string
	// unevenRunTimes lets every second task of a job run three times as long; recoveries counts
	// how often all faults ended.
	unevenRunTimes bool
	recoveries     int
	// tokenOwners tells which run has acquired each fencing token.
	tokenOwners map[uint64]string
	// completed are the tasks that have ended by themselves.
	completed map[string]bool
	// cancellationToldAt is when the user of a job was told that it is cancelled.
	cancellationToldAt map[string]time.Duration
	// specs are the submitted jobs, as their users described them.
	specs map[string]*job.Spec
	// tune changes the settings that every controller is given.
	tune func(*settings.Settings)
	// zoned lets the cloud have as many machines in each zone; zoneOf is where
	// controllers are, zoneCut a zone that is cut off from everything else.
	zoned   bool
	zoneOf  map[string]string
	zoneCut string
	// fullZone is a zone of which the cloud has no machines.
	fullZone string
	// hungUntil is until when machines hang.
	hungUntil map[string]time.Duration
	// completeGangs are the attempts of gangs that were on machines with all their tasks.
	completeGangs map[taskAttempt]bool
	// allRestarted is set once all controllers have ended at once. What they had told users of is
	// in the state service alone then, and if that is out for longer than a cancellation may
	// take, nothing but its lease ends what is on a machine that hangs.
	allRestarted bool
	// holdReports lets some reports get no answer and arrive much later, anywhere.
	holdReports bool
	// endedAt is when the final state of a job was stored.
	endedAt map[string]time.Duration
	// notUpgraded are the controllers that have the version before: they do not state theirs.
	notUpgraded map[string]bool
	// lowLimits is set once the state service has the limits to come.
	lowLimits bool
}

// tester is what a world needs of a test, or of one try of a property.
type tester interface {
	Helper()
	Error(args ...any)
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

func newWorld(t tester) *world { return newWorldOf(t, nodeNames) }

func newWorldOf(t tester, names []string) *world { return newTunedWorld(t, names, nil) }

// newTunedWorld is a world whose controllers are given other settings.
func newTunedWorld(t tester, names []string, tune func(*settings.Settings)) *world {
	w := &world{
		t:                  t,
		rng:                rand.New(rand.NewPCG(1, 2)),
		tick:               100 * time.Millisecond,
		names:              names,
		tune:               tune,
		maxMachines:        40,
		taskTime:           5 * time.Second,
		specs:              map[string]*job.Spec{},
		endedAt:            map[string]time.Duration{},
		notUpgraded:        map[string]bool{},
		hungUntil:          map[string]time.Duration{},
		completeGangs:      map[taskAttempt]bool{},
		cores:              map[string]*Core{},
		inbox:              map[string][]Command{},
		withoutStore:       map[string]bool{},
		kv:                 map[string]protocol.KeyValue{},
		seen:               map[string]uint64{},
		leases:             map[uint64]string{},
		workers:            map[string]*fakeWorker{},
		answers:            map[uint64]Answer{},
		starts:             map[string]int{},
		broken:             map[string]bool{},
		faulty:             map[string]bool{},
		unreachableNodes:   map[string]bool{},
		redirected:         map[string]int{},
		cfg:                map[string]*settings.Settings{},
		refusedLinks:       map[link]bool{},
		slowLinks:          map[link]bool{},
		heldMessages:       map[link][]PeerMessage{},
		frozen:             map[string]bool{},
		cutWorkers:         map[string]bool{},
		unreachableWorkers: map[string]bool{},
		silentWorkers:      map[string]bool{},
		workerCannotReach:  map[link]bool{},
		storeLostAt:        map[string]time.Duration{},
		storeLossNoticed:   map[string]bool{},
		awaitingSnapshot:   map[string]bool{},
		awaitingLease:      map[string]bool{},
		watchedAt:          map[string]time.Duration{},
		cancellationToldAt: map[string]time.Duration{},
		completed:          map[string]bool{},
		tokenOwners:        map[uint64]string{},
	}
	w.types = []protocol.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 50, FetchGBPS: 1, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: []string{"z1", "z2"}},
	}
	for _, n := range names {
		w.boot(n)
	}
	return w
}

func testSettings(node string) *settings.Settings { return settingsAmong(node, nodeNames) }

func settingsAmong(node string, names []string) *settings.Settings {
	s := &settings.Settings{Node: node}
	for _, n := range names {
		if n != node {
			s.Peers = append(s.Peers, settings.Peer{Node: n})
		}
	}
	p := &s.Params
	p.Nodes = len(names)
	p.Zones = []string{"z1", "z2"}
	p.Teams = []settings.Team{{Name: "red", CPUs: 8, CPUsMax: 16}, {Name: "blue", CPUs: 8}, {Name: "free"}}
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.CancelS = 2, 16, 30
	p.Workers.GangWaitS, p.Workers.GangPeerS = 30, 4
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 200, 40, 4, 8
	p.Cloud.RPS, p.Cloud.ListLagS = 4, 4
	return s
}

var nodeNames = []string{"a", "b", "c"}

// boot starts a controller, or starts it again.
func (w *world) boot(node string) {
	w.cfg[node] = settingsAmong(node, w.names)
	if w.tune != nil {
		w.tune(w.cfg[node])
	}
	w.assignZone(node)
	w.nextReq++
	w.cores[node] = New(w.cfg[node], settings.DefaultPolicy(), fmt.Sprint(node, w.nextReq))
	if g := w.gateways[node]; g != nil {
		w.cores[node].Join(g)
	}
	w.inbox[node] = nil
	delete(w.storeLostAt, node)
	delete(w.storeLossNoticed, node)
	if w.awaitingSnapshot[node] = true; !w.outage && !w.withoutStore[node] {
		w.read(node)
	}
	w.grant(node)
	for _, other := range w.names {
		if w.cores[other] != nil && other != node {
			w.connect(node, other)
			w.connect(other, node)
		}
	}
}

func (w *world) send(node string, c Command) {
	if s, is := c.(Submit); is {
		w.recordSubmission(s.Body)
	}
	w.inbox[node] = append(w.inbox[node], c)
}

// run plays for d, or until done says so.
func (w *world) run(d time.Duration, done func() bool) bool {
	for end := w.now + d; w.now < end; w.now += w.tick {
		if done != nil && done() {
			return true
		}
		w.scheduled = slices.DeleteFunc(w.scheduled, func(over func() bool) bool { return over() })
		for _, f := range w.messagesInFlight {
			w.send(f.to, PeerMessageReceived{Node: f.from, Message: f.msg})
		}
		w.messagesInFlight = nil
		w.stepWorkers()
		w.replayPastReports()
		for _, node := range w.names {
			w.step(node)
		}
		w.checkCancelled()
	}
	return done != nil && done()
}

func (w *world) step(node string) {
	c := w.cores[node]
	if c == nil || w.frozen[node] {
		return
	}
	w.sendEvents(node)
	w.noticeStore(node)
	batch := w.inbox[node]
	w.inbox[node] = nil
	effects := c.Step(Now{Steady: w.now, Wall: w.now.Milliseconds()}, batch)
	for token := range c.agents.tokens.acquired {
		w.checkToken(node, token)
	}
	for _, e := range effects {
		w.carryOut(node, e)
	}
}

// sendEvents lets a controller's watch bring what has changed, unless something holds it back.
func (w *world) sendEvents(node string) {
	cut := w.outage || w.withoutStore[node] || w.awaitingSnapshot[node] || w.slowWatcher == node
	if cut || w.seen[node] >= uint64(len(w.events)) || w.now < w.watchedAt[node]+w.watchLag {
		return
	}
	w.watchedAt[node] = w.now
	w.send(node, StoreChanged{Revision: w.revision, Events: slices.Clone(w.events[w.seen[node]:])})
	w.seen[node] = uint64(len(w.events))
}

// crash ends a controller; expire ends its lease.
func (w *world) crash(node string) {
	delete(w.cores, node)
	w.messagesInFlight = slices.DeleteFunc(w.messagesInFlight, func(f flight) bool { return f.from == node })
	for _, other := range w.names {
		if w.cores[other] != nil {
			w.send(other, PeerDisconnected{Node: node})
		}
	}
}

// ready plays until every node can take requests.
func (w *world) ready() *world {
	w.t.Helper()
	if !w.run(20*time.Second, func() bool {
		for _, n := range w.names {
			c := w.cores[n]
			if c == nil || !c.replica.loaded || !c.catalog.Loaded() || c.agents.tokens.current == 0 || c.fleet.leader == "" {
				return false
			}
		}
		return true
	}) {
		w.t.Fatal("controllers do not get ready")
	}
	return w
}

func (w *world) carryOut(node string, e Effect) {
	if w.onEffect != nil {
		w.onEffect(node, e)
	}
	switch e := e.(type) {
	case Answer:
		w.answers[e.Req] = e
	case StoreTxn:
		w.txn(node, e)
	case StoreGet:
		w.get(node, e)
	case StoreReload:
		w.read(node)
	case SendPeer:
		w.sendPeer(node, e)
	case SendSite:
		w.sent = append(w.sent, e.Message)
	case Deliver:
		w.startDelivery(node, e)
	case FetchCatalog:
		w.send(node, CloudHealth{OK: !w.noCloud})
		if !w.noCloud {
			w.send(node, CatalogReceived{Types: w.types})
		}
	case FetchInventory:
		w.list(node)
	case RequestRental:
		w.rent(node, e)
	case ReleaseMachines:
		w.release(node, e)
	}
}

// sendPeer passes a message on, unless a link refuses or holds it.
func (w *world) sendPeer(node string, e SendPeer) {
	if slices.Contains(w.previousRelease, node) {
		e.Message = asPreviousRelease(e.Message)
	}
	for _, to := range e.Nodes {
		msg := e.Message
		if slices.Contains(w.previousRelease, to) {
			msg = asPreviousRelease(msg)
		}
		switch l := (link{node, to}); {
		case w.cores[to] == nil || w.refusedLinks[l]:
		case w.slowLinks[l]:
			w.heldMessages[l] = append(w.heldMessages[l], msg)
		case w.latency:
			w.messagesInFlight = append(w.messagesInFlight, flight{l, msg})
		default:
			w.send(to, PeerMessageReceived{Node: node, Message: msg})
		}
	}
}

// startDelivery carries out a direct call, now, later or never.
func (w *world) startDelivery(node string, e Deliver) {
	if w.loseDeliveries {
		w.heldDeliveries = append(w.heldDeliveries, e)
		w.send(node, DeliveryResult{Machine: e.Machine, Orders: e.Orders})
		return
	}
	if w.delayDeliveries && w.rng.IntN(4) == 0 {
		w.delayDelivery(node, e, time.Duration(1+w.rng.IntN(12))*time.Second)
		return
	}
	w.deliver(node, e)
}

// rent lets the cloud add machines while it has any.
func (w *world) rent(node string, e RequestRental) {
	if len(w.workers) >= w.maxMachines || w.isZoneFull(e.Rental.Zone) {
		w.send(node, RentalResult{Rental: e.Rental, Outcome: Refused})
		return
	}
	var names []string
	for range e.Rental.Count {
		id := w.addWorker(e.Rental.Zone, e.Rental.Spot)
		w.workers[id].Type = e.Rental.Type
		names = append(names, id)
	}
	w.send(node, RentalResult{Rental: e.Rental, Outcome: Applied, Machines: names})
}

// release lets the cloud take machines back.
func (w *world) release(node string, e ReleaseMachines) {
	if w.noCloud {
		w.send(node, ReleaseResult{Machines: e.Machines})
		return
	}
	for _, m := range e.Machines {
		delete(w.workers, m)
	}
	w.send(node, ReleaseResult{Machines: e.Machines, OK: true})
}

// asPreviousRelease is what a controller of the release before makes of a message, or sends.
func asPreviousRelease(m PeerMessage) PeerMessage {
	m.Cancellations, m.Acknowledged = nil, nil
	if b := m.Heartbeat; b != nil {
		m.Heartbeat = &NodeHeartbeat{StoreOK: b.StoreOK, PendingWrites: b.PendingWrites, Records: b.Records, ReportingMachines: b.ReportingMachines, ReportSeqs: b.ReportSeqs, Unreachable: b.Unreachable}
	}
	return m
}
