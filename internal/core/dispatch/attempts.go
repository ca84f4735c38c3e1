package dispatch

import (
	"net/http"
	"slices"
	"time"

	"endivepost/internal/core/crashcause"
	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

func (dispatcher *Dispatcher) handleFirstByte(now time.Duration, input event.AttemptFirstByte) {
	row, ok := dispatcher.currentAttempt(input.ID, input.Number)
	if !ok || row.firstByteReceived {
		return
	}
	row.firstByteReceived = true
	dispatcher.observeLife(now, row.upstream)
	dispatcher.observeColdData(now, row)
	row = dispatcher.recordOrigin(now, row)
	row.firstByteAt = now
	row.progressedAt = now
	row.events = 1
	dispatcher.requests.Put(input.ID, row)
	dispatcher.endBackoff(now, row.upstream, row.sentAt)
	upstream := dispatcher.upstream(row.upstream).WithSuccess(now, dispatcher.watched)
	upstream.load.PrefillTokens -= row.prefillTokens
	dispatcher.upstreams.Put(row.upstream, upstream)
	dispatcher.loadsChanged()
}

func (dispatcher *Dispatcher) handleProgress(now time.Duration, input event.AttemptProgressed) {
	row, ok := dispatcher.currentAttempt(input.ID, input.Number)
	if !ok {
		return
	}
	dispatcher.observeLife(now, row.upstream)
	dispatcher.observeColdData(now, row)
	dispatcher.upstreams.Put(row.upstream, dispatcher.upstream(row.upstream).WithActivity(dispatcher.watched))
	dispatcher.observeProgress(now, row, input)
	if row.firstByteReceived && now-row.firstByteAt >= crashcause.SurvivalTime {
		row = dispatcher.reportSurvival(now, row)
	}
	row.progressedAt = now
	row.events += input.Events
	dispatcher.requests.Put(input.ID, row)
}

func (dispatcher *Dispatcher) handleActive(input event.AttemptActive) {
	row, ok := dispatcher.currentAttempt(input.ID, input.Number)
	if !ok {
		return
	}
	dispatcher.upstreams.Put(row.upstream, dispatcher.upstream(row.upstream).WithActivity(dispatcher.watched))
	row.delivered = row.delivered || input.Begun
	dispatcher.requests.Put(input.ID, row)
}

// currentAttempt returns the row of the request if the numbered attempt is its
// latest and still in progress. Inputs of earlier attempts are ignored.
func (dispatcher *Dispatcher) currentAttempt(id message.RequestID, number int) (requestRow, bool) {
	row, ok := dispatcher.requests.Get(id)
	return row, ok && row.attemptNumber == number && row.state != waiting
}

// handleAttemptEnd decides after an attempt whether the request is finished,
// retried or aborted.
func (dispatcher *Dispatcher) handleAttemptEnd(now time.Duration, ended event.AttemptEnded) {
	row, ok := dispatcher.currentAttempt(ended.ID, ended.Number)
	if !ok {
		return
	}
	dispatcher.removeLoad(row)
	dispatcher.endBackoff(now, row.upstream, row.sentAt)
	row.delivered = row.delivered || ended.Delivered
	if row.state == cancelled || ended.Result == event.Abandoned {
		dispatcher.finish(now, row, message.Incomplete, message.Cancelled)
		return
	}
	dispatcher.observeColdResult(now, row, ended)
	if !mayReturn(ended.Result) {
		row = row.WithTried(row.upstream)
	}
	dispatcher.updateHealth(now, row, ended)
	row = dispatcher.endTrial(now, row)
	row = dispatcher.withWayBack(now, row)
	switch ended.Result {
	case event.Completed:
		row = dispatcher.reportSurvival(now, row)
		dispatcher.recordResponseTime(now, row)
		dispatcher.finish(now, row, message.Complete, message.NoReason)
	case event.ConnectFailed, event.Withdrawn, event.Unconfirmed:
		row.attemptsSent--
		dispatcher.place(now, row)
	case event.NotSent:
		row.attemptsSent--
		dispatcher.abort(now, row, message.DeadlinePassed)
	case event.Declined, event.Misdirected:
		dispatcher.retry(now, row, row.attemptsLeft(), message.QueueFull)
	case event.UpstreamError:
		row.mayHaveRun = true
		dispatcher.retryUpstreamError(now, row)
	case event.Interrupted, event.Stopped:
		row.mayHaveRun = true
		dispatcher.retry(now, row, row.mayRepeat(now) && !dispatcher.blamed(now, row), interruptionReason(ended))
	case event.Unusable:
		row.mayHaveRun = true
		dispatcher.retry(now, row, row.mayRepeat(now), interruptionReason(ended))
	case event.TimedOut:
		row.mayHaveRun = true
		dispatcher.abort(now, row, message.DeadlinePassed)
	}
}

// interruptionReason returns the reason that the caller is told if a request without a complete
// response is not sent again.
func interruptionReason(ended event.AttemptEnded) message.Reason {
	if ended.Reason == message.NoReason {
		return message.UpstreamDown
	}
	return ended.Reason
}

// updateHealth updates the upstream's health from the result of an attempt.
func (dispatcher *Dispatcher) updateHealth(now time.Duration, row requestRow, ended event.AttemptEnded) {
	switch ended.Result {
	case event.Completed, event.Declined, event.UpstreamError, event.Unusable:
		dispatcher.observeLife(now, row.upstream)
	}
	upstream := dispatcher.upstream(row.upstream)
	dispatcher.observeResult(now, row, ended)
	switch ended.Result {
	case event.Completed:
		upstream = upstream.WithSuccess(now, dispatcher.watched)
	case event.ConnectFailed, event.Interrupted:
		upstream = upstream.WithFailure(now).WithBreak(now)
	case event.Declined, event.UpstreamError, event.Unusable:
		upstream = upstream.WithActivity(dispatcher.watched)
	case event.Misdirected:
		dispatcher.membership.MarkAddressReused(now, row.upstream)
		dispatcher.reportUpstreamChange(now, row.upstream, event.OtherUpstream, true)
	}
	dispatcher.upstreams.Put(row.upstream, upstream)
	if ended.Result == event.Interrupted {
		dispatcher.reportInterruption(now, row)
		dispatcher.reviewCrashCauses(now)
	}
}

// observeResult records in the outlier detection whether the attempt failed. A
// gateway timeout is left out: it depends more on the request and its load than on
// the upstream.
func (dispatcher *Dispatcher) observeResult(now time.Duration, row requestRow, ended event.AttemptEnded) {
	switch {
	case ended.Result == event.Completed:
		dispatcher.outliers.Observe(now, row.upstream, false)
	case ended.Result == event.Unusable, ended.Result == event.UpstreamError && ended.Status != http.StatusGatewayTimeout:
		dispatcher.outliers.Observe(now, row.upstream, true)
	}
}

// retry sends the request to one more upstream if allowed is true, the deadline has
// not passed, the fleet-wide retry budget has a retry left and an upstream is
// available; otherwise it aborts the request with the reason.
func (dispatcher *Dispatcher) retry(now time.Duration, row requestRow, allowed bool, reason message.Reason) {
	if dispatcher.exiting(now) {
		dispatcher.abort(now, row, message.Draining)
		return
	}
	_, found := dispatcher.choose(now, row)
	if !allowed || !found || now >= row.deadline || !dispatcher.takeRetry(now, &row) {
		dispatcher.abort(now, row, reason)
		return
	}
	row.retryTaken = false
	dispatcher.place(now, row)
}

// soundest returns the upstreams to which a request that may have run should go. After a failure
// those with a low failure rate are left: the number of attempts is limited.
func (dispatcher *Dispatcher) soundest(now time.Duration, row requestRow, upstreams []event.Upstream) []event.Upstream {
	if !row.mayHaveRun || len(upstreams) < 2 {
		return upstreams
	}
	names := make([]string, len(upstreams))
	for i, upstream := range upstreams {
		names[i] = upstream.Name
	}
	sound := dispatcher.outliers.Soundest(now, names)
	return slices.DeleteFunc(slices.Clone(upstreams), func(upstream event.Upstream) bool { return !sound[upstream.Name] })
}

// withWayBack returns the row with the upstream that the request left because it was silent
// as one to try again, if no other is left: it may be sound.
func (dispatcher *Dispatcher) withWayBack(now time.Duration, row requestRow) requestRow {
	if row.left == "" {
		return row
	}
	if _, found := dispatcher.choose(now, row); found {
		return row
	}
	left := row.left
	row.tried = slices.DeleteFunc(slices.Clone(row.tried), func(name string) bool { return name == left })
	row.left = ""
	return row
}

// retryUpstreamError retries a repeatable request after an upstream answered with
// an error. Otherwise the caller gets the upstream's own response, unless part of
// another response has already been delivered.
func (dispatcher *Dispatcher) retryUpstreamError(now time.Duration, row requestRow) {
	_, found := dispatcher.choose(now, row)
	if found && row.mayRepeat(now) && dispatcher.takeRetry(now, &row) {
		row.retryTaken = false
		dispatcher.place(now, row)
		return
	}
	if row.delivered {
		dispatcher.abort(now, row, message.UpstreamDown)
		return
	}
	dispatcher.finish(now, row, message.Failed, message.NoReason)
}
