//lint:file-ignore SA1019 net/http has no way yet to serve HTTP/2 on one connection that was accepted and checked before.

// Package peer carries messages between controllers over HTTP/2 streams: each
// controller opens one stream to each other and writes JSON lines into it.
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
	// queueLength bounds what waits for a slow peer; past it the stream is
	// opened anew, which makes the core tell everything again.
	queueLength  = 1024
	maxLineBytes = 1 << 20
)

// Peers holds the streams to all other controllers.
type Peers struct {
	cfg     *settings.Settings
	emit    func(core.Command)
	streams map[string]*peerStream
}

type peerStream struct {
	node, address string
	outgoing      *stream.Writer
}

// New makes Peers that pass messages to emit.
func New(cfg *settings.Settings, emit func(core.Command)) *Peers {
	p := &Peers{cfg: cfg, emit: emit, streams: map[string]*peerStream{}}
	for _, o := range cfg.Peers {
		p.streams[o.Node] = &peerStream{node: o.Node, address: o.Address, outgoing: stream.NewWriter(queueLength)}
	}
	return p
}

// Send queues a message; what does not fit is dropped with the whole stream.
func (p *Peers) Send(m core.SendPeer) {
	line := append(mustjson.Marshal(m.Message), '\n')
	for _, node := range m.Nodes {
		if l := p.streams[node]; l != nil {
			l.outgoing.Send(line)
		}
	}
}

// Run listens and keeps the streams open until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp4", p.cfg.PeerListen)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.serve(ctx, ln) })
	for _, l := range p.streams {
		g.Go(func() error { return p.maintain(ctx, l) })
	}
	return g.Wait()
}

func (p *Peers) serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	server := &http2.Server{MaxConcurrentStreams: 4, ReadIdleTimeout: p.period() * 2, PingTimeout: p.period()}
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return ctx.Err()
		}
		if err != nil {
			time.Sleep(p.period() / 10)
			continue
		}
		go server.ServeConn(conn, &http2.ServeConnOpts{Context: ctx, Handler: http.HandlerFunc(p.receive)})
	}
}

// receive reads one peer's messages for as long as its stream lasts.
func (p *Peers) receive(w http.ResponseWriter, r *http.Request) {
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
	lines.Split(stream.WholeLines)
	for lines.Scan() {
		var m core.PeerMessage
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			slog.Error("message of a peer is not understood", "node", node, "error", err)
			return
		}
		p.emit(core.PeerMessageReceived{Node: node, Message: m})
	}
}

// period is the interval of keep-alives and of attempts to connect.
func (p *Peers) period() time.Duration {
	return time.Duration(p.cfg.Params.Workers.ReportS * float64(time.Second) / 2)
}

func (p *Peers) maintain(ctx context.Context, l *peerStream) error {
	for ctx.Err() == nil {
		err := p.runStream(ctx, l)
		slog.Debug("no stream to peer", "node", l.node, "error", err)
		select {
		case <-time.After(p.period() / 2):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// runStream opens one stream and writes to it until it breaks.
func (p *Peers) runStream(ctx context.Context, l *peerStream) error {
	transport := &http2.Transport{AllowHTTP: true, ReadIdleTimeout: p.period(), PingTimeout: p.period(),
		DialTLSContext: func(ctx context.Context, network, addr string, _ *tls.Config) (net.Conn, error) {
			d := net.Dialer{Timeout: p.period()}
			return d.DialContext(ctx, "tcp4", addr)
		}}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.address+streamPath, nil)
	if err != nil {
		return err
	}
	req.Header.Set(nodeHeader, p.cfg.Node)
	return l.outgoing.Run(transport, req, func() { p.emit(core.PeerConnected{Node: l.node}) }, func() { p.emit(core.PeerDisconnected{Node: l.node}) }, nil)
}
