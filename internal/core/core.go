// Package core is the scheduler without input or output: commands and a time go in, effects come
// out. It holds no clock, socket or goroutine.
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

// Core is the single owner of all state of a controller. Its components own the fields that they
// change; Core keeps the order in which they act.
type Core struct {
	*environment
	*messenger

	// The replica of the store.

	replica replica
	// members are the controllers of this deployment.
	members membership
	// teams are in the order of the settings, fleet is the leadership of the machines.
	teams  []*team
	teamBy map[string]*team
	fleet  *shard
	// jobs holds the jobs that are not final, ended what is remembered of the others.
	jobs    map[string]*job.Job
	ended   endedJobs
	cordons cordons
	intents rentalIntents
	// handoffs holds the hand-offs to and from other sites.
	handoffs handoffReplica
	upgrade  *upgradeTracker

	// Writes to the store.

	limits storeLimits
	chunks *chunkPolicy
	writer *jobWriter
	// storeOK tells whether the store answers this node.
	storeOK bool

	// Jobs and users.

	announcements *announcer
	dependencies  *dependencies
	lookups       *lookupController
	stats         *jobstats.Collector
	counts        Counters

	// Machines.

	catalog    catalog.Catalog
	machines   *worker.Registry
	agents     *agentController
	reconciler *reconciler
	rebalancer rebalancer
	returns    *machineReturns

	// Other controllers and sites.

	reach     *reachability
	freshness *freshnessTracker
	relay     *storeRelay
	isolation isolationDetector
	// federation connects this site to others, nil without.
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
	c.runDuties()
	c.federation.run()
	c.schedule()
	c.lookups.sendDue()
	c.shareClaims()
	c.writer.flushJobs()
	return c.effects
}

// handle hands a command to the component that it concerns.
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

// Intervals of duties, as parts of a report interval.
const (
	heartbeatsPerReport   = 3
	observationsPerReport = 30
	electionsPerReport    = 6
	reconcilesPerReport   = 3
	autoscalesPerReport   = 3
)

// usageStoreInterval is after how many updates the usage records are stored.
const usageStoreInterval = 15

// runDuties carries out the duties that are due. Their order is part of what a step does.
func (c *Core) runDuties() {
	report := c.reportInterval()
	c.updateUsageRecords()
	c.announcements.resolveLookups()
	c.lookups.answerDeferred()
	if c.every(&c.timers.heartbeat, report/heartbeatsPerReport) {
		c.sendHeartbeat()
	}
	c.flushObservations(report / observationsPerReport)
	if c.replica.loaded {
		c.runReplicaDuties(report)
	}
	if c.every(&c.timers.catalog, c.catalogInterval()) {
		c.emit(FetchCatalog{})
	}
	if c.fleet.leading {
		c.runFleetDuties(report)
	}
	if c.replica.loaded && c.every(&c.timers.record, usageStoreInterval*usageRecordInterval) {
		c.storeUsageRecords()
	}
}

// runReplicaDuties carries out the duties that go by the replica.
func (c *Core) runReplicaDuties(report time.Duration) {
	if c.every(&c.members.nextElection, report/electionsPerReport) {
		c.electLeaders()
	}
	if c.every(&c.timers.reconcile, report/reconcilesPerReport) {
		c.announcements.repeat()
		c.freshness.check(c.storeOK)
		c.reconciler.reconcileAll()
		c.agents.retryPendingRaises()
		c.agents.expireSessions()
		c.agents.expireStartDecisions()
	}
	c.renewClaims()
	c.dependencies.check()
	c.dependencies.inheritUrgency()
	c.relay.update()
	c.checkIsolation()
}

// runFleetDuties carries out the duties of the leader of the fleet.
func (c *Core) runFleetDuties(report time.Duration) {
	if c.every(&c.timers.autoscaler, report/autoscalesPerReport) {
		c.runAutoscaler()
	}
	if c.every(&c.timers.inventory, c.listInterval()) {
		c.emit(FetchInventory{})
	}
	if c.every(&c.timers.statistics, statisticsInterval*report) {
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

// seconds turns a figure of the settings into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
