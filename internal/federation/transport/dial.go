//lint:file-ignore SA1019 net/http has no way yet to speak HTTP/2 on one connection that was opened and checked before.

package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/sync/errgroup"

	"pepperlever/internal/core"
	"pepperlever/internal/federation"
)

// errFilesChanged ends the streams of a generation.
var errFilesChanged = errors.New("files have changed")

// dialAll keeps a stream to each peer of the file that is in force.
func (l *Links) dialAll(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := l.dialPeers(ctx, l.generation()); err != nil {
			slog.Debug("streams to other sites restarted", "error", err)
		}
	}
	return ctx.Err()
}

// dialPeers keeps a stream to each peer until the files change.
func (l *Links) dialPeers(ctx context.Context, current generation) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		select {
		case <-current.changed:
			return errFilesChanged
		case <-ctx.Done():
			return nil
		}
	})
	for _, peer := range current.cfg.Peers {
		group.Go(func() error {
			l.keepOpen(ctx, current, peer)
			return nil
		})
	}
	return group.Wait()
}

// keepOpen opens a stream to one of a peer's controllers after the other. A stream that was not
// open is logged once.
func (l *Links) keepOpen(ctx context.Context, current generation, peer federation.Peer) {
	logged := false
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if len(peer.Addresses) > 0 {
			address := peer.Addresses[attempt%len(peer.Addresses)]
			opened, err := l.dial(ctx, current, peer.Site, address)
			if ctx.Err() == nil && (opened || !logged) {
				slog.Info("no stream to site", "site", peer.Site, "error", err)
			}
			logged = true
		}
		select {
		case <-time.After(idleTimeout(current.cfg) / 4):
		case <-ctx.Done():
		}
	}
}

// dial opens a stream and writes to it until it breaks; opened tells that it was open
// for a while, err why it no longer is.
func (l *Links) dial(ctx context.Context, current generation, site federation.Site, address string) (opened bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	transport := newTransport(current, site, address)
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+string(site)+streamPath, nil)
	if err != nil {
		return false, err
	}
	onOpen := func() {
		opened = true
		slog.Info("stream to site is open", "site", site, "address", address)
		l.emit(core.SiteConnected{Site: site})
	}
	onClose := func() {}
	err = l.writer(site).Run(transport, req, onOpen, onClose, func(answers io.Reader) { logRefusals(site, answers) })
	return opened, err
}

// logRefusals logs the lines by which a site refuses messages.
func logRefusals(site federation.Site, answers io.Reader) {
	lines := bufio.NewScanner(answers)
	for lines.Scan() {
		slog.Error("message refused by site", "site", site, "reason", lines.Text())
	}
}

// newTransport makes a transport to one address of a site.
func newTransport(current generation, site federation.Site, address string) *http2.Transport {
	timeout := idleTimeout(current.cfg)
	return &http2.Transport{
		TLSClientConfig: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{current.secrets.own},
			RootCAs:      current.secrets.authority,
			ServerName:   string(site),
			NextProtos:   []string{http2.NextProtoTLS},
		},
		ReadIdleTimeout: timeout,
		PingTimeout:     timeout,
		DialTLSContext: func(ctx context.Context, _, _ string, conf *tls.Config) (net.Conn, error) {
			raw, err := (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp4", address)
			if err != nil {
				return nil, err
			}
			return handshake(raw, conf, timeout)
		},
	}
}

// bufferedConn is a connection whose first bytes have been read ahead.
type bufferedConn struct {
	net.Conn
	buffered *bufio.Reader
}

// Read implements net.Conn.
func (c bufferedConn) Read(p []byte) (int, error) { return c.buffered.Read(p) }

// handshake proves who this site is, and waits for the first byte of the other one: only
// that shows that it accepts the certificate. Otherwise the reason of a refusal could be
// lost behind an error of writing.
func handshake(raw net.Conn, conf *tls.Config, timeout time.Duration) (net.Conn, error) {
	conn := tls.Client(raw, conf)
	buffered := bufferedConn{conn, bufio.NewReader(conn)}
	err := raw.SetDeadline(time.Now().Add(timeout))
	if err == nil {
		err = conn.Handshake()
	}
	if err == nil {
		_, err = buffered.buffered.Peek(1)
	}
	if err != nil {
		raw.Close()
		return nil, err
	}
	return buffered, raw.SetDeadline(time.Time{})
}
