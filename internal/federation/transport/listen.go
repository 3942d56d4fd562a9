//lint:file-ignore SA1019 net/http cannot yet serve HTTP/2 on a connection that was accepted and verified before.

package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"golang.org/x/net/http2"

	"pepperlever/internal/core"
	"pepperlever/internal/federation"
	"pepperlever/internal/networkerror"
)

const (
	// acceptRetryDelay is the delay before the next attempt after accepting a connection has
	// failed.
	acceptRetryDelay = 200 * time.Millisecond
	// maxStreams limits the concurrent streams per connection.
	maxStreams = 4
)

// notPeerError reports a certificate that does not name a peer.
type notPeerError struct {
	names []string
	site  federation.Site
}

// Error returns a message with the names in the certificate and the name of this site.
func (e notPeerError) Error() string {
	return fmt.Sprintf("site %v is not a peer of %s", e.names, e.site)
}

// serve accepts connections until ctx is done.
func (l *Links) serve(ctx context.Context, listener net.Listener) error {
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return ctx.Err()
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		go l.accept(ctx, conn)
	}
}

// accept serves one connection after verifying the client's certificate.
func (l *Links) accept(ctx context.Context, raw net.Conn) {
	current := l.generation()
	timeout := idleTimeout(current.cfg)
	conn := tls.Server(raw, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.secrets.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    current.secrets.authority,
		NextProtos:   []string{http2.NextProtoTLS},
	})
	defer conn.Close()
	handshakeCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := conn.HandshakeContext(handshakeCtx); err != nil {
		l.handleFailedHandshake(raw.RemoteAddr(), err)
		return
	}
	done := make(chan struct{})
	defer close(done)
	go func() { // closes connections that use replaced certificates
		select {
		case <-current.changed:
			conn.Close()
		case <-done:
		}
	}()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.receive(w, r, current) })
	server := &http2.Server{MaxConcurrentStreams: maxStreams, ReadIdleTimeout: 2 * timeout, PingTimeout: timeout}
	server.ServeConn(conn, &http2.ServeConnOpts{Context: ctx, Handler: handler})
}

// handleFailedHandshake logs and counts a connection that was refused. One whose handshake was late or cut
// off was not: the network may be the cause.
func (l *Links) handleFailedHandshake(from net.Addr, err error) {
	if networkerror.IsTimeout(err) || networkerror.IsCut(err) {
		slog.Info("connection ended before its handshake", "from", from.String(), "error", err)
		return
	}
	l.Refused.Add(1)
	slog.Error("connection refused", "from", from.String(), "error", err)
}

// peerFromCertificate returns the peer that a certificate names.
func peerFromCertificate(cert *x509.Certificate, cfg *federation.Config) (federation.Site, error) {
	for _, peer := range cfg.Peers {
		if slices.Contains(cert.DNSNames, string(peer.Site)) {
			return peer.Site, nil
		}
	}
	return "", notPeerError{cert.DNSNames, cfg.Site}
}

// receive reads the messages in a stream from a peer until the stream ends.
func (l *Links) receive(w http.ResponseWriter, r *http.Request, current generation) {
	from, err := peerFromCertificate(r.TLS.PeerCertificates[0], current.cfg)
	if err != nil || r.URL.Path != streamPath {
		l.Refused.Add(1)
		slog.Error("stream refused", "error", err)
		http.Error(w, fmt.Sprint(err), http.StatusForbidden)
		return
	}
	w.WriteHeader(http.StatusOK)
	responseController := http.NewResponseController(w)
	if err := responseController.Flush(); err != nil {
		return
	}
	lines := bufio.NewReaderSize(r.Body, maxLineBytes)
	for {
		line, err := readLine(lines)
		if err != nil && !errors.Is(err, errLineTooLong) {
			return
		}
		if err == nil {
			err = l.receiveLine(line, from, current)
		}
		if err != nil && l.refuse(w, responseController, from, err) != nil {
			return
		}
	}
}

// receiveLine parses one message and passes it to emit.
func (l *Links) receiveLine(line []byte, from federation.Site, current generation) error {
	message, err := parseMessage(line, from, current)
	if err != nil {
		return err
	}
	l.emit(core.SiteMessageReceived{Message: message})
	return nil
}

// refuse reports a refused message and the reason to the sender. The stream stays open for other
// messages.
func (l *Links) refuse(w http.ResponseWriter, responseController *http.ResponseController, from federation.Site, reason error) error {
	l.Refused.Add(1)
	slog.Error("message from site refused", "site", from, "error", reason)
	fmt.Fprintln(w, reason)
	return responseController.Flush()
}
