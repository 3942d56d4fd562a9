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

// handleLease handles requests to grant, renew and revoke leases. The caller holds s.mu.
func (s *StateService) handleLease(ctx *fasthttp.RequestCtx, method, suffix string, now time.Duration) {
	id, action, _ := strings.Cut(strings.TrimPrefix(suffix, "/"), "/")
	leaseID, err := strconv.ParseUint(id, 10, 64)
	found := false
	switch {
	case suffix == "" && method == fasthttp.MethodPost:
		var grant protocol.LeaseGrant
		if json.Unmarshal(ctx.PostBody(), &grant) != nil || grant.TTLMillis < 100 || grant.TTLMillis > 600_000 {
			httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, "bad time to live")
			return
		}
		ttl := time.Duration(grant.TTLMillis) * time.Millisecond
		httpserver.WriteJSON(ctx, fasthttp.StatusOK, protocol.LeaseGranted{Lease: s.kv.Grant(now, ttl)})
		return
	case err != nil:
	case action == protocol.PathRenew && method == fasthttp.MethodPost:
		found = s.kv.Renew(now, leaseID)
	case action == "" && method == fasthttp.MethodDelete:
		found = s.kv.Revoke(leaseID)
	}
	if !found {
		httpserver.WriteProblem(ctx, fasthttp.StatusNotFound, "no such lease")
		return
	}
	httpserver.WriteJSON(ctx, fasthttp.StatusOK, protocol.LeaseGranted{Lease: leaseID})
}
