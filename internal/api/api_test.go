package api

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/core"
	"pepperlever/internal/core/jobstats"
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// serve runs one request against an API whose core is simulated by answer: a nil result
// stands for a full queue.
func serve(answer func(core.Command) *core.Answer, method, path, body string) (*API, *fasthttp.RequestCtx) {
	cfg := &settings.Settings{}
	cfg.Params.Workers.ReportS = 600 // long enough that no test times out
	var a *API
	a = New(cfg, func(c core.Command) bool {
		ans := answer(c)
		if ans != nil {
			a.Answer(*ans)
		}
		return ans != nil
	})
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	ctx.Request.SetBodyString(body)
	if federationEnabled {
		a.WithFederation(func() int64 { return 3 })
	}
	a.handle(ctx)
	return a, ctx
}

// federationEnabled makes serve enable the federation.
var federationEnabled bool

// echo answers every command with success and a body that identifies the command.
func echo(c core.Command) *core.Answer {
	switch c := c.(type) {
	case core.Submit:
		return &core.Answer{Req: c.Req, Status: 201}
	case core.Status:
		return &core.Answer{Req: c.Req, Status: 200, Body: "status " + c.ID}
	case core.Cancel:
		return &core.Answer{Req: c.Req, Status: 200, Body: "cancel " + c.ID}
	case core.List:
		return &core.Answer{Req: c.Req, Status: 200, Body: "list after " + c.After}
	case core.Health:
		return &core.Answer{Req: c.Req, Status: 200}
	case core.JobStatistics:
		return &core.Answer{Req: c.Req, Status: 200, Body: core.StatisticsReport{LongestUnanswered: 8 * time.Second, Unacknowledged: 3, Staleness: 7 * time.Second,
			Pending: core.PendingTasks{Dependencies: 5, TeamLimit: 6}, Planned: core.PendingTasks{Capacity: 9}, UnstoredClaims: 2, Counters: core.Counters{CascadedCancellations: 4, OversizedTransactions: 2},
			Rows: []jobstats.Row{{Kind: "class", Name: "train", Accepted: 3, LargestStarted: 1, Oldest: 7 * time.Second}}}}
	case core.Heartbeat:
		return &core.Answer{Req: c.Req, Status: 200, Body: c.Report.Machine}
	case core.OperatorRequest:
		if c.Op == core.ActionStatus {
			return &core.Answer{Req: c.Req, Status: 200, Body: core.SiteStatus{Node: "a", Status: federation.Status{Site: "near",
				Peers: []federation.PeerStatus{{Site: "far", Breaker: "open", Outgoing: map[string]int{"offered": 2}, Retries: 7}}}}}
		}
		return &core.Answer{Req: c.Req, Status: 200, Body: string(c.Op) + " " + c.Name + " " + c.Reason}
	}
	return nil
}

// The job metrics must always be available. Without federation, the endpoints and the metrics of
// the federation must be missing. With federation, operators' requests must reach the core and
// these metrics must be included.
func TestFederationRequestsAndMetrics(t *testing.T) {
	defer func() { federationEnabled = false }()
	for _, c := range []struct {
		on                 bool
		method, path, body string
		status             int
		want               string
	}{
		{false, "GET", "/gateway/status", "", 404, ""},
		{false, "GET", "/metrics", "", 200, `pepperlever_jobs{class="train",state="accepted"} 3`},
		{false, "GET", "/metrics", "", 200, `pepperlever_jobs{class="train",state="largest_started"} 1`},
		{false, "GET", "/metrics", "", 200, `pepperlever_oldest_waiting_seconds{class="train"} 7`},
		{false, "GET", "/metrics", "", 200, "pepperlever_longest_unanswered_seconds 8"},
		{false, "GET", "/metrics", "", 200, "pepperlever_cancellations_owed 3"},
		{false, "GET", "/metrics", "", 200, "pepperlever_unsure_seconds 7"},
		{false, "GET", "/metrics", "", 200, `pepperlever_waiting_tasks{reason="awaits"} 5`},
		{false, "GET", "/metrics", "", 200, `pepperlever_waiting_tasks{reason="limit"} 6`},
		{false, "GET", "/metrics", "", 200, `pepperlever_planned_tasks{reason="room"} 9`},
		{false, "GET", "/metrics", "", 200, "pepperlever_unstored_claims 2"},
		{false, "GET", "/metrics", "", 200, "pepperlever_cascaded_cancellations_total 4"},
		{false, "GET", "/metrics", "", 200, "pepperlever_oversized_transactions_total 2"},
		{true, "GET", "/gateway/status", "", 200, `"node":"a"`},
		{true, "POST", "/gateway/status", "", 405, ""},
		{true, "POST", "/gateway/give-up", `{"name":"req-1","why":"lost","o":"drain"}`, 200, "give-up req-1 lost"},
		{true, "POST", "/gateway/give-up", `{`, 400, ""},
		{true, "GET", "/gateway/give-up", "", 405, ""},
		{true, "POST", "/gateway/other", "{}", 404, ""},
		{true, "GET", "/metrics", "", 200, `pepperlever_gateway_breaker{peer="far",state="open"} 1`},
		{true, "GET", "/metrics", "", 200, `pepperlever_gateway_handoffs{peer="far",side="away",stage="offered"} 2`},
		{true, "GET", "/metrics", "", 200, "pepperlever_gateway_refused 3"},
	} {
		federationEnabled = c.on
		_, ctx := serve(echo, c.method, c.path, c.body)
		body := string(ctx.Response.Body())
		if got := ctx.Response.StatusCode(); got != c.status || !strings.Contains(body, c.want) || !c.on && strings.Contains(body, "gateway_") {
			t.Errorf("%s %s: got status %d, body %s", c.method, c.path, got, body)
		}
	}
}

func TestRequestsReachTheCoreOrAreRefused(t *testing.T) {
	for _, c := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"POST", "/work", "{}", 201, ""},
		{"GET", "/work", "", 405, ""},
		{"GET", "/jobs?since=req-7", "", 200, "list after req-7"},
		{"POST", "/jobs", "", 405, ""},
		{"GET", "/work/req-1", "", 200, "status req-1"},
		{"DELETE", "/work/req-1", "", 405, ""},
		{"POST", "/work/req-1/withdraw", "", 200, "cancel req-1"},
		{"GET", "/work/req-1/withdraw", "", 405, ""},
		{"POST", "/work/req-1/other", "", 404, ""},
		{"GET", "/elsewhere", "", 404, ""},
		{"GET", "/up", "", 200, ""},
		{"POST", "/agent/beat", `{"hand":"vm-1","address":"1.2.3.4:5"}`, 200, "vm-1"},
		{"POST", "/agent/beat", `{"hand":"vm-1"`, 400, ""},
		{"POST", "/agent/beat", `{"hand":"vm/1","address":"x"}`, 400, ""},
	} {
		_, ctx := serve(echo, c.method, c.path, c.body)
		if got := ctx.Response.StatusCode(); got != c.status || !strings.Contains(string(ctx.Response.Body()), c.want) {
			t.Errorf("%s %s: got status %d, body %s", c.method, c.path, got, ctx.Response.Body())
		}
	}
}

func TestFullQueueShedsRequestWithRetryAfter(t *testing.T) {
	a, ctx := serve(func(core.Command) *core.Answer { return nil }, "GET", "/work/req-1", "")
	if got := ctx.Response.StatusCode(); got != 503 || string(ctx.Response.Header.Peek("Retry-After")) == "" {
		t.Errorf("got status %d, want 503 with a Retry-After header", got)
	}
	if len(a.pending) != 0 {
		t.Error("refused request is still pending")
	}
	if exposition := string(a.metrics.exposition()); !strings.Contains(exposition, `answers{request="status",status="503"} 1`) {
		t.Errorf("got metrics %s, want one answer with status 503", exposition)
	}
}

func TestRequestKindGroupsJobPaths(t *testing.T) {
	for path, want := range map[string]string{
		protocol.PathJobs: "submit", protocol.PathJobs + "/req-1": "status",
		protocol.PathJobs + "/req-1/" + protocol.PathCancel: "cancel", protocol.PathReport: "report",
	} {
		if got := requestKind(path); got != want {
			t.Errorf("requestKind(%q): got %s", path, got)
		}
	}
}

// An oversized body counts as malformed: after statuses such as 413, clients would retry the
// same request.
func TestOversizedBodyIsBadRequest(t *testing.T) {
	ctx := &fasthttp.RequestCtx{}
	New(&settings.Settings{}, nil).handleReadError(ctx, fasthttp.ErrBodyTooLarge)
	if got := ctx.Response.StatusCode(); got != fasthttp.StatusBadRequest {
		t.Errorf("got status %d, want 400", got)
	}
}
