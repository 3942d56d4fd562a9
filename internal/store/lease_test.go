package store

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pepperlever/internal/core"
	"pepperlever/internal/progress"
	"pepperlever/internal/settings"
)

// An unanswered renewal must not delay the next one, or the lease would expire while the
// store is slow. An answer that the lease has expired takes effect immediately.
func TestRenewalsDoNotWaitForEachOther(t *testing.T) {
	renewals, release := make(chan struct{}, 64), make(chan struct{})
	expired := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/renew") {
			if _, err := w.Write([]byte(`{"hold":7}`)); err != nil {
				t.Error(err)
			}
			return
		}
		renewals <- struct{}{}
		select {
		case <-expired:
			w.WriteHeader(http.StatusNotFound)
		case <-release:
		}
	}))
	cfg := &settings.Settings{}
	cfg.Services.State = s.Listener.Addr().String()
	cfg.Params.Workers.ReportS, cfg.Params.Workers.LeaseS = 90, 0.2
	cfg.Params.State.RPS, cfg.Params.State.WriteRPS = 1000, 1000
	commands := make(chan core.Command, 64)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- New(cfg, "j/", newFakeCore(t).finished, func(c core.Command) { commands <- c }).keepLease(ctx)
	}()
	if _, granted := (<-commands).(core.LeaseGranted); !granted {
		t.Fatal("no lease was granted")
	}
	for range 3 {
		<-renewals // although no earlier one is answered
	}
	close(expired)
	if c := <-commands; c != (core.LeaseExpired{}) {
		t.Errorf("got %T %v after the lease expired, want core.LeaseExpired", c, c)
	}
	cancel()
	close(release)
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	s.Close()
}

// fakeCore stands in for a core that makes progress unless it hangs.
type fakeCore struct {
	finished *progress.Counter
	hangs    atomic.Bool
}

// newFakeCore returns a core that makes progress until the test ends.
func newFakeCore(t *testing.T) *fakeCore {
	c := &fakeCore{finished: &progress.Counter{}}
	go func() {
		for t.Context().Err() == nil {
			if !c.hangs.Load() {
				c.finished.Advance()
			}
			time.Sleep(time.Millisecond)
		}
	}()
	return c
}

// Guards against a leader that hangs and keeps its lease, so that no other controller takes over. Once
// its core goes on, it learns from its next renewal that the lease has expired.
func TestLeaseIsRenewedOnlyWhileCoreMakesProgress(t *testing.T) {
	renewals := make(chan struct{}, 1024)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/renew") {
			renewals <- struct{}{}
		}
		if _, err := w.Write([]byte(`{"hold":7}`)); err != nil {
			t.Error(err)
		}
	}))
	defer s.Close()
	cfg := &settings.Settings{}
	cfg.Services.State = s.Listener.Addr().String()
	cfg.Params.Workers.ReportS, cfg.Params.Workers.LeaseS = 90, 0.8
	cfg.Params.State.RPS, cfg.Params.State.WriteRPS = 1000, 1000
	fake := newFakeCore(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- New(cfg, "j/", fake.finished, func(core.Command) {}).keepLease(ctx) }()
	for range 2 {
		<-renewals
	}

	fake.hangs.Store(true)
	time.Sleep(cfg.ControllerLease()) // a renewal that was under way
	for len(renewals) > 0 {
		<-renewals
	}
	time.Sleep(5 * cfg.ControllerLease())
	if n := len(renewals); n > 0 {
		t.Errorf("got %d renewals of the lease of a core that hangs, want none", n)
	}
	fake.hangs.Store(false)
	<-renewals
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}
