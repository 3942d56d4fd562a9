// Package workerclient sends commands directly to workers.
package workerclient

import (
	"time"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/core"
	"pepperlever/internal/httpclient"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// Client delivers commands to workers. Each delivery is sent at most once; the network may repeat it.
type Client struct {
	emit func(core.Command)
	http *httpclient.Client
	// semaphore limits concurrent deliveries.
	semaphore chan struct{}
}

// New returns a Client that passes the result of each delivery to emit.
func New(cfg *settings.Settings, emit func(core.Command)) *Client {
	timeout := time.Duration(cfg.Params.Workers.ReportS * float64(time.Second) * 2 / 3)
	return &Client{emit: emit, http: httpclient.New(timeout, 2), semaphore: make(chan struct{}, max(8, cfg.Params.Limits.MaxConnections/8))}
}

// Deliver sends commands to a worker in the background.
func (c *Client) Deliver(d core.Deliver) {
	go func() {
		c.semaphore <- struct{}{}
		defer func() { <-c.semaphore }()
		result := core.DeliveryResult{Machine: d.Machine, CommandBatch: d.CommandBatch}
		var report protocol.Report
		status, err := c.http.Call(fasthttp.MethodPost, d.Address, protocol.PathCommands, d.CommandBatch, &report)
		if err == nil && (status == fasthttp.StatusOK || status == fasthttp.StatusConflict) {
			result.Executed, result.Report = status == fasthttp.StatusOK, &report
		}
		c.emit(result)
	}()
}
