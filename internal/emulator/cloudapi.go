package emulator

import (
	"strconv"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"pepperlever/internal/httpserver"
	"pepperlever/internal/protocol"
)

// handleCloud serves the cloud's API.
func (s *Site) handleCloud(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, path := s.now(), string(ctx.Path())
	switch {
	case !s.cloud.requests.take(now, 1):
		httpserver.WriteProblem(ctx, fasthttp.StatusTooManyRequests, "too many requests")
	case path == protocol.PathMachineTypes:
		httpserver.WriteJSON(ctx, fasthttp.StatusOK, s.cloud.Catalog())
	case path == protocol.PathRelease:
		s.release(ctx, now)
	case path == protocol.PathMachines && ctx.IsPost():
		s.rent(ctx, now)
	case path == protocol.PathMachines:
		limit, err := strconv.Atoi(string(ctx.QueryArgs().Peek(protocol.ArgLimit)))
		if err != nil || limit < 1 || limit > 500 {
			limit = 500
		}
		httpserver.WriteJSON(ctx, fasthttp.StatusOK, s.cloud.List(now, string(ctx.QueryArgs().Peek(protocol.ArgAfter)), limit))
	default:
		httpserver.WriteProblem(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

// rent handles a rental request. The caller holds s.mu.
func (s *Site) rent(ctx *fasthttp.RequestCtx, now time.Duration) {
	var rental protocol.Rental
	if json.Unmarshal(ctx.PostBody(), &rental) != nil || rental.Request == "" || rental.Count < 1 || rental.Count > protocol.MaxRental {
		httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, "malformed rental")
		return
	}
	names, ok := s.cloud.Rent(now, rental)
	if s.State.file.saveMachineCount(s.cloud.namesIssued); ok {
		httpserver.WriteJSON(ctx, fasthttp.StatusOK, names)
		return
	}
	httpserver.WriteProblem(ctx, fasthttp.StatusServiceUnavailable, "no capacity")
}

// release handles a release request: it ends the machines and removes their workers
// from the fleet. The caller holds s.mu.
func (s *Site) release(ctx *fasthttp.RequestCtx, now time.Duration) {
	var names protocol.MachineNames
	if json.Unmarshal(ctx.PostBody(), &names) != nil || len(names.Machines) > protocol.MaxRelease {
		httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, "malformed release")
		return
	}
	s.cloud.Release(now, names.Machines)
	for _, id := range names.Machines {
		s.fleet.Remove(id)
	}
	httpserver.WriteJSON(ctx, fasthttp.StatusOK, struct{}{})
}
