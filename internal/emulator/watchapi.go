package emulator

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/httpserver"
	"pepperlever/internal/protocol"
)

// maxWatch is for how long a watch may stay open.
const maxWatch = time.Minute

// watch waits for a change below a prefix. It gives the lock up meanwhile. During
// an outage it stays open.
func (s *StateService) watch(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	prefix := string(args.Peek(protocol.ArgPrefix))
	since, errSince := strconv.ParseUint(string(args.Peek(protocol.ArgAfter)), 10, 64)
	wait, errWait := strconv.ParseInt(string(args.Peek(protocol.ArgWait)), 10, 64)
	if errSince != nil || errWait != nil && args.Has(protocol.ArgWait) {
		httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, "bad watch")
		return
	}
	timer := time.NewTimer(min(time.Duration(max(wait, 0))*time.Millisecond, maxWatch))
	defer timer.Stop()
	for over := false; ; {
		out, gone := s.kv.Changes(prefix, since)
		switch {
		case gone && !s.down:
			httpserver.WriteProblem(ctx, fasthttp.StatusGone, "changes are forgotten")
			return
		case !s.down && (len(out.Events) > 0 || over):
			httpserver.WriteJSON(ctx, fasthttp.StatusOK, out)
			return
		case s.down && over:
			httpserver.WriteProblem(ctx, fasthttp.StatusServiceUnavailable, "trouble")
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		}
		s.mu.Lock()
	}
}
