// Package stream writes lines into HTTP/2 streams: the part that streams between
// controllers and those between sites have in common.
package stream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
)

// Out is a queue of lines for one receiver.
type Out struct {
	queue    chan []byte
	overflow chan struct{}
}

// NewOut makes an Out in which at most length lines wait; past that the stream is
// opened anew.
func NewOut(length int) *Out {
	return &Out{queue: make(chan []byte, length), overflow: make(chan struct{}, 1)}
}

// Send queues a line with its end.
func (o *Out) Send(line []byte) {
	select {
	case o.queue <- line:
	default:
		select {
		case o.overflow <- struct{}{}:
		default:
		}
	}
}

// Run makes one request whose body is the lines, until it breaks; the error tells
// why. up and down are called when lines can be sent and no longer can; back, if not
// nil, reads what the receiver says. What was queued for an earlier stream is
// dropped.
func (o *Out) Run(t http.RoundTripper, req *http.Request, up, down func(), back func(io.Reader)) error {
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	body, out := io.Pipe()
	defer out.Close()
	req = req.WithContext(ctx)
	req.Body = body
	res, err := t.RoundTrip(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		why, _ := io.ReadAll(io.LimitReader(res.Body, 200)) // what could be read tells enough
		return errors.New(res.Status + ": " + string(bytes.TrimSpace(why)))
	}
	closed := make(chan error, 1)
	go func() {
		if back != nil {
			back(res.Body)
		}
		_, err := io.Copy(io.Discard, res.Body)
		closed <- errors.Join(errors.New("stream ended"), err)
		out.Close()
	}()
	o.drain()
	up()
	defer down()
	return o.write(ctx, out, closed)
}

func (o *Out) drain() {
	for {
		select {
		case <-o.queue:
		case <-o.overflow:
		default:
			return
		}
	}
}

// write sends queued lines, as many as there are in one piece.
func (o *Out) write(ctx context.Context, out io.Writer, closed <-chan error) error {
	var buf []byte
	for {
		select {
		case m := <-o.queue:
			buf = append(buf[:0], m...)
		case <-o.overflow:
			return errors.New("peer is too slow")
		case err := <-closed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
		for len(buf) < 64<<10 && len(o.queue) > 0 {
			buf = append(buf, <-o.queue...)
		}
		if _, err := out.Write(buf); err != nil {
			return err
		}
	}
}

// WholeLines splits at line ends. What is left when a sender ends in the middle of
// a line is no message.
func WholeLines(data []byte, _ bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i], nil
	}
	return 0, nil, nil
}
