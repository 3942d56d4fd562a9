package emulator

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"pepperlever/internal/protocol"
)

const (
	// probeEvery is how often controllers are asked for their health.
	probeEvery = time.Second
	// attempts is how many controllers a request is offered to.
	attempts = 3
)

var proxy = &fasthttp.Client{MaxIdemponentCallAttempts: 1, ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second,
	RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}

// probe asks each controller for its health.
func (s *Site) probe() {
	for _, c := range s.controllers {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+c.listen+protocol.PathHealth, probeEvery)
		c.healthy.Store(err == nil && status == http.StatusOK)
	}
}

var turn atomic.Uint64

// handleFront passes a user's request to a healthy controller. It notes the
// descriptions of jobs, which users hand to the workers too.
func (s *Site) handleFront(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == protocol.PathJobs && ctx.IsPost() {
		s.upload(ctx.PostBody())
	}
	first := int(turn.Add(1))
	tried := 0
	for i := range s.controllers {
		c := s.controllers[(first+i)%len(s.controllers)]
		if !c.healthy.Load() || tried == attempts {
			continue
		}
		tried++
		req, res := &ctx.Request, &ctx.Response
		req.SetHost(c.listen)
		if err := proxy.Do(req, res); err == nil {
			return
		} else if !strings.Contains(err.Error(), "dial") {
			ctx.Error("no answer", fasthttp.StatusGatewayTimeout)
			return
		}
	}
	problem(ctx, fasthttp.StatusServiceUnavailable, "no controller is healthy")
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
}

func (s *Site) upload(body []byte) {
	var j protocol.Submission
	if json.Unmarshal(body, &j) != nil || !complete(&j) {
		return // the controller says what is wrong with it
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fleet.jobs[*j.ID] == nil {
		s.State.disk.keepJob(*j.ID, &j)
	}
	s.fleet.Upload(&j)
}

// complete tells whether a description holds all that a worker needs.
func complete(j *protocol.Submission) bool {
	return j.ID != nil && j.Kind != nil && j.Tasks != nil && j.CPUs != nil && j.GPUs != nil && j.MemoryGB != nil &&
		j.Image != nil && j.ImageGB != nil && j.EstimateS != nil && j.CheckpointS != nil && j.SaveS != nil
}

// handleCloud answers as the cloud.
func (s *Site) handleCloud(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, path := s.now(), string(ctx.Path())
	switch {
	case !s.cloud.calls.take(now, 1):
		problem(ctx, fasthttp.StatusTooManyRequests, "too many requests")
	case path == protocol.PathTypes:
		answer(ctx, fasthttp.StatusOK, s.cloud.Catalogue())
	case path == protocol.PathRelease:
		s.release(ctx, now)
	case path == protocol.PathMachines && ctx.IsPost():
		s.rent(ctx, now)
	case path == protocol.PathMachines:
		limit, err := strconv.Atoi(string(ctx.QueryArgs().Peek(protocol.ArgLimit)))
		if err != nil || limit < 1 || limit > 500 {
			limit = 500
		}
		answer(ctx, fasthttp.StatusOK, s.cloud.List(now, string(ctx.QueryArgs().Peek(protocol.ArgAfter)), limit))
	default:
		problem(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

func (s *Site) rent(ctx *fasthttp.RequestCtx, now time.Duration) {
	var r protocol.Rental
	if json.Unmarshal(ctx.PostBody(), &r) != nil || r.Request == "" || r.Count < 1 || r.Count > protocol.MaxRental {
		problem(ctx, fasthttp.StatusBadRequest, "malformed rental")
		return
	}
	names, ok := s.cloud.Rent(now, r)
	if s.State.disk.keepMachines(s.cloud.named); ok {
		answer(ctx, fasthttp.StatusOK, names)
		return
	}
	problem(ctx, fasthttp.StatusServiceUnavailable, "no capacity")
}

func (s *Site) release(ctx *fasthttp.RequestCtx, now time.Duration) {
	var names protocol.MachineNames
	if json.Unmarshal(ctx.PostBody(), &names) != nil || len(names.Machines) > protocol.MaxRelease {
		problem(ctx, fasthttp.StatusBadRequest, "malformed release")
		return
	}
	s.cloud.Release(now, names.Machines)
	for _, id := range names.Machines {
		s.fleet.Remove(id)
	}
	answer(ctx, fasthttp.StatusOK, struct{}{})
}
