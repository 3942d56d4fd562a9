// Package cloud speaks to the cloud that rents machines.
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

// pageSize is the largest page of machines that the cloud gives.
const pageSize = "500"

// Cloud carries the core's requests out one after the other, within the
// cloud's limit on requests.
type Cloud struct {
	cfg             *settings.Settings
	emit            func(core.Command)
	http            *httpclient.Client
	queue           chan func()
	requestInterval time.Duration
	// refusing is set while the cloud answers that it does not carry requests out.
	refusing bool
}

// New makes a Cloud that tells emit what it learns.
func New(cfg *settings.Settings, emit func(core.Command)) *Cloud {
	return &Cloud{cfg: cfg, emit: emit, queue: make(chan func(), 256),
		http:            httpclient.New(time.Duration(cfg.Params.Workers.LeaseS*float64(time.Second)/4), 2),
		requestInterval: time.Duration(float64(time.Second) / cfg.Params.Cloud.RPS),
	}
}

// Run works until ctx ends.
func (c *Cloud) Run(ctx context.Context) error {
	for {
		select {
		case f := <-c.queue:
			f()
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

func (c *Cloud) enqueue(f, full func()) {
	select {
	case c.queue <- f:
	default:
		go full() // the core itself is the caller, and must not wait for its own queue
	}
}

func (c *Cloud) call(method, path string, body, out any) (int, error) {
	return c.http.Call(method, c.cfg.Services.Cloud, path, body, out)
}

// noteAvailability tells the core when the cloud stops or starts to carry requests out. A rental that is refused
// for want of machines says nothing of the kind, and no answer at all may be the
// network's doing.
func (c *Cloud) noteAvailability(status int, err error) {
	refuses := status == fasthttp.StatusServiceUnavailable
	if err == nil && refuses != c.refusing && (refuses || status == fasthttp.StatusOK) {
		c.refusing = refuses
		if refuses {
			slog.Info("cloud refuses requests")
		} else {
			slog.Info("cloud accepts requests again")
		}
		c.emit(core.CloudHealth{OK: !refuses})
	}
}

// FetchCatalog reads the machine types.
func (c *Cloud) FetchCatalog() {
	c.enqueue(func() {
		var cat protocol.Catalogue
		status, err := c.call(fasthttp.MethodGet, protocol.PathTypes, nil, &cat)
		c.noteAvailability(status, err)
		if err == nil && status == fasthttp.StatusOK && len(cat.Types) > 0 {
			c.emit(core.CatalogReceived{Types: cat.Types})
		}
	}, func() {})
}

// FetchInventory reads the list of machines, page by page. A list that breaks off is not
// passed on: a machine that is missing from it would be taken for terminated.
func (c *Cloud) FetchInventory() {
	c.enqueue(func() {
		if all, whole := c.readAllPages(); whole {
			c.emit(core.InventoryReceived{Machines: all})
		}
	}, func() {})
}

// readAllPages reads all pages, and tells whether they reach the end of the list. Pages
// that do not go on where the one before ended would be read for ever.
func (c *Cloud) readAllPages() (all []protocol.ListedMachine, whole bool) {
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

// Rent asks for machines. An answer that is not clear is Unknown: the same
// request may safely be repeated under its name.
func (c *Cloud) Rent(r protocol.Rental) {
	reply := core.RentalResult{Rental: r, Outcome: core.Unknown}
	c.enqueue(func() {
		var out struct {
			protocol.MachineNames
			protocol.Problem
		}
		status, err := c.call(fasthttp.MethodPost, protocol.PathMachines, r, &out)
		switch {
		case err != nil:
		case status == fasthttp.StatusOK:
			reply.Outcome, reply.Machines = core.Applied, append([]string{}, out.Machines...)
		case status == fasthttp.StatusServiceUnavailable && strings.Contains(out.Error, "capacity"), status == fasthttp.StatusBadRequest:
			reply.Outcome = core.Refused
		}
		c.emit(reply)
	}, func() { c.emit(reply) })
}

// Release gives machines back.
func (c *Cloud) Release(machines []string) {
	c.enqueue(func() {
		status, err := c.call(fasthttp.MethodPost, protocol.PathRelease, protocol.MachineNames{Machines: machines}, nil)
		c.noteAvailability(status, err)
		c.emit(core.ReleaseResult{Machines: machines, OK: err == nil && status == fasthttp.StatusOK})
	}, func() { c.emit(core.ReleaseResult{Machines: machines}) })
}
