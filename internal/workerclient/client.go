// Package workerclient sends commands straight to workers.
package workerclient

import (
	"time"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/core"
	"pepperlever/internal/httpclient"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// Client delivers commands; each delivery is sent at most once.
type Client struct {
	emit       func(core.Command)
	http       *httpclient.Client
	concurrent chan struct{}
}

// New makes a Client that tells emit what came of deliveries.
func New(cfg *settings.Settings, emit func(core.Command)) *Client {
	timeout := time.Duration(cfg.Params.Workers.ReportS * float64(time.Second) * 2 / 3)
	return &Client{emit: emit, http: httpclient.New(timeout, 2), concurrent: make(chan struct{}, max(8, cfg.Params.Limits.MaxConnections/8))}
}

// Deliver sends commands to a worker without waiting for the answer.
func (c *Client) Deliver(d core.Deliver) {
	go func() {
		c.concurrent <- struct{}{}
		defer func() { <-c.concurrent }()
		out := core.DeliveryResult{Machine: d.Machine, Orders: d.Orders}
		var r protocol.Report
		status, err := c.http.Call(fasthttp.MethodPost, d.Address, protocol.PathCommands, d.Orders, &r)
		if err == nil && (status == fasthttp.StatusOK || status == fasthttp.StatusConflict) {
			out.Executed, out.Report = status == fasthttp.StatusOK, &r
		}
		c.emit(out)
	}()
}
