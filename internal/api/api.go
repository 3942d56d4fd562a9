// Package api serves the HTTP interface for users, operators, workers and health checks.
package api

import (
	"context"
	"log/slog"
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
	// maxAnswerTime is below protocol.PollTimeout, so that a user who polls gets a response.
	maxAnswerTime = 1900 * time.Millisecond
	// readBufferBytes limits the size of a request header.
	readBufferBytes = 4096
	// maxMachineNameBytes limits the length of a machine name in a report, in bytes.
	maxMachineNameBytes = 100
)

// API translates HTTP requests into core commands and the core's answers into responses.
type API struct {
	cfg *settings.Settings
	// tryEnqueue passes a command to the core, and reports false if the core's queue is full.
	tryEnqueue func(core.Command) bool
	metrics    metrics
	// readTimeout is how long a request may take to arrive.
	readTimeout time.Duration
	// refusedFromSites returns how many connections, streams and messages of other sites
	// were refused. It is nil without federation.
	refusedFromSites func() int64

	mu          sync.Mutex
	lastRequest uint64
	// pending holds the channel that receives the answer to each open request.
	pending map[uint64]chan core.Answer
}

// New returns an API that passes commands to the core with tryEnqueue.
func New(cfg *settings.Settings, tryEnqueue func(core.Command) bool) *API {
	return &API{
		cfg:         cfg,
		tryEnqueue:  tryEnqueue,
		metrics:     newMetrics(),
		readTimeout: protocol.SubmitTimeout, // nobody waits longer for a response
		pending:     map[uint64]chan core.Answer{},
	}
}

// WithFederation enables the federation's metrics and operator endpoints. refused returns how
// many connections, streams and messages of other sites were refused. Call it before Run.
func (a *API) WithFederation(refused func() int64) { a.refusedFromSites = refused }

// Run serves requests until ctx is done.
func (a *API) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp4", a.cfg.Listen)
	if err != nil {
		return err
	}
	limit := a.cfg.Params.Limits.MaxConnections
	timeout := a.answerTimeout()
	s := &fasthttp.Server{
		Handler:                      a.handle,
		ErrorHandler:                 a.handleReadError,
		Logger:                       httpserver.DiscardLogger{},
		MaxRequestBodySize:           protocol.MaxBody,
		DisablePreParseMultipartForm: true, // the handler parses bodies, whatever type they claim to have
		ReadBufferSize:               readBufferBytes,
		Concurrency:                  limit * 3 / 4,
		ReadTimeout:                  a.readTimeout,
		WriteTimeout:                 timeout,
		IdleTimeout:                  20 * timeout,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		CloseOnShutdown:              true,
	}
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	err = s.Serve(ln)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// answerTimeout returns how long a request waits for the core's answer.
func (a *API) answerTimeout() time.Duration {
	return min(maxAnswerTime, time.Duration(a.cfg.Params.Workers.ReportS*float64(time.Second)))
}

// handleReadError responds to a request that could not be read.
func (a *API) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	failure := httpserver.HandleReadError(ctx, err)
	a.metrics.recordUnread(failure)
	slog.Debug("request could not be read", "from", ctx.RemoteAddr().String(), "reason", string(failure), "error", err)
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
			ctx.SetBody(slices.Concat(a.metrics.exposition(), a.jobMetrics(), a.federationMetrics()))
		})
	case path == protocol.PathList:
		a.requireMethod(ctx, method, fasthttp.MethodGet, func(ctx *fasthttp.RequestCtx) {
			after := string(ctx.QueryArgs().Peek(protocol.ArgAfter))
			a.forward(ctx, func(req uint64) core.Command { return core.List{Req: req, After: after} })
		})
	case a.refusedFromSites != nil && strings.HasPrefix(path, protocol.PathGateway+"/"):
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

func (a *API) requireMethod(ctx *fasthttp.RequestCtx, method, want string, handler func(*fasthttp.RequestCtx)) {
	if method != want {
		ctx.Response.Header.Set("Allow", want)
		httpserver.WriteProblem(ctx, fasthttp.StatusMethodNotAllowed, "method not allowed")
		return
	}
	handler(ctx)
}

func (a *API) handleReport(ctx *fasthttp.RequestCtx) {
	var r protocol.Report
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil || !isValidReport(&r) {
		httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, "malformed report")
		return
	}
	a.forward(ctx, func(req uint64) core.Command { return core.Heartbeat{Req: req, Report: r} })
}

// isValidReport reports whether a report has an address and a machine name that can be part
// of a store key.
func isValidReport(r *protocol.Report) bool {
	hasValidName := r.Machine != "" && len(r.Machine) <= maxMachineNameBytes && !strings.ContainsAny(r.Machine, " /")
	return hasValidName && r.Address != ""
}

// forward passes a command to the core, waits for its answer and writes the response. If the
// core's queue is full, the request is refused immediately.
func (a *API) forward(ctx *fasthttp.RequestCtx, newCommand func(req uint64) core.Command) {
	start := time.Now()
	ans := a.call(newCommand)
	a.metrics.record(string(ctx.Path()), ans.Status, time.Since(start))
	writeAnswer(ctx, ans)
}

// call passes a command to the core and returns its answer. If the queue is full or the
// answer is late, it returns one that asks the client to retry.
func (a *API) call(newCommand func(req uint64) core.Command) core.Answer {
	id, ch := a.registerRequest()
	if !a.tryEnqueue(newCommand(id)) {
		a.Answer(unavailableAnswer(id))
	}
	timer := time.NewTimer(a.answerTimeout())
	defer timer.Stop()
	select {
	case ans := <-ch:
		return ans
	case <-timer.C:
		a.takePending(id)
		return unavailableAnswer(id)
	}
}

// unavailableAnswer returns an answer that asks the client to retry.
func unavailableAnswer(req uint64) core.Answer {
	return core.Answer{Req: req, Status: fasthttp.StatusServiceUnavailable, RetryAfter: 1,
		Body: protocol.Problem{Error: "try again later"}}
}

// registerRequest returns a new request ID and the channel that receives the answer.
func (a *API) registerRequest() (uint64, chan core.Answer) {
	ch := make(chan core.Answer, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastRequest++
	a.pending[a.lastRequest] = ch
	return a.lastRequest, ch
}

// takePending removes and returns the channel that waits for the answer to a request, or
// returns nil if there is none.
func (a *API) takePending(id uint64) chan core.Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	ch := a.pending[id]
	delete(a.pending, id)
	return ch
}

// Answer delivers the core's answer to the request that waits for it.
func (a *API) Answer(ans core.Answer) {
	if ch := a.takePending(ans.Req); ch != nil {
		ch <- ans
	}
}

func writeAnswer(ctx *fasthttp.RequestCtx, answer core.Answer) {
	httpserver.SetRetryAfter(ctx, answer.RetryAfter)
	httpserver.WriteJSON(ctx, answer.Status, answer.Body)
}
