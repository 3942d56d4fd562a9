// Package networkerror tells errors of the network from errors in what was received.
package networkerror

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
)

// IsTimeout reports whether an error means that something did not arrive in time.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() ||
		errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// IsCut reports whether an error means that a connection broke off.
func IsCut(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && !isAlert(operation) && !IsTimeout(err) {
		return true
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// isAlert reports whether an error is an alert of TLS, with which one side refuses the other.
func isAlert(err *net.OpError) bool { return err.Op == "remote error" || err.Op == "local error" }
