package emulator

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"pepperlever/internal/httpserver"
	"pepperlever/internal/protocol"
)

const (
	// probeInterval is how often controllers are asked for their health.
	probeInterval = time.Second
	// maxAttempts is how many controllers a request is offered to.
	maxAttempts = 3
)

var proxy = &fasthttp.Client{MaxIdemponentCallAttempts: 1, ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second,
	RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}

// probe asks each controller for its health.
func (s *Site) probe() {
	for _, c := range s.controllers {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+c.listen+protocol.PathHealth, probeInterval)
		c.healthy.Store(err == nil && status == http.StatusOK)
	}
}

var nextController atomic.Uint64

// handleFront passes a user's request to a healthy controller. It notes the
// descriptions of jobs, which users hand to the workers too.
func (s *Site) handleFront(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == protocol.PathJobs && ctx.IsPost() {
		s.upload(ctx.PostBody())
	}
	first := int(nextController.Add(1))
	tried := 0
	for i := range s.controllers {
		c := s.controllers[(first+i)%len(s.controllers)]
		if !c.healthy.Load() || tried == maxAttempts {
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
	httpserver.WriteProblem(ctx, fasthttp.StatusServiceUnavailable, "no controller is healthy")
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
		s.State.file.saveJob(*j.ID, &j)
	}
	s.fleet.AddJob(&j)
}

// complete tells whether a description holds all that a worker needs.
func complete(j *protocol.Submission) bool {
	return j.ID != nil && j.Kind != nil && j.Tasks != nil && j.CPUs != nil && j.GPUs != nil && j.MemoryGB != nil &&
		j.Image != nil && j.ImageGB != nil && j.EstimateS != nil && j.CheckpointS != nil && j.SaveS != nil
}
