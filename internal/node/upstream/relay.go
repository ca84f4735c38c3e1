package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"endivepost/internal/core/event"
	"endivepost/internal/node/eventstream"
	"endivepost/internal/wire/message"
)

func (upstream *Upstream) relay(ctx context.Context, start event.StartRun, response *http.Response, watchdog *watchdog) error {
	if isEventStream(response) {
		return upstream.relayEvents(ctx, start, response.Body, watchdog)
	}
	return upstream.relayBytes(ctx, start.ID, response.Body, watchdog)
}

func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// postData posts a part of the response once it is admitted. The stall timeout does not run
// meanwhile: the upstream has sent the data.
func (upstream *Upstream) postData(ctx context.Context, id message.RequestID, data []byte, watchdog *watchdog) error {
	if upstream.settings.Admit != nil {
		watchdog.reset(0)
		if err := upstream.settings.Admit(ctx, id, len(data)); err != nil {
			return err
		}
	}
	watchdog.reset(upstream.settings.StallTimeout)
	upstream.post(event.ResponseChunk{ID: id, Data: data})
	return nil
}

func (upstream *Upstream) relayBytes(ctx context.Context, id message.RequestID, body io.Reader, watchdog *watchdog) error {
	buffer := make([]byte, readBytes)
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			if err := upstream.postData(ctx, id, bytes.Clone(buffer[:count]), watchdog); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// relayEvents posts each server-sent event as one chunk, together with the comments before
// it: a resumed stream skips as many events as there were chunks. A stream is complete only
// with the [DONE] event.
func (upstream *Upstream) relayEvents(ctx context.Context, start event.StartRun, body io.Reader, watchdog *watchdog) error {
	reader := eventstream.New(body)
	done := false
	var comments []byte
	data, err := firstEvent(reader, start.ResumeFrom > 0)
	for ; err == nil; data, err = reader.Next() {
		// Comments keep a connection open and are no progress.
		if !eventstream.HasData(data) {
			comments = append(comments, data...)
			continue
		}
		if bytes.HasPrefix(data, []byte(doneEvent)) {
			done = true
			comments = nil
		}
		if err := upstream.postData(ctx, start.ID, append(comments, data...), watchdog); err != nil {
			return err
		}
		comments = nil
	}
	switch {
	case !errors.Is(err, io.EOF):
		return err
	case !done:
		return errTruncated
	}
	return nil
}

// firstEvent returns the first event or comment to post. In a resumed stream that is the
// first event with data, and an event that reports an error does not resume it.
func firstEvent(reader *eventstream.Reader, resumed bool) ([]byte, error) {
	data, err := reader.Next()
	for resumed && err == nil && !eventstream.HasData(data) {
		data, err = reader.Next()
	}
	if resumed && err == nil && eventstream.Type(data) == errorEvent {
		return nil, errNotResumed
	}
	return data, err
}

// excludedHeaders are the fields of a response that apply to its connection only, and
// those that the entry's HTTP server sets itself: Date and Content-Length. HeaderLeaving is
// meant for the sidecar.
var excludedHeaders = map[string]bool{
	"Connection": true, "Transfer-Encoding": true, "Keep-Alive": true, "Date": true, "Content-Length": true, HeaderLeaving: true,
}
