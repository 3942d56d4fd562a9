package main

import (
	"io"
	"net"
	"sync"
)

// link is a proxy for what one controller sends to another one's address for controllers.
type link struct {
	mu       sync.Mutex
	address  string
	target   string
	listener net.Listener
}

func newLink(target string) *link {
	ln := listen()
	l := &link{address: ln.Addr().String(), target: target, listener: ln}
	go l.accept(ln)
	return l
}

func (l *link) accept(ln net.Listener) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp4", l.target)
		if err != nil {
			in.Close()
			continue
		}
		go pipe(in, out)
		go pipe(out, in)
	}
}

func pipe(to, from net.Conn) {
	io.Copy(to, from)
	to.Close()
	from.Close()
}

// refuse makes new connections fail; those that are open stay.
func (l *link) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener.Close()
}

// refuseLinks makes all new connections between controllers fail.
func (s *Site) refuseLinks() {
	s.rec("network: connections between controllers are refused")
	for _, l := range s.links {
		l.refuse()
	}
}

// userPath is a proxy for the connections of users to a controller. While it is interrupted, packets
// of open connections are held back, in both directions; they are delivered in order afterwards.
type userPath struct {
	mu          sync.Mutex
	address     string
	interrupted bool
	changed     *sync.Cond
}

func newUserPath(target string) *userPath {
	ln := listen()
	p := &userPath{address: ln.Addr().String()}
	p.changed = sync.NewCond(&p.mu)
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp4", target)
			if err != nil {
				in.Close()
				continue
			}
			go p.carry(out, in)
			go p.carry(in, out)
		}
	}()
	return p
}

// carry copies one direction of a connection, and waits while the path is interrupted.
func (p *userPath) carry(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		for p.interrupted {
			p.changed.Wait()
		}
		p.mu.Unlock()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
			return
		}
	}
}

func (p *userPath) set(interrupted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interrupted = interrupted
	p.changed.Broadcast()
}
