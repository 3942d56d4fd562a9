package emulator

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/httpserver"
	"pepperlever/internal/protocol"
)

// serve answers on ln until ctx ends.
func serve(ctx context.Context, ln net.Listener, h fasthttp.RequestHandler) error {
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	s := &fasthttp.Server{Handler: h, MaxRequestBodySize: protocol.MaxBody, NoDefaultServerHeader: true, Logger: httpserver.DiscardLogger{}}
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
