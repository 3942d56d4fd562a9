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

// maxConnections limits the connections of a client.
const maxConnections = 32

// client sends single requests to the key-value store.
type client struct {
	http *httpclient.Client
	addr string
}

func newClient(addr string, timeout time.Duration) *client {
	return &client{addr: addr, http: httpclient.New(timeout, maxConnections)}
}

func (c *client) call(method, path string, body, out any) (int, error) {
	return c.http.Call(method, c.addr, path, body, out)
}

// txn sends a transaction and maps the response to an outcome.
func (c *client) txn(t protocol.Txn) core.StoreReply {
	var result protocol.TxnResult
	if t.If == nil {
		t.If = []protocol.Condition{}
	}
	status, err := c.call(fasthttp.MethodPost, protocol.PathTxn, t, &result)
	reply := core.StoreReply{Revision: result.Revision, Failed: result.Failed}
	switch {
	case errors.Is(err, httpclient.ErrUnsent):
		reply.Outcome, reply.Unavailable = core.OutcomeRefused, true
	case err != nil:
		reply.Outcome = core.OutcomeUnknown
	case status == fasthttp.StatusOK:
		reply.Outcome = core.OutcomeApplied
	case status == fasthttp.StatusConflict:
		reply.Outcome = core.OutcomeConflict
	case status == fasthttp.StatusBadRequest && strings.Contains(result.Error, "lease"):
		reply.Outcome = core.OutcomeNoLease
	case status == fasthttp.StatusBadRequest:
		logMalformed(t, result.Error)
		reply.Outcome, reply.Oversized = core.OutcomeRefused, true
	default:
		reply.Outcome = core.OutcomeRefused
		reply.Unavailable = status == fasthttp.StatusServiceUnavailable
		reply.RateLimited = status == fasthttp.StatusTooManyRequests
	}
	return reply
}

func logMalformed(t protocol.Txn, reason string) {
	slog.Error("store rejected transaction as malformed",
		"error", reason,
		"changes", len(t.Then),
		"conditions", len(t.If),
		"largest_value", largestValue(t))
}

// largestValue returns the length in bytes of the longest value that a transaction writes.
func largestValue(t protocol.Txn) (n int) {
	for _, change := range t.Then {
		n = max(n, len(change.Value))
	}
	return n
}

// get reads one key.
func (c *client) get(key string) core.StoreReply {
	var item protocol.KeyValue
	status, err := c.call(fasthttp.MethodGet, protocol.PathKV+"/"+key, nil, &item)
	reply := core.StoreReply{Outcome: core.OutcomeRefused, Item: item, Revision: item.Revision}
	switch {
	case err != nil:
	case status == fasthttp.StatusServiceUnavailable:
		reply.Unavailable = true
	case status == fasthttp.StatusOK:
		reply.Outcome = core.OutcomeApplied
	case status == fasthttp.StatusNotFound:
		reply.Outcome = core.OutcomeMissing
	}
	return reply
}
