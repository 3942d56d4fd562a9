// Package httpserver holds helpers for the program's HTTP servers.
package httpserver

import (
	"strconv"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"pepperlever/internal/protocol"
)

// DiscardLogger is a logger for a fasthttp server that discards every line, because the lines are
// about clients that disconnected.
type DiscardLogger struct{}

// Printf discards a line.
func (DiscardLogger) Printf(string, ...any) {}

// WriteJSON writes a response with a JSON body. If the body cannot be encoded, it writes 500
// without a body.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status, raw = fasthttp.StatusInternalServerError, nil
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

// WriteProblem writes a response with the reason why a request failed.
func WriteProblem(ctx *fasthttp.RequestCtx, status int, reason string) {
	WriteJSON(ctx, status, protocol.Problem{Error: reason})
}

// SetRetryAfter sets the Retry-After header if seconds is positive.
func SetRetryAfter(ctx *fasthttp.RequestCtx, seconds int) {
	if seconds > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
}
