package api

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pepperlever/internal/core"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

const (
	// requestArrivesWithin is the time within which requests have to arrive in the test.
	requestArrivesWithin = 300 * time.Millisecond
	// submissionBody is what the test submits.
	submissionBody = `{"uid":"req-000001"}`
)

// startAPI serves requests whose submissions are all accepted, and returns the address.
func startAPI(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := &settings.Settings{Listen: ln.Addr().String()}
	cfg.Params.Workers.ReportS, cfg.Params.Limits.MaxConnections = 600, 64
	ln.Close()
	var a *API
	a = New(cfg, func(c core.Command) bool {
		a.Answer(*echo(c))
		return true
	})
	a.readTimeout = requestArrivesWithin
	go func() {
		if err := a.Run(t.Context()); !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}()
	return cfg.Listen
}

// dial connects to an address as soon as somebody listens there.
func dial(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if conn, err := net.Dial("tcp4", address); err == nil {
			return conn.(*net.TCPConn)
		}
	}
	t.Fatal("nobody listens")
	return nil
}

// Guards against status 400 for a request that the network held back, cut off or delivered in part: users
// do not repeat what is called malformed, so the job would be lost.
func TestRequestThatDidNotArriveIsNotMalformed(t *testing.T) {
	address := startAPI(t)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", protocol.PathJobs, len(submissionBody))
	chunked := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", protocol.PathJobs, len(submissionBody))
	const held, cut = 2 * requestArrivesWithin, time.Duration(0)
	for name, c := range map[string]struct {
		first string
		// pause is the time before the rest is sent, or cut if the connection is closed for writing
		// instead.
		pause  time.Duration
		rest   string
		status int // 0 for no response
	}{
		"arrives a little late":            {"", requestArrivesWithin / 4, head + submissionBody, http.StatusCreated},
		"all held back":                    {"", held, head + submissionBody, http.StatusRequestTimeout},
		"head held back":                   {head[:20], held, head[20:] + submissionBody, http.StatusRequestTimeout},
		"body held back":                   {head + submissionBody[:5], held, submissionBody[5:], http.StatusRequestTimeout},
		"chunk held back":                  {chunked + submissionBody[:5], held, submissionBody[5:] + "\r\n0\r\n\r\n", http.StatusRequestTimeout},
		"head cut off":                     {head[:20], cut, "", 0},
		"body cut off":                     {head + submissionBody[:5], cut, "", 0},
		"chunk cut off":                    {chunked + submissionBody[:5], cut, "", 0},
		"malformed head":                   {"POST\r\n\r\n", held, "", http.StatusBadRequest},
		"body longer than any may be":      {fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", protocol.PathJobs, protocol.MaxBody+1), held, "", http.StatusBadRequest},
		"head longer than any may be":      {"GET /up HTTP/1.1\r\nX: " + strings.Repeat("x", readBufferBytes) + "\r\n\r\n", held, "", http.StatusBadRequest},
		"form in parts, which is no JSON":  {"POST /agent/beat HTTP/1.1\r\nHost: h\r\nContent-Type: multipart/form-data; boundary=b\r\nContent-Length: 4\r\n\r\nnone", held, "", http.StatusBadRequest},
		"second request, body held back":   {"GET /up HTTP/1.1\r\nHost: h\r\n\r\n" + head, held, submissionBody, http.StatusRequestTimeout},
		"second request, nothing was sent": {"GET /up HTTP/1.1\r\nHost: h\r\n\r\n", cut, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := dial(t, address)
			defer conn.Close()
			if got := statusOfLast(t, conn, c.first, c.pause, c.rest); got != c.status {
				t.Errorf("got status %d, want %d", got, c.status)
			}
		})
	}
}

// statusOfLast sends a request in two parts and returns the status of the last response, except for that
// to a health check. It returns 0 if the connection ends without a response.
func statusOfLast(t *testing.T, conn *net.TCPConn, first string, pause time.Duration, rest string) int {
	t.Helper()
	if _, err := conn.Write([]byte(first)); err != nil {
		t.Fatal(err)
	}
	if pause > 0 {
		time.AfterFunc(pause, func() { _, _ = conn.Write([]byte(rest)) }) // the server may have closed the connection
	} else if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	responses := bufio.NewReader(conn)
	if strings.HasPrefix(first, "GET /up HTTP/1.1\r\nHost") {
		res, err := http.ReadResponse(responses, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v for the first request, want 200", res, err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Fatal(err)
		}
	}
	res, err := http.ReadResponse(responses, nil)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// Guards against a slow sender that holds a connection for as long as it sends another byte now and then.
func TestSlowSenderIsDisconnected(t *testing.T) {
	address := startAPI(t)
	begun := time.Now() // before the connection is open, since the server counts from then on
	conn := dial(t, address)
	defer conn.Close()
	go func() {
		for _, err := conn.Write([]byte("POST /work HTTP/1.1\r\nX: ")); err == nil; _, err = conn.Write([]byte("x")) {
			time.Sleep(requestArrivesWithin / 10)
		}
	}()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(begun); res.StatusCode != http.StatusRequestTimeout || !res.Close || took < requestArrivesWithin {
		t.Errorf("got status %d after %v, closed %v, want 408 and the end of the connection after %v", res.StatusCode, took, res.Close, requestArrivesWithin)
	}
}
