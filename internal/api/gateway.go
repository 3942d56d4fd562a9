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
	"pepperlever/internal/httpserver"
)

// handleOperator passes an operator's request about hand-offs on to the core.
func (a *API) handleOperator(ctx *fasthttp.RequestCtx, method string, op core.OperatorAction) {
	want := fasthttp.MethodPost
	switch op {
	case core.ActionStatus, core.ActionHandoffs:
		want = fasthttp.MethodGet
	case core.ActionGiveUp, core.ActionDrain, core.ActionRenew:
	default:
		httpserver.WriteProblem(ctx, fasthttp.StatusNotFound, "no such path")
		return
	}
	a.requireMethod(ctx, method, want, func(ctx *fasthttp.RequestCtx) {
		var m core.OperatorRequest
		if want == fasthttp.MethodPost && json.Unmarshal(ctx.PostBody(), &m) != nil {
			httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, "malformed request")
			return
		}
		m.Op = op
		a.forward(ctx, func(req uint64) core.Command { m.Req = req; return m })
	})
}

// federationMetrics are the figures of the federation on the controller that leads it; the
// others tell only what they have refused.
func (a *API) federationMetrics() []byte {
	if a.refusedBySites == nil {
		return nil
	}
	var b strings.Builder
	fmt.Fprintf(&b, "pepperlever_gateway_refused %d\n", a.refusedBySites())
	ans := a.call(func(req uint64) core.Command { return core.OperatorRequest{Req: req, Op: core.ActionStatus} })
	s, here := ans.Body.(core.SiteStatus)
	if !here {
		return []byte(b.String())
	}
	for _, p := range s.Peers {
		for _, side := range []struct {
			name  string
			count map[string]int
		}{{"away", p.Outgoing}, {"taken", p.Incoming}} {
			for _, stage := range slices.Sorted(maps.Keys(side.count)) {
				fmt.Fprintf(&b, "pepperlever_gateway_handoffs{peer=%q,side=%q,stage=%q} %d\n", p.Site, side.name, stage, side.count[stage])
			}
		}
		age := 0.0
		if p.OldestHandOffAt > 0 {
			age = time.Since(time.UnixMilli(p.OldestHandOffAt)).Seconds()
		}
		fmt.Fprintf(&b, "pepperlever_gateway_oldest_seconds{peer=%q} %.0f\n", p.Site, age)
		fmt.Fprintf(&b, "pepperlever_gateway_retries{peer=%q} %d\n", p.Site, p.Retries)
		for _, state := range []string{"closed", "half-open", "open"} {
			fmt.Fprintf(&b, "pepperlever_gateway_breaker{peer=%q,state=%q} %d\n", p.Site, state, boolMetric(p.Breaker == state))
		}
		fmt.Fprintf(&b, "pepperlever_gateway_stopped{peer=%q} %d\n", p.Site, boolMetric(p.SuspendedReason != ""))
	}
	return []byte(b.String())
}

func boolMetric(is bool) int {
	if is {
		return 1
	}
	return 0
}
