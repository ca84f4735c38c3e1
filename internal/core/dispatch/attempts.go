package dispatch

import (
	"net/http"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

func (dispatcher *Dispatcher) answered(now time.Duration, answered event.AttemptFirstByte) {
	row, ok := dispatcher.current(answered.ID, answered.Number)
	if !ok || row.answered {
		return
	}
	row.answered = true
	dispatcher.requests.Put(answered.ID, row)
	dispatcher.absolve(now, row.upstream)
	held := dispatcher.upstream(row.upstream).WithSuccess(now)
	held.use.PrefillTokens -= row.reading
	dispatcher.upstreams.Put(row.upstream, held)
	dispatcher.usesChanged()
}

func (dispatcher *Dispatcher) progressed(now time.Duration, progressed event.AttemptProgressed) {
	if row, ok := dispatcher.current(progressed.ID, progressed.Number); ok {
		dispatcher.absolve(now, row.upstream)
		dispatcher.upstreams.Put(row.upstream, dispatcher.upstream(row.upstream).WithHeard(now))
	}
}

func (dispatcher *Dispatcher) current(id message.RequestID, number int) (requestRow, bool) {
	row, ok := dispatcher.requests.Get(id)
	return row, ok && row.number == number && row.state != waiting
}

// ended decides what becomes of a request after an attempt.
func (dispatcher *Dispatcher) ended(now time.Duration, ended event.AttemptEnded) {
	row, ok := dispatcher.current(ended.ID, ended.Number)
	if !ok {
		return
	}
	dispatcher.release(row)
	row.delivered = row.delivered || ended.Delivered
	if row.state == recalled || ended.Result == event.Abandoned {
		dispatcher.finish(now, row, message.Incomplete, message.Cancelled)
		return
	}
	row = row.WithTried(row.upstream)
	dispatcher.judgeUpstream(now, row, ended)
	switch ended.Result {
	case event.Completed:
		dispatcher.clear(now, row)
		dispatcher.measure(now, row)
		dispatcher.finish(now, row, message.Complete, message.NoReason)
	case event.ConnectFailed:
		row.sent--
		dispatcher.place(now, row)
	case event.NotSent:
		row.sent--
		dispatcher.giveUp(now, row, message.DeadlinePassed)
	case event.Declined, event.Misdirected:
		dispatcher.retry(now, row, row.attemptsLeft(), message.QueueFull)
	case event.UpstreamError:
		row.mayHaveRun = true
		dispatcher.retryErred(now, row)
	case event.Interrupted, event.Stopped:
		row.mayHaveRun = true
		dispatcher.retry(now, row, row.mayRepeat(now) && !dispatcher.suspected(now, row), message.UpstreamDown)
	case event.TimedOut:
		row.mayHaveRun = true
		dispatcher.giveUp(now, row, message.DeadlinePassed)
	}
}

// judgeUpstream draws from the end of an attempt what it says about the upstream.
func (dispatcher *Dispatcher) judgeUpstream(now time.Duration, row requestRow, ended event.AttemptEnded) {
	if ended.Result == event.Completed || ended.Result == event.Declined || ended.Result == event.UpstreamError {
		dispatcher.absolve(now, row.upstream)
	}
	held := dispatcher.upstream(row.upstream)
	dispatcher.observe(now, row, ended)
	switch ended.Result {
	case event.Completed:
		held = held.WithSuccess(now)
	case event.ConnectFailed, event.Interrupted:
		held = held.WithFailure(now)
	case event.Declined, event.UpstreamError:
		held = held.WithHeard(now)
	case event.Misdirected:
		dispatcher.roster.MarkAddressReused(now, row.upstream)
		dispatcher.noteUpstream(now, row.upstream, event.OtherUpstream, true)
	}
	dispatcher.upstreams.Put(row.upstream, held)
	if ended.Result == event.Interrupted {
		dispatcher.blame(now, row)
	}
}

// observe takes an answer into the upstream's share of failures. That the time
// was up says more of the request and its load than of the upstream.
func (dispatcher *Dispatcher) observe(now time.Duration, row requestRow, ended event.AttemptEnded) {
	switch {
	case ended.Result == event.Completed:
		dispatcher.rates.Observe(now, row.upstream, false)
	case ended.Result == event.UpstreamError && ended.Status != http.StatusGatewayTimeout:
		dispatcher.rates.Observe(now, row.upstream, true)
	}
}

// retry sends the request to one more upstream if it may be, the common bound on
// retries leaves room, and there is one.
func (dispatcher *Dispatcher) retry(now time.Duration, row requestRow, may bool, reason message.Reason) {
	_, found := dispatcher.choose(now, row)
	if !may || !found || now >= row.until || !dispatcher.window(row.pool).Take(now, dispatcher.mesh.EntryCount(now)) {
		dispatcher.giveUp(now, row, reason)
		return
	}
	dispatcher.place(now, row)
}

// retryErred sends a repeatable request to another upstream after a failure of
// the first; otherwise the caller gets the upstream's own answer, unless part of
// another one has gone out already.
func (dispatcher *Dispatcher) retryErred(now time.Duration, row requestRow) {
	_, found := dispatcher.choose(now, row)
	if found && row.mayRepeat(now) && dispatcher.window(row.pool).Take(now, dispatcher.mesh.EntryCount(now)) {
		dispatcher.place(now, row)
		return
	}
	if row.delivered {
		dispatcher.giveUp(now, row, message.UpstreamDown)
		return
	}
	dispatcher.finish(now, row, message.Failed, message.NoReason)
}
