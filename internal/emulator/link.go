package emulator

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// LinkMode determines how a link treats connections and data.
type LinkMode string

// Modes of a link.
const (
	// Pass forwards all data.
	Pass LinkMode = "passing"
	// Refuse closes all connections and rejects new ones.
	Refuse LinkMode = "refusing"
	// Hang accepts connections and silently drops all data.
	Hang LinkMode = "hanging"
	// Hold buffers data and forwards it when the mode changes to Pass.
	Hold LinkMode = "holding"
)

// Link proxies the streams that one site opens to the controllers of another, with a
// configurable delay and failure mode.
type Link struct {
	delay time.Duration

	mu   sync.Mutex
	mode LinkMode
	// changed is closed and replaced when the mode changes.
	changed chan struct{}
	conns   map[net.Conn]bool
	// messagesUntilTrigger is the number of outbound messages that are still forwarded before
	// trigger is called once.
	messagesUntilTrigger int
	trigger              func()
}

// NewLink returns a link that delivers all data after delay.
func NewLink(delay time.Duration) *Link {
	return &Link{delay: delay, mode: Pass, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
}

// SetMode changes the mode. Refuse closes all connections. Leaving Hang does so too, because data
// on them has been lost.
func (l *Link) SetMode(m LinkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m == Refuse || l.mode == Hang && m != Hang {
		for c := range l.conns {
			c.Close()
		}
	}
	l.mode = m
	close(l.changed)
	l.changed = make(chan struct{})
}

// OnMessage registers a function that is called once, before the link forwards the outbound
// message that follows the next n. It replaces the function registered before.
func (l *Link) OnMessage(n int, f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.messagesUntilTrigger, l.trigger = n, f
}

// minMessageBytes is the minimum size of a chunk that counts as a message; keep-alives are
// smaller.
const minMessageBytes = 100

// admit handles a chunk of the given size before it is forwarded. It first counts an outbound
// message and calls the trigger if it is due. Then it waits while the mode is Hold, and reports
// whether the mode is Pass. In any other mode the chunk is dropped.
func (l *Link) admit(ctx context.Context, size int, outbound bool) bool {
	l.mu.Lock()
	if outbound && size >= minMessageBytes && l.trigger != nil {
		if l.messagesUntilTrigger--; l.messagesUntilTrigger < 0 {
			f := l.trigger
			l.trigger = nil
			l.mu.Unlock()
			f()
			l.mu.Lock()
		}
	}
	for l.mode == Hold {
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
		l.mu.Lock()
	}
	defer l.mu.Unlock()
	return l.mode == Pass
}

// serve proxies connections from ln to target until ctx ends.
func (l *Link) serve(ctx context.Context, ln net.Listener, target string) error {
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	for {
		conn, err := ln.Accept()
		if err != nil {
			return nil
		}
		l.mu.Lock()
		refuse := l.mode == Refuse
		l.mu.Unlock()
		if refuse {
			conn.Close()
			continue
		}
		go l.proxy(ctx, conn, target)
	}
}

// proxy copies data in both directions between a client's connection and target.
func (l *Link) proxy(ctx context.Context, client net.Conn, target string) {
	defer client.Close()
	server, err := net.Dial("tcp4", target)
	if err != nil {
		return
	}
	defer server.Close()
	defer context.AfterFunc(ctx, func() { client.Close(); server.Close() })()
	l.mu.Lock()
	l.conns[client], l.conns[server] = true, true
	l.mu.Unlock()
	var group errgroup.Group
	group.Go(func() error { defer server.Close(); return l.copy(ctx, server, client, true) })
	group.Go(func() error { defer client.Close(); return l.copy(ctx, client, server, false) })
	_ = group.Wait() // errors are expected when a connection is closed
	l.mu.Lock()
	delete(l.conns, client)
	delete(l.conns, server)
	l.mu.Unlock()
}

// delayedChunk is data that was read, with the time at which to deliver it.
type delayedChunk struct {
	data []byte
	due  time.Time
}

// copy copies data from src to dst after the link's delay. After a failed write it goes on
// reading, so that the reading goroutine does not block.
func (l *Link) copy(ctx context.Context, dst io.Writer, src io.Reader, outbound bool) error {
	chunks := make(chan delayedChunk, 4096)
	var group errgroup.Group
	group.Go(func() error {
		defer close(chunks)
		for {
			buf := make([]byte, 32<<10)
			n, err := src.Read(buf)
			if n > 0 {
				chunks <- delayedChunk{buf[:n], time.Now().Add(l.delay)}
			}
			if err != nil {
				return err
			}
		}
	})
	var writeErr error
	for chunk := range chunks {
		time.Sleep(time.Until(chunk.due))
		if writeErr == nil && l.admit(ctx, len(chunk.data), outbound) {
			_, writeErr = dst.Write(chunk.data)
		}
	}
	return group.Wait()
}
