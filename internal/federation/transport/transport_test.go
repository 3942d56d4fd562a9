//lint:file-ignore SA1019 net/http cannot yet speak HTTP/2 on a connection that was opened before.

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

// writeConfig writes the configuration file of a site whose keys are in the directory keys.
func writeConfig(t *testing.T, dir, keys string, name, peer federation.Site) string {
	t.Helper()
	cfg := federation.Default()
	cfg.Site, cfg.Peers = name, []federation.Peer{{Site: peer}}
	cfg.RetryS, cfg.RetryMaxS = 600, 600 // no timeout may expire during a test
	cfg.Authority, cfg.TicketKeys = filepath.Join(keys, authorityFile), filepath.Join(keys, ticketKeysFile)
	cfg.Certificate, cfg.Key = filepath.Join(keys, string(name)+".pem"), filepath.Join(keys, string(name)+"-key.pem")
	raw, err := toml.Marshal(cfg)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, string(name)+".toml")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// issueKeys creates a directory with an authority, ticket keys and certificates of two sites.
func issueKeys(t *testing.T, validity time.Duration) string {
	t.Helper()
	dir := t.TempDir()
	if err := IssueCredentials(dir, []string{"east", "west"}, validity, false); err != nil {
		t.Fatal(err)
	}
	return dir
}

// fixture holds the links of site west and the messages that they received. Tests connect as
// clients.
type fixture struct {
	west     *Links
	received chan federation.Message
}

func newFixture(t *testing.T) *fixture {
	keys := issueKeys(t, time.Hour)
	f := &fixture{received: make(chan federation.Message, 16)}
	var err error
	f.west, _, err = New(writeConfig(t, t.TempDir(), keys, "west", "east"), func(c core.Command) { f.received <- c.(core.SiteMessageReceived).Message })
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// post sends lines over one connection with the given certificate and returns the response
// lines.
func (f *fixture) post(t *testing.T, cert tls.Certificate, lines ...string) (status int, responses []string, err error) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, nil, err
	}
	defer listener.Close()
	clientConn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		return 0, nil, err
	}
	serverConn, err := listener.Accept()
	if err != nil {
		return 0, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	served := make(chan struct{})
	go func() { defer close(served); f.west.accept(ctx, serverConn) }()
	defer func() { clientConn.Close(); <-served }()
	tlsConfig := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert},
		RootCAs: f.west.generation().secrets.authority, ServerName: "west", NextProtos: []string{http2.NextProtoTLS}}
	transport := &http2.Transport{DialTLSContext: func(context.Context, string, string, *tls.Config) (net.Conn, error) {
		return handshake(clientConn, tlsConfig, time.Minute)
	}}
	defer transport.CloseIdleConnections()
	body, bodyWriter := io.Pipe()
	go func() {
		for _, line := range lines {
			_, _ = io.WriteString(bodyWriter, line+"\n") // the tests detect lines that do not arrive
		}
		bodyWriter.Close()
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://west"+streamPath, body)
	if err != nil {
		return 0, nil, err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		responses = append(responses, scanner.Text())
	}
	return response.StatusCode, responses, scanner.Err()
}

// messageLine encodes a message as it is sent, without the line break.
func messageLine(t *testing.T, message federation.Message) string {
	t.Helper()
	raw, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// reissueCertificate replaces a site's certificate with one from the same authority.
func reissueCertificate(t *testing.T, dir string, validity time.Duration, name string) string {
	t.Helper()
	if err := IssueCredentials(dir, []string{name}, validity, false); err != nil {
		t.Fatal(err)
	}
	return dir
}
