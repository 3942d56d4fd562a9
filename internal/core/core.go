// Package core is the scheduler without input or output: commands and a time
// go in, effects come out. It holds no clock, socket or goroutine.
package core

import (
	"fmt"
	"net/http"
	"time"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/jobstats"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/settings"
)

// Core is the single owner of all state of a controller.
type Core struct {
	*environment
	*messenger

	// Replica of the store.
	replica replica
	members membership
	teams   []*team
	teamBy  map[string]*team
	fleet   *shard
	jobs    map[string]*job.Job
	cordons cordons
	intents rentalIntents
	ended   endedJobs
	// announcements holds the cancellations that are announced to the other controllers.
	announcements *announcer
	upgrade       *upgradeTracker
	// limits are those of the store on what this controller writes.
	limits storeLimits
	chunks *chunkPolicy
	// writer stores the jobs of the teams that this node leads.
	writer       *jobWriter
	dependencies *dependencies
	// handoffs mirrors the hand-offs to and from other sites.
	handoffs handoffReplica

	// Machines.
	catalog    catalog.Catalog
	machines   *worker.Registry
	agents     *agentController
	reconciler *reconciler
	rebalancer rebalancer
	lookups    *lookupController

	reach *reachability
	// storeOK tells whether the store answers this node.
	storeOK   bool
	freshness *freshnessTracker
	relay     *storeRelay
	isolation isolationDetector
	returns   *machineReturns
	stats     *jobstats.Collector
	counts    Counters

	// federation is this site's gateway to others, nil without one.
	federation *federationAdapter

	scheduler  scheduler
	autoscaler autoscaler
	timers     timers
}

// timers hold the next time of each periodic duty.
type timers struct {
	// usageUpdated is when the usage records were last updated.
	usageUpdated time.Duration

	heartbeat, share, record, reconcile time.Duration
	autoscaler, forget, catalog         time.Duration
	inventory, evacuation, statistics   time.Duration
}

// New makes a core. The incarnation must differ between runs of the process.
func New(cfg *settings.Settings, policy settings.Policy, incarnation string) *Core {
	c := &Core{
		environment: newEnvironment(cfg, policy),
		members:     newMembership(cfg.Node, incarnation, cfg.Peers),
		limits:      storeLimits{settings: &cfg.Params.State},
		replica:     newReplica(),
		ended:       newEndedJobs(),
		fleet:       &shard{name: "fleet", key: keyFleet},
		teamBy:      map[string]*team{},
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
	c.upgrade = newUpgradeTracker(c.environment, c.members.roster)
	c.chunks = &chunkPolicy{environment: c.environment, limits: &c.limits, upgrade: c.upgrade, machines: c.machines}
	c.writer = &jobWriter{environment: c.environment, core: c}
	c.messenger = &messenger{environment: c.environment, peers: newPeerTable(cfg)}
	c.agents = newAgentController(c)
	c.reconciler = newReconciler(c)
	c.announcements = newAnnouncer(c)
	c.dependencies = newDependencies(c)
	c.lookups = newLookupController(c)
	c.relay = newStoreRelay(c)
	c.returns = newMachineReturns(c)
	c.reach = &reachability{environment: c.environment, members: &c.members, peers: c.peers, relay: c.relay}
	c.freshness = &freshnessTracker{environment: c.environment, peers: c.peers}
	for _, t := range cfg.Params.Teams {
		c.addTeam(newTeam(t))
	}
	return c
}

// Step works through a batch of commands and returns the effects in order.
func (c *Core) Step(now Now, commands []Command) []Effect {
	c.now = now
	c.effects = nil
	for _, cmd := range commands {
		c.handle(cmd)
	}
	c.periodic()
	c.federation.run()
	c.schedule()
	c.lookups.sendDue()
	c.shareClaims()
	c.writer.flushJobs()
	return c.effects
}

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
		c.storeLimitLowered()
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
		c.federation.peerReachable(m.Site)
	case SiteConfig:
		c.updateFederationConfig(m.Config)
	case OperatorRequest:
		c.handleOperatorRequest(m)
	default:
		panic(fmt.Sprintf("core: unknown command %T", cmd))
	}
}

func (c *Core) periodic() {
	report := c.reportInterval()
	c.updateUsageRecords()
	c.announcements.resolveLookups()
	c.lookups.answerDeferred()
	if c.every(&c.timers.heartbeat, report/3) {
		c.sendHeartbeat()
	}
	c.flushObservations(report / 30)
	if c.replica.loaded && c.every(&c.members.nextElection, report/6) {
		c.electLeaders()
	}
	if c.replica.loaded && c.every(&c.timers.reconcile, report/3) {
		c.announcements.repeat()
		c.freshness.check(c.storeOK)
		c.reconciler.reconcileAll()
		c.agents.retryPendingRaises()
		c.agents.expireSessions()
		c.agents.expireStartDecisions()
	}
	if c.replica.loaded {
		c.dependencies.check()
		c.dependencies.inheritUrgency()
		c.relay.update()
		c.checkIsolation()
	}
	if c.every(&c.timers.catalog, c.catalogInterval()) {
		c.emit(FetchCatalog{})
	}
	if c.fleet.leading && c.every(&c.timers.autoscaler, report/3) {
		c.runAutoscaler()
	}
	if c.fleet.leading && c.every(&c.timers.inventory, c.listInterval()) {
		c.emit(FetchInventory{})
	}
	if c.fleet.leading && c.every(&c.timers.statistics, statisticsInterval*report) {
		c.logStatistics()
	}
	if c.replica.loaded && c.every(&c.timers.record, 15*usageRecordInterval) {
		c.storeUsageRecords()
	}
}

func (c *Core) catalogInterval() time.Duration {
	if !c.catalog.Loaded() {
		return c.reportInterval() / 3
	}
	return 10 * seconds(c.cfg.Params.Cloud.ListLagS)
}

func (c *Core) listInterval() time.Duration { return seconds(c.cfg.Params.Cloud.ListLagS) / 2 }

// seconds turns a figure of the settings into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
