// Package stream writes lines to HTTP/2 streams. It holds what the streams between
// controllers and the streams between sites have in common.
package stream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
)

const (
	// maxReasonBytes limits how much is read of a response that rejects the stream.
	maxReasonBytes = 200
	// maxWriteBytes is the size from which no more lines are added to a write.
	maxWriteBytes = 64 << 10
)

// Errors that end a stream.
var (
	// ErrEnded means that the receiver has closed the stream.
	ErrEnded = errors.New("stream ended")
	// ErrSlowReceiver means that the queue of lines has overflowed.
	ErrSlowReceiver = errors.New("receiver is too slow")
)

// StatusError is a response that rejects the stream.
type StatusError struct {
	// Status is the HTTP status with its text. Reason is the start of the response body.
	Status, Reason string
}

// Error returns the status and the receiver's reason.
func (e *StatusError) Error() string { return e.Status + ": " + e.Reason }

// Writer queues lines for one receiver and writes them to a stream.
type Writer struct {
	queue    chan []byte
	overflow chan struct{}
}

// NewWriter returns a Writer that queues up to length lines. If the queue overflows, Run
// returns ErrSlowReceiver.
func NewWriter(length int) *Writer {
	return &Writer{queue: make(chan []byte, length), overflow: make(chan struct{}, 1)}
}

// Send queues a line, which must end with a newline. If the queue is full, the line is
// dropped and Run ends.
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

// Run sends one request whose body is the queued lines, and returns the error that ended it.
// onConnect is called when lines can be sent, and onDisconnect when they no longer can.
// readResponse, if not nil, reads the response body. Lines queued for an earlier stream are
// dropped.
func (w *Writer) Run(transport http.RoundTripper, req *http.Request, onConnect, onDisconnect func(), readResponse func(io.Reader)) error {
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	body, bodyWriter := io.Pipe()
	defer bodyWriter.Close()
	req = req.WithContext(ctx)
	req.Body = body
	res, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(res.Body, maxReasonBytes)) // a partial reason is enough
		return &StatusError{Status: res.Status, Reason: string(bytes.TrimSpace(reason))}
	}
	closed := make(chan error, 1)
	go func() {
		if readResponse != nil {
			readResponse(res.Body)
		}
		_, err := io.Copy(io.Discard, res.Body)
		closed <- errors.Join(ErrEnded, err)
		bodyWriter.Close()
	}()
	w.discardQueued()
	onConnect()
	defer onDisconnect()
	return w.write(ctx, bodyWriter, closed)
}

func (w *Writer) discardQueued() {
	for {
		select {
		case <-w.queue:
		case <-w.overflow:
		default:
			return
		}
	}
}

// write writes queued lines, batching those that are already waiting.
func (w *Writer) write(ctx context.Context, out io.Writer, closed <-chan error) error {
	var buf []byte
	for {
		select {
		case line := <-w.queue:
			buf = append(buf[:0], line...)
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

// ScanCompleteLines is a bufio.SplitFunc that returns complete lines only. It discards an
// incomplete last line, which a sender leaves when it is terminated while writing.
func ScanCompleteLines(data []byte, _ bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i], nil
	}
	return 0, nil, nil
}
