//lint:file-ignore SA1019 net/http has no way yet to speak HTTP/2 on one connection that was accepted and checked before.

package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/net/http2"

	"pepperlever/internal/core"
	"pepperlever/internal/federation"
)

// site writes a gateway's file for a site whose keys are in dir.
func site(t *testing.T, dir, keys string, name, peer federation.Site) string {
	t.Helper()
	c := federation.Default()
	c.Site, c.Peers = name, []federation.Peer{{Site: peer}}
	c.RetryS, c.RetryMaxS = 600, 600 // no test waits for a time-out
	c.Authority, c.TicketKeys = filepath.Join(keys, authorityFile), filepath.Join(keys, ticketsFile)
	c.Certificate, c.Key = filepath.Join(keys, string(name)+".pem"), filepath.Join(keys, string(name)+"-key.pem")
	raw, err := toml.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, string(name)+".toml")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func issued(t *testing.T, validity time.Duration) string {
	t.Helper()
	dir := t.TempDir()
	if err := Issue(dir, []string{"east", "west"}, validity, false); err != nil {
		t.Fatal(err)
	}
	return dir
}

// pair is west, which listens, and a client with east's certificate.
type pair struct {
	west *Links
	came chan federation.Message
}

func newPair(t *testing.T) *pair {
	keys := issued(t, time.Hour)
	p := &pair{came: make(chan federation.Message, 16)}
	var err error
	p.west, _, err = New(site(t, t.TempDir(), keys, "west", "east"), func(c core.Command) { p.came <- c.(core.SiteMessageReceived).Message })
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// post sends lines over one connection with a certificate, and returns what comes
// back until the end of the stream.
func (p *pair) post(t *testing.T, cert tls.Certificate, lines ...string) (status int, back []string, err error) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, nil, err
	}
	defer ln.Close()
	ours, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		return 0, nil, err
	}
	theirs, err := ln.Accept()
	if err != nil {
		return 0, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	served := make(chan struct{})
	go func() { defer close(served); p.west.accept(ctx, theirs) }()
	defer func() { ours.Close(); <-served }()
	conf := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert},
		RootCAs: p.west.generation().secrets.authority, ServerName: "west", NextProtos: []string{http2.NextProtoTLS}}
	transport := &http2.Transport{DialTLSContext: func(context.Context, string, string, *tls.Config) (net.Conn, error) {
		return handshake(ours, conf, time.Minute)
	}}
	defer transport.CloseIdleConnections()
	body, in := io.Pipe()
	go func() {
		for _, l := range lines {
			_, _ = io.WriteString(in, l+"\n") // what does not arrive is missed below
		}
		in.Close()
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://west"+streamPath, body)
	if err != nil {
		return 0, nil, err
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	s := bufio.NewScanner(res.Body)
	for s.Scan() {
		back = append(back, s.Text())
	}
	return res.StatusCode, back, s.Err()
}

func line(t *testing.T, m federation.Message) string {
	t.Helper()
	raw, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// reissued makes a site's certificate anew under the same authority.
func reissued(t *testing.T, dir string, validity time.Duration, name string) string {
	t.Helper()
	if err := Issue(dir, []string{name}, validity, false); err != nil {
		t.Fatal(err)
	}
	return dir
}
