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

// simCluster simulates controllers, workers, the cloud and the store on a fake clock, and checks
// the scheduling invariants whenever a task starts.
type simCluster struct {
	simFaults
	t     tester
	rng   *rand.Rand
	now   time.Duration
	tick  time.Duration    // the time between two steps of each controller
	cores map[string]*Core // running controllers by name
	// bootedAt holds the time at which each controller was last started.
	bootedAt map[string]time.Duration
	inbox    map[string][]Command // commands for the next step of each controller

	kv       map[string]protocol.KeyValue
	revision uint64
	events   []protocol.Event
	seen     map[string]uint64 // the number of events that each controller has received
	leases   map[uint64]string // the controller that holds each lease

	workers map[string]*fakeWorker
	rented  int // the number of machines added so far

	answers map[uint64]Answer // by request
	nextReq uint64            // the number last used, for requests, leases and incarnations
	starts  map[string]int    // the number of starts of each task
	cfg     map[string]*settings.Settings
	// requests counts the requests that the controllers send to the store.
	requests int
	// unreachableNodes are the controllers that no worker can reach; redirected counts the
	// redirects of workers to each controller.
	unreachableNodes map[string]bool
	redirected       map[string]int
	// allowRacingStarts permits tasks to start although their job has ended, as by a start command
	// that was already in flight when the job was cancelled.
	allowRacingStarts bool
	// federationConfigs holds the federation configuration of each controller that has one; sent
	// holds the messages to other sites.
	federationConfigs map[string]*federation.Config
	sent              []federation.Message
	// onEffect, if set, is called with every effect of a controller.
	onEffect func(node string, e Effect)
	// names lists the controllers; maxMachines is the capacity of the cloud.
	names       []string
	maxMachines int
	// taskTime is the normal run time of a task.
	taskTime time.Duration
	// types is the cloud's catalog of machine types.
	types []protocol.MachineType
	// storeUnavailableSince holds the time at which each controller lost the store. A controller is
	// notified after a report interval; storeLossReported holds those that have been notified.
	storeUnavailableSince map[string]time.Duration
	storeLossReported     map[string]bool
	// watchLag is the minimum interval between watch events for a controller. watchedAt holds the
	// time at which each controller last received some.
	watchLag  time.Duration
	watchedAt map[string]time.Duration
	// awaitingSnapshot holds the controllers that wait for a snapshot of the store. awaitingLease
	// holds those that wait for a lease.
	awaitingSnapshot, awaitingLease map[string]bool
	// listPageSize is the number of keys in a page of a list, or 0 for no limit. A controller reads one
	// page in each step and receives no watch events meanwhile. holdNextPage, if set, reports whether a
	// controller has to wait with its next page. lists holds the lists that are being read.
	listPageSize int
	holdNextPage func(node string) bool
	lists        map[string]*pagedList
	// scheduledActions are called on every tick until they return true.
	scheduledActions []func() bool
	// unevenRunTimes makes every second task of a job run three times as long, except in gangs;
	// recoveryCount counts the calls of recover.
	unevenRunTimes bool
	recoveryCount  int
	// tokenOwners maps each fencing token to the incarnation that acquired it.
	tokenOwners map[uint64]string
	// completed holds the tasks that ran to their end.
	completed map[string]bool
	// cancelConfirmedAt holds the time at which the cancellation of each job was confirmed to its
	// user. checkCancelDeadlines removes the entry after the deadline.
	cancelConfirmedAt map[string]time.Duration
	// cancelDeadlines holds the time by which all tasks of each cancelled job must be gone.
	cancelDeadlines map[string]time.Duration
	// forgotten is the number of attempts that workers have forgotten on command.
	forgotten int
	// specs holds the spec of each submitted job.
	specs map[string]*job.Spec
	// adjustSettings, if set, changes the settings of each controller before it starts.
	adjustSettings func(*settings.Settings)
	// limitZoneCapacity limits each zone to half of maxMachines; controllerZones holds the zone
	// of each controller; isolatedZone is a zone that is partitioned from the rest.
	limitZoneCapacity bool
	controllerZones   map[string]string
	isolatedZone      string
	// completeGangs holds the gang attempts all of whose tasks have been on machines at the same
	// time.
	completeGangs map[taskAttempt]bool
	// endedAt holds the time at which the final state of each job was stored.
	endedAt map[string]time.Duration
}

// tester is the common subset of testing.T and rapid.T that a simulated cluster uses.
type tester interface {
	Helper()
	Error(args ...any)
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// newSimCluster returns a simulated cluster of three controllers.
func newSimCluster(t tester) *simCluster { return newSimClusterOf(t, nodeNames) }

// newSimClusterOf returns a simulated cluster of the given controllers.
func newSimClusterOf(t tester, names []string) *simCluster {
	return newSimClusterWithSettings(t, names, nil)
}

// newSimClusterWithSettings returns a simulated cluster that starts each controller with adjusted
// settings.
func newSimClusterWithSettings(t tester, names []string, adjustSettings func(*settings.Settings)) *simCluster {
	cluster := &simCluster{
		simFaults:             newSimFaults(),
		t:                     t,
		rng:                   rand.New(rand.NewPCG(1, 2)),
		tick:                  100 * time.Millisecond,
		names:                 names,
		adjustSettings:        adjustSettings,
		maxMachines:           40,
		taskTime:              5 * time.Second,
		specs:                 map[string]*job.Spec{},
		endedAt:               map[string]time.Duration{},
		completeGangs:         map[taskAttempt]bool{},
		cores:                 map[string]*Core{},
		bootedAt:              map[string]time.Duration{},
		inbox:                 map[string][]Command{},
		kv:                    map[string]protocol.KeyValue{},
		seen:                  map[string]uint64{},
		leases:                map[uint64]string{},
		workers:               map[string]*fakeWorker{},
		answers:               map[uint64]Answer{},
		starts:                map[string]int{},
		unreachableNodes:      map[string]bool{},
		redirected:            map[string]int{},
		cfg:                   map[string]*settings.Settings{},
		storeUnavailableSince: map[string]time.Duration{},
		storeLossReported:     map[string]bool{},
		awaitingSnapshot:      map[string]bool{},
		awaitingLease:         map[string]bool{},
		lists:                 map[string]*pagedList{},
		watchedAt:             map[string]time.Duration{},
		cancelConfirmedAt:     map[string]time.Duration{},
		cancelDeadlines:       map[string]time.Duration{},
		completed:             map[string]bool{},
		tokenOwners:           map[uint64]string{},
	}
	cluster.types = []protocol.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 50, FetchGBPS: 1, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: []string{"z1", "z2"}},
	}
	for _, n := range names {
		cluster.boot(n)
	}
	return cluster
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

// nodeNames are the controllers of newSimCluster.
var nodeNames = []string{"a", "b", "c"}

// boot starts or restarts a controller.
func (cluster *simCluster) boot(node string) {
	cluster.cfg[node] = settingsForNodes(node, cluster.names)
	if cluster.adjustSettings != nil {
		cluster.adjustSettings(cluster.cfg[node])
	}
	cluster.assignZone(node)
	cluster.nextReq++
	cluster.cores[node] = New(cluster.cfg[node], settings.DefaultPolicy(), fmt.Sprint(node, cluster.nextReq))
	if g := cluster.federationConfigs[node]; g != nil {
		cluster.cores[node].EnableFederation(g)
	}
	cluster.bootedAt[node] = cluster.now
	cluster.inbox[node] = nil
	delete(cluster.storeUnavailableSince, node)
	delete(cluster.storeLossReported, node)
	delete(cluster.lists, node)
	if cluster.awaitingSnapshot[node] = true; !cluster.outage && !cluster.withoutStore[node] {
		cluster.sendSnapshotWhenReachable(node)
	}
	cluster.grantLease(node)
	for _, other := range cluster.names {
		if cluster.cores[other] != nil && other != node {
			cluster.connect(node, other)
			cluster.connect(other, node)
		}
	}
}

// send queues a command for a controller's next step.
func (cluster *simCluster) send(node string, c Command) {
	if s, isSubmission := c.(Submit); isSubmission {
		cluster.recordSubmission(s.Body)
	}
	cluster.inbox[node] = append(cluster.inbox[node], c)
}

// run advances the simulation by d, or until done returns true. It reports whether done did.
func (cluster *simCluster) run(d time.Duration, done func() bool) bool {
	for end := cluster.now + d; cluster.now < end; cluster.now += cluster.tick {
		if done != nil && done() {
			return true
		}
		cluster.scheduledActions = slices.DeleteFunc(cluster.scheduledActions, func(action func() bool) bool { return action() })
		for _, f := range cluster.messagesInFlight {
			cluster.send(f.to, PeerMessageReceived{Node: f.from, Message: f.message})
		}
		cluster.messagesInFlight = nil
		cluster.stepWorkers()
		cluster.replayPastReports()
		for _, node := range cluster.names {
			cluster.step(node)
		}
		cluster.checkCancelDeadlines()
	}
	return done != nil && done()
}

// step delivers a controller's queued commands and applies the effects.
func (cluster *simCluster) step(node string) {
	c := cluster.cores[node]
	if c == nil || cluster.frozen[node] {
		return
	}
	cluster.continueList(node)
	cluster.sendEvents(node)
	cluster.updateStoreHealth(node)
	batch := cluster.inbox[node]
	cluster.inbox[node] = nil
	effects := c.Step(cluster.clock(node), batch)
	for token := range c.agents.tokens.acquired {
		cluster.checkTokenOwner(node, token)
	}
	for _, e := range effects {
		cluster.applyEffect(node, e)
	}
}

// clock returns the time as a controller sees it: its steady time starts with its process.
func (cluster *simCluster) clock(node string) Now {
	return Now{Steady: cluster.now - cluster.bootedAt[node], Wall: cluster.now.Milliseconds()}
}

// sendEvents delivers new store events to a controller, unless its watch is blocked or lags.
func (cluster *simCluster) sendEvents(node string) {
	blocked := cluster.outage || cluster.withoutStore[node] || cluster.awaitingSnapshot[node] || cluster.lists[node] != nil || cluster.blockedWatcher == node
	if blocked || cluster.seen[node] >= uint64(len(cluster.events)) || cluster.now < cluster.watchedAt[node]+cluster.watchLag {
		return
	}
	cluster.watchedAt[node] = cluster.now
	cluster.send(node, StoreChanged{Revision: cluster.revision, Events: slices.Clone(cluster.events[cluster.seen[node]:])})
	cluster.seen[node] = uint64(len(cluster.events))
}

// delayWatches keeps all watches from delivering events for d, and from then on for d between two events.
func (cluster *simCluster) delayWatches(d time.Duration) {
	cluster.watchLag = d
	for _, node := range cluster.names {
		cluster.watchedAt[node] = cluster.now
	}
}

// crash stops a controller. Its lease stays until expire is called.
func (cluster *simCluster) crash(node string) {
	delete(cluster.cores, node)
	cluster.messagesInFlight = slices.DeleteFunc(cluster.messagesInFlight, func(f inFlightMessage) bool { return f.from == node })
	for _, other := range cluster.names {
		if cluster.cores[other] != nil {
			cluster.send(other, PeerDisconnected{Node: node})
		}
	}
}

// waitUntilReady runs the simulation until every controller has loaded the stored state and the
// catalog, has acquired a fencing token and knows the fleet leader.
func (cluster *simCluster) waitUntilReady() *simCluster {
	cluster.t.Helper()
	if !cluster.run(20*time.Second, func() bool {
		for _, n := range cluster.names {
			c := cluster.cores[n]
			if c == nil || !c.replica.loaded || !c.catalog.Loaded() || c.agents.tokens.current == 0 || c.fleet.leader == "" {
				return false
			}
		}
		return true
	}) {
		cluster.t.Fatal("controllers did not become ready")
	}
	return cluster
}

// applyEffect carries out an effect of a controller in the simulated environment.
func (cluster *simCluster) applyEffect(node string, e Effect) {
	if cluster.onEffect != nil {
		cluster.onEffect(node, e)
	}
	cluster.repeatEffect(node, e)
	switch e := e.(type) {
	case Log:
		if e.Text == taskReappeared {
			cluster.t.Errorf("%v: %s: %s %v", cluster.now, node, e.Text, e.Attrs)
		}
	case Answer:
		cluster.answers[e.Req] = e
	case StoreTxn:
		cluster.executeTxn(node, e)
	case StoreGet:
		cluster.executeGet(node, e)
	case StoreReload:
		cluster.sendSnapshotWhenReachable(node)
	case SendPeer:
		cluster.sendPeer(node, e)
	case SendSite:
		cluster.sent = append(cluster.sent, e.Message)
	case Deliver:
		cluster.startDelivery(node, e)
	case FetchCatalog:
		cluster.send(node, CloudHealth{OK: !cluster.cloudDegraded})
		if !cluster.cloudDegraded {
			cluster.send(node, CatalogReceived{Types: cluster.types})
		}
	case FetchInventory:
		cluster.listMachines(node)
	case RequestRental:
		cluster.rentMachines(node, e)
	case ReleaseMachines:
		cluster.releaseMachines(node, e)
	}
}

// sendPeer sends a message to other controllers, as the state of each link allows.
func (cluster *simCluster) sendPeer(node string, e SendPeer) {
	if slices.Contains(cluster.previousVersion, node) {
		e.Message = asPreviousVersion(e.Message)
	}
	for _, to := range e.Nodes {
		msg := e.Message
		if slices.Contains(cluster.previousVersion, to) {
			msg = asPreviousVersion(msg)
		}
		switch messageLink := (link{node, to}); {
		case cluster.cores[to] == nil || cluster.refusedLinks[messageLink]:
		case cluster.slowLinks[messageLink]:
			cluster.heldMessages[messageLink] = append(cluster.heldMessages[messageLink], msg)
		case cluster.latency:
			cluster.messagesInFlight = append(cluster.messagesInFlight, inFlightMessage{messageLink, msg})
		default:
			cluster.send(to, PeerMessageReceived{Node: node, Message: msg})
		}
	}
}

// startDelivery executes a delivery immediately, delays it or loses it.
func (cluster *simCluster) startDelivery(node string, delivery Deliver) {
	if cluster.loseDeliveries {
		cluster.heldDeliveries = append(cluster.heldDeliveries, delivery)
		cluster.send(node, DeliveryResult{Machine: delivery.Machine, CommandBatch: delivery.CommandBatch})
		return
	}
	if cluster.delayDeliveries && cluster.rng.IntN(4) == 0 {
		cluster.delayDelivery(node, delivery, time.Duration(1+cluster.rng.IntN(12))*time.Second)
		return
	}
	cluster.deliver(node, delivery)
}

// rentMachines adds the requested machines, or refuses the rental for lack of capacity.
func (cluster *simCluster) rentMachines(node string, e RequestRental) {
	if len(cluster.workers) >= cluster.maxMachines || cluster.isZoneFull(e.Rental.Zone) {
		cluster.send(node, RentalResult{Rental: e.Rental, Outcome: OutcomeRefused})
		return
	}
	cluster.grantedRentals[e.Rental.Request] = true
	var names []string
	for range e.Rental.Count {
		id := cluster.addWorker(e.Rental.Zone, e.Rental.Spot)
		cluster.workers[id].Type = e.Rental.Type
		names = append(names, id)
	}
	cluster.send(node, RentalResult{Rental: e.Rental, Outcome: OutcomeApplied, Machines: names})
}

// releaseMachines removes released machines, or fails while the cloud is degraded.
func (cluster *simCluster) releaseMachines(node string, e ReleaseMachines) {
	if cluster.cloudDegraded {
		cluster.send(node, ReleaseResult{Machines: e.Machines})
		return
	}
	for _, m := range e.Machines {
		delete(cluster.workers, m)
	}
	cluster.send(node, ReleaseResult{Machines: e.Machines, OK: true})
}

// asPreviousVersion removes the message fields that the previous version does not know.
func asPreviousVersion(m PeerMessage) PeerMessage {
	m.Cancellations, m.Acknowledged = nil, nil
	if heartbeat := m.Heartbeat; heartbeat != nil {
		m.Heartbeat = &NodeHeartbeat{StoreOK: heartbeat.StoreOK, PendingWrites: heartbeat.PendingWrites, Records: heartbeat.Records, ReportingMachines: heartbeat.ReportingMachines, ReportSeqs: heartbeat.ReportSeqs, Unreachable: heartbeat.Unreachable}
	}
	return m
}
