package core

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// world plays scripted controllers, workers, cloud and state service against a
// fake clock, and checks the rules on every start.
type world struct {
	t     tester
	rng   *rand.Rand
	now   time.Duration
	tick  time.Duration
	cores map[string]*Core
	inbox map[string][]Command
	cut   map[string]bool // nodes without the store

	kv       map[string]protocol.KeyValue
	revision uint64
	events   []protocol.Event
	seen     map[string]uint64
	leases   map[uint64]string
	outage   bool

	workers map[string]*fakeWorker
	rented  int
	// loseDo holds deliveries back instead of carrying them out.
	loseDo bool
	held   []Deliver
	// holdDo lets every fourth delivery be carried out seconds later, without an answer.
	holdDo bool
	// lateWrite says for a transaction with changes how late it is carried out, without an
	// answer, or 0.
	lateWrite func(node string, e StoreTxn) time.Duration
	// unknown makes transactions be applied without an answer.
	unknown int

	answers map[uint64]Answer
	nextReq uint64
	starts  map[string]int
	cfg     map[string]*settings.Settings
	// unlisted is a machine that the cloud has taken back without notice.
	unlisted string
	// requests counts what the controllers ask of the state service.
	requests int
	// terse makes a failed transaction name one failed key only.
	terse bool
	// deaf nodes cannot be reached by workers; redirected counts how many were
	// sent to each node.
	deaf       map[string]bool
	redirected map[string]int
	// racing lets tasks start whose start was on its way when their job was
	// cancelled.
	racing bool
	// broken jobs fail wherever they run, on faulty machines everything does.
	broken, faulty map[string]bool
	// gateways holds the gateway files of the nodes that have one; sent is what was
	// sent to other sites.
	gateways map[string]*federation.Config
	sent     []federation.Message
	// tell, if set, is told of every effect.
	tell func(node string, e Effect)
	// names are the controllers; most is how many machines the cloud has.
	names []string
	most  int
	// taskTime is how long a task runs.
	taskTime time.Duration
	// types is the cloud's catalogue.
	types []protocol.MachineType
	// refused holds the links between controllers over which nothing passes, frozen
	// the controllers that stand still, unreached the workers without a network.
	refused map[link]bool
	// slow links hold back what is sent over them until they are restored.
	slow      map[link]bool
	late      map[link][]PeerMessage
	frozen    map[string]bool
	unreached map[string]bool
	// unhearing are the machines whose reports arrive while nothing reaches them;
	// unheardBy are the controllers that a machine does not hear.
	unhearing map[string]bool
	unheardBy map[link]bool
	// mute are the machines that reach no controller, while direct calls reach them.
	mute map[string]bool
	// copying lets copies of past reports come late, to any controller.
	copying bool
	past    []Heartbeat
	// noCloud keeps the cloud from taking machines back.
	noCloud bool
	// dark is since when the state service answers a controller nothing, as it notices
	// after a report interval; blind holds those that have.
	dark  map[string]time.Duration
	blind map[string]bool
	// watchLag is the pause between two watches of a controller, watchedAt its last.
	watchLag  time.Duration
	watchedAt map[string]time.Duration
	// slowWatcher is a controller whose watch brings nothing.
	slowWatcher string
	// unread holds the controllers that wait for the stored state, unleased those that wait
	// for a lease.
	unread, unleased map[string]bool
	// later holds what goes on beside, until it says that it is over.
	later []func() bool
	// latency keeps messages between controllers flying from one tick to the next; those
	// of a controller that ends are lost.
	latency bool
	flying  []flight
	// old are controllers of the release before, which know less of messages.
	old []string
	// uneven lets every second task of a job run three times as long; healed counts how
	// often all troubles ended.
	uneven bool
	healed int
	// terms tells which run has taken each term.
	terms map[uint64]string
	// completed are the tasks that have ended by themselves.
	completed map[string]bool
	// told is when the user of a job was told that it is cancelled.
	told map[string]time.Duration
	// specs are the jobs that were handed in, as their users described them.
	specs map[string]*job.Spec
	// tune changes the settings that every controller is given.
	tune func(*settings.Settings)
	// zoned lets the cloud have as many machines in each zone; zoneOf is where
	// controllers are, zoneCut a zone that is cut off from everything else.
	zoned   bool
	zoneOf  map[string]string
	zoneCut string
	// closed is a zone of which the cloud has no machines.
	closed string
	// hungUntil is until when machines hang.
	hungUntil map[string]time.Duration
	// whole are the attempts of gangs that were on machines with all their tasks.
	whole map[taskAttempt]bool
	// forgotten is set once all controllers have ended at once. What they had told users of is
	// in the state service alone then, and if that is out for longer than a cancellation may
	// take, nothing but its lease ends what is on a machine that hangs.
	forgotten bool
	// holdReports lets some reports get no answer and arrive much later, anywhere.
	holdReports bool
	// endedAt is when the final state of a job was stored.
	endedAt map[string]time.Duration
	// former are the controllers that have the version before: they do not state theirs.
	former map[string]bool
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

// link is one direction between two controllers.
type link struct{ from, to string }

// flight is a message on its way.
type flight struct {
	link
	msg PeerMessage
}

// fakeWorker follows the worker's side of the protocol.
type fakeWorker struct {
	protocol.Report
	node    int
	next    time.Duration
	leased  time.Duration                 // when the last answered report was sent
	running map[taskAttempt]time.Duration // when it ends
	dead    bool
	// alone is since when a gang's task misses one of the others.
	alone map[taskAttempt]time.Duration
}

var nodeNames = []string{"a", "b", "c"}

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

func newWorld(t tester) *world { return newWorldOf(t, nodeNames) }

func newWorldOf(t tester, names []string) *world { return newTunedWorld(t, names, nil) }

// newTunedWorld is a world whose controllers are given other settings.
func newTunedWorld(t tester, names []string, tune func(*settings.Settings)) *world {
	w := &world{tune: tune, specs: map[string]*job.Spec{}, endedAt: map[string]time.Duration{}, former: map[string]bool{}, hungUntil: map[string]time.Duration{}, whole: map[taskAttempt]bool{}, t: t, rng: rand.New(rand.NewPCG(1, 2)), tick: 100 * time.Millisecond,
		cores: map[string]*Core{}, inbox: map[string][]Command{}, cut: map[string]bool{},
		kv: map[string]protocol.KeyValue{}, seen: map[string]uint64{}, leases: map[uint64]string{},
		workers: map[string]*fakeWorker{}, answers: map[uint64]Answer{}, starts: map[string]int{}, broken: map[string]bool{}, faulty: map[string]bool{},
		deaf: map[string]bool{}, redirected: map[string]int{},
		cfg: map[string]*settings.Settings{}, names: names, most: 40, taskTime: 5 * time.Second,
		refused: map[link]bool{}, slow: map[link]bool{}, late: map[link][]PeerMessage{}, frozen: map[string]bool{}, unreached: map[string]bool{}, unhearing: map[string]bool{}, mute: map[string]bool{}, unheardBy: map[link]bool{}, dark: map[string]time.Duration{}, blind: map[string]bool{}, unread: map[string]bool{}, unleased: map[string]bool{}, watchedAt: map[string]time.Duration{}, told: map[string]time.Duration{}, completed: map[string]bool{}, terms: map[uint64]string{}}
	w.types = []protocol.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 50, FetchGBPS: 1, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: []string{"z1", "z2"}},
	}
	for _, n := range names {
		w.boot(n)
	}
	return w
}

// boot starts a controller, or starts it again.
func (w *world) boot(node string) {
	w.cfg[node] = settingsAmong(node, w.names)
	if w.tune != nil {
		w.tune(w.cfg[node])
	}
	w.place(node)
	w.nextReq++
	w.cores[node] = New(w.cfg[node], settings.DefaultPolicy(), fmt.Sprint(node, w.nextReq))
	if g := w.gateways[node]; g != nil {
		w.cores[node].Join(g)
	}
	w.inbox[node] = nil
	delete(w.dark, node)
	delete(w.blind, node)
	if w.unread[node] = true; !w.outage && !w.cut[node] {
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

// grant gives a controller a lease, which ends at once while it is refused.
func (w *world) grant(node string) {
	if w.unleased[node] = w.outage || w.cut[node]; w.unleased[node] {
		return
	}
	w.nextReq++
	w.leases[w.nextReq] = node
	w.send(node, LeaseGranted{Lease: w.nextReq})
}

// connect tells a controller that it can send to another, unless it can't.
func (w *world) connect(from, to string) {
	if !w.refused[link{from, to}] {
		w.send(from, PeerConnected{Node: to})
	}
}

// refuse cuts the links for which is holds, one direction at a time; restore mends
// all.
func (w *world) refuse(is func(from, to string) bool) {
	for _, from := range w.names {
		for _, to := range w.names {
			if from != to && is(from, to) && !w.refused[link{from, to}] {
				w.refused[link{from, to}] = true
				w.send(from, PeerDisconnected{Node: to})
			}
		}
	}
}

func (w *world) restore() {
	clear(w.slow)
	for _, from := range w.names {
		for _, to := range w.names {
			if w.refused[link{from, to}] {
				delete(w.refused, link{from, to})
				w.connect(from, to)
			}
			for _, m := range w.late[link{from, to}] {
				w.send(to, PeerMessageReceived{Node: from, Message: m})
			}
			delete(w.late, link{from, to})
		}
	}
}

// hold lets all links for which is holds be slow.
func (w *world) hold(is func(from, to string) bool) {
	for _, from := range w.names {
		for _, to := range w.names {
			if from != to && is(from, to) {
				w.slow[link{from, to}] = true
			}
		}
	}
}

// noStore takes the state service from a controller, whose lease then ends;
// withStore gives it back.
func (w *world) noStore(node string) {
	w.cut[node] = true
	w.expire(node)
}

func (w *world) withStore(node string) {
	delete(w.cut, node)
	w.send(node, LeaseExpired{})
	w.grant(node)
}

// crash ends a controller; expire ends its lease.
func (w *world) crash(node string) {
	delete(w.cores, node)
	w.flying = slices.DeleteFunc(w.flying, func(f flight) bool { return f.from == node })
	for _, other := range w.names {
		if w.cores[other] != nil {
			w.send(other, PeerDisconnected{Node: node})
		}
	}
}

func (w *world) expire(node string) { w.endLeases(w.leasesOf(node)) }

// leasesOf lists the leases of a controller's runs that live.
func (w *world) leasesOf(node string) (out []uint64) {
	for _, lease := range slices.Sorted(maps.Keys(w.leases)) {
		if w.leases[lease] == node {
			out = append(out, lease)
		}
	}
	return out
}

func (w *world) endLeases(leases []uint64) {
	for _, lease := range leases {
		delete(w.leases, lease)
		for _, key := range slices.Sorted(maps.Keys(w.kv)) {
			if w.kv[key].Lease == lease {
				w.change(protocol.Change{Delete: key})
			}
		}
	}
}

// read gives a controller the stored state, now or once it is answered again.
func (w *world) read(node string) {
	if w.unread[node] = w.outage || w.cut[node]; !w.unread[node] {
		w.load(node)
	}
}

func (w *world) load(node string) {
	l := SnapshotLoaded{Revision: w.revision}
	for _, key := range slices.Sorted(maps.Keys(w.kv)) {
		if strings.HasPrefix(key, Root) {
			l.Items = append(l.Items, w.kv[key])
		}
	}
	w.seen[node] = uint64(len(w.events))
	w.send(node, l)
}

func (w *world) send(node string, c Command) {
	if s, is := c.(Submit); is {
		w.handedIn(s.Body)
	}
	w.inbox[node] = append(w.inbox[node], c)
}

// run plays for d, or until done says so.
func (w *world) run(d time.Duration, done func() bool) bool {
	for end := w.now + d; w.now < end; w.now += w.tick {
		if done != nil && done() {
			return true
		}
		w.later = slices.DeleteFunc(w.later, func(over func() bool) bool { return over() })
		for _, f := range w.flying {
			w.send(f.to, PeerMessageReceived{Node: f.from, Message: f.msg})
		}
		w.flying = nil
		w.tendWorkers()
		w.sendCopies()
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
	if !w.outage && !w.cut[node] && !w.unread[node] && w.seen[node] < uint64(len(w.events)) && w.now >= w.watchedAt[node]+w.watchLag && (w.slowWatcher == "" || w.slowWatcher != node) {
		w.watchedAt[node] = w.now
		w.send(node, StoreChanged{Revision: w.revision, Events: slices.Clone(w.events[w.seen[node]:])})
		w.seen[node] = uint64(len(w.events))
	}
	w.noticeStore(node)
	batch := w.inbox[node]
	w.inbox[node] = nil
	for _, e := range c.Step(Now{Steady: w.now, Wall: w.now.Milliseconds()}, batch) {
		w.carryOut(node, e)
	}
}

// checkTerm checks that each term belongs to one run of one controller.
func (w *world) checkTerm(node string, term uint64) {
	run := w.cores[node].incarnation
	if other, taken := w.terms[term]; taken && other != run {
		w.t.Errorf("%v: %s and %s both have the term %d", w.now, other, run, term)
	}
	w.terms[term] = run
}

// noticeStore tells a controller when the state service stops or starts to answer it.
func (w *world) noticeStore(node string) {
	switch since, dark := w.dark[node]; {
	case !w.outage && !w.cut[node]:
		delete(w.dark, node)
		if w.unread[node] {
			w.read(node)
		}
		if w.unleased[node] {
			w.grant(node)
		}
		if w.blind[node] {
			delete(w.blind, node)
			w.send(node, StoreHealth{OK: true})
		}
	case !dark:
		w.dark[node] = w.now
	case !w.blind[node] && w.now-since > seconds(w.cfg[node].Params.Workers.ReportS):
		w.blind[node] = true
		w.send(node, StoreHealth{})
	}
}

func (w *world) carryOut(node string, e Effect) {
	if w.tell != nil {
		w.tell(node, e)
	}
	switch e := e.(type) {
	case Log:
		if e.Text == "term taken" {
			w.checkTerm(node, e.Attrs[1].(uint64))
		}
	case Answer:
		w.answers[e.Req] = e
	case StoreTxn:
		w.txn(node, e)
	case StoreGet:
		w.get(node, e)
	case StoreReload:
		w.read(node)
	case SendPeer:
		if slices.Contains(w.old, node) {
			e.Message = asOld(e.Message)
		}
		for _, to := range e.Nodes {
			msg := e.Message
			if slices.Contains(w.old, to) {
				msg = asOld(msg)
			}
			switch l := (link{node, to}); {
			case w.cores[to] == nil || w.refused[l]:
			case w.slow[l]:
				w.late[l] = append(w.late[l], msg)
			case w.latency:
				w.flying = append(w.flying, flight{l, msg})
			default:
				w.send(to, PeerMessageReceived{Node: node, Message: msg})
			}
		}
	case SendSite:
		w.sent = append(w.sent, e.Message)
	case Deliver:
		if w.loseDo {
			w.held = append(w.held, e)
			w.send(node, Delivered{Machine: e.Machine, Orders: e.Orders})
			return
		}
		if w.holdDo && w.rng.IntN(4) == 0 {
			w.holdCall(node, e, time.Duration(1+w.rng.IntN(12))*time.Second)
			return
		}
		w.deliver(node, e)
	case FetchCatalog:
		w.send(node, CloudHealth{OK: !w.noCloud})
		if !w.noCloud {
			w.send(node, CatalogReceived{Types: w.types})
		}
	case FetchList:
		w.list(node)
	case Rent:
		if len(w.workers) >= w.most || w.full(e.Rental.Zone) {
			w.send(node, Rented{Rental: e.Rental, Outcome: Refused})
			return
		}
		var names []string
		for range e.Rental.Count {
			id := w.addWorker(e.Rental.Zone, e.Rental.Spot)
			w.workers[id].Type = e.Rental.Type
			names = append(names, id)
		}
		w.send(node, Rented{Rental: e.Rental, Outcome: Applied, Machines: names})
	case Release:
		if w.noCloud {
			w.send(node, Released{Machines: e.Machines})
			return
		}
		for _, m := range e.Machines {
			delete(w.workers, m)
		}
		w.send(node, Released{Machines: e.Machines, OK: true})
	}
}

// asOld is what a controller of the release before makes of a message, or sends.
func asOld(m PeerMessage) PeerMessage {
	m.Cancellations, m.Acknowledged = nil, nil
	if b := m.Heartbeat; b != nil {
		m.Heartbeat = &NodeHeartbeat{StoreOK: b.StoreOK, Due: b.Due, Records: b.Records, Heard: b.Heard, Seqs: b.Seqs, Unreachable: b.Unreachable}
	}
	return m
}

func (w *world) list(node string) {
	var l InventoryReceived
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		f := w.workers[id]
		if id == w.unlisted {
			continue
		}
		l.Machines = append(l.Machines, protocol.ListedMachine{ID: id, Type: f.Type, Zone: f.Zone, Spot: f.Spot, State: protocol.Running, AgeS: w.now.Seconds()})
	}
	w.send(node, l)
}

func (w *world) change(ch protocol.Change) {
	w.revision++
	w.apply(ch)
}

func (w *world) apply(ch protocol.Change) {
	if ch.Delete != "" {
		if _, ok := w.kv[ch.Delete]; ok {
			delete(w.kv, ch.Delete)
			w.note(protocol.Event{Delete: ch.Delete, Version: w.revision})
		}
		return
	}
	if id, final := strings.CutPrefix(ch.Put, keyState); final {
		w.endedAt[id] = w.now
	}
	w.kv[ch.Put] = protocol.KeyValue{Key: ch.Put, Value: slices.Clone(ch.Value), Version: w.revision, Lease: ch.Lease}
	w.note(protocol.Event{Put: ch.Put, Value: slices.Clone(ch.Value), Version: w.revision})
}

func (w *world) note(e protocol.Event) {
	if strings.HasPrefix(e.Put+e.Delete, Root) {
		w.events = append(w.events, e)
	}
}

func (w *world) txn(node string, e StoreTxn) {
	if w.outage || w.cut[node] {
		w.send(node, StoreReply{ID: e.ID, Outcome: Refused})
		return
	}
	if w.former[node] && slices.ContainsFunc(e.Txn.Then, func(ch protocol.Change) bool { return strings.HasPrefix(ch.Put, keyVersion) }) {
		w.send(node, StoreReply{ID: e.ID, Outcome: Refused})
		return
	}
	if !w.fits(e.Txn) {
		w.t.Errorf("%v: transaction of %d changes and %d conditions, the first on %s, does not fit", w.now, len(e.Txn.Then), len(e.Txn.If), e.Txn.Then[0].Put+e.Txn.Then[0].Delete)
	}
	w.requests++
	if w.lateWrite != nil && len(e.Txn.Then) > 0 {
		if d := w.lateWrite(node, e); d > 0 {
			w.carryOutLate(node, e, d)
			return
		}
	}
	r := w.decide(e.Txn)
	r.ID = e.ID
	if w.unknown > 0 {
		w.unknown--
		r = StoreReply{ID: e.ID, Outcome: Unknown}
	}
	w.send(node, r)
}

// limits are those of the state service now.
func (w *world) limits() settings.StateLimits {
	state := w.cfg[w.names[0]].Params.State
	if w.lowLimits {
		return state.Tightest()
	}
	return state.StateLimits
}

// fits tells whether a transaction is within the limits of the state service.
func (w *world) fits(txn protocol.Txn) bool {
	p := w.limits()
	return len(txn.Then) <= p.TxnOps && len(txn.If) <= 4*p.TxnOps && !slices.ContainsFunc(txn.Then, func(ch protocol.Change) bool {
		return float64(len(ch.Value)) > p.ValueKB*1024
	})
}

// carryOutLate lets a transaction get no answer and be carried out after d, by then.
func (w *world) carryOutLate(node string, e StoreTxn, d time.Duration) {
	sent, run := w.now, w.cores[node]
	w.later = append(w.later, func() bool {
		if w.now < sent+d || w.outage {
			return false
		}
		if w.fits(e.Txn) { // limits may have become lower since
			w.decide(e.Txn)
		}
		return true
	})
	w.later = append(w.later, func() bool {
		if w.now < sent+min(d, time.Second) {
			return false
		}
		if w.cores[node] == run {
			w.send(node, StoreReply{ID: e.ID, Outcome: Unknown})
		}
		return true
	})
}

// checkFenced checks that a transaction which is carried out late, after newer ones of
// the same controller, changes nothing: it changes a key that it has a condition on, and
// so does whatever else changes it.
func (w *world) checkFenced(txn protocol.Txn) {
	for _, ch := range txn.Then {
		key := ch.Put + ch.Delete
		switch {
		case slices.ContainsFunc(txn.If, func(c protocol.Condition) bool { return c.Key == key }):
			return
		case strings.HasPrefix(key, keyCordon), strings.HasPrefix(key, keyIntent), strings.HasPrefix(key, keyRecord):
			// That a machine is gone is true for good, a rental's name is never used for
			// another, and records are advice: an old one changes the ranking a little.
			return
		}
	}
	if len(txn.Then) > 0 {
		w.t.Errorf("%v: a late write of %s would take the place of a newer one", w.now, txn.Then[0].Put+txn.Then[0].Delete)
	}
}

// decide carries a transaction out if its conditions hold and its leases live.
func (w *world) decide(txn protocol.Txn) (r StoreReply) {
	for _, ch := range txn.Then {
		if ch.Lease != 0 && w.leases[ch.Lease] == "" {
			return StoreReply{Outcome: NoLease}
		}
	}
	for _, cond := range txn.If {
		if w.kv[cond.Key].Version != cond.Version {
			r.Failed = append(r.Failed, cond.Key)
		}
	}
	if w.terse && len(r.Failed) > 1 {
		r.Failed = r.Failed[:1]
	}
	if len(r.Failed) > 0 {
		r.Outcome, r.Revision = Conflict, w.revision
	} else {
		w.checkFenced(txn)
		if len(txn.Then) > 0 {
			w.revision++
		}
		for _, ch := range txn.Then {
			w.apply(ch)
		}
		r.Revision = w.revision
	}
	return r
}

func (w *world) get(node string, e StoreGet) {
	w.requests++
	r := StoreReply{ID: e.ID, Outcome: Missing, Revision: w.revision}
	if kv, ok := w.kv[e.Key]; ok {
		r.Outcome, r.Item = Applied, kv
	}
	if w.outage || w.cut[node] {
		r = StoreReply{ID: e.ID, Outcome: Refused}
	}
	w.send(node, r)
}

func (w *world) addWorker(zone string, spot bool) string {
	w.rented++
	id := fmt.Sprintf("vm-%06d", w.rented)
	w.workers[id] = &fakeWorker{running: map[taskAttempt]time.Duration{}, alone: map[taskAttempt]time.Duration{}, node: w.rented,
		next: w.now + 3*time.Second, leased: w.now + 3*time.Second,
		Report: protocol.Report{Machine: id, Address: id, Type: "small", Zone: zone, Spot: spot, Session: 1}}
	return id
}

// tendWorkers lets tasks end and reports go out.
func (w *world) tendWorkers() {
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		f := w.workers[id]
		if f == nil || f.dead || w.hangs(id) {
			if f != nil && w.forgotten {
				w.tendLease(f) // it may go on within its lease alone
			}
			continue
		}
		changed := w.tendGangs(f)
		for i, task := range f.Tasks {
			end, ok := f.running[taskAttempt{task.Task, task.Attempt}]
			if ok && task.State == protocol.Running && w.now >= end {
				f.Tasks[i].State, f.Tasks[i].Why = protocol.Exited, protocol.WhyDone
				w.complete(task.Task)
				if id, _, _ := job.SplitTask(task.Task); w.broken[id] || w.faulty[f.Machine] {
					f.Tasks[i].Why = protocol.WhyError
				}
				changed = true
			}
		}
		w.tendLease(f)
		if w.now >= f.next || changed {
			w.report(f)
		}
	}
}

// report sends a report to the worker's node and takes the answer at once.
func (w *world) report(f *fakeWorker) {
	f.next = w.now + 2*time.Second
	node := w.names[f.node%len(w.names)]
	c := w.cores[node]
	if c == nil || w.deaf[node] || w.frozen[node] || w.unreached[f.Machine] || w.mute[f.Machine] || w.across(node, f) {
		f.node++
		return
	}
	f.Seq++
	w.nextReq++
	req := w.nextReq
	beat := Heartbeat{Req: req, Report: w.snapshot(f)}
	if w.copying && w.rng.IntN(4) == 0 {
		w.past = append(w.past, beat)
	}
	if w.holdReports && w.rng.IntN(4) == 0 {
		w.holdReport(beat)
		f.node++
		f.next = w.now + 5*time.Second
		return
	}
	w.send(node, beat)
	for range 4 {
		w.step(node)
	}
	if !w.hears(f, node) {
		f.node++
		f.next = w.now + 5*time.Second // a time-out and a pause
		return
	}
	a, ok := w.answers[req]
	delete(w.answers, req)
	if to, ok := a.Body.(protocol.Redirect); ok {
		w.redirected[to.ReportTo]++
		f.node = slices.Index(w.names, to.ReportTo)
		f.next = w.now + 500*time.Millisecond
		return
	}
	orders, isOrders := a.Body.(protocol.Orders)
	if !ok || a.Status != http.StatusOK || !isOrders {
		f.node++
		return
	}
	if orders.Token >= f.Token {
		f.Token, f.leased = orders.Token, w.now
		w.execute(f, orders.Commands)
	}
}

// hears tells whether what a controller tells a machine reaches it.
func (w *world) hears(f *fakeWorker, node string) bool {
	return !w.unhearing[f.Machine] && !w.unheardBy[link{node, f.Machine}]
}

// sendCopies lets a copy of a past report arrive, now and then.
func (w *world) sendCopies() {
	if !w.copying || len(w.past) == 0 || w.rng.IntN(3) > 0 {
		return
	}
	b := w.past[w.rng.IntN(len(w.past))]
	w.nextReq++
	b.Req = w.nextReq
	if node := w.names[w.rng.IntN(len(w.names))]; w.cores[node] != nil && !w.frozen[node] {
		w.send(node, b)
	}
}

func (w *world) snapshot(f *fakeWorker) protocol.Report {
	r := f.Report
	r.Tasks = slices.Clone(f.Tasks)
	return r
}

// deliver carries a direct call out as a worker would, early or late.
func (w *world) deliver(node string, d Deliver) {
	f := w.workers[d.Machine]
	out := Delivered{Machine: d.Machine, Orders: d.Orders}
	if f != nil && w.hangs(f.Machine) && !w.across(node, f) {
		// It is carried out when the machine goes on, unless its lease is over by then.
		w.holdCall(node, d, w.hungUntil[f.Machine]-w.now+2*w.tick)
		return
	}
	if f != nil && !f.dead && !w.unreached[f.Machine] && w.hears(f, node) && !w.across(node, f) {
		f.Seq++
		if d.Orders.Token >= f.Token && d.Orders.Session == f.Session {
			f.Token = d.Orders.Token
			w.execute(f, d.Orders.Commands)
			out.Executed = true
		}
		r := w.snapshot(f)
		out.Report = &r
	}
	if w.cores[node] != nil {
		w.send(node, out)
	}
}

// holdCall lets a direct call get no answer and be carried out later, as when the machine
// hangs for a while.
func (w *world) holdCall(node string, d Deliver, d2 time.Duration) {
	w.send(node, Delivered{Machine: d.Machine, Orders: d.Orders})
	at := w.now + d2
	w.later = append(w.later, func() bool {
		if w.now < at {
			return false
		}
		if f := w.workers[d.Machine]; f != nil && !f.dead && d.Orders.Token >= f.Token && d.Orders.Session == f.Session {
			f.Seq++
			f.Token = d.Orders.Token
			w.execute(f, d.Orders.Commands)
		}
		return true
	})
}

// execute carries commands out in order.
func (w *world) execute(f *fakeWorker, commands []protocol.Command) {
	for _, cmd := range commands {
		key := taskAttempt{cmd.Task, cmd.Attempt}
		at := slices.IndexFunc(f.Tasks, func(t protocol.TaskReport) bool {
			return t.Task == cmd.Task && t.Attempt == cmd.Attempt
		})
		switch cmd.Op {
		case protocol.OpStart:
			if why := w.turnsDown(f, cmd.Task); at < 0 && why != "" {
				f.Tasks = append(f.Tasks, protocol.TaskReport{Task: cmd.Task, Attempt: cmd.Attempt, State: protocol.Exited, Why: why})
			} else if at < 0 {
				w.checkStart(f, cmd.Task)
				f.Tasks = append(f.Tasks, protocol.TaskReport{Task: cmd.Task, Attempt: cmd.Attempt, State: protocol.Running})
				f.running[key] = w.now + w.runTime(cmd.Task)
				if id, _, _ := job.SplitTask(cmd.Task); w.broken[id] || w.faulty[f.Machine] {
					f.running[key] = w.now + time.Second
				}
			}
		case protocol.OpStop:
			if at >= 0 && f.Tasks[at].State != protocol.Exited {
				f.Tasks[at].State, f.Tasks[at].Why = protocol.Exited, protocol.WhyStopped
			}
		case protocol.OpForget:
			if at >= 0 && f.Tasks[at].State == protocol.Exited {
				f.Tasks = slices.Delete(f.Tasks, at, at+1)
				delete(f.running, key)
			}
		}
	}
}

// checkStart checks the rules at the moment of a start.
func (w *world) checkStart(f *fakeWorker, task string) {
	w.starts[task]++
	id, _, _ := job.SplitTask(task)
	for other, g := range w.workers {
		for _, t := range g.Tasks {
			if t.Task == task && t.State != protocol.Exited {
				w.t.Errorf("%v: %s starts on %s while it is on %s", w.now, task, f.Machine, other)
			}
		}
	}
	if s, ok := w.state(id); ok && !w.racing {
		w.t.Errorf("%v: %s starts although its job is %s", w.now, task, s.State)
	}
	if awaited := w.unfinished(id); awaited != "" {
		w.t.Errorf("%v: %s starts before %s is done", w.now, task, awaited)
	}
	w.checkPlace(f, id)
	for _, t := range w.cfg[w.names[0]].Params.Teams {
		if used := w.inUse(t.Name); t.CPUsMax > 0 && used > t.CPUsMax+1e-6 {
			w.t.Errorf("%v: team %s uses %v CPUs", w.now, t.Name, used)
		}
	}
}

// unfinished names a job that a job awaits and that is not done, or nothing.
func (w *world) unfinished(id string) string {
	if s := w.specs[id]; s != nil {
		for _, awaited := range s.Awaits {
			if s, _ := w.state(awaited); s.State != protocol.Done {
				return awaited
			}
		}
	}
	return ""
}

// checkCancelled checks that what a user was told is cancelled has gone in time.
func (w *world) checkCancelled() {
	for id, at := range w.told {
		if w.now-at > seconds(w.cfg[w.names[0]].Params.Workers.CancelS) {
			if n := w.onMachines(id); n > 0 {
				w.t.Errorf("%v: %d tasks of %s still run, cancelled at %v", w.now, n, id, at)
			}
			delete(w.told, id)
		}
	}
}

func (w *world) state(id string) (finalStateRecord, bool) {
	var s finalStateRecord
	kv, ok := w.kv[keyState+id]
	if ok {
		if err := json.Unmarshal(kv.Value, &s); err != nil {
			w.t.Fatal(err)
		}
	}
	return s, ok
}

// ask sends a user's request to a node and plays until it is answered.
func (w *world) ask(node string, make1 func(req uint64) Command) Answer {
	w.t.Helper()
	w.nextReq++
	req := w.nextReq
	w.send(node, make1(req))
	if !w.run(10*time.Second, func() bool { _, ok := w.answers[req]; return ok }) {
		w.t.Fatalf("%s does not answer", node)
	}
	return w.answers[req]
}

func (w *world) submit(node, id string, tasks int, more string) Answer {
	w.t.Helper()
	team := strings.TrimPrefix(id, protocol.JobPrefix)
	team, _, _ = strings.Cut(team, "-")
	body := submission(id, team, tasks, more)
	return w.ask(node, func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} })
}

func submission(id, team string, tasks int, more string) string {
	return fmt.Sprintf(`{"uid":%q,"leverClass":"k","crew":%q,"shape":"batch","urgency":"normal","pieces":%d,
	"vcpus":2.0,"accelerators":0.0,"memoryGb":1.0,"bundle":"i","pullGb":1.0,"builds":null,"yard":null,"samePlace":false,
	"spread":false,"loaners":true,"guessS":5.0,"markEveryS":0.0,"markCostS":0.0,"dueS":60.0%s}`, id, team, tasks, more)
}

func (w *world) status(node, id string) Answer {
	w.t.Helper()
	return w.ask(node, func(req uint64) Command { return Status{Req: req, ID: id} })
}

func (w *world) cancelJob(node, id string) Answer {
	w.t.Helper()
	a := w.ask(node, func(req uint64) Command { return Cancel{Req: req, ID: id} })
	if a.Status == http.StatusOK {
		w.told[id] = w.now
	}
	return a
}

// ready plays until every node can take requests.
func (w *world) ready() *world {
	w.t.Helper()
	if !w.run(20*time.Second, func() bool {
		for _, n := range w.names {
			c := w.cores[n]
			if c == nil || !c.loaded || c.types == nil || c.tokens.current == 0 || c.fleet.leader == "" {
				return false
			}
		}
		return true
	}) {
		w.t.Fatal("controllers do not get ready")
	}
	return w
}

func (w *world) finished(ids ...string) func() bool {
	return func() bool {
		for _, id := range ids {
			if s, _ := w.state(id); s.State != protocol.Done {
				return false
			}
		}
		return true
	}
}

// started plays until at least n tasks of a job are on machines.
func (w *world) started(id string, n int) {
	w.t.Helper()
	if !w.run(time.Minute, func() bool { return w.onMachines(id) >= n }) {
		w.t.Fatalf("%s does not start", id)
	}
}

// startedOnce checks that no task was started twice.
func (w *world) startedOnce() {
	w.t.Helper()
	for task, n := range w.starts {
		if n != 1 {
			w.t.Errorf("%s was started %d times", task, n)
		}
	}
}

// onMachines counts tasks of a job that are on machines.
func (w *world) onMachines(id string) int {
	n := 0
	for _, f := range w.workers {
		for _, t := range f.Tasks {
			if strings.HasPrefix(t.Task, id+"/") && t.State != protocol.Exited {
				n++
			}
		}
	}
	return n
}
