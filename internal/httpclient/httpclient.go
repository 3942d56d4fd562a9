// Package httpclient is an HTTP client for JSON requests. It sends each request at most once.
package httpclient

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"
)

// ErrUnsent marks errors that show that the request was not sent.
var ErrUnsent = errors.New("request was not sent")

// Client sends requests to any number of addresses.
type Client struct{ http *fasthttp.Client }

// New returns a Client with at most connsPerHost connections to each address. timeout applies
// separately to connecting, waiting for a free connection, writing a request and reading the
// response.
func New(timeout time.Duration, connsPerHost int) *Client {
	return &Client{http: &fasthttp.Client{
		Dial: func(addr string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp4", addr, timeout)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
			}
			return conn, nil
		},
		ReadTimeout: timeout, WriteTimeout: timeout, MaxConnWaitTimeout: timeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConnsPerHost:           connsPerHost,
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
	}}
}

// errNoBody reports a response without the body that gives it its meaning.
var errNoBody = errors.New("response has no body")

// Call sends one request to addr, decodes the JSON response into out and returns the status. If out is
// not nil, a body that is missing or cannot be decoded is an error where the body says what the status
// means.
func (c *Client) Call(method, addr, path string, body, out any) (int, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + path)
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		req.Header.SetContentType("application/json")
		req.SetBody(raw)
	}
	if err := c.http.Do(req, res); err != nil {
		return 0, err
	}
	status := res.StatusCode()
	if err := decode(res.Body(), out); err != nil && needsBody(status) {
		return 0, fmt.Errorf("status %d: %w", status, err)
	}
	return status, nil
}

// decode decodes the body of a response into out, unless out is nil.
func decode(body []byte, out any) error {
	if out == nil {
		return nil
	}
	if len(body) == 0 {
		return errNoBody
	}
	return json.Unmarshal(body, out)
}

// needsBody reports whether the meaning of a status depends on the body, which says what was done or what
// was in conflict. Other statuses mean that the request was not carried out.
func needsBody(status int) bool {
	return status == fasthttp.StatusOK || status == fasthttp.StatusConflict
}

// Query returns path with escaped query arguments, given as alternating names and values.
func Query(path string, args ...string) string {
	a := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(a)
	for i := 0; i+1 < len(args); i += 2 {
		a.Set(args[i], args[i+1])
	}
	return path + "?" + a.String()
}
