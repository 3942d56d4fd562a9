// Package core implements the scheduler as a deterministic state machine that performs no I/O:
// Step takes commands and the current time and returns effects. It uses no clock, socket or
// goroutine of its own. In comments, "this node" is the controller that the state machine runs in.
package core

import (
	"fmt"
	"net/http"
	"time"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/jobstats"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/progress"
	"pepperlever/internal/settings"
)

// Core owns all state of a controller. Each component modifies only its own fields; Core
// determines the order in which the components run.
type Core struct {
	*environment
	*messenger

	// Replica of the stored state.

	replica replica
	// members holds the controllers of this site.
	members membership
	// teams lists the teams in the order of the settings. fleet is the shard that covers the
	// machines.
	teams       []*team
	teamsByName map[string]*team
	fleet       *shard
	// jobs holds the jobs without a final state, ended caches those that have one.
	jobs    map[string]*job.Job
	ended   endedJobs
	cordons cordons
	intents rentalIntents
	// handoffs holds the records of jobs handed off to and from other sites.
	handoffs handoffReplica
	upgrade  *upgradeTracker

	// Store writes.

	limits storeLimits
	chunks *chunkPolicy
	writer *jobWriter
	// storeOK reports whether the store answers requests of this node.
	storeOK bool

	// Jobs and users.

	announcements *announcer
	dependencies  *dependencies
	lookups       *lookupController
	stats         *jobstats.Collector
	counters      Counters

	// Machines.

	catalog       catalog.Catalog
	machines      *worker.Registry
	agents        *agentController
	reconciler    *reconciler
	rebalancer    rebalancer
	returnTracker *machineReturns

	// Other controllers and sites.

	peerReachability *reachability
	freshness        *freshnessTracker
	relay            *storeRelay
	isolation        isolationDetector
	// federation connects this site to others. It is nil if federation is not configured.
	federation *federationAdapter

	scheduler  scheduler
	autoscaler autoscaler
	timers     timers
}

// timers holds the time at which each periodic operation is due next.
type timers struct {
	// usageUpdated is when the usage records were last updated.
	usageUpdated time.Duration

	heartbeat, shareUsage, storeUsage, reconcile time.Duration
	autoscaler, cordonCleanup, catalog           time.Duration
	inventory, evacuation, statistics            time.Duration
}

// New returns a core. The incarnation must be unique to each run of the process.
func New(cfg *settings.Settings, policy settings.Policy, incarnation string) *Core {
	c := &Core{
		environment: newEnvironment(cfg, policy),
		members:     newMembership(cfg.Node, incarnation, cfg.Peers),
		limits:      storeLimits{settings: &cfg.Params.State},
		replica:     newReplica(),
		ended:       newEndedJobs(),
		fleet:       &shard{name: "fleet", key: keyFleet},
		teamsByName: map[string]*team{},
		jobs:        map[string]*job.Job{},
		cordons:     cordons{},
		intents:     rentalIntents{},
		handoffs:    newHandoffReplica(),
		machines:    worker.NewRegistry(),
		rebalancer:  newRebalancer(),
		storeOK:     true,
		scheduler:   newScheduler(),
		autoscaler:  newAutoscaler(),
		stats:       jobstats.New(),
	}
	c.upgrade = newUpgradeTracker(c.environment, c.members.controllers)
	c.chunks = &chunkPolicy{environment: c.environment, limits: &c.limits, upgrade: c.upgrade, machines: c.machines}
	c.writer = &jobWriter{environment: c.environment, core: c}
	c.messenger = &messenger{environment: c.environment, peers: newPeerTable(cfg)}
	c.agents = newAgentController(c)
	c.reconciler = newReconciler(c)
	c.announcements = newAnnouncer(c)
	c.dependencies = newDependencies(c)
	c.lookups = newLookupController(c)
	c.relay = newStoreRelay(c)
	c.returnTracker = newMachineReturns(c)
	c.peerReachability = &reachability{environment: c.environment, replica: &c.replica, members: &c.members, peers: c.peers, relay: c.relay}
	c.freshness = &freshnessTracker{environment: c.environment, peers: c.peers}
	for _, t := range cfg.Params.Teams {
		c.addTeam(newTeam(t))
	}
	return c
}

// Step processes a batch of commands, runs the periodic work that is due, places pending tasks,
// writes changed jobs and returns the resulting effects in order.
func (c *Core) Step(now Now, commands []Command) []Effect {
	c.now = now
	c.effects = nil
	for _, cmd := range commands {
		c.handle(cmd)
		c.progress.Advance()
	}
	c.runPeriodicWork()
	c.progress.Advance()
	c.federation.run()
	c.progress.Advance()
	c.schedule()
	c.progress.Advance()
	c.lookups.sendDue()
	c.broadcastClaims()
	c.writer.flushJobs()
	c.progress.Advance()
	return c.effects
}

// Progress returns the counter of the finished units of work. Other goroutines may read it while a step
// runs.
func (c *Core) Progress() *progress.Counter { return c.progress }

// handle dispatches a command to the component that handles it.
func (c *Core) handle(cmd Command) {
	switch m := cmd.(type) {
	case Submit:
		c.submit(m)
	case Status:
		c.status(m)
	case Cancel:
		c.cancel(m)
	case List:
		c.list(m)
	case Health:
		c.health(m)
	case JobStatistics:
		c.reply(m.Req, http.StatusOK, c.statisticsReport())
	case Heartbeat:
		c.agents.handleHeartbeat(m)
	case StoreReply:
		c.handleStoreReply(m)
	case SnapshotLoaded:
		c.applySnapshot(m)
	case StoreChanged:
		c.applyEvents(m)
	case LeaseGranted:
		c.leaseGranted(m.Lease)
	case LeaseExpired:
		c.leaseExpired()
	case StoreHealth:
		c.storeOK = m.OK
	case StoreLimitLowered:
		c.handleStoreLimitLowered()
	case PeerMessageReceived:
		c.handlePeerMessage(m)
	case PeerConnected:
		c.peerConnected(m.Node)
	case PeerDisconnected:
		c.peers.setConnected(m.Node, false)
	case DeliveryResult:
		c.agents.handleDelivery(m)
	case CatalogReceived:
		c.handleCatalog(m)
	case InventoryReceived:
		c.handleInventory(m)
	case CloudHealth:
		c.freshness.cloudOutage = !m.OK
	case RentalResult:
		c.handleRental(m)
	case ReleaseResult:
		c.handleRelease(m)
	case SiteMessageReceived:
		c.federation.handleSiteMessage(m.Message)
	case SiteConnected:
		c.federation.handleSiteConnected(m.Site)
	case SiteConfig:
		c.updateFederationConfig(m.Config)
	case OperatorRequest:
		c.handleOperatorRequest(m)
	default:
		panic(fmt.Sprintf("core: unknown command %T", cmd))
	}
}

// Number of times that periodic work runs in each report interval.
const (
	heartbeatsPerReport   = 3
	observationsPerReport = 30
	electionsPerReport    = 6
	reconcilesPerReport   = 3
	autoscalesPerReport   = 3
)

// usageUpdatesPerStore is the number of updates of the usage records between two writes of them.
const usageUpdatesPerStore = 15

// runPeriodicWork runs the periodic operations that are due. Their order affects the result of the
// step.
func (c *Core) runPeriodicWork() {
	report := c.reportInterval()
	c.updateUsageRecords()
	c.announcements.resolveLookups()
	c.lookups.answerDeferred()
	if c.every(&c.timers.heartbeat, report/heartbeatsPerReport) {
		c.sendHeartbeat()
	}
	c.flushObservations(report / observationsPerReport)
	if c.replica.loaded {
		c.runReplicaWork(report)
	}
	if c.every(&c.timers.catalog, c.catalogInterval()) {
		c.emit(FetchCatalog{})
	}
	if c.fleet.leading {
		c.runFleetWork(report)
	}
	if c.replica.loaded && c.every(&c.timers.storeUsage, usageUpdatesPerStore*usageRecordInterval) {
		c.storeUsageRecords()
	}
}

// runReplicaWork runs the periodic operations that require a loaded replica.
func (c *Core) runReplicaWork(report time.Duration) {
	if c.every(&c.members.nextElection, report/electionsPerReport) {
		c.electLeaders()
	}
	if c.every(&c.timers.reconcile, report/reconcilesPerReport) {
		c.announcements.resend()
		c.freshness.refresh(c.storeOK)
		c.reconciler.reconcileAll()
		c.agents.retryPendingRaises()
		c.agents.acquireTokenToForget()
		c.agents.expireSessions()
		c.agents.expireStartDecisions()
	}
	c.renewClaims()
	c.dependencies.refresh()
	c.dependencies.inheritUrgency()
	c.relay.update()
	c.checkIsolation()
}

// runFleetWork runs the periodic operations of the fleet leader.
func (c *Core) runFleetWork(report time.Duration) {
	if c.every(&c.timers.autoscaler, report/autoscalesPerReport) {
		c.runAutoscaler()
	}
	if c.every(&c.timers.inventory, c.listInterval()) {
		c.emit(FetchInventory{})
	}
	if c.every(&c.timers.statistics, reportIntervalsPerStatistics*report) {
		c.logStatistics()
	}
}

func (c *Core) catalogInterval() time.Duration {
	if !c.catalog.Loaded() {
		return c.reportInterval() / 3
	}
	return 10 * seconds(c.cfg.Params.Cloud.ListLagS)
}

func (c *Core) listInterval() time.Duration { return seconds(c.cfg.Params.Cloud.ListLagS) / 2 }

// seconds converts a number of seconds from the settings to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
