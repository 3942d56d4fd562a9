//lint:file-ignore SA1019 net/http cannot yet serve HTTP/2 on a single connection that was already accepted.

// Package peer carries messages between controllers over HTTP/2 streams: each controller
// opens one stream to every other controller and writes JSON lines to it.
package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/segmentio/encoding/json"
	"golang.org/x/net/http2"
	"golang.org/x/sync/errgroup"

	"pepperlever/internal/core"
	"pepperlever/internal/mustjson"
	"pepperlever/internal/settings"
	"pepperlever/internal/stream"
)

const (
	streamPath = "/stream"
	nodeHeader = "Pepperlever-Node"
	// queueLength limits the messages queued for a slow peer. When it is exceeded, the
	// stream is reopened, which makes the core send all its current reports again.
	queueLength  = 1024
	maxLineBytes = 1 << 20
)

// Peers maintains the streams to all other controllers.
type Peers struct {
	cfg     *settings.Settings
	emit    func(core.Command)
	streams map[string]*peerStream
}

// peerStream is the outgoing stream to one peer.
type peerStream struct {
	node, address string
	outgoing      *stream.Writer
}

// New returns Peers that pass received messages to emit.
func New(cfg *settings.Settings, emit func(core.Command)) *Peers {
	p := &Peers{cfg: cfg, emit: emit, streams: map[string]*peerStream{}}
	for _, peer := range cfg.Peers {
		p.streams[peer.Node] = &peerStream{node: peer.Node, address: peer.Address, outgoing: stream.NewWriter(queueLength)}
	}
	return p
}

// Send queues a message. If a peer's queue is full, the message is dropped and the stream to
// that peer is reopened.
func (p *Peers) Send(m core.SendPeer) {
	line := append(mustjson.Marshal(m.Message), '\n')
	for _, node := range m.Nodes {
		if s := p.streams[node]; s != nil {
			s.outgoing.Send(line)
		}
	}
}

// Run accepts streams from other controllers and keeps the streams to them open until ctx is
// done.
func (p *Peers) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp4", p.cfg.PeerListen)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.acceptConnections(ctx, ln) })
	for _, s := range p.streams {
		g.Go(func() error { return p.maintainStream(ctx, s) })
	}
	return g.Wait()
}

func (p *Peers) acceptConnections(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	server := &http2.Server{MaxConcurrentStreams: 4, ReadIdleTimeout: p.keepAliveInterval() * 2, PingTimeout: p.keepAliveInterval()}
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return ctx.Err()
		}
		if err != nil {
			time.Sleep(p.keepAliveInterval() / 10)
			continue
		}
		go server.ServeConn(conn, &http2.ServeConnOpts{Context: ctx, Handler: http.HandlerFunc(p.receiveMessages)})
	}
}

// receiveMessages reads the messages of one peer until its stream ends.
func (p *Peers) receiveMessages(w http.ResponseWriter, r *http.Request) {
	node := r.Header.Get(nodeHeader)
	if p.streams[node] == nil || r.URL.Path != streamPath {
		http.Error(w, "unknown node", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusOK)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	lines := bufio.NewScanner(r.Body)
	lines.Buffer(make([]byte, 16<<10), maxLineBytes)
	lines.Split(stream.ScanCompleteLines)
	for lines.Scan() {
		var m core.PeerMessage
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			slog.Error("malformed message from peer", "node", node, "error", err)
			return
		}
		p.emit(core.PeerMessageReceived{Node: node, Message: m})
	}
}

// keepAliveInterval returns the interval of keep-alive pings, from which the timeouts for
// connections and the pauses between attempts derive.
func (p *Peers) keepAliveInterval() time.Duration {
	return time.Duration(p.cfg.Params.Workers.ReportS * float64(time.Second) / 2)
}

// maintainStream reopens the stream to a peer whenever it breaks.
func (p *Peers) maintainStream(ctx context.Context, s *peerStream) error {
	for ctx.Err() == nil {
		err := p.runStream(ctx, s)
		slog.Debug("stream to peer ended", "node", s.node, "error", err)
		select {
		case <-time.After(p.keepAliveInterval() / 2):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// runStream opens one stream and writes to it until it breaks.
func (p *Peers) runStream(ctx context.Context, s *peerStream) error {
	transport := &http2.Transport{AllowHTTP: true, ReadIdleTimeout: p.keepAliveInterval(), PingTimeout: p.keepAliveInterval(),
		DialTLSContext: func(ctx context.Context, network, addr string, _ *tls.Config) (net.Conn, error) {
			d := net.Dialer{Timeout: p.keepAliveInterval()}
			return d.DialContext(ctx, "tcp4", addr)
		}}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+streamPath, nil)
	if err != nil {
		return err
	}
	req.Header.Set(nodeHeader, p.cfg.Node)
	return s.outgoing.Run(transport, req, func() { p.emit(core.PeerConnected{Node: s.node}) }, func() { p.emit(core.PeerDisconnected{Node: s.node}) }, nil)
}
