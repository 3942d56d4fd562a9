// Package cloud is the client of the cloud provider that rents out machines.
package cloud

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/core"
	"pepperlever/internal/httpclient"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// pageSize is the largest page of machines that the cloud returns.
const pageSize = "500"

// Cloud sends the core's requests one at a time, with a pause after each.
type Cloud struct {
	cfg   *settings.Settings
	emit  func(core.Command)
	http  *httpclient.Client
	queue chan func()
	// requestInterval is the interval between requests at the cloud's request limit.
	requestInterval time.Duration
	// unavailable is set while the cloud refuses requests because of an outage.
	unavailable bool
}

// New returns a Cloud that passes the cloud's responses to emit.
func New(cfg *settings.Settings, emit func(core.Command)) *Cloud {
	return &Cloud{cfg: cfg, emit: emit, queue: make(chan func(), 256),
		http:            httpclient.New(time.Duration(cfg.Params.Workers.LeaseS*float64(time.Second)/4), 2),
		requestInterval: time.Duration(float64(time.Second) / cfg.Params.Cloud.RPS),
	}
}

// Run sends queued requests until ctx is done.
func (c *Cloud) Run(ctx context.Context) error {
	for {
		select {
		case request := <-c.queue:
			request()
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case <-time.After(c.requestInterval / 2):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// enqueue queues a request, or calls onQueueFull if the queue is full.
func (c *Cloud) enqueue(request, onQueueFull func()) {
	select {
	case c.queue <- request:
	default:
		go onQueueFull() // not blocking: the caller is the core, which must not wait for its own queue
	}
}

func (c *Cloud) call(method, path string, body, out any) (int, error) {
	return c.http.Call(method, c.cfg.Services.Cloud, path, body, out)
}

// updateAvailability notifies the core when the cloud starts or stops refusing requests because
// of an outage. It is not called for rental requests, since they are also refused for lack of
// capacity. Requests without an answer are ignored, since the network may be the cause.
func (c *Cloud) updateAvailability(status int, err error) {
	isUnavailable := status == fasthttp.StatusServiceUnavailable
	if err == nil && isUnavailable != c.unavailable && (isUnavailable || status == fasthttp.StatusOK) {
		c.unavailable = isUnavailable
		if isUnavailable {
			slog.Info("cloud refuses requests")
		} else {
			slog.Info("cloud accepts requests again")
		}
		c.emit(core.CloudHealth{OK: !isUnavailable})
	}
}

// FetchCatalog reads the catalog of machine types.
func (c *Cloud) FetchCatalog() {
	c.enqueue(func() {
		var catalog protocol.Catalog
		status, err := c.call(fasthttp.MethodGet, protocol.PathMachineTypes, nil, &catalog)
		c.updateAvailability(status, err)
		if err == nil && status == fasthttp.StatusOK && len(catalog.Types) > 0 {
			c.emit(core.CatalogReceived{Types: catalog.Types})
		}
	}, func() {})
}

// FetchInventory reads the list of rented machines, page by page. An incomplete list is not
// passed on: the core would treat machines missing from it as terminated.
func (c *Cloud) FetchInventory() {
	c.enqueue(func() {
		if all, complete := c.readAllPages(); complete {
			c.emit(core.InventoryReceived{Machines: all})
		}
	}, func() {})
}

// readAllPages reads all pages and reports whether the list is complete. It gives up on a page
// that does not advance past the previous one, since it could otherwise loop forever.
func (c *Cloud) readAllPages() (all []protocol.ListedMachine, complete bool) {
	after := ""
	for {
		args := []string{protocol.ArgLimit, pageSize}
		if after != "" {
			args = append(args, protocol.ArgAfter, after)
		}
		var page protocol.MachineList
		status, err := c.call(fasthttp.MethodGet, httpclient.Query(protocol.PathMachines, args...), nil, &page)
		if err != nil || status != fasthttp.StatusOK {
			return nil, false
		}
		all = append(all, page.Machines...)
		if !page.More {
			return all, true
		}
		if len(page.Machines) == 0 || page.Machines[len(page.Machines)-1].ID <= after {
			return nil, false
		}
		after = page.Machines[len(page.Machines)-1].ID
	}
}

// Rent requests machines. Unless the answer is definite, the outcome is OutcomeUnknown; the request
// can then be retried safely, because Rental.Request makes it idempotent.
func (c *Cloud) Rent(r protocol.Rental) {
	reply := core.RentalResult{Rental: r, Outcome: core.OutcomeUnknown}
	c.enqueue(func() {
		var out struct {
			protocol.MachineNames
			protocol.Problem
		}
		status, err := c.call(fasthttp.MethodPost, protocol.PathMachines, r, &out)
		switch {
		case err != nil:
		case status == fasthttp.StatusOK:
			reply.Outcome, reply.Machines = core.OutcomeApplied, append([]string{}, out.Machines...)
		case status == fasthttp.StatusServiceUnavailable && strings.Contains(out.Error, "capacity"), status == fasthttp.StatusBadRequest:
			reply.Outcome = core.OutcomeRefused
		}
		c.emit(reply)
	}, func() { c.emit(reply) })
}

// Release requests the release of machines.
func (c *Cloud) Release(machines []string) {
	c.enqueue(func() {
		status, err := c.call(fasthttp.MethodPost, protocol.PathRelease, protocol.MachineNames{Machines: machines}, nil)
		c.updateAvailability(status, err)
		c.emit(core.ReleaseResult{Machines: machines, OK: err == nil && status == fasthttp.StatusOK})
	}, func() { c.emit(core.ReleaseResult{Machines: machines}) })
}
