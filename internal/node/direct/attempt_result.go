package direct

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"

	"endivepost/internal/core/event"
	"endivepost/internal/node/exchange"
	"endivepost/internal/wire/responsehead"
)

// withFailure returns the end of the attempt with the result of the error, which it logs.
func (inflight *inflight) withFailure(ctx context.Context, attempt event.Attempt, ended event.AttemptEnded, err error) event.AttemptEnded {
	ended.Result = failureResult(ctx, err)
	ended.NoBreak = !isBreak(err)
	if ended.Result == event.Interrupted || ended.Result == event.Unusable {
		ended.Reason = exchange.Reason(err)
	}
	inflight.logFailure(ctx, attempt, ended.Reason, err)
	return ended
}

// failureResult maps an error to an attempt result, which determines whether the
// upstream may have run the request.
func failureResult(ctx context.Context, err error) event.AttemptResult {
	unsent := errors.Is(err, exchange.ErrNotConnected) || errors.Is(err, exchange.ErrNotSent)
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled), errors.Is(err, errCallerDisconnected):
		return event.Abandoned
	case errors.Is(err, errWithdrawn), errors.Is(err, errSentTooLate):
		return event.Withdrawn
	case errors.Is(err, exchange.ErrClosedIdle):
		return event.Unconfirmed
	case unsent && errors.Is(context.Cause(ctx), errDeadline), errors.Is(err, errDeadline):
		return event.NotSent
	case unsent:
		return event.ConnectFailed
	case errors.Is(context.Cause(ctx), errDeadline):
		return event.TimedOut
	case errors.Is(context.Cause(ctx), errStopped):
		return event.Stopped
	case errors.Is(err, errNotContinued), errors.Is(err, errUnstated), errors.Is(err, exchange.ErrOtherAnswer), errors.Is(err, responsehead.ErrMalformed):
		return event.Unusable
	}
	return event.Interrupted
}

// isBreak reports whether the error is that of a connection which the upstream refused, reset
// or closed, as it does when its process ends.
func isBreak(err error) bool {
	var operation *net.OpError
	switch {
	case errors.Is(err, exchange.ErrOtherAnswer), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return false
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return true
	}
	return errors.As(err, &operation) && !operation.Timeout()
}

// impliesNotRun reports whether callers take the status as a promise that the request did
// not run and may be sent again.
func impliesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}
