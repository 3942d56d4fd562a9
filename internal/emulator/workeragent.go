package emulator

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"pepperlever/internal/httpclient"
	"pepperlever/internal/httpserver"
	"pepperlever/internal/protocol"
)

// startWorker starts the worker of a machine that has booted.
func (s *Site) startWorker(ctx context.Context, now time.Duration, change MachineChange) {
	ln, err := net.Listen("tcp4", loopbackAddress)
	if err != nil {
		slog.Error("emulated worker cannot listen", "machine", change.Machine, "error", err)
		return
	}
	s.fleet.Add(now, change.Machine, ln.Addr().String(), change.Type, change.Zone, change.Spot)
	ctx, s.workerCancels[change.Machine] = context.WithCancel(ctx)
	w := &workerAgent{site: s, machine: change.Machine, http: httpclient.New(protocol.ReportTimeout, 2)}
	s.group.Go(func() error { return serve(ctx, ln, w.handle) })
	s.group.Go(func() error { return w.reportLoop(ctx) })
}

// workerAgent connects one worker of the fleet to the network.
type workerAgent struct {
	site    *Site
	machine string
	http    *httpclient.Client
	// controller is the index of the controller that the worker reports to.
	controller int
}

// handle handles requests from controllers, such as deliveries, and responds with a report.
func (w *workerAgent) handle(ctx *fasthttp.RequestCtx) {
	s := w.site
	s.mu.Lock()
	defer s.mu.Unlock()
	status := fasthttp.StatusOK
	if string(ctx.Path()) == protocol.PathCommands {
		var batch protocol.CommandBatch
		if err := json.Unmarshal(ctx.PostBody(), &batch); err != nil || batch.Token == 0 || batch.WorkerEpoch == 0 {
			httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, "token or session is missing")
			return
		}
		if !s.fleet.Execute(s.now(), w.machine, batch) {
			status = fasthttp.StatusConflict
		}
	}
	report, found := s.fleet.NextReport(s.now(), w.machine)
	if !found {
		httpserver.WriteProblem(ctx, fasthttp.StatusServiceUnavailable, "machine is gone")
		return
	}
	httpserver.WriteJSON(ctx, status, report)
}

// reportLoop reports at each interval, with a jitter of up to a quarter of the interval either
// way, and earlier when something has changed.
func (w *workerAgent) reportLoop(ctx context.Context) error {
	interval := seconds(w.site.cfg.Workers.ReportS)
	for w.controller = rand.IntN(len(w.site.controllers)); ctx.Err() == nil; {
		if pause := w.report(); pause > 0 {
			sleep(ctx, pause)
		} else {
			w.waitForChange(ctx, interval*3/4+rand.N(interval/2))
		}
	}
	return nil
}

// waitForChange waits until the machine has changes to report, for at least minWait and at
// most maxWait.
func (w *workerAgent) waitForChange(ctx context.Context, maxWait time.Duration) {
	const minWait = 500 * time.Millisecond
	sleep(ctx, min(minWait, maxWait))
	for waited := minWait; waited < maxWait && ctx.Err() == nil; waited += tickInterval {
		w.site.mu.Lock()
		changed := w.site.fleet.HasChanges(w.machine)
		w.site.mu.Unlock()
		if changed {
			return
		}
		sleep(ctx, tickInterval)
	}
}

// report sends one report and handles the response. If the controller did not accept the
// report, it selects another one and returns the delay before the next attempt, otherwise 0.
func (w *workerAgent) report() time.Duration {
	s := w.site
	s.mu.Lock()
	sent := s.now()
	r, found := s.fleet.NextReport(sent, w.machine)
	s.mu.Unlock()
	if !found {
		return protocol.ReportRetryDelay
	}
	var response struct {
		protocol.CommandBatch
		protocol.Redirect
	}
	status, err := w.http.Call(fasthttp.MethodPost, s.controllers[w.controller].listenAddress, protocol.PathReport, r, &response)
	if err == nil && status == http.StatusOK {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fleet.HandleReply(s.now(), sent, w.machine, r.WorkerEpoch, response.CommandBatch)
		return 0
	}
	if err == nil && status == http.StatusMisdirectedRequest {
		for i, c := range s.controllers {
			if c.node == response.ReportTo && i != w.controller {
				w.controller = i
				return rand.N(500*time.Millisecond) + 1
			}
		}
	}
	w.controller = (w.controller + 1) % len(s.controllers)
	return protocol.ReportRetryDelay
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
