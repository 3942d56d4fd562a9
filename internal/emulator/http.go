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
	s := &fasthttp.Server{Handler: h, MaxRequestBodySize: protocol.MaxBody, NoDefaultServerHeader: true, Logger: quiet{}}
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

// quiet drops fasthttp's lines on clients that went away.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// answer replies with a JSON body.
func answer(ctx *fasthttp.RequestCtx, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status = fasthttp.StatusInternalServerError
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

func problem(ctx *fasthttp.RequestCtx, status int, what string) {
	answer(ctx, status, protocol.Problem{Error: what})
}

// bucket is a limit of rate a second with bursts.
type bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func newBucket(rate, burst float64) bucket { return bucket{rate: rate, burst: burst, level: burst} }

// take takes n out of the bucket, or tells that it does not hold as much.
func (b *bucket) take(now time.Duration, n float64) bool {
	b.level = min(b.burst, b.level+(now-b.at).Seconds()*b.rate)
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}
