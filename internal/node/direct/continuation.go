package direct

import (
	"errors"
	"io"
	"mime"
	"strconv"

	"endivepost/internal/node/eventstream"
	"endivepost/internal/node/exchange"
)

// A stream that broke off goes on with the response of another upstream. That may instead
// be an error, a page or a stream of its own, which must not get into the caller's stream.

var errNotContinued = errors.New("the upstream's response does not go on with the stream that broke off")

// errorEvent is the type of an event that reports an error.
const errorEvent = "error"

// hasTypeOfStream reports whether the response has the media type of the stream that began.
func (inflight *inflight) hasTypeOfStream(answer *exchange.Answer) bool {
	const field = "Content-Type"
	begun, _, _ := mime.ParseMediaType(inflight.writer.Header().Get(field))
	resumed, _, _ := mime.ParseMediaType(answer.Header.Get(field))
	return begun == resumed
}

// firstEvent returns the first event or comment to forward. Once the response to the caller
// has begun, that is the first event with which the stream goes on.
func (inflight *inflight) firstEvent(reader *eventstream.Reader) ([]byte, error) {
	data, err := reader.Next()
	if !inflight.started {
		return data, err
	}
	for ; err == nil; data, err = reader.Next() {
		continued, err := continues(data, inflight.lastEventID)
		if continued || err != nil {
			return data, err
		}
	}
	if errors.Is(err, io.EOF) {
		err = errNotContinued
	}
	return nil, err
}

// continues returns whether the stream goes on with the event, which a further upstream
// sent. It does not with a comment or an event that the caller already has; these are
// skipped. The error is errNotContinued for an event that is of no use at all: it reports
// an error, or it has no number that can be compared with that of the last event.
func continues(data []byte, lastEventID string) (bool, error) {
	if !eventstream.HasData(data) {
		return false, nil
	}
	id, _ := eventstream.ID(data)
	number, err := strconv.ParseUint(id, 10, 64)
	last, lastErr := strconv.ParseUint(lastEventID, 10, 64)
	if err != nil || lastErr != nil || eventstream.Type(data) == errorEvent {
		return false, errNotContinued
	}
	return number > last, nil
}
