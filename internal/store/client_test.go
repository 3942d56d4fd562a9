package store

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"pepperlever/internal/core"
	"pepperlever/internal/protocol"
)

// unreachedTimeout is long enough that no request times out.
const unreachedTimeout = time.Minute

// newFakeStoreClient returns a client of a store that answers every request with the given
// status and body, or closes the connection if status is 0.
func newFakeStoreClient(t *testing.T, status int, body string) *client {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if status == 0 {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			conn.Close()
			return
		}
		w.WriteHeader(status)
		if _, err := w.Write([]byte(body)); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(s.Close)
	return newClient(s.Listener.Addr().String(), unreachedTimeout)
}

func TestTransactionOutcomeByResponse(t *testing.T) {
	txn := protocol.Txn{Then: []protocol.Change{{Delete: "k"}}}
	for name, c := range map[string]struct {
		status int
		body   string
		want   core.Outcome
		flags  core.StoreReply
	}{
		"applied":           {200, `{"ledgerTick":7}`, core.OutcomeApplied, core.StoreReply{}},
		"conflict":          {409, `{"failed":["k"],"ledgerTick":6}`, core.OutcomeConflict, core.StoreReply{}},
		"lease expired":     {400, `{"error":"no such lease"}`, core.OutcomeNoLease, core.StoreReply{}},
		"malformed":         {400, `{"error":"bad key"}`, core.OutcomeRefused, core.StoreReply{Oversized: true}},
		"rate limited":      {429, ``, core.OutcomeRefused, core.StoreReply{RateLimited: true}},
		"unavailable":       {503, ``, core.OutcomeRefused, core.StoreReply{}},
		"connection closed": {0, ``, core.OutcomeUnknown, core.StoreReply{}},
		"truncated body":    {200, `{"ledgerTick":`, core.OutcomeUnknown, core.StoreReply{}},
	} {
		if got := newFakeStoreClient(t, c.status, c.body).txn(txn); got.Outcome != c.want || got.RateLimited != c.flags.RateLimited || got.Oversized != c.flags.Oversized {
			t.Errorf("%s: got %+v, want outcome %d with the flags of %+v", name, got, c.want, c.flags)
		}
	}
}

func TestRefusedConnectionMeansNotApplied(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	if got := newClient(addr, unreachedTimeout).txn(protocol.Txn{}); got.Outcome != core.OutcomeRefused {
		t.Errorf("got outcome %d, want Refused", got.Outcome)
	}
}

func TestGetReportsMissingOnlyOnNotFound(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
		want   core.Outcome
	}{
		"found":             {200, `{"k":"a","value":{},"lastTick":3}`, core.OutcomeApplied},
		"missing":           {404, `{"ledgerTick":9}`, core.OutcomeMissing},
		"unavailable":       {503, ``, core.OutcomeRefused},
		"connection closed": {0, ``, core.OutcomeRefused},
		"truncated body":    {200, `{"k":`, core.OutcomeRefused},
	} {
		if got := newFakeStoreClient(t, c.status, c.body).get("a"); got.Outcome != c.want {
			t.Errorf("%s: got outcome %d, want %d", name, got.Outcome, c.want)
		}
	}
}
