//lint:file-ignore SA1019 net/http has no way yet to serve HTTP/2 on one connection that was accepted and checked before.

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
	"strings"
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
		RootCAs: p.west.secrets.authority, ServerName: "west", NextProtos: []string{http2.NextProtoTLS}}
	transport := &http2.Transport{DialTLSContext: func(context.Context, string, string, *tls.Config) (net.Conn, error) {
		return greet(ours, conf, time.Minute)
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

// What is bad is refused with one line, and the good messages around it arrive.
func TestBadMessagesAreRefusedAndGoodOnesArrive(t *testing.T) {
	p := newPair(t)
	sign := func(change func(*federation.Ticket)) string {
		ticket := federation.Ticket{Origin: "east", To: "west", JobID: "req-1", Class: "k", Epoch: 3, Path: []federation.Site{"east"}, Body: json.RawMessage(`{"a":"<b>"}`)}
		signed, err := p.west.secrets.tickets.Sign(ticket)
		if err != nil {
			t.Fatal(err)
		}
		change(&signed)
		return line(t, federation.Message{From: "east", To: "west", Kind: federation.KindOffer, Epoch: 3, Ticket: &signed})
	}
	none := func(*federation.Ticket) {}
	cases := []struct{ line, why string }{
		{line(t, federation.Message{From: "east", To: "west", Kind: federation.KindLoad}), ""},
		{"garbage", "message is not understood"},
		{strings.Repeat("x", maxLine+1), "message is longer than"},
		{sign(none), ""},
		{line(t, federation.Message{From: "north", To: "west"}), `from "north", the certificate says "east"`},
		{line(t, federation.Message{From: "east", To: "north"}), `for "north"`},
		{sign(func(k *federation.Ticket) { k.Origin = "north" }), "ticket is for another hand-off"},
		{sign(func(k *federation.Ticket) { k.To = "north" }), "ticket is for another hand-off"},
		{sign(func(k *federation.Ticket) { k.Epoch = 4 }), "ticket is for another hand-off"},
		{sign(func(k *federation.Ticket) { k.JobID = "req-2" }), "signature is not that of key"},
		{sign(func(k *federation.Ticket) { k.MAC = nil }), "signature is not that of key"},
		{sign(func(k *federation.Ticket) { k.KeyID = "mine" }), `key "mine", which is not known`},
		{sign(none), ""},
	}
	var lines []string
	good := 0
	for _, c := range cases {
		lines = append(lines, c.line)
	}
	cert, err := tls.LoadX509KeyPair(strings.ReplaceAll(p.west.cfg.Certificate, "west", "east"), strings.ReplaceAll(p.west.cfg.Key, "west", "east"))
	if err != nil {
		t.Fatal(err)
	}
	status, back, err := p.post(t, cert, lines...)
	if status != http.StatusOK || err != nil {
		t.Fatalf("status %d, %v", status, err)
	}
	for _, c := range cases {
		switch {
		case c.why == "":
			good++
		case len(back) == 0 || !strings.Contains(back[0], c.why):
			t.Errorf("want %q, got %q", c.why, back)
		default:
			back = back[1:]
		}
	}
	if len(p.came) != good || p.west.Refused.Load() != int64(len(cases)-good) {
		t.Errorf("%d of %d good ones arrived, %d refused", len(p.came), good, p.west.Refused.Load())
	}
}

// Strangers are told why they are refused, and nothing of theirs is read.
func TestStrangersAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		keys func(own string) string
		file string
		why  string
	}{
		"another authority's":    {func(string) string { return issued(t, time.Hour) }, "east", "unknown certificate authority"},
		"one that has expired":   {func(own string) string { return reissued(t, own, -time.Minute, "east") }, "east", "expired certificate"},
		"a site that is no peer": {func(own string) string { return reissued(t, own, time.Hour, "north") }, "north", "is no peer of west"},
	} {
		p := newPair(t)
		dir := c.keys(filepath.Dir(p.west.cfg.Certificate))
		cert, err := tls.LoadX509KeyPair(filepath.Join(dir, c.file+".pem"), filepath.Join(dir, c.file+"-key.pem"))
		if err != nil {
			t.Fatal(err)
		}
		_, back, err := p.post(t, cert, line(t, federation.Message{From: "east", To: "west", Kind: federation.KindLoad}))
		told := strings.Join(back, " ")
		if err != nil {
			told += err.Error()
		}
		if !strings.Contains(told, c.why) || len(p.came) > 0 || p.west.Refused.Load() != 1 {
			t.Errorf("%s: told %q, %d messages taken", name, told, len(p.came))
		}
	}
}

// reissued makes a site's certificate anew under the same authority.
func reissued(t *testing.T, dir string, validity time.Duration, name string) string {
	t.Helper()
	if err := Issue(dir, []string{name}, validity, false); err != nil {
		t.Fatal(err)
	}
	return dir
}

// What no peer would take is refused at the start, with the reason.
func TestOwnSecretsAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(dir string) error
		why   string
	}{
		"good":         {func(string) error { return nil }, ""},
		"expired":      {func(dir string) error { return Issue(dir, []string{"west"}, -time.Minute, false) }, "it is good from"},
		"no authority": {func(dir string) error { return os.WriteFile(filepath.Join(dir, authorityFile), nil, 0o600) }, "holds no certificate"},
		"another's": {func(dir string) error {
			return os.Rename(filepath.Join(dir, "east.pem"), filepath.Join(dir, "west.pem"))
		}, "private key does not match"},
		"no ticket key": {func(dir string) error { return os.WriteFile(filepath.Join(dir, ticketsFile), nil, 0o600) }, "keys is missing"},
		"weak ticket key": {func(dir string) error {
			return os.WriteFile(filepath.Join(dir, ticketsFile), []byte("[[keys]]\nid = \"1\"\nsecret = \"abcd\"\n"), 0o600)
		}, "16 bytes"},
	} {
		keys := issued(t, time.Hour)
		if err := c.spoil(keys); err != nil {
			t.Fatal(err)
		}
		_, _, err := New(site(t, t.TempDir(), keys, "west", "east"), nil)
		if (err == nil) != (c.why == "") || err != nil && !strings.Contains(err.Error(), c.why) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// While ticket keys roll over, old and new ones are good; a reload takes the change
// and hands it to the core, and a broken file leaves the earlier one in force.
func TestTicketKeysRollOver(t *testing.T) {
	p := newPair(t)
	old, err := p.west.secrets.tickets.Sign(federation.Ticket{JobID: "req-1"})
	if err != nil {
		t.Fatal(err)
	}
	if err := Issue(filepath.Dir(p.west.cfg.TicketKeys), nil, time.Hour, true); err != nil {
		t.Fatal(err)
	}
	taken := 0
	p.west.emit = func(c core.Command) { taken += len(c.(core.SiteConfig).Config.Peers) }
	if err := p.west.reload(); err != nil || taken != 1 {
		t.Fatalf("reload: %v, %d", err, taken)
	}
	keys := p.west.secrets.tickets
	fresh, err := keys.Sign(federation.Ticket{JobID: "req-1"})
	if err != nil || fresh.KeyID == old.KeyID || keys.Verify(old) != nil || keys.Verify(fresh) != nil {
		t.Errorf("keys %q and %q: %v, %v, %v", old.KeyID, fresh.KeyID, err, keys.Verify(old), keys.Verify(fresh))
	}
	if err := os.WriteFile(p.west.path, []byte("hop = 3"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := p.west.reload(); err == nil || p.west.cfg.Site != "west" {
		t.Errorf("a broken file was taken: %v", err)
	}
}
