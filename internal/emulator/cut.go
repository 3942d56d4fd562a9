package emulator

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Mode is what a link does with what comes.
type Mode string

// Modes of a link.
const (
	Pass Mode = "passing"
	// Refuse ends connections and takes no new ones.
	Refuse Mode = "refusing"
	// Hang takes everything and passes nothing on; it is lost.
	Hang Mode = "hanging"
	// Hold keeps what comes, and passes it on later.
	Hold Mode = "holding"
)

// Link carries the streams that one site opens to the controllers of another. It
// can be cut, and it is as slow as it is told to be.
type Link struct {
	delay time.Duration

	mu   sync.Mutex
	mode Mode
	// changed is closed at each change of the mode.
	changed chan struct{}
	conns   map[net.Conn]bool
	// count is how many messages have passed; at is called at the after-th next.
	after int
	at    func()
}

// NewLink makes a link on which every byte takes delay.
func NewLink(delay time.Duration) *Link {
	return &Link{delay: delay, mode: Pass, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
}

// Set changes the mode. What hung is lost with its connection.
func (l *Link) Set(m Mode) {
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

// At has f called when the n-th message from now is about to pass.
func (l *Link) At(n int, f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.after, l.at = n, f
}

// messageBytes tells messages from what keeps a stream alive.
const messageBytes = 100

// pass waits until a piece may go on; it is lost if not.
func (l *Link) pass(ctx context.Context, n int, forth bool) bool {
	l.mu.Lock()
	if forth && n >= messageBytes && l.at != nil {
		if l.after--; l.after < 0 {
			f := l.at
			l.at = nil
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
		go l.carry(ctx, in, target)
	}
}

func (l *Link) carry(ctx context.Context, in net.Conn, target string) {
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

// piece is what was read, and when it arrives.
type piece struct {
	data []byte
	due  time.Time
}

func (l *Link) copy(ctx context.Context, to io.Writer, from io.Reader, forth bool) error {
	pieces := make(chan piece, 4096)
	var g errgroup.Group
	g.Go(func() error {
		defer close(pieces)
		for {
			buf := make([]byte, 32<<10)
			n, err := from.Read(buf)
			if n > 0 {
				pieces <- piece{buf[:n], time.Now().Add(l.delay)}
			}
			if err != nil {
				return err
			}
		}
	})
	var failed error
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if failed == nil && l.pass(ctx, len(p.data), forth) {
			_, failed = to.Write(p.data)
		}
	}
	return g.Wait()
}
