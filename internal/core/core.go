// Package core is the scheduler without input or output: commands and a time
// go in, effects come out. It holds no clock, socket or goroutine.
package core

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"pepperlever/internal/core/chain"
	"pepperlever/internal/core/fairness"
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/rollout"
	"pepperlever/internal/core/tally"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/gateway"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// Core is the single owner of all state of a controller.
type Core struct {
	cfg    *settings.Settings
	policy settings.Policy
	// inc tells this run of the process from earlier ones.
	inc string

	now     Now
	effects []Effect
	nextID  uint64
	waits   map[uint64]wait

	// Replica of the store.
	loaded   bool
	revision uint64
	lease    uint64
	// enrolling is set while this node's own key is being written, enrolledAt is when it
	// last was.
	enrolling  bool
	enrolledAt uint64
	// termLease is the lease under which this node last took a term to begin with.
	termLease uint64
	// roster lists all controllers, alike on every node.
	roster  []string
	nodes   map[string]nodeKey
	teams   []*team
	teamBy  map[string]*team
	fleet   *team
	jobs    map[string]*job.Job
	orphans map[string]map[job.ChunkKey]protocol.KeyValue
	marks   map[string]mark
	intents map[string]*intent
	finals  map[string]protocol.JobState
	// withdrawn mirrors the cancellations of jobs that are not final, with the time
	// of day of each.
	withdrawn map[string]int64
	// broadcasts are the cancellations that are passed on to other controllers, broadcastOrder
	// names them from the oldest; untold are those that no user has been told of yet.
	broadcasts     map[string]*broadcast
	broadcastOrder []string
	untold         map[string]*broadcast
	// goneAt holds the revisions that ended jobs.
	goneAt  map[string]uint64
	upgrade upgrade
	awaits  awaits
	// sites mirrors the hand-offs to and from other sites.
	sites siteRecords

	// Machines.
	types    map[string]protocol.MachineType
	machines map[string]*worker.Machine
	// ids names the machines in order; ledger holds what is bound to them.
	ids []string
	// longestName is the length of the longest name of a machine that was ever known.
	longestName int
	ledger      *job.Ledger
	own         map[string]*control
	// decided holds what was decided on starts, by machine.
	decided map[string]*decisions
	term    termState
	// zoneSeen is when any machine of a zone last gave a sign of life.
	zoneSeen map[string]time.Duration
	// observed waits for being passed on to the other controllers.
	observed []Observation
	// beatAt is when this node last gave a sign of life.
	beatAt time.Duration
	// claims are the bindings that this step has made.
	claims []Claim
	spread spread
	budget budget
	asks   asks

	peers     map[string]*peerState
	storeOK   bool
	freshness freshness
	partition partition
	isolation isolation
	tally     *tally.Tally
	counts    Counts

	// gate is this site's gateway to others, nil without one.
	gate *gate

	sched  schedState
	rental rentState
	timers timers
}

// timers hold the next time of each periodic duty.
type timers struct {
	last, beat, share, gossip, short, spread, record, homes, settle, fleet, forget, catalog, list, vacate, told, stop time.Duration
}

// team is the state of one team, whoever is its home.
type team struct {
	settings.Team
	// key is the store key of its home; version 0 means that it has none.
	key     string
	home    string
	homeInc string
	version uint64
	acting  bool
	taking  bool
	// record is the newest known record; ranked is the one last exchanged,
	// by which all controllers rank alike.
	record, ranked fairness.Record
	jobs           map[string]*job.Job
}

// held is the condition that a team's home is the one this node knows of.
func (t *team) held() protocol.Condition { return protocol.Condition{Key: t.key, Version: t.version} }

// New makes a core. inc must differ between runs of the process.
func New(cfg *settings.Settings, policy settings.Policy, inc string) *Core {
	c := &Core{
		cfg: cfg, policy: policy, inc: inc,
		waits: map[uint64]wait{}, nodes: map[string]nodeKey{},
		teamBy: map[string]*team{}, jobs: map[string]*job.Job{},
		orphans: map[string]map[job.ChunkKey]protocol.KeyValue{}, marks: map[string]mark{},
		intents: map[string]*intent{}, finals: map[string]protocol.JobState{}, withdrawn: map[string]int64{}, broadcasts: map[string]*broadcast{}, untold: map[string]*broadcast{}, goneAt: map[string]uint64{},
		machines: map[string]*worker.Machine{}, ledger: job.NewLedger(), own: map[string]*control{}, decided: map[string]*decisions{}, zoneSeen: map[string]time.Duration{},
		peers: map[string]*peerState{}, storeOK: true,
		sites: newSiteRecords(), sched: newSchedState(), rental: newRentState(), spread: newSpread(), term: termState{own: map[uint64]bool{}}, partition: partition{read: map[string]*reading{}}, tally: tally.New(),
	}
	for _, t := range cfg.Params.Teams {
		c.addTeam(&team{Team: t, key: keyHome + teamPart(t.Name), jobs: map[string]*job.Job{}})
	}
	c.fleet = &team{key: keyFleet, jobs: map[string]*job.Job{}}
	c.fleet.Name = fleetName
	for _, p := range cfg.Peers {
		c.peers[p.Node] = &peerState{}
	}
	c.roster = append(slices.Collect(maps.Keys(c.peers)), cfg.Node)
	slices.Sort(c.roster)
	c.awaits = awaits{graph: chain.New(), asking: map[string]bool{}}
	c.upgrade = upgrade{versions: rollout.New(c.roster), revisions: map[string]uint64{}}
	return c
}

func (c *Core) addTeam(t *team) {
	c.teams = append(c.teams, t)
	c.teamBy[t.Name] = t
}

// Step works through a batch of commands and returns the effects in order.
func (c *Core) Step(now Now, commands []Command) []Effect {
	c.now = now
	c.effects = nil
	for _, cmd := range commands {
		c.handle(cmd)
	}
	c.periodic()
	c.runGate()
	c.schedule()
	c.askStore()
	c.shareClaims()
	c.flushAll()
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
	case Served:
		c.answer(m.Req, http.StatusOK, c.served())
	case Beat:
		c.beat(m)
	case StoreReply:
		if w, waits := c.waits[m.ID]; waits {
			delete(c.waits, m.ID)
			c.answered(w.since, m)
			w.done(m)
		}
	case Loaded:
		c.load(m)
	case Watched:
		c.watched(m)
	case LeaseUp:
		c.leaseUp(m.Lease)
	case LeaseDown:
		c.leaseDown()
	case StoreHealth:
		c.storeOK = m.OK
	case StoreSlower:
		c.storeSlower()
	case PeerIn:
		c.peerIn(m)
	case PeerUp:
		c.peerUp(m.Node)
	case PeerDown:
		c.peers[m.Node].connected = false
	case Delivered:
		c.delivered(m)
	case CatalogIn:
		c.catalogIn(m)
	case ListIn:
		c.listIn(m)
	case CloudHealth:
		c.freshness.trouble = !m.OK
	case Rented:
		c.rented(m)
	case Released:
		c.released(m)
	case SiteIn:
		c.siteIn(m.Message)
	case SiteUp:
		if c.gate != nil && c.gate.machine != nil {
			c.gate.inputs = append(c.gate.inputs, gateway.Reachable{Site: m.Site})
		}
	case SiteConfig:
		c.siteConfig(m.Config)
	case SiteAsk:
		c.siteAsk(m)
	default:
		panic(fmt.Sprintf("core: unknown command %T", cmd))
	}
}

// every reports whether the duty due at *next is due now, and if so sets its
// next time.
func (c *Core) every(next *time.Duration, interval time.Duration) bool {
	if c.now.Steady < *next {
		return false
	}
	*next = c.now.Steady + interval
	return true
}

func (c *Core) periodic() {
	report := c.reportInterval()
	c.integrate()
	c.tellUsers()
	c.answerPending()
	if c.every(&c.timers.beat, report/3) {
		c.nodeBeat()
	}
	if len(c.observed) > 0 && c.every(&c.timers.gossip, report/30) {
		c.gossip()
	}
	if c.loaded && c.every(&c.timers.homes, report/6) {
		c.tendHomes()
	}
	if c.loaded && c.every(&c.timers.settle, report/3) {
		c.tendBroadcasts()
		c.tendFreshness()
		c.settleAll()
		c.tendControls()
		c.forgetDecisions()
	}
	if c.loaded {
		c.tendAwaits()
		c.inheritUrgency()
		c.tendPartition()
		c.tendIsolation()
	}
	if c.every(&c.timers.catalog, c.catalogInterval()) {
		c.emit(FetchCatalog{})
	}
	if c.fleet.acting && c.every(&c.timers.fleet, report/3) {
		c.tendFleet()
	}
	if c.fleet.acting && c.every(&c.timers.list, c.listInterval()) {
		c.emit(FetchList{})
	}
	if c.fleet.acting && c.every(&c.timers.told, tellEvery*report) {
		c.tellServed()
	}
	if c.loaded && c.every(&c.timers.record, 15*recordInterval) {
		c.storeRecords()
	}
}

func (c *Core) reportInterval() time.Duration { return seconds(c.cfg.Params.Workers.ReportS) }

func (c *Core) catalogInterval() time.Duration {
	if c.types == nil {
		return c.reportInterval() / 3
	}
	return 10 * seconds(c.cfg.Params.Cloud.ListLagS)
}

func (c *Core) listInterval() time.Duration { return seconds(c.cfg.Params.Cloud.ListLagS) / 2 }

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) log(level Level, text string, attrs ...any) {
	c.emit(Log{Level: level, Text: text, Attrs: attrs})
}

// txn runs a transaction and hands its outcome to done.
func (c *Core) txn(t protocol.Txn, urgent bool, done func(StoreReply)) {
	c.emit(StoreTxn{ID: c.await(done), Txn: t, Urgent: urgent})
}

// get reads a key and hands it to done.
func (c *Core) get(key string, done func(StoreReply)) {
	c.emit(StoreGet{ID: c.await(done), Key: key})
}

// wait is who waits for a reply of the state service, and since when.
type wait struct {
	since time.Duration
	done  func(StoreReply)
}

// await numbers a request whose reply done takes.
func (c *Core) await(done func(StoreReply)) uint64 {
	c.nextID++
	c.waits[c.nextID] = wait{c.now.Steady, done}
	return c.nextID
}

// seconds turns a figure of the settings into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
