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

const (
	// maxReasonBytes bounds what is read of an answer that refuses the stream.
	maxReasonBytes = 200
	// maxWriteBytes is from which size on no further line is added to one write.
	maxWriteBytes = 64 << 10
)

// Errors that end a stream.
var (
	// ErrEnded means that the receiver has ended the stream.
	ErrEnded = errors.New("stream ended")
	// ErrSlowReceiver means that more lines wait than the queue holds.
	ErrSlowReceiver = errors.New("receiver is too slow")
)

// StatusError is an answer that does not accept the stream.
type StatusError struct {
	// Status is the HTTP status with its text, Reason the start of the answer's body.
	Status, Reason string
}

// Error tells the status and the receiver's reason.
func (e *StatusError) Error() string { return e.Status + ": " + e.Reason }

// Writer is a queue of lines for one receiver.
type Writer struct {
	queue    chan []byte
	overflow chan struct{}
}

// NewWriter makes a Writer in which at most length lines wait; past that the stream is
// opened anew.
func NewWriter(length int) *Writer {
	return &Writer{queue: make(chan []byte, length), overflow: make(chan struct{}, 1)}
}

// Send queues a line with its end.
func (w *Writer) Send(line []byte) {
	select {
	case w.queue <- line:
	default:
		select {
		case w.overflow <- struct{}{}:
		default:
		}
	}
}

// Run makes one request whose body is the lines, until it breaks; the error tells
// why. up and down are called when lines can be sent and no longer can; back, if not
// nil, reads what the receiver says. What was queued for an earlier stream is
// dropped.
func (w *Writer) Run(t http.RoundTripper, req *http.Request, up, down func(), back func(io.Reader)) error {
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
		reason, _ := io.ReadAll(io.LimitReader(res.Body, maxReasonBytes)) // what could be read tells enough
		return &StatusError{Status: res.Status, Reason: string(bytes.TrimSpace(reason))}
	}
	closed := make(chan error, 1)
	go func() {
		if back != nil {
			back(res.Body)
		}
		_, err := io.Copy(io.Discard, res.Body)
		closed <- errors.Join(ErrEnded, err)
		out.Close()
	}()
	w.drain()
	up()
	defer down()
	return w.write(ctx, out, closed)
}

func (w *Writer) drain() {
	for {
		select {
		case <-w.queue:
		case <-w.overflow:
		default:
			return
		}
	}
}

// write sends queued lines, as many as there are in one piece.
func (w *Writer) write(ctx context.Context, out io.Writer, closed <-chan error) error {
	var buf []byte
	for {
		select {
		case m := <-w.queue:
			buf = append(buf[:0], m...)
		case <-w.overflow:
			return ErrSlowReceiver
		case err := <-closed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
		for len(buf) < maxWriteBytes && len(w.queue) > 0 {
			buf = append(buf, <-w.queue...)
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
