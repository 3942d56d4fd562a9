// Package daemon runs the core: a single goroutine owns it and processes a queue of
// commands in batches, while the adapters around it do all input and output.
package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"pepperlever/internal/api"
	"pepperlever/internal/cloud"
	"pepperlever/internal/core"
	"pepperlever/internal/federation/transport"
	"pepperlever/internal/peer"
	"pepperlever/internal/progress"
	"pepperlever/internal/settings"
	"pepperlever/internal/store"
	"pepperlever/internal/workerclient"
)

// queueLength limits the number of commands that wait for the core. batchLength limits the
// number that one step processes.
const (
	queueLength = 8192
	batchLength = 256
)

// The process ends after stallLeases controller leases without progress of the core, which is checked
// checksPerLease times in each. The controller's own lease has ended after one.
const (
	stallLeases    = 3
	checksPerLease = 3
)

// stepper is the core as the loop uses it.
type stepper interface {
	Step(now core.Now, commands []core.Command) []core.Effect
}

// Daemon is a running controller: the core and its adapters.
type Daemon struct {
	cfg          *settings.Settings
	queue        chan core.Command
	core         stepper
	progress     *progress.Counter
	tickInterval time.Duration
	startedAt    time.Time

	api     *api.API
	store   *store.Store
	cloud   *cloud.Cloud
	workers *workerclient.Client
	peers   *peer.Peers
	// siteLinks holds the streams to other sites; it is nil without federation.
	siteLinks *transport.Links
}

// Run runs a controller until ctx is done. federationFile is the path of the federation
// configuration; if it is empty, federation is off. If the core makes no progress, Run returns a
// progress.StallError, and the process should end: a goroutine that hangs cannot be stopped.
func Run(ctx context.Context, cfg *settings.Settings, policy settings.Policy, federationFile string) error {
	configureRuntime(cfg)
	d, err := newDaemon(cfg, policy, federationFile)
	if err != nil {
		return err
	}
	return d.run(ctx)
}

// newDaemon returns a controller that does not run yet.
func newDaemon(cfg *settings.Settings, policy settings.Policy, federationFile string) (*Daemon, error) {
	d := &Daemon{cfg: cfg, queue: make(chan core.Command, queueLength), startedAt: time.Now()}
	d.tickInterval = time.Duration(cfg.Params.Workers.ReportS * float64(time.Second) / 30)
	c := core.New(cfg, policy, strconv.FormatUint(rand.Uint64(), 36))
	d.core, d.progress = c, c.Progress()
	emit := func(c core.Command) { d.queue <- c }
	d.api = api.New(cfg, d.tryEnqueue)
	d.store = store.New(cfg, core.Root, d.progress, emit)
	d.cloud = cloud.New(cfg, emit)
	d.workers = workerclient.New(cfg, emit)
	d.peers = peer.New(cfg, emit)
	if federationFile != "" {
		links, config, err := transport.New(federationFile, emit)
		if err != nil {
			return nil, err
		}
		d.siteLinks = links
		c.EnableFederation(config)
		d.api.WithFederation(links.Refused.Load)
	}
	return d, nil
}

// run runs the controller until ctx is done or the core makes no progress. In the second case it does
// not wait for the goroutines, since the one that owns the core hangs.
func (d *Daemon) run(ctx context.Context) error {
	ended, stalled := make(chan error, 1), make(chan error, 1)
	watchdogCtx, stopWatchdog := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWatchdog()
	go func() { ended <- d.runGoroutines(ctx) }()
	go func() { stalled <- d.watchdog().Run(watchdogCtx) }()
	select {
	case err := <-ended:
		return err
	case err := <-stalled:
		return err
	}
}

// runGoroutines runs the core and its adapters until ctx is done.
func (d *Daemon) runGoroutines(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.runCore(ctx) })
	g.Go(func() error { return d.api.Run(ctx) })
	g.Go(func() error { return d.store.Run(ctx) })
	g.Go(func() error { return d.cloud.Run(ctx) })
	g.Go(func() error { return d.peers.Run(ctx) })
	if d.siteLinks != nil {
		g.Go(func() error { return d.siteLinks.Run(ctx) })
	}
	return g.Wait()
}

// watchdog returns a watchdog for the goroutine that owns the core.
func (d *Daemon) watchdog() *progress.Watchdog {
	return progress.NewWatchdog(d.progress, "(*Daemon).runCore", d.cfg.ControllerLease()/checksPerLease, stallLeases*checksPerLease)
}

// tryEnqueue enqueues a command, and reports false if the queue is full.
func (d *Daemon) tryEnqueue(c core.Command) bool {
	select {
	case d.queue <- c:
		return true
	default:
		return false
	}
}

// configureRuntime keeps memory use below the limit at which the process would be killed.
// The process has a single CPU core, so more threads would only compete for it.
func configureRuntime(cfg *settings.Settings) {
	debug.SetMemoryLimit(int64(cfg.Params.Limits.MemoryMB * (1 << 20) * 2 / 3))
	debug.SetGCPercent(200)
	runtime.GOMAXPROCS(1)
}

// runCore owns the core: it runs its steps and executes the effects. No other goroutine
// uses the core.
func (d *Daemon) runCore(ctx context.Context) error {
	ticker := time.NewTicker(d.tickInterval)
	defer ticker.Stop()
	batch := make([]core.Command, 0, batchLength)
	for {
		batch = batch[:0]
		select {
		case c := <-d.queue:
			batch = append(batch, c)
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		for len(batch) < batchLength && len(d.queue) > 0 {
			batch = append(batch, <-d.queue)
		}
		now := core.Now{Steady: time.Since(d.startedAt), Wall: time.Now().UnixMilli()}
		for _, e := range d.core.Step(now, batch) {
			d.execute(e)
			d.progress.Advance()
		}
	}
}

// execute passes an effect that the core requested to its adapter.
func (d *Daemon) execute(e core.Effect) {
	switch e := e.(type) {
	case core.Answer:
		d.api.Answer(e)
	case core.StoreTxn:
		d.store.Txn(e)
	case core.StoreGet:
		d.store.Get(e)
	case core.StoreReload:
		d.store.Reload()
	case core.SendPeer:
		d.peers.Send(e)
	case core.SendSite:
		d.siteLinks.Send(e.Message)
	case core.Deliver:
		d.workers.Deliver(e)
	case core.FetchCatalog:
		d.cloud.FetchCatalog()
	case core.FetchInventory:
		d.cloud.FetchInventory()
	case core.RequestRental:
		d.cloud.Rent(e.Rental)
	case core.ReleaseMachines:
		d.cloud.Release(e.Machines)
	case core.Log:
		slog.Log(context.Background(), slogLevels[e.Level], e.Text, e.Attrs...)
	}
}

var slogLevels = map[core.Level]slog.Level{
	core.Debug: slog.LevelDebug, core.Info: slog.LevelInfo, core.Error: slog.LevelError,
}
