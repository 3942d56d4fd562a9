package main

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// link passes TCP connections on to an address. It can refuse, hold or reset them.
type link struct {
	address, to string
	mu          sync.Mutex
	mode        linkMode
	conns       map[net.Conn]bool
	ctx         context.Context
}

type linkMode int

const (
	passing linkMode = iota
	// refusing closes connections at once, open ones too.
	refusing
	// refusingNew closes new connections at once. Open ones stay.
	refusingNew
	// holding keeps what is sent until the link passes again. New connections hang.
	holding
)

func newLink(ctx context.Context, to string) (*link, error) {
	ln, err := net.Listen("tcp4", freePort)
	if err != nil {
		return nil, err
	}
	l := &link{address: ln.Addr().String(), to: to, mode: passing, conns: map[net.Conn]bool{}, ctx: ctx}
	context.AfterFunc(ctx, func() { ln.Close(); l.set(refusing) })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go l.pass(conn)
		}
	}()
	return l, nil
}

func (l *link) set(mode linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	if mode == refusing {
		for c := range l.conns {
			c.Close()
		}
		clear(l.conns)
	}
}

func (l *link) current() linkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

// awaitPassing waits while the link holds. It reports whether the link passes.
func (l *link) awaitPassing() bool {
	for l.current() == holding && l.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	return l.current() != refusing
}

func (l *link) pass(in net.Conn) {
	defer in.Close()
	if !l.awaitPassing() || l.current() == refusingNew {
		return
	}
	out, err := net.DialTimeout("tcp4", l.to, 2*time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	l.mu.Lock()
	l.conns[in], l.conns[out] = true, true
	l.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { l.copy(out, in); done <- struct{}{} }()
	go func() { l.copy(in, out); done <- struct{}{} }()
	<-done
	l.mu.Lock()
	delete(l.conns, in)
	delete(l.conns, out)
	l.mu.Unlock()
}

func (l *link) copy(dst io.Writer, src io.Reader) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if !l.awaitPassing() {
				return
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
