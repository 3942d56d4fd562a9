package emulator

import (
	"context"
	"net"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"pepperlever/internal/protocol"
)

// serve answers on ln until ctx ends.
func serve(ctx context.Context, ln net.Listener, h fasthttp.RequestHandler) error {
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	s := &fasthttp.Server{Handler: h, MaxRequestBodySize: protocol.MaxBody, NoDefaultServerHeader: true, Logger: discardLogger{}}
	if err := s.Serve(ln); ctx.Err() == nil {
		return err
	}
	return nil
}

// every calls f every d until ctx ends.
func every(ctx context.Context, d time.Duration, f func()) error {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f()
		case <-ctx.Done():
			return nil
		}
	}
}

// discardLogger drops fasthttp's lines on clients that went away.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// writeJSON replies with a JSON body.
func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status = fasthttp.StatusInternalServerError
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

func writeProblem(ctx *fasthttp.RequestCtx, status int, what string) {
	writeJSON(ctx, status, protocol.Problem{Error: what})
}
