package transport

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"

	"pepperlever/internal/federation"
)

// maxLineBytes bounds a message: a ticket with the longest description, or a list of
// all jobs that may be at a peer.
const maxLineBytes = 512 << 10

// errLineTooLong refuses a line that was read past.
var errLineTooLong = fmt.Errorf("message is longer than %d bytes", maxLineBytes)

// readLine reads a line; one that is too long is read past.
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

// parseMessage reads and checks a message of a site.
func parseMessage(line []byte, from federation.Site, current generation) (federation.Message, error) {
	var m federation.Message
	if err := json.Unmarshal(line, &m); err != nil {
		return m, fmt.Errorf("message is not understood: %w", err)
	}
	switch {
	case m.From != from:
		return m, fmt.Errorf("message says that it is from %q, the certificate says %q", m.From, from)
	case m.To != current.cfg.Site:
		return m, fmt.Errorf("message is for %q, this is %q", m.To, current.cfg.Site)
	case m.Ticket == nil:
		return m, nil
	case m.Ticket.Origin != from || m.Ticket.To != current.cfg.Site || m.Ticket.Epoch != m.Epoch:
		return m, fmt.Errorf("ticket is for another hand-off: %s to %s, epoch %d", m.Ticket.Origin, m.Ticket.To, m.Ticket.Epoch)
	}
	return m, current.secrets.tickets.Verify(*m.Ticket)
}
