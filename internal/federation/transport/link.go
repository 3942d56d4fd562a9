//lint:file-ignore SA1019 net/http has no way yet to serve HTTP/2 on one connection that was accepted and checked before.

// Package transport carries messages between the gateways of sites: HTTP/2 streams
// over mutual TLS, a JSON line a message. Each site opens streams to the others for
// what it sends; the answers hold what was refused, and why.
package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/sync/errgroup"

	"pepperlever/internal/core"
	"pepperlever/internal/federation"
	"pepperlever/internal/stream"
)

const (
	streamPath  = "/gateway"
	queueLength = 4096
	// maxLineBytes bounds a message: a ticket with the longest description, or a list of
	// all jobs that may be away.
	maxLine = 512 << 10
	// watchEvery is how often the files are looked at.
	watchEvery = 2 * time.Second
)

// Links holds the streams to and from all other sites.
type Links struct {
	path string
	emit func(core.Command)
	// Refused counts the lines and streams of others that were not taken.
	Refused atomic.Int64

	mu      sync.Mutex
	cfg     *federation.Config
	secrets *secrets
	outs    map[federation.Site]*stream.Writer
	// changed is closed when files have changed: streams begin anew.
	changed chan struct{}
}

// New reads a gateway's file and all that it names, and makes Links that pass
// messages to emit.
func New(path string, emit func(core.Command)) (*Links, *federation.Config, error) {
	cfg, err := federation.Load(path)
	if err != nil {
		return nil, nil, err
	}
	s, err := loadSecrets(cfg)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	l := &Links{path: path, emit: emit, cfg: cfg, secrets: s, outs: map[federation.Site]*stream.Writer{}, changed: make(chan struct{})}
	for _, p := range cfg.Peers {
		l.outs[p.Site] = stream.NewWriter(queueLength)
	}
	return l, cfg, nil
}

// Send queues a message; what finds no stream is dropped, and sent again later.
func (l *Links) Send(m federation.Message) {
	l.mu.Lock()
	out, s := l.outs[m.To], l.secrets
	l.mu.Unlock()
	if out == nil {
		return
	}
	if m.Ticket != nil {
		signed, err := s.tickets.Sign(*m.Ticket)
		if err != nil {
			slog.Error("ticket can't be signed", "job", m.Ticket.JobID, "error", err)
			return
		}
		m.Ticket = &signed
	}
	line, err := json.Marshal(m)
	if err != nil {
		slog.Error("message can't be written", "to", m.To, "error", err)
		return
	}
	out.Send(append(line, '\n'))
}

// now is what holds at the moment.
func (l *Links) now() (*federation.Config, *secrets, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cfg, l.secrets, l.changed
}

// Run listens, keeps the streams open and follows the files until ctx ends.
func (l *Links) Run(ctx context.Context) error {
	cfg, _, _ := l.now()
	ln, err := net.Listen("tcp4", cfg.Listen)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.serve(ctx, ln) })
	g.Go(func() error { return l.dialAll(ctx) })
	g.Go(func() error { return l.watch(ctx) })
	return g.Wait()
}

// watch takes files that have changed. What can't be used is told once, and the
// earlier files stay in force.
func (l *Links) watch(ctx context.Context) error {
	cfg, _, _ := l.now()
	last := stamp(cfg, l.path)
	t := time.NewTicker(watchEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if now := stamp(cfg, l.path); now != last {
			last = now
			if err := l.reload(); err != nil {
				slog.Error("gateway's files have changed and can't be used, the earlier ones stay in force", "error", err)
			}
			cfg, _, _ = l.now()
		}
	}
}

func (l *Links) reload() error {
	cfg, err := federation.Load(l.path)
	if err != nil {
		return err
	}
	s, err := loadSecrets(cfg)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.cfg, l.secrets = cfg, s
	for _, p := range cfg.Peers {
		if l.outs[p.Site] == nil {
			l.outs[p.Site] = stream.NewWriter(queueLength)
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	slog.Info("gateway's files are read again")
	l.emit(core.SiteConfig{Config: cfg})
	return nil
}

// dialAll keeps a stream to each peer of the file that is in force.
func (l *Links) dialAll(ctx context.Context) error {
	for ctx.Err() == nil {
		cfg, s, changed := l.now()
		g, round := errgroup.WithContext(ctx)
		g.Go(func() error {
			select {
			case <-changed:
				return errors.New("files have changed")
			case <-round.Done():
				return nil
			}
		})
		for _, p := range cfg.Peers {
			g.Go(func() error { l.keep(round, cfg, s, p); return nil })
		}
		if err := g.Wait(); err != nil {
			slog.Debug("streams to other sites begin anew", "error", err)
		}
	}
	return ctx.Err()
}

// keep opens a stream to one of a peer's controllers after the other.
func (l *Links) keep(ctx context.Context, cfg *federation.Config, s *secrets, p federation.Peer) {
	told := false
	for i := 0; ctx.Err() == nil; i++ {
		if len(p.Addresses) > 0 {
			opened, err := l.dial(ctx, cfg, s, p.Site, p.Addresses[i%len(p.Addresses)])
			if ctx.Err() == nil && (opened || !told) {
				slog.Info("no stream to site", "site", p.Site, "error", err)
			}
			told = true
		}
		select {
		case <-time.After(period(cfg) / 4):
		case <-ctx.Done():
		}
	}
}

// period is for how long nothing is heard before a stream is looked into.
func period(cfg *federation.Config) time.Duration {
	return time.Duration(cfg.RetryS * float64(time.Second))
}

// dial opens a stream and writes to it until it breaks; opened tells that it was open
// for a while, err why it no longer is.
func (l *Links) dial(ctx context.Context, cfg *federation.Config, s *secrets, site federation.Site, address string) (opened bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conf := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{s.own}, RootCAs: s.authority,
		ServerName: string(site), NextProtos: []string{http2.NextProtoTLS}}
	t := &http2.Transport{TLSClientConfig: conf, ReadIdleTimeout: period(cfg), PingTimeout: period(cfg),
		DialTLSContext: func(ctx context.Context, _, _ string, conf *tls.Config) (net.Conn, error) {
			raw, err := (&net.Dialer{Timeout: period(cfg)}).DialContext(ctx, "tcp4", address)
			if err != nil {
				return nil, err
			}
			return greet(raw, conf, period(cfg))
		}}
	defer t.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+string(site)+streamPath, nil)
	if err != nil {
		return false, err
	}
	l.mu.Lock()
	out := l.outs[site]
	l.mu.Unlock()
	err = out.Run(t, req,
		func() {
			opened = true
			slog.Info("stream to site is open", "site", site, "address", address)
			l.emit(core.SiteConnected{Site: site})
		}, func() {},
		func(back io.Reader) {
			lines := bufio.NewScanner(back)
			for lines.Scan() {
				slog.Error("site has refused a message", "site", site, "why", lines.Text())
			}
		})
	return opened, err
}

// greeted is a connection whose first bytes have been looked at.
type greeted struct {
	net.Conn
	buffered *bufio.Reader
}

func (g greeted) Read(p []byte) (int, error) { return g.buffered.Read(p) }

// greet proves who this site is, and waits for the first word of the other one: only
// that shows that it takes the certificate. Without it the reason of a refusal was
// often lost behind an error of writing.
func greet(raw net.Conn, conf *tls.Config, patience time.Duration) (net.Conn, error) {
	conn := tls.Client(raw, conf)
	g := greeted{conn, bufio.NewReader(conn)}
	err := raw.SetDeadline(time.Now().Add(patience))
	if err == nil {
		err = conn.Handshake()
	}
	if err == nil {
		_, err = g.buffered.Peek(1)
	}
	if err != nil {
		raw.Close()
		return nil, err
	}
	return g, raw.SetDeadline(time.Time{})
}

func (l *Links) serve(ctx context.Context, ln net.Listener) error {
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return ctx.Err()
		}
		if err != nil {
			time.Sleep(watchEvery / 10)
			continue
		}
		go l.accept(ctx, conn)
	}
}

// accept serves one connection of a site that proves who it is.
func (l *Links) accept(ctx context.Context, raw net.Conn) {
	cfg, s, changed := l.now()
	conn := tls.Server(raw, &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{s.own},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: s.authority, NextProtos: []string{http2.NextProtoTLS}})
	defer conn.Close()
	greet, cancel := context.WithTimeout(ctx, period(cfg))
	defer cancel()
	if err := conn.HandshakeContext(greet); err != nil {
		l.Refused.Add(1)
		slog.Error("connection is refused", "from", raw.RemoteAddr().String(), "why", err)
		return
	}
	done := make(chan struct{})
	defer close(done)
	go func() { // old certificates do not outlive a change
		select {
		case <-changed:
			conn.Close()
		case <-done:
		}
	}()
	server := &http2.Server{MaxConcurrentStreams: 4, ReadIdleTimeout: period(cfg) * 2, PingTimeout: period(cfg)}
	server.ServeConn(conn, &http2.ServeConnOpts{Context: ctx, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) { l.receive(w, r, cfg, s) })})
}

// sender is the peer that a certificate names.
func sender(cert *x509.Certificate, cfg *federation.Config) (federation.Site, error) {
	for _, p := range cfg.Peers {
		if slices.Contains(cert.DNSNames, string(p.Site)) {
			return p.Site, nil
		}
	}
	return "", fmt.Errorf("site %v is no peer of %s", cert.DNSNames, cfg.Site)
}

// receive reads one site's messages for as long as its stream lasts. A line that is
// not taken is answered with the reason; the others go on.
func (l *Links) receive(w http.ResponseWriter, r *http.Request, cfg *federation.Config, s *secrets) {
	from, err := sender(r.TLS.PeerCertificates[0], cfg)
	if err != nil || r.URL.Path != streamPath {
		l.Refused.Add(1)
		slog.Error("stream is refused", "why", err)
		http.Error(w, fmt.Sprint(err), http.StatusForbidden)
		return
	}
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	if err := flush.Flush(); err != nil {
		return
	}
	lines := bufio.NewReaderSize(r.Body, maxLine)
	for {
		line, err := readLine(lines)
		var m federation.Message
		switch {
		case errors.Is(err, errTooLong):
		case err != nil:
			return
		default:
			m, err = take(line, from, cfg, s)
		}
		if err == nil {
			l.emit(core.SiteMessageReceived{Message: m})
			continue
		}
		l.Refused.Add(1)
		slog.Error("message of a site is refused", "site", from, "why", err)
		fmt.Fprintln(w, err)
		if flush.Flush() != nil {
			return
		}
	}
}

var errTooLong = fmt.Errorf("message is longer than %d bytes", maxLine)

// readLine reads a line; one that is too long is read past.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	long := false
	for errors.Is(err, bufio.ErrBufferFull) {
		long = true
		_, err = r.ReadSlice('\n')
	}
	if err == nil && long {
		err = errTooLong
	}
	return line, err
}

// take checks a message of a site.
func take(line []byte, from federation.Site, cfg *federation.Config, s *secrets) (federation.Message, error) {
	var m federation.Message
	if err := json.Unmarshal(line, &m); err != nil {
		return m, fmt.Errorf("message is not understood: %w", err)
	}
	switch {
	case m.From != from:
		return m, fmt.Errorf("message says that it is from %q, the certificate says %q", m.From, from)
	case m.To != cfg.Site:
		return m, fmt.Errorf("message is for %q, this is %q", m.To, cfg.Site)
	case m.Ticket == nil:
		return m, nil
	case m.Ticket.Origin != from || m.Ticket.To != cfg.Site || m.Ticket.Epoch != m.Epoch:
		return m, fmt.Errorf("ticket is for another hand-off: %s to %s, epoch %d", m.Ticket.Origin, m.Ticket.To, m.Ticket.Epoch)
	}
	return m, s.tickets.Verify(*m.Ticket)
}
