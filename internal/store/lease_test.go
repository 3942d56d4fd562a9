package store

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pepperlever/internal/core"
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
	go func() { ended <- New(cfg, "j/", func(c core.Command) { commands <- c }).keepLease(ctx) }()
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
