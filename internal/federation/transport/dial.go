//lint:file-ignore SA1019 net/http cannot yet speak HTTP/2 on a connection that was opened and verified before.

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

// errFilesChanged ends the streams of a generation after its files have changed.
var errFilesChanged = errors.New("configuration files changed")

// dialAll keeps a stream open to each peer of the current configuration.
func (l *Links) dialAll(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := l.dialPeers(ctx, l.generation()); err != nil {
			slog.Debug("streams to other sites restarted", "error", err)
		}
	}
	return ctx.Err()
}

// dialPeers keeps a stream open to each peer until the configuration files change.
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
			l.maintainStream(ctx, current, peer)
			return nil
		})
	}
	return group.Wait()
}

// maintainStream keeps one stream open to a peer. It tries the addresses of the peer's
// controllers in turn. The end of a stream that was open is always logged, a failure to open one
// only on the first attempt.
func (l *Links) maintainStream(ctx context.Context, current generation, peer federation.Peer) {
	failureLogged := false
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if len(peer.Addresses) > 0 {
			address := peer.Addresses[attempt%len(peer.Addresses)]
			opened, err := l.dial(ctx, current, peer.Site, address)
			if ctx.Err() == nil && (opened || !failureLogged) {
				slog.Info("stream to site failed", "site", peer.Site, "error", err)
			}
			failureLogged = true
		}
		select {
		case <-time.After(idleTimeout(current.cfg) / 4):
		case <-ctx.Done():
		}
	}
}

// dial opens a stream and writes to it until it ends. It reports whether the stream was opened,
// and returns the error that ended it.
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
		slog.Info("stream to site opened", "site", site, "address", address)
		l.emit(core.SiteConnected{Site: site})
	}
	onClose := func() {}
	err = l.writer(site).Run(transport, req, onOpen, onClose, func(responses io.Reader) { logRefusals(site, responses) })
	return opened, err
}

// logRefusals logs the reasons that a site returns for refused messages.
func logRefusals(site federation.Site, responses io.Reader) {
	lines := bufio.NewScanner(responses)
	for lines.Scan() {
		slog.Error("message refused by site", "site", site, "reason", lines.Text())
	}
}

// newTransport creates an HTTP/2 transport to one address of a site.
func newTransport(current generation, site federation.Site, address string) *http2.Transport {
	timeout := idleTimeout(current.cfg)
	return &http2.Transport{
		TLSClientConfig: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{current.secrets.certificate},
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

// bufferedConn is a connection that is read through a buffer.
type bufferedConn struct {
	net.Conn
	buffered *bufio.Reader
}

// Read implements net.Conn.
func (c bufferedConn) Read(p []byte) (int, error) { return c.buffered.Read(p) }

// handshake performs the TLS handshake and waits for the first byte from the server, which shows
// that the server has accepted the client certificate. In TLS 1.3 the client's handshake ends
// before that, and the reason for a refusal could be lost behind a write error.
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
