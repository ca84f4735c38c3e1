package direct

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/node/eventstream"
	"endivepost/internal/node/exchange"
	"endivepost/internal/node/loop"
)

const (
	// progressInterval is the time between two progress reports on a stream.
	progressInterval = 250 * time.Millisecond
	// maxGaps bounds the times between events that are kept for a report.
	maxGaps = 64
	// maxResponseBytes bounds a response that is not a stream.
	maxResponseBytes = 8 << 20
)

// relay forwards events as they arrive. The header is sent with the first event, so
// that the request can be retried at another upstream until then; for a stream without
// events it is sent at the end. A stream that ends with its connection before any event
// is not complete: the upstream may have crashed. Once the response has begun, nothing is
// forwarded before an event that goes on behind the last one.
func (inflight *inflight) relay(attempt event.Attempt, answer *exchange.Answer) error {
	reader := eventstream.New(answer.Body)
	progress := progress{loop: inflight.entry.loop, attempt: attempt}
	data, err := inflight.firstEvent(reader)
	for ; err == nil; data, err = reader.Next() {
		if !eventstream.HasData(data) {
			err = inflight.forwardComment(data)
		} else {
			progress.report(time.Now())
			err = inflight.forwardEvent(answer, data)
		}
		if err != nil {
			return err
		}
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	if !inflight.started && !answer.Framed() {
		return errNoEvents
	}
	inflight.startResponse(answer)
	return nil
}

// progress reports the progress of a stream to the dispatcher.
type progress struct {
	loop       *loop.Loop
	attempt    event.Attempt
	reportedAt time.Time
	// events counts the events since the last report, and gaps are the times between them.
	events int
	gaps   []time.Duration
	lastAt time.Time
}

// report reports the first event at once and of the others one per progressInterval.
func (progress *progress) report(now time.Time) {
	progress.events++
	if !progress.lastAt.IsZero() && len(progress.gaps) < maxGaps {
		progress.gaps = append(progress.gaps, now.Sub(progress.lastAt))
	}
	progress.lastAt = now
	switch {
	case progress.reportedAt.IsZero():
		progress.loop.Post(event.AttemptFirstByte{ID: progress.attempt.ID, Number: progress.attempt.Number})
	case now.Sub(progress.reportedAt) > progressInterval:
		progress.loop.Post(event.AttemptProgressed{
			ID: progress.attempt.ID, Number: progress.attempt.Number, Events: progress.events, MedianGap: median(progress.gaps),
		})
	default:
		return
	}
	progress.reportedAt = now
	progress.events = 0
	progress.gaps = progress.gaps[:0]
}

// median returns the median of the durations, 0 without any. It sorts them.
func median(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[len(durations)/2]
}

// forwardComment writes a comment to the caller once the response has begun. It is no
// progress of the response.
func (inflight *inflight) forwardComment(data []byte) error {
	if !inflight.started {
		return nil
	}
	return inflight.writeFlushed(data)
}

// forwardEvent writes one event to the caller, unless an earlier attempt already did.
func (inflight *inflight) forwardEvent(answer *exchange.Answer, data []byte) error {
	id, numbered := eventstream.ID(data)
	if numbered && !isNewer(id, inflight.lastEventID) {
		return nil
	}
	inflight.startResponse(answer)
	if err := inflight.writeFlushed(data); err != nil {
		return err
	}
	if numbered {
		inflight.lastEventID = id
	}
	inflight.countEvent(time.Now())
	return nil
}

// writeFlushed sends data to the caller at once.
func (inflight *inflight) writeFlushed(data []byte) error {
	defer inflight.activity.duringWrite()()
	if _, err := (callerWriter{inflight.writer}).Write(data); err != nil {
		return err
	}
	if err := http.NewResponseController(inflight.writer).Flush(); err != nil {
		return errors.Join(errCallerDisconnected, err)
	}
	return nil
}

// isNewer compares event IDs as numbers. If either is not a number, the event counts
// as new.
func isNewer(id, latest string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	before, beforeErr := strconv.ParseUint(latest, 10, 64)
	return err != nil || beforeErr != nil || number > before
}

// relayLong forwards a response that is too long to be buffered, after its first bytes.
func (inflight *inflight) relayLong(answer *exchange.Answer, first *bufferedResponse) error {
	if answer.ContentLength > maxResponseBytes {
		return errTooLarge
	}
	if answer.ContentLength >= 0 {
		inflight.writer.Header().Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	inflight.activity.post(true)
	inflight.startResponse(answer)
	rest := io.LimitReader(answer.Body, maxResponseBytes+1-int64(len(first.body)))
	body := io.MultiReader(bytes.NewReader(first.body), rest)
	count, err := io.Copy(activeWriter{callerWriter{inflight.writer}, inflight.activity}, body)
	if err == nil && count > maxResponseBytes {
		err = errTooLarge
	}
	return err
}

// startResponse sends the status and header to the caller once.
func (inflight *inflight) startResponse(answer *exchange.Answer) {
	if inflight.started {
		return
	}
	inflight.started = true
	inflight.timeToFirst = time.Since(inflight.arrived)
	header := inflight.writer.Header()
	for name, values := range inflight.entry.settings.Dialect.CallerHeader(answer.Header) {
		header[name] = values
	}
	inflight.status = answer.StatusCode
	inflight.writer.WriteHeader(answer.StatusCode)
}

// activeWriter reports that the attempt goes on while a write to the caller takes long.
type activeWriter struct {
	callerWriter
	activity *activity
}

// Write implements io.Writer.
func (writer activeWriter) Write(data []byte) (int, error) {
	defer writer.activity.duringWrite()()
	return writer.callerWriter.Write(data)
}

// callerWriter writes to the caller. Its errors wrap errCallerDisconnected.
type callerWriter struct{ writer io.Writer }

// Write implements io.Writer.
func (caller callerWriter) Write(data []byte) (int, error) {
	count, err := caller.writer.Write(data)
	if err != nil {
		err = errors.Join(errCallerDisconnected, err)
	}
	return count, err
}
