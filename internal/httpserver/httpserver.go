// Package httpserver holds what the HTTP servers of the program have in common.
package httpserver

import (
	"strconv"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"pepperlever/internal/protocol"
)

// DiscardLogger drops the server's lines on clients that went away.
type DiscardLogger struct{}

// Printf drops a line.
func (DiscardLogger) Printf(string, ...any) {}

// WriteJSON answers with a JSON body. A body that has no JSON form is answered by 500
// without one.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status, raw = fasthttp.StatusInternalServerError, nil
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

// WriteProblem answers with what is wrong.
func WriteProblem(ctx *fasthttp.RequestCtx, status int, reason string) {
	WriteJSON(ctx, status, protocol.Problem{Error: reason})
}

// SetRetryAfter asks the client to come back after some seconds, if that is more than 0.
func SetRetryAfter(ctx *fasthttp.RequestCtx, seconds int) {
	if seconds > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
}
