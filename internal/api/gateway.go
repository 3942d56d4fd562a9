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
)

// gateway answers operators' questions about hand-offs, and takes their word.
func (a *API) gateway(ctx *fasthttp.RequestCtx, method string, op core.OperatorAction) {
	want := fasthttp.MethodPost
	switch op {
	case core.ActionStatus, core.ActionHandoffs:
		want = fasthttp.MethodGet
	case core.ActionGiveUp, core.ActionDrain, core.ActionRenew:
	default:
		fail(ctx, fasthttp.StatusNotFound, "no such path")
		return
	}
	a.only(ctx, method, want, func(ctx *fasthttp.RequestCtx) {
		var m core.OperatorRequest
		if want == fasthttp.MethodPost && json.Unmarshal(ctx.PostBody(), &m) != nil {
			fail(ctx, fasthttp.StatusBadRequest, "malformed request")
			return
		}
		m.Op = op
		a.ask(ctx, func(req uint64) core.Command { m.Req = req; return m })
	})
}

// gatewayMetrics are the figures of the gateway on the controller that is its home;
// the others tell only what they have refused.
func (a *API) gatewayMetrics() []byte {
	if a.refused == nil {
		return nil
	}
	var b strings.Builder
	fmt.Fprintf(&b, "pepperlever_gateway_refused %d\n", a.refused())
	ans := a.await(func(req uint64) core.Command { return core.OperatorRequest{Req: req, Op: core.ActionStatus} })
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
			fmt.Fprintf(&b, "pepperlever_gateway_breaker{peer=%q,state=%q} %d\n", p.Site, state, one(p.Breaker == state))
		}
		fmt.Fprintf(&b, "pepperlever_gateway_stopped{peer=%q} %d\n", p.Site, one(p.SuspendedReason != ""))
	}
	return []byte(b.String())
}

func one(is bool) int {
	if is {
		return 1
	}
	return 0
}
