package emulator

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/httpserver"
	"pepperlever/internal/protocol"
)

// serve handles HTTP requests on ln until ctx ends.
func serve(ctx context.Context, ln net.Listener, handler fasthttp.RequestHandler) error {
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	server := &fasthttp.Server{
		Handler:               handler,
		ErrorHandler:          func(ctx *fasthttp.RequestCtx, err error) { httpserver.HandleReadError(ctx, err) },
		MaxRequestBodySize:    protocol.MaxBody,
		NoDefaultServerHeader: true,
		Logger:                httpserver.DiscardLogger{},
	}
	if err := server.Serve(ln); ctx.Err() == nil {
		return err
	}
	return nil
}

// runEvery calls fn at each interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, fn func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			fn()
		case <-ctx.Done():
			return nil
		}
	}
}
