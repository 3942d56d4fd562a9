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

// world simulates controllers, workers, the cloud and the store on a fake clock, and checks
// the scheduling invariants whenever a task starts.
type world struct {
	t            tester
	rng          *rand.Rand
	now          time.Duration
	tick         time.Duration        // the time between two steps of each controller
	cores        map[string]*Core     // running controllers by node
	inbox        map[string][]Command // commands for the next step of each node
	withoutStore map[string]bool      // nodes that cannot reach the store

	kv       map[string]protocol.KeyValue
	revision uint64
	events   []protocol.Event
	seen     map[string]uint64 // the number of events that each node has received
	leases   map[uint64]string // the node that holds each lease
	outage   bool              // the store is unavailable to all controllers

	workers map[string]*fakeWorker
	rented  int // the number of machines added so far
	// loseDeliveries keeps deliveries in heldDeliveries instead of executing them.
	loseDeliveries bool
	heldDeliveries []Deliver
	// delayDeliveries makes one delivery in four run seconds later, without a reply.
	delayDeliveries bool
	// lateWrite returns the delay after which a transaction with changes is executed, its
	// outcome unknown to the sender. Zero executes it at once.
	lateWrite func(node string, e StoreTxn) time.Duration
	// lostReplies is the number of coming transactions whose reply is lost.
	lostReplies int

	answers map[uint64]Answer // by request
	nextReq uint64            // the number last used, for requests, leases and incarnations
	starts  map[string]int    // the number of starts of each task
	cfg     map[string]*settings.Settings
	// unlisted is a machine that is missing from the cloud's inventory.
	unlisted string
	// requests counts the requests that the controllers send to the store.
	requests int
	// nameOneFailedKey makes the store report only the first failed condition of a transaction.
	nameOneFailedKey bool
	// unreachableNodes are the controllers that no worker can reach; redirected counts the
	// redirects of workers to each controller.
	unreachableNodes map[string]bool
	redirected       map[string]int
	// allowRacingStarts permits starts that were already in flight when their job was cancelled.
	allowRacingStarts bool
	// broken holds jobs whose tasks fail on any machine, faulty machines on which any task fails.
	broken, faulty map[string]bool
	// gateways holds the federation configuration of each node that has one; sent holds the
	// messages to other sites.
	gateways map[string]*federation.Config
	sent     []federation.Message
	// onEffect, if set, is called with every effect of a controller.
	onEffect func(node string, e Effect)
	// names lists the controllers; maxMachines is the capacity of the cloud.
	names       []string
	maxMachines int
	// taskTime is the normal run time of a task.
	taskTime time.Duration
	// types is the cloud's catalogue of machine types.
	types []protocol.MachineType
	// refusedLinks holds the links between controllers that are down and drop all messages.
	refusedLinks map[link]bool
	// slowLinks holds the links that queue messages in heldMessages until they are restored.
	slowLinks    map[link]bool
	heldMessages map[link][]PeerMessage
	// frozen holds the controllers whose process is paused, cutWorkers the machines without a
	// network.
	frozen     map[string]bool
	cutWorkers map[string]bool
	// unreachableWorkers are the machines whose reports arrive but which receive nothing;
	// workerCannotReach holds broken links from a controller to a machine.
	unreachableWorkers map[string]bool
	workerCannotReach  map[link]bool
	// silentWorkers are the machines whose reports reach no controller, while deliveries to them
	// succeed.
	silentWorkers map[string]bool
	// replayReports sends late duplicates of reports from pastReports to random controllers.
	replayReports bool
	pastReports   []Heartbeat
	// noCloud makes the cloud return no catalogue and release no machines.
	noCloud bool
	// storeUnavailableSince is when a controller lost the store. It is told so after a report
	// interval; storeLossReported holds the controllers that have been told.
	storeUnavailableSince map[string]time.Duration
	storeLossReported     map[string]bool
	// watchLag is the minimum interval between watch events for a controller, watchedAt the time
	// of its last ones.
	watchLag  time.Duration
	watchedAt map[string]time.Duration
	// slowWatcher is a controller whose watch delivers no events.
	slowWatcher string
	// awaitingSnapshot holds the controllers that wait for a snapshot of the store, awaitingLease
	// those that wait for a lease.
	awaitingSnapshot, awaitingLease map[string]bool
	// scheduledActions are called on every tick until they return true.
	scheduledActions []func() bool
	// latency delays messages between controllers by one tick; a crash of their sender loses
	// those in flight.
	latency          bool
	messagesInFlight []inFlightMessage
	// previousRelease lists controllers of the previous release, which do not know the newer
	// message fields.
	previousRelease []string
	// unevenRunTimes makes every second task of a job run three times as long; recoveryCount
	// counts the calls of recover.
	unevenRunTimes bool
	recoveryCount  int
	// tokenOwners maps each fencing token to the incarnation that acquired it.
	tokenOwners map[uint64]string
	// completed holds the tasks that ran to their end.
	completed map[string]bool
	// cancellationToldAt is when a controller told the user of a job that it is cancelled.
	cancellationToldAt map[string]time.Duration
	// specs holds the specification of each submitted job.
	specs map[string]*job.Spec
	// adjustSettings, if set, changes the settings of each controller before it starts.
	adjustSettings func(*settings.Settings)
	// limitZoneCapacity limits each zone to half of maxMachines; controllerZones holds the zone
	// of each controller; isolatedZone is a zone that is partitioned from the rest.
	limitZoneCapacity bool
	controllerZones   map[string]string
	isolatedZone      string
	// fullZone is a zone in which the cloud has no capacity left.
	fullZone string
	// hungUntil is when a machine that hangs continues.
	hungUntil map[string]time.Duration
	// completeGangs holds the gang attempts all of whose tasks have been on machines at once.
	completeGangs map[taskAttempt]bool
	// allRestarted is set once all controllers have stopped at the same time. From then on only
	// the store knows which cancellations users were told of. If the store is unavailable for
	// longer than cancel_s, only the expiry of its lease ends the tasks of a hung machine.
	allRestarted bool
	// delayReports makes some reports get no answer and arrive much later, at any controller.
	delayReports bool
	// endedAt is when the final state of each job was stored.
	endedAt map[string]time.Duration
	// notUpgraded holds the controllers that run the previous version, which does not store its
	// version.
	notUpgraded map[string]bool
	// lowLimits makes the store enforce the announced lower limits.
	lowLimits bool
}

// tester is the common subset of testing.T and rapid.T that a world uses.
type tester interface {
	Helper()
	Error(args ...any)
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// newWorld returns a world of three controllers.
func newWorld(t tester) *world { return newWorldOf(t, nodeNames) }

// newWorldOf returns a world of the given controllers.
func newWorldOf(t tester, names []string) *world { return newTunedWorld(t, names, nil) }

// newTunedWorld returns a world that starts each controller with adjusted settings.
func newTunedWorld(t tester, names []string, adjustSettings func(*settings.Settings)) *world {
	w := &world{
		t:                     t,
		rng:                   rand.New(rand.NewPCG(1, 2)),
		tick:                  100 * time.Millisecond,
		names:                 names,
		adjustSettings:        adjustSettings,
		maxMachines:           40,
		taskTime:              5 * time.Second,
		specs:                 map[string]*job.Spec{},
		endedAt:               map[string]time.Duration{},
		notUpgraded:           map[string]bool{},
		hungUntil:             map[string]time.Duration{},
		completeGangs:         map[taskAttempt]bool{},
		cores:                 map[string]*Core{},
		inbox:                 map[string][]Command{},
		withoutStore:          map[string]bool{},
		kv:                    map[string]protocol.KeyValue{},
		seen:                  map[string]uint64{},
		leases:                map[uint64]string{},
		workers:               map[string]*fakeWorker{},
		answers:               map[uint64]Answer{},
		starts:                map[string]int{},
		broken:                map[string]bool{},
		faulty:                map[string]bool{},
		unreachableNodes:      map[string]bool{},
		redirected:            map[string]int{},
		cfg:                   map[string]*settings.Settings{},
		refusedLinks:          map[link]bool{},
		slowLinks:             map[link]bool{},
		heldMessages:          map[link][]PeerMessage{},
		frozen:                map[string]bool{},
		cutWorkers:            map[string]bool{},
		unreachableWorkers:    map[string]bool{},
		silentWorkers:         map[string]bool{},
		workerCannotReach:     map[link]bool{},
		storeUnavailableSince: map[string]time.Duration{},
		storeLossReported:     map[string]bool{},
		awaitingSnapshot:      map[string]bool{},
		awaitingLease:         map[string]bool{},
		watchedAt:             map[string]time.Duration{},
		cancellationToldAt:    map[string]time.Duration{},
		completed:             map[string]bool{},
		tokenOwners:           map[uint64]string{},
	}
	w.types = []protocol.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 50, FetchGBPS: 1, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: []string{"z1", "z2"}},
	}
	for _, n := range names {
		w.boot(n)
	}
	return w
}

// testSettings returns the settings of a controller in a cluster of nodeNames.
func testSettings(node string) *settings.Settings { return settingsForNodes(node, nodeNames) }

// settingsForNodes returns the settings of a controller in a cluster of the given names.
func settingsForNodes(node string, names []string) *settings.Settings {
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

// nodeNames are the controllers of newWorld.
var nodeNames = []string{"a", "b", "c"}

// boot starts or restarts a controller.
func (w *world) boot(node string) {
	w.cfg[node] = settingsForNodes(node, w.names)
	if w.adjustSettings != nil {
		w.adjustSettings(w.cfg[node])
	}
	w.assignZone(node)
	w.nextReq++
	w.cores[node] = New(w.cfg[node], settings.DefaultPolicy(), fmt.Sprint(node, w.nextReq))
	if g := w.gateways[node]; g != nil {
		w.cores[node].Join(g)
	}
	w.inbox[node] = nil
	delete(w.storeUnavailableSince, node)
	delete(w.storeLossReported, node)
	if w.awaitingSnapshot[node] = true; !w.outage && !w.withoutStore[node] {
		w.read(node)
	}
	w.grantLease(node)
	for _, other := range w.names {
		if w.cores[other] != nil && other != node {
			w.connect(node, other)
			w.connect(other, node)
		}
	}
}

// send queues a command for a controller's next step.
func (w *world) send(node string, c Command) {
	if s, isSubmission := c.(Submit); isSubmission {
		w.recordSubmission(s.Body)
	}
	w.inbox[node] = append(w.inbox[node], c)
}

// run advances the simulation by d, or until done returns true. It reports whether done did.
func (w *world) run(d time.Duration, done func() bool) bool {
	for end := w.now + d; w.now < end; w.now += w.tick {
		if done != nil && done() {
			return true
		}
		w.scheduledActions = slices.DeleteFunc(w.scheduledActions, func(action func() bool) bool { return action() })
		for _, f := range w.messagesInFlight {
			w.send(f.to, PeerMessageReceived{Node: f.from, Message: f.message})
		}
		w.messagesInFlight = nil
		w.stepWorkers()
		w.replayPastReports()
		for _, node := range w.names {
			w.step(node)
		}
		w.checkCancelDeadlines()
	}
	return done != nil && done()
}

// step delivers a controller's queued commands and applies the effects.
func (w *world) step(node string) {
	c := w.cores[node]
	if c == nil || w.frozen[node] {
		return
	}
	w.sendEvents(node)
	w.updateStoreHealth(node)
	batch := w.inbox[node]
	w.inbox[node] = nil
	effects := c.Step(Now{Steady: w.now, Wall: w.now.Milliseconds()}, batch)
	for token := range c.agents.tokens.acquired {
		w.checkTokenOwner(node, token)
	}
	for _, e := range effects {
		w.applyEffect(node, e)
	}
}

// sendEvents delivers new store events to a controller, unless its watch is blocked or lags.
func (w *world) sendEvents(node string) {
	blocked := w.outage || w.withoutStore[node] || w.awaitingSnapshot[node] || w.slowWatcher == node
	if blocked || w.seen[node] >= uint64(len(w.events)) || w.now < w.watchedAt[node]+w.watchLag {
		return
	}
	w.watchedAt[node] = w.now
	w.send(node, StoreChanged{Revision: w.revision, Events: slices.Clone(w.events[w.seen[node]:])})
	w.seen[node] = uint64(len(w.events))
}

// crash stops a controller. Its lease stays until expire is called.
func (w *world) crash(node string) {
	delete(w.cores, node)
	w.messagesInFlight = slices.DeleteFunc(w.messagesInFlight, func(f inFlightMessage) bool { return f.from == node })
	for _, other := range w.names {
		if w.cores[other] != nil {
			w.send(other, PeerDisconnected{Node: node})
		}
	}
}

// ready runs the simulation until every node can take requests.
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
		w.t.Fatal("controllers did not become ready")
	}
	return w
}

// applyEffect carries out an effect of a controller in the simulated environment.
func (w *world) applyEffect(node string, e Effect) {
	if w.onEffect != nil {
		w.onEffect(node, e)
	}
	switch e := e.(type) {
	case Answer:
		w.answers[e.Req] = e
	case StoreTxn:
		w.executeTxn(node, e)
	case StoreGet:
		w.executeGet(node, e)
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
		w.listMachines(node)
	case RequestRental:
		w.rentMachines(node, e)
	case ReleaseMachines:
		w.releaseMachines(node, e)
	}
}

// sendPeer sends a message to other controllers, as the state of each link allows.
func (w *world) sendPeer(node string, e SendPeer) {
	if slices.Contains(w.previousRelease, node) {
		e.Message = asPreviousRelease(e.Message)
	}
	for _, to := range e.Nodes {
		msg := e.Message
		if slices.Contains(w.previousRelease, to) {
			msg = asPreviousRelease(msg)
		}
		switch messageLink := (link{node, to}); {
		case w.cores[to] == nil || w.refusedLinks[messageLink]:
		case w.slowLinks[messageLink]:
			w.heldMessages[messageLink] = append(w.heldMessages[messageLink], msg)
		case w.latency:
			w.messagesInFlight = append(w.messagesInFlight, inFlightMessage{messageLink, msg})
		default:
			w.send(to, PeerMessageReceived{Node: node, Message: msg})
		}
	}
}

// startDelivery executes a delivery at once, delays it or loses it.
func (w *world) startDelivery(node string, delivery Deliver) {
	if w.loseDeliveries {
		w.heldDeliveries = append(w.heldDeliveries, delivery)
		w.send(node, DeliveryResult{Machine: delivery.Machine, Orders: delivery.Orders})
		return
	}
	if w.delayDeliveries && w.rng.IntN(4) == 0 {
		w.delayDelivery(node, delivery, time.Duration(1+w.rng.IntN(12))*time.Second)
		return
	}
	w.deliver(node, delivery)
}

// rentMachines adds the requested machines, or refuses the rental for lack of capacity.
func (w *world) rentMachines(node string, e RequestRental) {
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

// releaseMachines returns machines to the cloud.
func (w *world) releaseMachines(node string, e ReleaseMachines) {
	if w.noCloud {
		w.send(node, ReleaseResult{Machines: e.Machines})
		return
	}
	for _, m := range e.Machines {
		delete(w.workers, m)
	}
	w.send(node, ReleaseResult{Machines: e.Machines, OK: true})
}

// asPreviousRelease removes the message fields that the previous release does not know.
func asPreviousRelease(m PeerMessage) PeerMessage {
	m.Cancellations, m.Acknowledged = nil, nil
	if heartbeat := m.Heartbeat; heartbeat != nil {
		m.Heartbeat = &NodeHeartbeat{StoreOK: heartbeat.StoreOK, PendingWrites: heartbeat.PendingWrites, Records: heartbeat.Records, ReportingMachines: heartbeat.ReportingMachines, ReportSeqs: heartbeat.ReportSeqs, Unreachable: heartbeat.Unreachable}
	}
	return m
}
