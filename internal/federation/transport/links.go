// Package transport carries messages between the federations of sites: HTTP/2 streams
// over mutual TLS, a JSON line a message. Each site opens streams to the others for
// what it sends; the answers hold what was refused, and why.
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

// Links holds the streams to and from all other sites.
type Links struct {
	// path is that of the configuration file.
	path string
	emit func(core.Command)
	// Refused counts the lines and streams of others that were not accepted.
	Refused atomic.Int64

	mu      sync.Mutex
	current generation
	writers map[federation.Site]*stream.Writer
}

// generation is what holds until a file changes.
type generation struct {
	cfg     *federation.Config
	secrets *secrets
	// changed is closed when files have changed: streams are opened anew.
	changed chan struct{}
}

// New reads a configuration file and all that it names, and makes Links that pass
// messages to emit.
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

// addWriters makes writers for peers that have none.
func (l *Links) addWriters(cfg *federation.Config) {
	for _, peer := range cfg.Peers {
		if l.writers[peer.Site] == nil {
			l.writers[peer.Site] = stream.NewWriter(queueLength)
		}
	}
}

// generation is what holds at the moment.
func (l *Links) generation() generation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// writer is the writer to a site, or nil.
func (l *Links) writer(site federation.Site) *stream.Writer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writers[site]
}

// Send queues a message; what finds no stream is dropped, and sent again later.
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
			slog.Error("ticket not signed", "job", m.Ticket.JobID, "error", err)
			return
		}
		m.Ticket = &signed
	}
	line, err := json.Marshal(m)
	if err != nil {
		slog.Error("message not encoded", "to", m.To, "error", err)
		return
	}
	writer.Send(append(line, '\n'))
}

// Run listens, keeps the streams open and follows the files until ctx ends.
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

// idleTimeout is for how long nothing is heard before a stream is checked.
func idleTimeout(cfg *federation.Config) time.Duration {
	return time.Duration(cfg.RetryS * float64(time.Second))
}
