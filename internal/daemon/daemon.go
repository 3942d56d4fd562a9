// Package daemon runs the core: one goroutine owns it and works through a queue
// of commands in batches, the adapters round it do all input and output.
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
	"pepperlever/internal/settings"
	"pepperlever/internal/store"
	"pepperlever/internal/workerclient"
)

// queueLength bounds the commands that wait for the core, batchLength those
// that one step works through.
const (
	queueLength = 8192
	batchLength = 256
)

// Daemon is a running controller.
type Daemon struct {
	queue chan core.Command
	core  *core.Core
	tick  time.Duration
	start time.Time

	api     *api.API
	store   *store.Store
	cloud   *cloud.Cloud
	workers *workerclient.Client
	peers   *peer.Peers
	// sites are the streams to other sites, nil without a gateway.
	sites *transport.Links
}

// Run serves until ctx ends. gatewayFile switches the gateway to other sites on; it
// is empty without one.
func Run(ctx context.Context, cfg *settings.Settings, policy settings.Policy, gatewayFile string) error {
	limitMemory(cfg)
	d := &Daemon{queue: make(chan core.Command, queueLength), start: time.Now()}
	d.tick = time.Duration(cfg.Params.Workers.ReportS * float64(time.Second) / 30)
	d.core = core.New(cfg, policy, strconv.FormatUint(rand.Uint64(), 36))
	emit := func(c core.Command) { d.queue <- c }
	d.api = api.New(cfg, d.offer)
	d.store = store.New(cfg, core.Root, emit)
	d.cloud = cloud.New(cfg, emit)
	d.workers = workerclient.New(cfg, emit)
	d.peers = peer.New(cfg, emit)
	if gatewayFile != "" {
		links, config, err := transport.New(gatewayFile, emit)
		if err != nil {
			return err
		}
		d.sites = links
		d.core.Join(config)
		d.api.WithGateway(links.Refused.Load)
	}

	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.loop(ctx) })
	g.Go(func() error { return d.api.Run(ctx) })
	g.Go(func() error { return d.store.Run(ctx) })
	g.Go(func() error { return d.cloud.Run(ctx) })
	g.Go(func() error { return d.peers.Run(ctx) })
	if d.sites != nil {
		g.Go(func() error { return d.sites.Run(ctx) })
	}
	return g.Wait()
}

// offer queues a command unless the queue is full.
func (d *Daemon) offer(c core.Command) bool {
	select {
	case d.queue <- c:
		return true
	default:
		return false
	}
}

// limitMemory keeps the process clear of the limit at which it would be killed.
// The process stays on one core, so more threads would only take turns.
func limitMemory(cfg *settings.Settings) {
	debug.SetMemoryLimit(int64(cfg.Params.Limits.MemoryMB * (1 << 20) * 2 / 3))
	debug.SetGCPercent(200)
	runtime.GOMAXPROCS(1)
}

// loop owns the core.
func (d *Daemon) loop(ctx context.Context) error {
	ticker := time.NewTicker(d.tick)
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
		now := core.Now{Steady: time.Since(d.start), Wall: time.Now().UnixMilli()}
		for _, e := range d.core.Step(now, batch) {
			d.execute(e)
		}
	}
}

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
		d.sites.Send(e.Message)
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
		slog.Log(context.Background(), levels[e.Level], e.Text, e.Attrs...)
	}
}

var levels = map[core.Level]slog.Level{
	core.Debug: slog.LevelDebug, core.Info: slog.LevelInfo, core.Error: slog.LevelError,
}
