package httpclient

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/protocol"
)

// answerWith accepts one connection, answers its first request with the given bytes and closes it. It
// returns the address.
func answerWith(t *testing.T, response string) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := conn.Read(make([]byte, 1<<10)); err == nil {
			_, _ = conn.Write([]byte(response)) // the client sees a connection that breaks off
		}
	}()
	return ln.Addr().String()
}

// Guards against a response that breaks off being taken for an answer: an empty list for the whole stored
// state, or a conflict without a failed condition.
func TestUnreadableResponseIsNoAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		status   int // 0 for an error
	}{
		"complete":                                 {"HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{\"ledgerTick\":431}", http.StatusOK},
		"complete at the end of the connection":    {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"ledgerTick\":431}", http.StatusOK},
		"breaks off after its head":                {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", 0},
		"breaks off after its head, with a length": {"HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n", 0},
		"breaks off in its body":                   {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"ledger", 0},
		"without a body":                           {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0},
		"conflict that breaks off":                 {"HTTP/1.1 409 Conflict\r\nConnection: close\r\n\r\n{\"failed\":[", 0},
		"unavailable, in words":                    {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\ndown", http.StatusServiceUnavailable},
		"malformed, without a reason":              {"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", http.StatusBadRequest},
	} {
		var keys protocol.KeyList
		status, err := New(5*time.Second, 1).Call(fasthttp.MethodGet, answerWith(t, c.response), "/kv", nil, &keys)
		if status != c.status || (err == nil) != (c.status > 0) {
			t.Errorf("%s: got status %d, error %v, want status %d", name, status, err, c.status)
		}
	}
}
