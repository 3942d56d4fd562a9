// Package transport carries messages between the federation coordinators of different sites, as
// JSON lines in HTTP/2 streams over mutual TLS. Each site opens the streams that it sends on.
// The response body of a stream reports the messages that the receiver refused, and why.
package transport

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"pepperlever/internal/core"
	"pepperlever/internal/federation"
	"pepperlever/internal/stream"
)

const (
	streamPath  = "/gateway"
	queueLength = 4096
)

// Links maintains the streams to and from all peers.
type Links struct {
	// path is the path of the configuration file.
	path string
	emit func(core.Command)
	// Refused counts the connections, streams and messages from other sites that were refused.
	Refused atomic.Int64

	mu      sync.Mutex
	current generation
	writers map[federation.Site]*stream.Writer
}

// generation is a version of the configuration and of the secrets that it names.
type generation struct {
	cfg     *federation.Config
	secrets *secrets
	// changed is closed when a newer generation replaces this one; all streams are then
	// reopened.
	changed chan struct{}
}

// New loads a configuration file and the files that it names, and creates Links that pass
// received messages to emit.
func New(path string, emit func(core.Command)) (*Links, *federation.Config, error) {
	cfg, err := federation.Load(path)
	if err != nil {
		return nil, nil, err
	}
	secrets, err := loadSecrets(cfg)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	l := &Links{
		path:    path,
		emit:    emit,
		current: generation{cfg: cfg, secrets: secrets, changed: make(chan struct{})},
		writers: map[federation.Site]*stream.Writer{},
	}
	l.addWriters(cfg)
	return l, cfg, nil
}

// addWriters creates writers for the peers that have none.
func (l *Links) addWriters(cfg *federation.Config) {
	for _, peer := range cfg.Peers {
		if l.writers[peer.Site] == nil {
			l.writers[peer.Site] = stream.NewWriter(queueLength)
		}
	}
}

// generation returns the current generation.
func (l *Links) generation() generation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// writer returns the writer to a site, or nil if the site is unknown.
func (l *Links) writer(site federation.Site) *stream.Writer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writers[site]
}

// Send queues a message. Messages queued before a stream opens are dropped; the coordinator sends
// them again.
func (l *Links) Send(m federation.Message) {
	l.mu.Lock()
	writer, secrets := l.writers[m.To], l.current.secrets
	l.mu.Unlock()
	if writer == nil {
		return
	}
	if m.Ticket != nil {
		signed, err := secrets.tickets.Sign(*m.Ticket)
		if err != nil {
			slog.Error("failed to sign ticket", "job", m.Ticket.JobID, "error", err)
			return
		}
		m.Ticket = &signed
	}
	line, err := json.Marshal(m)
	if err != nil {
		slog.Error("failed to encode message", "to", m.To, "error", err)
		return
	}
	writer.Send(append(line, '\n'))
}

// Run listens for streams, keeps outgoing streams open and reloads changed files until ctx is
// done.
func (l *Links) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp4", l.generation().cfg.Listen)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.serve(ctx, listener) })
	group.Go(func() error { return l.dialAll(ctx) })
	group.Go(func() error { return l.watch(ctx) })
	return group.Wait()
}

// idleTimeout is how long an outgoing connection may be idle before it is checked with a ping. It
// also limits handshakes and the wait for the reply to a ping.
func idleTimeout(cfg *federation.Config) time.Duration {
	return time.Duration(cfg.RetryS * float64(time.Second))
}
