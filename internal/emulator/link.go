package emulator

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// LinkMode is what a link does with what comes.
type LinkMode string

// Modes of a link.
const (
	Pass LinkMode = "passing"
	// Refuse ends connections and takes no new ones.
	Refuse LinkMode = "refusing"
	// Hang takes everything and passes nothing on; it is lost.
	Hang LinkMode = "hanging"
	// Hold keeps what comes, and passes it on later.
	Hold LinkMode = "holding"
)

// Link carries the streams that one site opens to the controllers of another. It
// can be cut, and it is as slow as it is told to be.
type Link struct {
	delay time.Duration

	mu   sync.Mutex
	mode LinkMode
	// changed is closed at each change of the mode.
	changed chan struct{}
	conns   map[net.Conn]bool
	// count is how many messages have passed; at is called at the after-th next.
	messagesUntilTrigger int
	trigger              func()
}

// NewLink makes a link on which every byte takes delay.
func NewLink(delay time.Duration) *Link {
	return &Link{delay: delay, mode: Pass, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
}

// Set changes the mode. What hung is lost with its connection.
func (l *Link) Set(m LinkMode) {
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

// OnMessage has f called when the n-th message from now is about to pass.
func (l *Link) OnMessage(n int, f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.messagesUntilTrigger, l.trigger = n, f
}

// minMessageBytes tells messages from what keeps a stream alive.
const minMessageBytes = 100

// admit waits until a piece may go on; it is lost if not.
func (l *Link) admit(ctx context.Context, n int, forth bool) bool {
	l.mu.Lock()
	if forth && n >= minMessageBytes && l.trigger != nil {
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

// serve carries connections from ln to target until ctx ends.
func (l *Link) serve(ctx context.Context, ln net.Listener, target string) error {
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	for {
		in, err := ln.Accept()
		if err != nil {
			return nil
		}
		l.mu.Lock()
		refuse := l.mode == Refuse
		l.mu.Unlock()
		if refuse {
			in.Close()
			continue
		}
		go l.proxy(ctx, in, target)
	}
}

func (l *Link) proxy(ctx context.Context, in net.Conn, target string) {
	defer in.Close()
	out, err := net.Dial("tcp4", target)
	if err != nil {
		return
	}
	defer out.Close()
	defer context.AfterFunc(ctx, func() { in.Close(); out.Close() })()
	l.mu.Lock()
	l.conns[in], l.conns[out] = true, true
	l.mu.Unlock()
	var g errgroup.Group
	g.Go(func() error { defer out.Close(); return l.copy(ctx, out, in, true) })
	g.Go(func() error { defer in.Close(); return l.copy(ctx, in, out, false) })
	_ = g.Wait() // a cut is no failure
	l.mu.Lock()
	delete(l.conns, in)
	delete(l.conns, out)
	l.mu.Unlock()
}

// delayedChunk is what was read, and when it arrives.
type delayedChunk struct {
	data []byte
	due  time.Time
}

func (l *Link) copy(ctx context.Context, to io.Writer, from io.Reader, forth bool) error {
	pieces := make(chan delayedChunk, 4096)
	var g errgroup.Group
	g.Go(func() error {
		defer close(pieces)
		for {
			buf := make([]byte, 32<<10)
			n, err := from.Read(buf)
			if n > 0 {
				pieces <- delayedChunk{buf[:n], time.Now().Add(l.delay)}
			}
			if err != nil {
				return err
			}
		}
	})
	var failed error
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if failed == nil && l.admit(ctx, len(p.data), forth) {
			_, failed = to.Write(p.data)
		}
	}
	return g.Wait()
}
