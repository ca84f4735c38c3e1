package direct

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"endivepost/internal/core/event"
	"endivepost/internal/node/dialect"
	"endivepost/internal/node/exchange"
	"endivepost/internal/node/guard"
	"endivepost/internal/node/telemetry"
)

const (
	// timeoutMargin is how long after the request's deadline an attempt is cancelled. It
	// leaves time for the response of the upstream, which knows the deadline.
	timeoutMargin = 60 * time.Millisecond
	// minTimeLeft is the minimum time before the deadline at which a request is still sent.
	minTimeLeft = 2 * time.Millisecond
	// maxBufferedBytes bounds a response that is buffered until it is complete. A longer
	// one is relayed as it arrives.
	maxBufferedBytes = 64 << 10
)

var (
	errSentTooLate        = errors.New("the time in which the request may be sent to the cold upstream has passed")
	errDeadline           = errors.New("the deadline of the request has passed")
	errUnsigned           = errors.New("the upstream's response is not signed")
	errUnstated           = errors.New("the upstream's status means not-run, but the response does not state it")
	errNoEvents           = errors.New("the upstream closed the connection before any event of the stream")
	errTooLarge           = errors.New("the upstream's response is too large")
	errCallerDisconnected = errors.New("the response could not be written to the caller")
)

// runAttempt sends the request to one upstream and relays its response.
func (inflight *inflight) runAttempt(ctx context.Context, attempt event.Attempt) (ended event.AttemptEnded) {
	ended = event.AttemptEnded{ID: attempt.ID, Number: attempt.Number}
	left := attempt.Deadline - inflight.entry.loop.Uptime()
	if left < minTimeLeft {
		ended.Result = event.NotSent
		return ended
	}
	ctx, span := inflight.entry.telemetry.Tracer().Start(ctx, "attempt", trace.WithAttributes(attribute.String("upstream", attempt.Upstream)))
	defer func() {
		span.SetAttributes(attribute.String("result", ended.Result.String()))
		span.End()
	}()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(left+timeoutMargin, func() { cancel(errDeadline) })
	defer timer.Stop()
	defer inflight.boundWrites(left + timeoutMargin)()
	inflight.activity = &activity{loop: inflight.entry.loop, attempt: attempt}
	inflight.commands.begin(attempt.Number, cancel)
	defer inflight.commands.end()
	request := inflight.upstreamRequest(ctx, attempt)
	inflight.addresses = append(inflight.addresses, attempt.Address)
	inflight.sentAt = inflight.entry.loop.Uptime()
	answer, err := inflight.entry.exchange.Do(ctx, request)
	if err != nil {
		ended.Delivered = inflight.started
		return inflight.withFailure(ctx, attempt, ended, err)
	}
	defer inflight.entry.countAnswer(attempt, len(inflight.body), answer)()
	ended.Status = answer.StatusCode
	ended.Result, err = inflight.handleResponse(attempt, answer)
	ended.Delivered = inflight.started
	if err != nil {
		return inflight.withFailure(ctx, attempt, ended, err)
	}
	return ended
}

// upstreamRequest returns the request to the upstream. Its header is built once the
// connection is open, so that the timeout in it excludes the time to connect.
func (inflight *inflight) upstreamRequest(ctx context.Context, attempt event.Attempt) exchange.Request {
	return exchange.Request{
		Address: attempt.Address,
		Method:  inflight.request.Method,
		Target:  inflight.request.RequestURI,
		Host:    inflight.request.Host,
		Body:    inflight.body,
		// The refusal of an earlier attempt bears the same ID.
		Fresh:       slices.Contains(inflight.addresses, attempt.Address),
		SameProcess: attempt.SameProcess,
		Header: func() (http.Header, error) {
			if inflight.commands.isWithdrawn() || outdated(attempt, inflight.entry.loop.Uptime()) {
				return nil, errWithdrawn
			}
			if attempt.SendBy > 0 && inflight.entry.loop.Uptime() > attempt.SendBy {
				return nil, errSentTooLate
			}
			left := attempt.Deadline - inflight.entry.loop.Uptime()
			if left < minTimeLeft {
				return nil, errDeadline
			}
			header := inflight.entry.settings.Dialect.UpstreamHeader(inflight.request.Header, dialect.Attempt{
				Upstream: attempt.Upstream, Account: inflight.resolved.Account, Tier: attempt.Tier, Timeout: left, ResumeAfter: inflight.lastEventID,
			})
			if trace.SpanFromContext(ctx).IsRecording() {
				header.Set("Traceparent", telemetry.Inject(ctx))
			}
			return header, nil
		},
		Match: inflight.matchResponse,
	}
}

// matchResponse checks by its ID whether a response belongs to the request. Only an
// error response may lack the ID.
func (inflight *inflight) matchResponse(response *http.Response) exchange.Match {
	id := inflight.entry.settings.Dialect.ParseResponse(response).ID
	switch {
	case id == inflight.info.ID:
		return exchange.Matched
	case id == "" && response.StatusCode >= http.StatusBadRequest:
		return exchange.Unidentified
	}
	return exchange.Mismatched
}

// handleResponse reads the response to one attempt and relays or buffers it.
func (inflight *inflight) handleResponse(attempt event.Attempt, answer *exchange.Answer) (event.AttemptResult, error) {
	complete := false
	defer func() { answer.Close(complete) }()
	info := inflight.entry.settings.Dialect.ParseResponse(answer.Response)
	inflight.entry.reportLimit(attempt.Upstream, info.Limit)
	inflight.entry.reportLoad(attempt.Upstream, info.Load)
	inflight.entry.reportLeaving(attempt, info.Leaving)
	inflight.entry.reportBackoff(attempt.Upstream, info.Backoff)
	inflight.entry.reportCold(attempt.Upstream, inflight.sentAt, info.Cold)
	switch {
	case info.NotRun:
		complete = answer.Drain()
		if info.Misdirected {
			return event.Misdirected, nil
		}
		return event.Declined, nil
	case impliesNotRun(answer.StatusCode):
		complete = answer.Drain()
		return event.Unusable, errUnstated
	case !info.Signed && answer.StatusCode < http.StatusBadRequest:
		return event.Interrupted, errUnsigned
	case inflight.started && answer.StatusCode == http.StatusOK && !inflight.hasTypeOfStream(answer):
		return event.Unusable, errNotContinued
	case inflight.resolved.Class.Streamed && answer.StatusCode == http.StatusOK:
		err := inflight.relay(attempt, answer)
		complete = err == nil
		return event.Completed, err
	}
	answer.Body = activeBody{ReadCloser: answer.Body, activity: inflight.activity}
	buffered, err := readResponse(answer, maxBufferedBytes)
	isError := answer.StatusCode >= http.StatusInternalServerError
	if errors.Is(err, errTooLarge) && !isError && !inflight.started {
		err = inflight.relayLong(answer, buffered)
		complete = err == nil
		return event.Completed, err
	}
	if err != nil {
		return event.Interrupted, err
	}
	complete = true
	guard.FromContext(inflight.request.Context()).Charge(len(buffered.body))
	// Once the response to the caller has begun, as a stream, no other can be written.
	if isError || inflight.started {
		inflight.buffered = buffered
		return event.UpstreamError, nil
	}
	inflight.started = true
	inflight.status = buffered.status
	inflight.timeToFirst = time.Since(inflight.arrived)
	return event.Completed, buffered.write(inflight)
}
