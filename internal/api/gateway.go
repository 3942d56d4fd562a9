package api

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"pepperlever/internal/core"
	"pepperlever/internal/federation"
	"pepperlever/internal/httpserver"
)

// handleOperator forwards an operator's request about hand-offs to the core.
func (a *API) handleOperator(ctx *fasthttp.RequestCtx, method string, action core.OperatorAction) {
	want := fasthttp.MethodPost
	switch action {
	case core.ActionStatus, core.ActionHandoffs:
		want = fasthttp.MethodGet
	case core.ActionGiveUp, core.ActionDrain, core.ActionRenew:
	default:
		httpserver.WriteProblem(ctx, fasthttp.StatusNotFound, "no such path")
		return
	}
	a.requireMethod(ctx, method, want, func(ctx *fasthttp.RequestCtx) {
		var request core.OperatorRequest
		if want == fasthttp.MethodPost && json.Unmarshal(ctx.PostBody(), &request) != nil {
			httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, "malformed request")
			return
		}
		request.Op = action
		a.forward(ctx, func(req uint64) core.Command { request.Req = req; return request })
	})
}

// federationMetrics returns the metrics of the federation. Only the controller that leads the
// federation has all of them; the others return just the number of refusals.
func (a *API) federationMetrics() []byte {
	if a.refusedFromSites == nil {
		return nil
	}
	var b strings.Builder
	fmt.Fprintf(&b, "pepperlever_gateway_refused %d\n", a.refusedFromSites())
	ans := a.call(func(req uint64) core.Command { return core.OperatorRequest{Req: req, Op: core.ActionStatus} })
	status, ok := ans.Body.(core.SiteStatus)
	if !ok {
		return []byte(b.String())
	}
	for _, peer := range status.Peers {
		writePeerMetrics(&b, peer)
	}
	return []byte(b.String())
}

// writePeerMetrics writes the metrics of the hand-offs with one site.
func writePeerMetrics(b *strings.Builder, peer federation.PeerStatus) {
	writeHandOffs(b, peer.Site, "away", peer.Outgoing)
	writeHandOffs(b, peer.Site, "taken", peer.Incoming)
	fmt.Fprintf(b, "pepperlever_gateway_oldest_seconds{peer=%q} %.0f\n", peer.Site, oldestHandOffAge(peer).Seconds())
	fmt.Fprintf(b, "pepperlever_gateway_retries{peer=%q} %d\n", peer.Site, peer.Retries)
	for _, state := range []string{"closed", "half-open", "open"} {
		fmt.Fprintf(b, "pepperlever_gateway_breaker{peer=%q,state=%q} %d\n", peer.Site, state, boolMetric(peer.Breaker == state))
	}
	fmt.Fprintf(b, "pepperlever_gateway_stopped{peer=%q} %d\n", peer.Site, boolMetric(peer.SuspendedReason != ""))
}

// writeHandOffs writes the number of hand-offs in one direction by their stage.
func writeHandOffs(b *strings.Builder, site federation.Site, side string, byStage map[string]int) {
	for _, stage := range slices.Sorted(maps.Keys(byStage)) {
		fmt.Fprintf(b, "pepperlever_gateway_handoffs{peer=%q,side=%q,stage=%q} %d\n", site, side, stage, byStage[stage])
	}
}

// oldestHandOffAge returns the age of the oldest open hand-off with a site, or 0 if there is none.
func oldestHandOffAge(peer federation.PeerStatus) time.Duration {
	if peer.OldestHandOffAt <= 0 {
		return 0
	}
	return time.Since(time.UnixMilli(peer.OldestHandOffAt))
}

func boolMetric(value bool) int {
	if value {
		return 1
	}
	return 0
}
