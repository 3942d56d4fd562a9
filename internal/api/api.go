// Package api serves users, workers and health checks.
package api

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"pepperlever/internal/core"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// API turns requests into commands and the core's answers into responses.
type API struct {
	cfg *settings.Settings
	// offer hands a command to the core unless its queue is full.
	offer   func(core.Command) bool
	metrics metrics
	// refused counts what was refused of other sites; nil without a gateway.
	refused func() int64

	mu    sync.Mutex
	next  uint64
	waits map[uint64]chan core.Answer
}

// New makes an API that passes commands to offer.
func New(cfg *settings.Settings, offer func(core.Command) bool) *API {
	return &API{cfg: cfg, offer: offer, metrics: newMetrics(), waits: map[uint64]chan core.Answer{}}
}

// WithGateway adds the gateway to the metrics and to what operators may ask; refused
// counts what was refused of other sites. It is called before Run.
func (a *API) WithGateway(refused func() int64) { a.refused = refused }

// Run serves until ctx ends.
func (a *API) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp4", a.cfg.Listen)
	if err != nil {
		return err
	}
	limit := a.cfg.Params.Limits.MaxConnections
	s := &fasthttp.Server{
		Handler: a.handle, MaxRequestBodySize: protocol.MaxBody, Concurrency: limit * 3 / 4,
		ReadTimeout: a.patience() * 2, WriteTimeout: a.patience(), IdleTimeout: 20 * a.patience(),
		ReadBufferSize: 4096, NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true,
		ErrorHandler: badRequest,
		Logger:       quiet{},
	}
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	err = s.Serve(ln)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// quiet drops fasthttp's lines on clients that went away.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// patience is how long a worker or user is kept waiting for the core.
func (a *API) patience() time.Duration {
	return min(1900*time.Millisecond, time.Duration(a.cfg.Params.Workers.ReportS*float64(time.Second)))
}

// badRequest answers what is malformed, too long a body too: to any other status users
// would only come back with the same.
func badRequest(ctx *fasthttp.RequestCtx, _ error) {
	fail(ctx, fasthttp.StatusBadRequest, "malformed request")
}

func (a *API) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	method := string(ctx.Method())
	switch {
	case path == protocol.PathReport:
		a.only(ctx, method, fasthttp.MethodPost, a.report)
	case path == protocol.PathHealth:
		a.only(ctx, method, fasthttp.MethodGet, func(ctx *fasthttp.RequestCtx) {
			a.ask(ctx, func(req uint64) core.Command { return core.Health{Req: req} })
		})
	case path == protocol.PathMetrics:
		a.only(ctx, method, fasthttp.MethodGet, func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("text/plain; charset=utf-8")
			ctx.SetBody(slices.Concat(a.metrics.text(), a.jobMetrics(), a.gatewayMetrics()))
		})
	case path == protocol.PathList:
		a.only(ctx, method, fasthttp.MethodGet, func(ctx *fasthttp.RequestCtx) {
			after := string(ctx.QueryArgs().Peek(protocol.ArgAfter))
			a.ask(ctx, func(req uint64) core.Command { return core.List{Req: req, After: after} })
		})
	case a.refused != nil && strings.HasPrefix(path, protocol.PathGateway+"/"):
		a.gateway(ctx, method, core.OperatorAction(strings.TrimPrefix(path, protocol.PathGateway+"/")))
	case path == protocol.PathJobs:
		a.only(ctx, method, fasthttp.MethodPost, func(ctx *fasthttp.RequestCtx) {
			body := append([]byte(nil), ctx.PostBody()...)
			a.ask(ctx, func(req uint64) core.Command { return core.Submit{Req: req, Body: body} })
		})
	case strings.HasPrefix(path, protocol.PathJobs+"/"):
		a.job(ctx, method, strings.TrimPrefix(path, protocol.PathJobs+"/"))
	default:
		fail(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

func (a *API) job(ctx *fasthttp.RequestCtx, method, rest string) {
	id, action, nested := strings.Cut(rest, "/")
	switch {
	case !nested:
		a.only(ctx, method, fasthttp.MethodGet, func(ctx *fasthttp.RequestCtx) {
			a.ask(ctx, func(req uint64) core.Command { return core.Status{Req: req, ID: id} })
		})
	case action == protocol.PathCancel:
		a.only(ctx, method, fasthttp.MethodPost, func(ctx *fasthttp.RequestCtx) {
			a.ask(ctx, func(req uint64) core.Command { return core.Cancel{Req: req, ID: id} })
		})
	default:
		fail(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

func (a *API) only(ctx *fasthttp.RequestCtx, method, want string, f func(*fasthttp.RequestCtx)) {
	if method != want {
		ctx.Response.Header.Set("Allow", want)
		fail(ctx, fasthttp.StatusMethodNotAllowed, "method not allowed")
		return
	}
	f(ctx)
}

func (a *API) report(ctx *fasthttp.RequestCtx) {
	var r protocol.Report
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil || r.Machine == "" || r.Address == "" || len(r.Machine) > 100 || strings.ContainsAny(r.Machine, " /") {
		fail(ctx, fasthttp.StatusBadRequest, "malformed report")
		return
	}
	a.ask(ctx, func(req uint64) core.Command { return core.Heartbeat{Req: req, Report: r} })
}

// ask hands a command to the core and waits for its answer. A core that falls
// behind sheds new requests at once.
func (a *API) ask(ctx *fasthttp.RequestCtx, command func(req uint64) core.Command) {
	start := time.Now()
	ans := a.await(command)
	a.metrics.note(string(ctx.Path()), ans.Status, time.Since(start))
	reply(ctx, ans)
}

// await is the core's answer to a command, or a request to come back.
func (a *API) await(command func(req uint64) core.Command) core.Answer {
	id, ch := a.expect()
	if !a.offer(command(id)) {
		a.Answer(later(id))
	}
	timer := time.NewTimer(a.patience())
	defer timer.Stop()
	select {
	case ans := <-ch:
		return ans
	case <-timer.C:
		a.forget(id)
		return later(id)
	}
}

// later asks the client to come back.
func later(req uint64) core.Answer {
	return core.Answer{Req: req, Status: fasthttp.StatusServiceUnavailable, RetryAfter: 1,
		Body: protocol.Problem{Error: "try again later"}}
}

func (a *API) expect() (uint64, chan core.Answer) {
	ch := make(chan core.Answer, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	a.waits[a.next] = ch
	return a.next, ch
}

// forget takes the channel that waits for a request's answer.
func (a *API) forget(id uint64) chan core.Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	ch := a.waits[id]
	delete(a.waits, id)
	return ch
}

// Answer ends a request.
func (a *API) Answer(ans core.Answer) {
	if ch := a.forget(ans.Req); ch != nil {
		ch <- ans
	}
}

func fail(ctx *fasthttp.RequestCtx, status int, what string) {
	reply(ctx, core.Answer{Status: status, Body: protocol.Problem{Error: what}})
}

func reply(ctx *fasthttp.RequestCtx, ans core.Answer) {
	ctx.SetStatusCode(ans.Status)
	ctx.SetContentType("application/json")
	if ans.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(ans.RetryAfter))
	}
	body, err := json.Marshal(ans.Body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}
