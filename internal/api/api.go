// Package api serves users, workers and health checks.
package api

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"pepperlever/internal/core"
	"pepperlever/internal/httpserver"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

const (
	// maxAnswerTime is less than the two seconds for which users wait for a poll's answer.
	maxAnswerTime = 1900 * time.Millisecond
	// readBufferBytes bounds the header of a request.
	readBufferBytes = 4096
	// maxMachineName bounds the name of a machine in a report, in bytes.
	maxMachineName = 100
)

// API turns requests into commands and the core's answers into responses.
type API struct {
	cfg *settings.Settings
	// offer hands a command to the core unless its queue is full.
	offer   func(core.Command) bool
	metrics metrics
	// refusedBySites counts what was refused of other sites; nil without a gateway.
	refusedBySites func() int64

	mu          sync.Mutex
	lastRequest uint64
	pending     map[uint64]chan core.Answer
}

// New makes an API that passes commands to offer.
func New(cfg *settings.Settings, offer func(core.Command) bool) *API {
	return &API{cfg: cfg, offer: offer, metrics: newMetrics(), pending: map[uint64]chan core.Answer{}}
}

// WithGateway adds the gateway to the metrics and to what operators may ask; refused
// counts what was refused of other sites. It is called before Run.
func (a *API) WithGateway(refused func() int64) { a.refusedBySites = refused }

// Run serves until ctx ends.
func (a *API) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp4", a.cfg.Listen)
	if err != nil {
		return err
	}
	limit := a.cfg.Params.Limits.MaxConnections
	timeout := a.answerTimeout()
	s := &fasthttp.Server{
		Handler:               a.handle,
		ErrorHandler:          badRequest,
		Logger:                httpserver.DiscardLogger{},
		MaxRequestBodySize:    protocol.MaxBody,
		ReadBufferSize:        readBufferBytes,
		Concurrency:           limit * 3 / 4,
		ReadTimeout:           2 * timeout,
		WriteTimeout:          timeout,
		IdleTimeout:           20 * timeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
	}
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	err = s.Serve(ln)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// answerTimeout is how long a worker or user is kept waiting for the core.
func (a *API) answerTimeout() time.Duration {
	return min(maxAnswerTime, time.Duration(a.cfg.Params.Workers.ReportS*float64(time.Second)))
}

// badRequest answers what is malformed, too long a body too: to any other status users
// would only come back with the same.
func badRequest(ctx *fasthttp.RequestCtx, _ error) {
	httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, "malformed request")
}

func (a *API) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	method := string(ctx.Method())
	switch {
	case path == protocol.PathReport:
		a.requireMethod(ctx, method, fasthttp.MethodPost, a.handleReport)
	case path == protocol.PathHealth:
		a.requireMethod(ctx, method, fasthttp.MethodGet, func(ctx *fasthttp.RequestCtx) {
			a.forward(ctx, func(req uint64) core.Command { return core.Health{Req: req} })
		})
	case path == protocol.PathMetrics:
		a.requireMethod(ctx, method, fasthttp.MethodGet, func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("text/plain; charset=utf-8")
			ctx.SetBody(slices.Concat(a.metrics.text(), a.jobMetrics(), a.federationMetrics()))
		})
	case path == protocol.PathList:
		a.requireMethod(ctx, method, fasthttp.MethodGet, func(ctx *fasthttp.RequestCtx) {
			after := string(ctx.QueryArgs().Peek(protocol.ArgAfter))
			a.forward(ctx, func(req uint64) core.Command { return core.List{Req: req, After: after} })
		})
	case a.refusedBySites != nil && strings.HasPrefix(path, protocol.PathGateway+"/"):
		a.handleOperator(ctx, method, core.OperatorAction(strings.TrimPrefix(path, protocol.PathGateway+"/")))
	case path == protocol.PathJobs:
		a.requireMethod(ctx, method, fasthttp.MethodPost, func(ctx *fasthttp.RequestCtx) {
			body := append([]byte(nil), ctx.PostBody()...)
			a.forward(ctx, func(req uint64) core.Command { return core.Submit{Req: req, Body: body} })
		})
	case strings.HasPrefix(path, protocol.PathJobs+"/"):
		a.handleJob(ctx, method, strings.TrimPrefix(path, protocol.PathJobs+"/"))
	default:
		httpserver.WriteProblem(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

func (a *API) handleJob(ctx *fasthttp.RequestCtx, method, rest string) {
	id, action, nested := strings.Cut(rest, "/")
	switch {
	case !nested:
		a.requireMethod(ctx, method, fasthttp.MethodGet, func(ctx *fasthttp.RequestCtx) {
			a.forward(ctx, func(req uint64) core.Command { return core.Status{Req: req, ID: id} })
		})
	case action == protocol.PathCancel:
		a.requireMethod(ctx, method, fasthttp.MethodPost, func(ctx *fasthttp.RequestCtx) {
			a.forward(ctx, func(req uint64) core.Command { return core.Cancel{Req: req, ID: id} })
		})
	default:
		httpserver.WriteProblem(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

func (a *API) requireMethod(ctx *fasthttp.RequestCtx, method, want string, f func(*fasthttp.RequestCtx)) {
	if method != want {
		ctx.Response.Header.Set("Allow", want)
		httpserver.WriteProblem(ctx, fasthttp.StatusMethodNotAllowed, "method not allowed")
		return
	}
	f(ctx)
}

func (a *API) handleReport(ctx *fasthttp.RequestCtx) {
	var r protocol.Report
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil || !isValid(&r) {
		httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, "malformed report")
		return
	}
	a.forward(ctx, func(req uint64) core.Command { return core.Heartbeat{Req: req, Report: r} })
}

// isValid tells whether a report names its machine, by a name that may be part of a key, and
// its address.
func isValid(r *protocol.Report) bool {
	named := r.Machine != "" && len(r.Machine) <= maxMachineName && !strings.ContainsAny(r.Machine, " /")
	return named && r.Address != ""
}

// forward hands a command to the core and waits for its answer. A core that falls
// behind sheds new requests at once.
func (a *API) forward(ctx *fasthttp.RequestCtx, command func(req uint64) core.Command) {
	start := time.Now()
	ans := a.call(command)
	a.metrics.record(string(ctx.Path()), ans.Status, time.Since(start))
	reply(ctx, ans)
}

// call is the core's answer to a command, or a request to come back.
func (a *API) call(command func(req uint64) core.Command) core.Answer {
	id, ch := a.register()
	if !a.offer(command(id)) {
		a.Answer(unavailable(id))
	}
	timer := time.NewTimer(a.answerTimeout())
	defer timer.Stop()
	select {
	case ans := <-ch:
		return ans
	case <-timer.C:
		a.take(id)
		return unavailable(id)
	}
}

// unavailable asks the client to come back.
func unavailable(req uint64) core.Answer {
	return core.Answer{Req: req, Status: fasthttp.StatusServiceUnavailable, RetryAfter: 1,
		Body: protocol.Problem{Error: "try again later"}}
}

func (a *API) register() (uint64, chan core.Answer) {
	ch := make(chan core.Answer, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastRequest++
	a.pending[a.lastRequest] = ch
	return a.lastRequest, ch
}

// take takes the channel that waits for a request's answer.
func (a *API) take(id uint64) chan core.Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	ch := a.pending[id]
	delete(a.pending, id)
	return ch
}

// Answer ends a request.
func (a *API) Answer(ans core.Answer) {
	if ch := a.take(ans.Req); ch != nil {
		ch <- ans
	}
}

func reply(ctx *fasthttp.RequestCtx, answer core.Answer) {
	httpserver.SetRetryAfter(ctx, answer.RetryAfter)
	httpserver.WriteJSON(ctx, answer.Status, answer.Body)
}
