package upstream

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"endivepost/internal/core/event"
	"endivepost/internal/node/exchange"
	"endivepost/internal/node/telemetry"
	"endivepost/internal/wire/message"
	"endivepost/internal/wire/responsehead"
)

// request returns the request to the upstream. Each response belongs to it: its connection is
// new.
func (upstream *Upstream) request(ctx context.Context, start event.StartRun) exchange.Request {
	return exchange.Request{
		Address: upstream.settings.Address,
		Method:  start.Payload.Method,
		Target:  start.Payload.Path,
		Host:    upstream.settings.Address,
		Body:    [][]byte{start.Payload.Body},
		Fresh:   true,
		Header:  func() (http.Header, error) { return upstream.header(ctx, start) },
		Match:   func(*http.Response) exchange.Match { return exchange.Matched },
	}
}

// header returns the header of the request. It reads the clock right before sending: a process
// that was paused since the grant must not run a request that its entry has timed out
// meanwhile.
func (upstream *Upstream) header(ctx context.Context, start event.StartRun) (http.Header, error) {
	if upstream.settings.Uptime() > start.NotAfter {
		return nil, errLeaseExpired
	}
	header := make(http.Header)
	for _, field := range start.Payload.Header {
		header.Add(field.Name, field.Value)
	}
	for _, name := range framingHeaders {
		header.Del(name)
	}
	header.Set("Connection", "close")
	header.Set(HeaderPriority, strconv.Itoa(start.Tier))
	if start.ResumeFrom > 0 {
		header.Set(HeaderResumeOffset, strconv.Itoa(start.ResumeFrom))
	}
	if parent := telemetry.Inject(ctx); parent != "" {
		header.Set("Traceparent", parent)
	}
	return header, nil
}

// framingHeaders are the fields that say where a request goes and where it ends. They are
// derived from the request itself.
var framingHeaders = []string{"Host", "Content-Length", "Transfer-Encoding", "Trailer"}

// failure maps an error to the end of a run. Nothing was sent if the lease had expired or the
// connection could not be opened, or broke before the first byte. A stall or a cancelled run, for
// which the context has a cause, is not a crash, nor is a response that does not resume the
// stream or has a malformed head. Any other error counts as a crash of the upstream.
func (upstream *Upstream) failure(ctx context.Context, id message.RequestID, err error) event.RunEnded {
	switch {
	case errors.Is(err, errLeaseExpired):
		return event.RunEnded{NotStarted: true, Outcome: message.NotRun, Reason: message.LeaseExpired}
	case errors.Is(err, exchange.ErrNotConnected) && context.Cause(ctx) == nil:
		upstream.post(event.UpstreamChecked{Up: false})
		return event.RunEnded{NotStarted: true, Outcome: message.NotRun, Reason: message.UpstreamDown}
	case errors.Is(err, exchange.ErrNotConnected), errors.Is(err, exchange.ErrNotSent):
		return event.RunEnded{NotStarted: true, Outcome: message.NotRun, Reason: message.UpstreamDown}
	}
	ended := event.RunEnded{Outcome: message.Incomplete, Reason: exchange.Reason(err), Crashed: true}
	if context.Cause(ctx) != nil || errors.Is(err, errNotResumed) || errors.Is(err, responsehead.ErrMalformed) {
		ended.Crashed = false
	}
	if upstream.settings.Failed != nil {
		upstream.settings.Failed(id, ended.Reason, err)
	}
	return ended
}
