// Package peer carries messages between controllers over HTTP/2 streams: each
// controller opens one stream to each other and writes JSON lines into it.
package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/segmentio/encoding/json"
	"golang.org/x/net/http2"
	"golang.org/x/sync/errgroup"

	"pepperlever/internal/core"
	"pepperlever/internal/settings"
)

const (
	streamPath = "/stream"
	nodeHeader = "Pepperlever-Node"
	// queueLength bounds what waits for a slow peer; past it the stream is
	// opened anew, which makes the core tell everything again.
	queueLength = 1024
	maxLine     = 1 << 20
)

// Peers holds the streams to all other controllers.
type Peers struct {
	cfg   *settings.Settings
	emit  func(core.Command)
	links map[string]*link
}

type link struct {
	node, address string
	queue         chan []byte
	overflow      chan struct{}
}

// New makes Peers that pass messages to emit.
func New(cfg *settings.Settings, emit func(core.Command)) *Peers {
	p := &Peers{cfg: cfg, emit: emit, links: map[string]*link{}}
	for _, o := range cfg.Peers {
		p.links[o.Node] = &link{node: o.Node, address: o.Address,
			queue: make(chan []byte, queueLength), overflow: make(chan struct{}, 1)}
	}
	return p
}

// Send queues a message; what does not fit is dropped with the whole stream.
func (p *Peers) Send(m core.SendPeer) {
	line, err := json.Marshal(m.Msg)
	if err != nil {
		panic(err) // messages are plain data
	}
	line = append(line, '\n')
	for _, node := range m.Nodes {
		if l := p.links[node]; l != nil {
			l.send(line)
		}
	}
}

func (l *link) send(line []byte) {
	select {
	case l.queue <- line:
	default:
		select {
		case l.overflow <- struct{}{}:
		default:
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
	for _, l := range p.links {
		g.Go(func() error { return p.keep(ctx, l) })
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
	if p.links[node] == nil || r.URL.Path != streamPath {
		http.Error(w, "unknown node", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusOK)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	lines := bufio.NewScanner(r.Body)
	lines.Buffer(make([]byte, 16<<10), maxLine)
	lines.Split(wholeLines)
	for lines.Scan() {
		var m core.PeerMsg
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			slog.Error("message of a peer is not understood", "node", node, "error", err)
			return
		}
		p.emit(core.PeerIn{Node: node, Msg: m})
	}
}

// period is the interval of keep-alives and of attempts to connect.
func (p *Peers) period() time.Duration {
	return time.Duration(p.cfg.Params.Workers.ReportS * float64(time.Second) / 2)
}

func (p *Peers) keep(ctx context.Context, l *link) error {
	for ctx.Err() == nil {
		err := p.stream(ctx, l)
		slog.Debug("no stream to peer", "node", l.node, "error", err)
		select {
		case <-time.After(p.period() / 2):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// stream opens one stream and writes to it until it breaks.
func (p *Peers) stream(ctx context.Context, l *link) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	transport := &http2.Transport{AllowHTTP: true, ReadIdleTimeout: p.period(), PingTimeout: p.period(),
		DialTLSContext: func(ctx context.Context, network, addr string, _ *tls.Config) (net.Conn, error) {
			d := net.Dialer{Timeout: p.period()}
			return d.DialContext(ctx, "tcp4", addr)
		}}
	defer transport.CloseIdleConnections()
	body, out := io.Pipe()
	defer out.Close()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.address+streamPath, body)
	if err != nil {
		return err
	}
	req.Header.Set(nodeHeader, p.cfg.Node)
	res, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.New(res.Status)
	}
	closed := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, res.Body)
		closed <- errors.Join(errors.New("stream ended"), err)
		out.Close()
	}()
	l.drain()
	p.emit(core.PeerUp{Node: l.node})
	defer p.emit(core.PeerDown{Node: l.node})
	return l.write(ctx, out, closed)
}

// drain drops what was queued for an earlier stream.
func (l *link) drain() {
	for {
		select {
		case <-l.queue:
		case <-l.overflow:
		default:
			return
		}
	}
}

// wholeLines splits at line ends. What is left when a peer ends in the middle of
// a line is no message.
func wholeLines(data []byte, _ bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i], nil
	}
	return 0, nil, nil
}

// write sends queued messages, as many as there are in one piece.
func (l *link) write(ctx context.Context, out io.Writer, closed <-chan error) error {
	var buf []byte
	for {
		select {
		case m := <-l.queue:
			buf = append(buf[:0], m...)
		case <-l.overflow:
			return errors.New("peer is too slow")
		case err := <-closed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
		for len(buf) < 64<<10 && len(l.queue) > 0 {
			buf = append(buf, <-l.queue...)
		}
		if _, err := out.Write(buf); err != nil {
			return err
		}
	}
}
