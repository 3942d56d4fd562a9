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
	// probeInterval is how often the controllers' health is checked.
	probeInterval = time.Second
	// maxAttempts is the maximum number of controllers that a request is sent to.
	maxAttempts = 3
)

// proxyClient never retries by itself: handleFrontend retries only if the connection failed,
// since the controller may have executed the request otherwise.
var proxyClient = &fasthttp.Client{MaxIdemponentCallAttempts: 1, ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second,
	RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}

// probeControllers checks the health of each controller.
func (s *Site) probeControllers() {
	for _, c := range s.controllers {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+c.listenAddress+protocol.PathHealth, probeInterval)
		c.healthy.Store(err == nil && status == http.StatusOK)
	}
}

// nextController is a round-robin counter. It selects the controller that a request is sent to
// first.
var nextController atomic.Uint64

// handleFrontend proxies a user's request to a healthy controller. It also records
// submissions for the workers, because users send their submissions to the workers as well.
func (s *Site) handleFrontend(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == protocol.PathJobs && ctx.IsPost() {
		s.recordJob(ctx.PostBody())
	}
	offset := int(nextController.Add(1))
	tried := 0
	for i := range s.controllers {
		c := s.controllers[(offset+i)%len(s.controllers)]
		if !c.healthy.Load() || tried == maxAttempts {
			continue
		}
		tried++
		req, res := &ctx.Request, &ctx.Response
		req.SetHost(c.listenAddress)
		if err := proxyClient.Do(req, res); err == nil {
			return
		} else if !strings.Contains(err.Error(), "dial") {
			ctx.Error("no answer", fasthttp.StatusGatewayTimeout)
			return
		}
	}
	httpserver.WriteProblem(ctx, fasthttp.StatusServiceUnavailable, "no controller is healthy")
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
}

// recordJob stores the submission in a request body for the workers.
func (s *Site) recordJob(body []byte) {
	var j protocol.Submission
	if json.Unmarshal(body, &j) != nil || !hasRequiredFields(&j) {
		return // the controller reports the error to the user
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fleet.jobs[*j.ID] == nil {
		s.State.file.saveJob(*j.ID, &j)
	}
	s.fleet.AddJob(&j)
}

// hasRequiredFields reports whether a submission has all fields that a worker needs.
func hasRequiredFields(j *protocol.Submission) bool {
	return j.ID != nil && j.Kind != nil && j.Tasks != nil && j.CPUs != nil && j.GPUs != nil && j.MemoryGB != nil &&
		j.Image != nil && j.ImageGB != nil && j.EstimateS != nil && j.CheckpointS != nil && j.SaveS != nil
}
