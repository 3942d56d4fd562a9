package emulator

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/httpserver"
	"pepperlever/internal/protocol"
)

// maxWatchDuration is the longest time that a watch stays open.
const maxWatchDuration = time.Minute

// handleWatch waits for changes under a prefix and returns them, or none after the requested
// time. The caller holds s.mu, which is released while waiting. During an outage a watch stays
// open and fails when its time is over.
func (s *StateService) handleWatch(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	prefix := string(args.Peek(protocol.ArgPrefix))
	since, errSince := strconv.ParseUint(string(args.Peek(protocol.ArgAfter)), 10, 64)
	wait, errWait := strconv.ParseInt(string(args.Peek(protocol.ArgWait)), 10, 64)
	if errSince != nil || errWait != nil && args.Has(protocol.ArgWait) {
		httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, "bad watch")
		return
	}
	timer := time.NewTimer(min(time.Duration(max(wait, 0))*time.Millisecond, maxWatchDuration))
	defer timer.Stop()
	for timedOut := false; ; {
		changes, compacted := s.kv.Changes(prefix, since)
		switch {
		case compacted && !s.down:
			httpserver.WriteProblem(ctx, fasthttp.StatusGone, "changes are forgotten")
			return
		case !s.down && (len(changes.Events) > 0 || timedOut):
			httpserver.WriteJSON(ctx, fasthttp.StatusOK, changes)
			return
		case s.down && timedOut:
			httpserver.WriteProblem(ctx, fasthttp.StatusServiceUnavailable, "trouble")
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		}
		s.mu.Lock()
	}
}
