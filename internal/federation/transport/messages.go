package transport

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"

	"pepperlever/internal/federation"
)

// maxLineBytes is the maximum length of a message. The longest messages are an offer with
// the longest submission and a view of MaxJobsPerPeer jobs.
const maxLineBytes = 512 << 10

// errLineTooLong reports a message longer than maxLineBytes, which was skipped.
var errLineTooLong = fmt.Errorf("message is longer than %d bytes", maxLineBytes)

// readLine reads a line. A line that is too long is skipped and reported as errLineTooLong.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	tooLong := false
	for errors.Is(err, bufio.ErrBufferFull) {
		tooLong = true
		_, err = r.ReadSlice('\n')
	}
	if err == nil && tooLong {
		err = errLineTooLong
	}
	return line, err
}

// parseMessage decodes and validates a message from a peer, including the signature of its
// ticket.
func parseMessage(line []byte, from federation.Site, current generation) (federation.Message, error) {
	var m federation.Message
	if err := json.Unmarshal(line, &m); err != nil {
		return m, fmt.Errorf("invalid message: %w", err)
	}
	switch {
	case m.From != from:
		return m, fmt.Errorf("message is from %q, but the certificate is for %q", m.From, from)
	case m.To != current.cfg.Site:
		return m, fmt.Errorf("message is for %q, but this site is %q", m.To, current.cfg.Site)
	case m.Ticket == nil:
		return m, nil
	case m.Ticket.Origin != from || m.Ticket.To != current.cfg.Site || m.Ticket.Epoch != m.Epoch:
		return m, fmt.Errorf("ticket is for another hand-off: %s to %s, epoch %d", m.Ticket.Origin, m.Ticket.To, m.Ticket.Epoch)
	}
	return m, current.secrets.tickets.Verify(*m.Ticket)
}
