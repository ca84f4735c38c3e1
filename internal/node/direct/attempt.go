package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"endivepost/internal/core/event"
	"endivepost/internal/node/dialect"
	"endivepost/internal/node/eventstream"
	"endivepost/internal/node/exchange"
	"endivepost/internal/node/telemetry"
)

const (
	// limitMargin is how much longer than the request's time an attempt may take:
	// the upstream knows the time and answers itself when it is up.
	limitMargin = 60 * time.Millisecond
	// shortestSend is the shortest time that is worth sending a request for.
	shortestSend = 2 * time.Millisecond
	// mostHeld bounds an answer that is held until it is whole.
	mostHeld = 8 << 20
	// progressEvery is the time between two reports on a stream.
	progressEvery = 250 * time.Millisecond
)

var (
	errTimeUp   = errors.New("the time of the request is up")
	errUnsigned = errors.New("the answer is not signed")
	errTooLarge = errors.New("the answer is too large to hold")
	errCaller   = errors.New("the caller does not take the answer")
)

// heldAnswer is an upstream's answer that is not passed on before it is whole.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// write gives the answer to the caller.
func (held *heldAnswer) write(served *served) error {
	header := served.writer.Header()
	for name, values := range served.entry.settings.Dialect.CallerHeader(held.header) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(held.body)))
	served.writer.WriteHeader(held.status)
	if _, err := served.writer.Write(held.body); err != nil {
		return errors.Join(errCaller, err)
	}
	return nil
}

// attempt sends the request to one upstream and passes its answer on.
func (served *served) attempt(ctx context.Context, order event.Attempt) (ended event.AttemptEnded) {
	ended = event.AttemptEnded{ID: order.ID, Number: order.Number}
	left := order.Deadline - served.entry.loop.Uptime()
	if left < shortestSend {
		ended.Result = event.NotSent
		return ended
	}
	ctx, span := served.entry.telemetry.Tracer().Start(ctx, "attempt", trace.WithAttributes(attribute.String("upstream", order.Upstream)))
	defer func() {
		span.SetAttributes(attribute.String("result", ended.Result.String()))
		span.End()
	}()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(left+limitMargin, func() { cancel(errTimeUp) })
	defer timer.Stop()
	served.orders.begin(cancel)
	defer served.orders.begin(nil)
	answer, err := served.entry.exchange.Do(ctx, served.outbound(ctx, order))
	if err != nil {
		ended.Result = sortFailure(ctx, err)
		ended.Delivered = served.begun
		served.logCause(order, err)
		return ended
	}
	ended.Status = answer.StatusCode
	ended.Result, err = served.take(order, answer)
	ended.Delivered = served.begun
	if err != nil {
		ended.Result = sortFailure(ctx, err)
		served.logCause(order, err)
	}
	return ended
}

// sortFailure says what an error means for what the upstream may have run.
func sortFailure(ctx context.Context, err error) event.AttemptResult {
	unsent := errors.Is(err, exchange.ErrNotConnected) || errors.Is(err, exchange.ErrNotSent)
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled), errors.Is(err, errCaller):
		return event.Abandoned
	case unsent && errors.Is(context.Cause(ctx), errTimeUp), errors.Is(err, errTimeUp):
		return event.NotSent
	case unsent:
		return event.ConnectFailed
	case errors.Is(context.Cause(ctx), errTimeUp):
		return event.TimedOut
	case errors.Is(context.Cause(ctx), errStopped):
		return event.Stopped
	}
	return event.Interrupted
}

// outbound returns the request as the upstream gets it. Its header is made when
// the connection stands, so that the time it tells is what is left then.
func (served *served) outbound(ctx context.Context, order event.Attempt) exchange.Request {
	return exchange.Request{
		Address: order.Address,
		Method:  served.request.Method,
		Target:  served.request.RequestURI,
		Host:    served.request.Host,
		Body:    served.body,
		Header: func() (http.Header, error) {
			left := order.Deadline - served.entry.loop.Uptime()
			if left < shortestSend {
				return nil, errTimeUp
			}
			header := served.entry.settings.Dialect.UpstreamHeader(served.request.Header, dialect.Attempt{
				Upstream: order.Upstream, Account: served.resolved.Account, Tier: order.Tier, Timeout: left, ResumeAfter: served.lastID,
			})
			if trace.SpanFromContext(ctx).IsRecording() {
				header.Set("Traceparent", telemetry.Inject(ctx))
			}
			return header, nil
		},
		Match: served.owner,
	}
}

// owner says whose an answer is. Only a failure may do without the request's ID.
func (served *served) owner(response *http.Response) exchange.Match {
	id := served.entry.settings.Dialect.ParseResponse(response).ID
	switch {
	case id == served.call.ID:
		return exchange.Matched
	case id == "" && response.StatusCode >= http.StatusBadRequest:
		return exchange.Unidentified
	}
	return exchange.Mismatched
}

// take reads the answer to one attempt and passes on what may be passed on.
func (served *served) take(order event.Attempt, answer *exchange.Answer) (event.AttemptResult, error) {
	whole := false
	defer func() { answer.Close(whole) }()
	verdict := served.entry.settings.Dialect.ParseResponse(answer.Response)
	switch {
	case verdict.NotRun:
		_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, mostHeld))
		whole = err == nil
		if verdict.Misdirected {
			return event.Misdirected, nil
		}
		return event.Declined, nil
	case !verdict.Signed && answer.StatusCode < http.StatusBadRequest:
		return event.Interrupted, errUnsigned
	case served.resolved.Class.Streamed && answer.StatusCode == http.StatusOK:
		err := served.relay(order, answer)
		whole = err == nil
		return event.Completed, err
	}
	held, err := hold(answer)
	if err != nil {
		return event.Interrupted, err
	}
	whole = true
	if held.status >= http.StatusInternalServerError || served.begun {
		served.held = held
		return event.UpstreamError, nil
	}
	served.begun = true
	served.first = time.Since(served.arrived)
	return event.Completed, held.write(served)
}

func hold(answer *exchange.Answer) (*heldAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, mostHeld+1))
	if err == nil && len(body) > mostHeld {
		err = errTooLarge
	}
	if err != nil {
		return nil, err
	}
	return &heldAnswer{status: answer.StatusCode, header: answer.Header, body: body}, nil
}

// relay passes events on as they come. The header goes out with the first of
// them, so that until then another upstream may take over unseen.
func (served *served) relay(order event.Attempt, answer *exchange.Answer) error {
	reader := eventstream.New(answer.Body)
	reported := time.Time{}
	for {
		data, err := reader.Next()
		if errors.Is(err, io.EOF) {
			served.beginStream(answer)
			return nil
		}
		if err != nil {
			return err
		}
		now := time.Now()
		if reported.IsZero() {
			served.entry.loop.Post(event.AttemptFirstByte{ID: order.ID, Number: order.Number})
		} else if now.Sub(reported) > progressEvery {
			served.entry.loop.Post(event.AttemptProgressed{ID: order.ID, Number: order.Number})
		}
		if reported.IsZero() || now.Sub(reported) > progressEvery {
			reported = now
		}
		if err := served.pass(answer, data); err != nil {
			return err
		}
	}
}

// pass writes one event, unless the caller has it from an earlier attempt.
func (served *served) pass(answer *exchange.Answer, data []byte) error {
	id, numbered := eventstream.ID(data)
	if numbered && !isAfter(id, served.lastID) {
		return nil
	}
	served.beginStream(answer)
	if _, err := served.writer.Write(data); err != nil {
		return errors.Join(errCaller, err)
	}
	if err := http.NewResponseController(served.writer).Flush(); err != nil {
		return errors.Join(errCaller, err)
	}
	if numbered {
		served.lastID = id
	}
	served.measure(time.Now())
	return nil
}

// isAfter compares the IDs of events. Those that are no numbers are taken as new.
func isAfter(id, latest string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	before, beforeErr := strconv.ParseUint(latest, 10, 64)
	return err != nil || beforeErr != nil || number > before
}

func (served *served) beginStream(answer *exchange.Answer) {
	if served.begun {
		return
	}
	served.begun = true
	served.first = time.Since(served.arrived)
	header := served.writer.Header()
	for name, values := range served.entry.settings.Dialect.CallerHeader(answer.Header) {
		header[name] = values
	}
	served.writer.WriteHeader(answer.StatusCode)
}
