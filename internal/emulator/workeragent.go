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

// startWorker starts the worker of a machine that has come up.
func (s *Site) startWorker(ctx context.Context, now time.Duration, ch MachineChange) {
	ln, err := net.Listen("tcp4", loopback)
	if err != nil {
		slog.Error("emulated worker cannot listen", "machine", ch.Machine, "error", err)
		return
	}
	s.fleet.Add(now, ch.Machine, ln.Addr().String(), ch.Type, ch.Zone, ch.Spot)
	ctx, s.workers[ch.Machine] = context.WithCancel(ctx)
	w := &workerAgent{site: s, machine: ch.Machine, http: httpclient.New(protocol.ReportTimeout, 2)}
	s.group.Go(func() error { return serve(ctx, ln, w.handle) })
	s.group.Go(func() error { return w.loop(ctx) })
}

// workerAgent is the network side of one worker.
type workerAgent struct {
	site    *Site
	machine string
	http    *httpclient.Client
	// controller is the controller that it reports to.
	controller int
}

// handle answers direct calls.
func (w *workerAgent) handle(ctx *fasthttp.RequestCtx) {
	s := w.site
	s.mu.Lock()
	defer s.mu.Unlock()
	status := fasthttp.StatusOK
	if string(ctx.Path()) == protocol.PathCommands {
		var o protocol.Orders
		if err := json.Unmarshal(ctx.PostBody(), &o); err != nil || o.Token == 0 || o.Session == 0 {
			httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, "token or session is missing")
			return
		}
		if !s.fleet.Execute(s.now(), w.machine, o) {
			status = fasthttp.StatusConflict
		}
	}
	r, there := s.fleet.Snapshot(s.now(), w.machine)
	if !there {
		httpserver.WriteProblem(ctx, fasthttp.StatusServiceUnavailable, "machine is gone")
		return
	}
	httpserver.WriteJSON(ctx, status, r)
}

// loop reports every interval, give or take a quarter, and sooner when something
// has changed.
func (w *workerAgent) loop(ctx context.Context) error {
	interval := seconds(w.site.cfg.Workers.ReportS)
	for w.controller = rand.IntN(len(w.site.controllers)); ctx.Err() == nil; {
		if pause := w.report(); pause > 0 {
			sleep(ctx, pause)
		} else {
			w.untilNext(ctx, interval*3/4+rand.N(interval/2))
		}
	}
	return nil
}

// untilNext waits for a change, at most for most.
func (w *workerAgent) untilNext(ctx context.Context, most time.Duration) {
	const least = 500 * time.Millisecond
	sleep(ctx, min(least, most))
	for waited := least; waited < most && ctx.Err() == nil; waited += tick {
		w.site.mu.Lock()
		changed := w.site.fleet.Changed(w.machine)
		w.site.mu.Unlock()
		if changed {
			return
		}
		sleep(ctx, tick)
	}
}

// report sends one report and carries the answer out. It returns the pause before
// the next try when the answer does not tell to stay.
func (w *workerAgent) report() time.Duration {
	s := w.site
	s.mu.Lock()
	sent := s.now()
	r, there := s.fleet.Snapshot(sent, w.machine)
	s.mu.Unlock()
	if !there {
		return protocol.ReportPause
	}
	var out struct {
		protocol.Orders
		protocol.Redirect
	}
	status, err := w.http.Call(fasthttp.MethodPost, s.controllers[w.controller].listen, protocol.PathReport, r, &out)
	if err == nil && status == http.StatusOK {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fleet.HandleReply(s.now(), sent, w.machine, r.Session, out.Orders)
		return 0
	}
	if err == nil && status == http.StatusMisdirectedRequest {
		for i, c := range s.controllers {
			if c.node == out.ReportTo && i != w.controller {
				w.controller = i
				return rand.N(500*time.Millisecond) + 1
			}
		}
	}
	w.controller = (w.controller + 1) % len(s.controllers)
	return protocol.ReportPause
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
