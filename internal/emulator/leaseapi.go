package emulator

import (
	"strconv"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"pepperlever/internal/httpserver"
	"pepperlever/internal/protocol"
)

// lease grants, renews and revokes.
func (s *StateService) lease(ctx *fasthttp.RequestCtx, method, rest string, now time.Duration) {
	id, action, _ := strings.Cut(strings.TrimPrefix(rest, "/"), "/")
	n, err := strconv.ParseUint(id, 10, 64)
	there := false
	switch {
	case rest == "" && method == fasthttp.MethodPost:
		var g protocol.LeaseGrant
		if json.Unmarshal(ctx.PostBody(), &g) != nil || g.TTLMillis < 100 || g.TTLMillis > 600_000 {
			httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, "bad time to live")
			return
		}
		ttl := time.Duration(g.TTLMillis) * time.Millisecond
		httpserver.WriteJSON(ctx, fasthttp.StatusOK, protocol.LeaseGranted{Lease: s.kv.Grant(now, ttl)})
		return
	case err != nil:
	case action == protocol.PathRenew && method == fasthttp.MethodPost:
		there = s.kv.Renew(now, n)
	case action == "" && method == fasthttp.MethodDelete:
		there = s.kv.Revoke(n)
	}
	if !there {
		httpserver.WriteProblem(ctx, fasthttp.StatusNotFound, "no such lease")
		return
	}
	httpserver.WriteJSON(ctx, fasthttp.StatusOK, protocol.LeaseGranted{Lease: n})
}
