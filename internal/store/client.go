// Package store speaks to the state service.
package store

import (
	"errors"
	"log/slog"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/core"
	"pepperlever/internal/httpclient"
	"pepperlever/internal/protocol"
)

// client does single requests.
type client struct {
	http *httpclient.Client
	addr string
}

func newClient(addr string, timeout time.Duration) *client {
	return &client{addr: addr, http: httpclient.New(timeout, 32)}
}

func (c *client) call(method, path string, body, out any) (int, error) {
	return c.http.Call(method, c.addr, path, body, out)
}

// txn does a transaction.
func (c *client) txn(t protocol.Txn) core.StoreReply {
	var r protocol.TxnResult
	if t.If == nil {
		t.If = []protocol.Condition{}
	}
	status, err := c.call(fasthttp.MethodPost, protocol.PathTxn, t, &r)
	out := core.StoreReply{Revision: r.Revision, Failed: r.Failed}
	switch {
	case errors.Is(err, httpclient.ErrUnsent):
		out.Outcome, out.Unavailable = core.Refused, true
	case err != nil:
		out.Outcome = core.Unknown
	case status == fasthttp.StatusOK:
		out.Outcome = core.Applied
	case status == fasthttp.StatusConflict:
		out.Outcome = core.Conflict
	case status == fasthttp.StatusBadRequest && strings.Contains(r.Error, "lease"):
		out.Outcome = core.NoLease
	case status == fasthttp.StatusBadRequest:
		slog.Error("state service calls a transaction malformed", "error", r.Error, "changes", len(t.Then), "conditions", len(t.If), "largest value", largestValue(t))
		out.Outcome, out.Oversized = core.Refused, true
	default:
		out.Outcome, out.Unavailable = core.Refused, status == fasthttp.StatusServiceUnavailable
		out.RateLimited = status == fasthttp.StatusTooManyRequests
	}
	return out
}

// largestValue is the length of the longest value that a transaction writes.
func largestValue(t protocol.Txn) (n int) {
	for _, ch := range t.Then {
		n = max(n, len(ch.Value))
	}
	return n
}

// get reads one key.
func (c *client) get(key string) core.StoreReply {
	var kv protocol.KeyValue
	status, err := c.call(fasthttp.MethodGet, protocol.PathKV+"/"+key, nil, &kv)
	out := core.StoreReply{Outcome: core.Refused, Item: kv, Revision: kv.Revision}
	switch {
	case err != nil:
	case status == fasthttp.StatusServiceUnavailable:
		out.Unavailable = true
	case status == fasthttp.StatusOK:
		out.Outcome = core.Applied
	case status == fasthttp.StatusNotFound:
		out.Outcome = core.Missing
	}
	return out
}
