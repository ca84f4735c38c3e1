package dispatch

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

type requestState uint8

const (
	// waiting: no attempt is in progress.
	waiting requestState = iota
	// running: an attempt is in progress.
	running
	// stopping: the attempt in progress is being stopped, to send the request
	// elsewhere.
	stopping
	// cancelled: the attempt in progress is being stopped because the caller
	// disconnected.
	cancelled
)

// requestRow is the state of one request without a final outcome.
type requestRow struct {
	request event.Request
	// attributes are those by which the request is found to crash upstreams.
	attributes []uint64
	pool       string
	state      requestState
	arrived    time.Duration
	// deadline is when the request has to be finished, waitDeadline until when it
	// may wait for a usable upstream.
	deadline     time.Duration
	waitDeadline time.Duration
	// attemptNumber is the number of the latest attempt, attemptsSent counts the
	// attempts that may have reached an upstream.
	attemptNumber int
	sentAt        time.Duration
	attemptsSent  int
	// counted is true once the request counts in the retry window of its pool.
	counted  bool
	upstream string
	// domain is that of the upstream.
	domain string
	tried  []string
	// begun is true if the caller has events of the stream, or is about to get them. Build
	// is the one that began it, if buildKnown.
	begun      bool
	buildKnown bool
	build      string
	// upstreamBuild is the build of the upstream that the request was sent to last.
	upstreamBuild string
	// prefillTokens counts the prompt tokens that the upstream had not cached when
	// the request was sent to it.
	prefillTokens     int
	firstByteReceived bool
	firstByteAt       time.Duration
	// progressedAt is when the response was last reported to progress, events how many
	// events of the attempt had come by then.
	progressedAt time.Duration
	events       int
	// delivered is true once part of a response has reached the caller, mayHaveRun
	// once an attempt may have run at an upstream.
	delivered  bool
	mayHaveRun bool
	// left is the upstream that the request left because it was silent, "" if none or if it
	// went back.
	left string
	// trial is true if the latest attempt tries an attribute that is blamed for crashes.
	trial bool
	// retryTaken is true if the next attempt has been taken from the retry budget.
	retryTaken bool
	// queued is true if the request waits for capacity, until queueDeadline, and
	// false if it waits for a usable upstream.
	queued        bool
	queueDeadline time.Duration
	// latencySensitive is true if the request's class was latency-sensitive on arrival.
	latencySensitive bool
	// load is the load snapshot of the upstream that was chosen last.
	load event.LoadSnapshot
}

// maxRequestTime bounds a request if neither its caller nor its class sets a
// timeout.
const maxRequestTime = 10 * time.Minute

// WithTried returns the row with an upstream added that the request is not sent to
// again.
func (row requestRow) WithTried(name string) requestRow {
	row.tried = append(row.tried[:len(row.tried):len(row.tried)], name)
	return row
}

// kvTokens returns the most tokens that the request adds to an engine's KV cache:
// its uncached prompt tokens there and its longest output.
func (row requestRow) kvTokens(uncached int) int {
	return uncached + row.request.Prompt.MaxOutputTokens
}

// firstTokenBudget returns the time left to the target for the first token, 0 if
// there is no target or it has passed.
func (row requestRow) firstTokenBudget(now time.Duration) time.Duration {
	first := time.Duration(row.request.Class.FirstToken)
	if first == 0 {
		return 0
	}
	return max(row.arrived+first-now, 0)
}

// mayRepeat returns whether the request may be sent to one more upstream although
// an earlier attempt may have run. Of a response that was delivered in part, only a
// stream can be continued.
func (row requestRow) mayRepeat(now time.Duration) bool {
	if row.delivered && !row.request.Class.Streamed {
		return false
	}
	return row.request.Class.Repeatable() && row.attemptsLeft() && now < row.deadline
}

func (row requestRow) attemptsLeft() bool {
	return row.attemptsLeftAfter(0)
}

// attemptsLeftAfter returns whether an attempt is left after the given number of further
// ones.
func (row requestRow) attemptsLeftAfter(further int) bool {
	limit := row.request.Class.MaxAttempts
	return limit == 0 || row.attemptsSent+further < limit
}

// noUpstream returns why no upstream can serve the request.
func (row requestRow) noUpstream() message.Reason {
	if row.begun {
		return message.NoBuild
	}
	return message.NoUpstream
}
