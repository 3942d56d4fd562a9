package httpserver

import (
	"github.com/valyala/fasthttp"

	"pepperlever/internal/networkerror"
)

// ReadFailure is the reason why a request could not be read.
type ReadFailure string

// The reasons why a request could not be read. Only a malformed request is wrong. The others were
// delayed or cut off on their way, and may be right.
const (
	Malformed ReadFailure = "malformed"
	TimedOut  ReadFailure = "timeout"
	Cut       ReadFailure = "cut"
)

// ReadFailureOf returns the reason that an error of reading a request shows.
func ReadFailureOf(err error) ReadFailure {
	switch {
	case networkerror.IsTimeout(err):
		return TimedOut
	case networkerror.IsCut(err):
		return Cut
	}
	return Malformed
}

// HandleReadError responds to a request that could not be read, and returns the reason. A malformed one
// gets status 400, also if it is too large: after statuses such as 413, clients would retry the same
// request. One that did not arrive in time gets a status after which clients retry it. One that was
// cut off gets no response.
func HandleReadError(ctx *fasthttp.RequestCtx, err error) ReadFailure {
	failure := ReadFailureOf(err)
	switch failure {
	case TimedOut:
		WriteProblem(ctx, fasthttp.StatusRequestTimeout, "request did not arrive in time")
	case Cut:
		ctx.Conn().Close()
	default:
		WriteProblem(ctx, fasthttp.StatusBadRequest, "malformed request")
	}
	return failure
}
