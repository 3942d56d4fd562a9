package transport

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pepperlever/internal/federation"
)

// Clients without a valid certificate of a peer must get the reason for the refusal, and none of
// their messages may be processed.
func TestUntrustedClientsAreRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		makeKeys func(own string) string
		certName string
		reason   string
	}{
		"certificate of another authority": {func(string) string { return issueKeys(t, time.Hour) }, "east", "unknown certificate authority"},
		"certificate that has expired":     {func(own string) string { return reissueCertificate(t, own, -time.Minute, "east") }, "east", "expired certificate"},
		"site that is not a peer":          {func(own string) string { return reissueCertificate(t, own, time.Hour, "north") }, "north", "is not a peer of west"},
	} {
		f := newFixture(t)
		dir := tc.makeKeys(filepath.Dir(f.west.generation().cfg.Certificate))
		cert, err := tls.LoadX509KeyPair(filepath.Join(dir, tc.certName+".pem"), filepath.Join(dir, tc.certName+"-key.pem"))
		if err != nil {
			t.Fatal(err)
		}
		_, responses, err := f.post(t, cert, messageLine(t, federation.Message{From: "east", To: "west", Kind: federation.KindLoad}))
		got := strings.Join(responses, " ")
		if err != nil {
			got += err.Error()
		}
		if !strings.Contains(got, tc.reason) || len(f.received) > 0 || f.west.Refused.Load() != 1 {
			t.Errorf("%s: got response %q, %d messages received", name, got, len(f.received))
		}
	}
}

// Guards against a connection that the network delays or cuts counting as a refused intruder.
func TestUnfinishedHandshakeIsNotRefused(t *testing.T) {
	for name, c := range map[string]struct {
		sent   string
		cut    bool
		counts bool
	}{
		"cut before the first byte": {"", true, false},
		"cut in the first message":  {"\x16\x03\x01\x02\x00\x01", true, false},
		"late":                      {"\x16\x03\x01", false, false},
		"not TLS":                   {"GET / HTTP/1.1\r\n\r\n", false, true},
	} {
		f := newFixture(t)
		client, server := net.Pipe()
		accepted := make(chan struct{})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		go func() { defer close(accepted); f.west.accept(ctx, server) }()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		if _, err := client.Write([]byte(c.sent)); err != nil {
			t.Fatal(err)
		}
		if c.cut {
			client.Close()
		}
		<-accepted
		cancel()
		client.Close()
		if refused := f.west.Refused.Load() > 0; refused != c.counts {
			t.Errorf("%s: got refused %v, want %v", name, refused, c.counts)
		}
	}
}
