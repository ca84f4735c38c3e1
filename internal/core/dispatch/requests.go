package dispatch

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/retrywindow"
	"endivepost/internal/policy/trafficsplit"
	"endivepost/internal/wire/message"
)

// submit accepts or rejects a new request. Its deadline follows from the shorter of the
// caller's timeout and the class's time limit, or from maxRequestTime without either.
func (dispatcher *Dispatcher) submit(now time.Duration, request event.Request) {
	row := requestRow{request: request, attributes: request.CrashAttributes(), arrived: now, deadline: now + request.Timeout}
	if request.Timeout == 0 {
		row.deadline = now + maxRequestTime
	}
	if limit := time.Duration(request.Class.TimeLimit); limit > 0 && (request.Timeout == 0 || limit < request.Timeout) {
		row.deadline = now + limit
	}
	row.waitDeadline = min(now+dispatcher.settings.UpstreamWait, row.deadline)
	if reason, retryAfter := dispatcher.rejection(now, row); reason != message.NoReason {
		dispatcher.emit(event.Finish{ID: request.ID, Outcome: message.NotRun, Reason: reason, RetryAfter: retryAfter})
		return
	}
	row.pool = dispatcher.pickPool(request)
	row.begun = request.TakenUp && request.Class.Streamed && request.Class.Resumable
	row.latencySensitive = dispatcher.latencySensitive(now, row)
	dispatcher.place(now, row)
}

// rejection returns why the request is rejected on arrival, and after what time the
// caller may retry; NoReason if it is accepted.
func (dispatcher *Dispatcher) rejection(now time.Duration, row requestRow) (message.Reason, time.Duration) {
	if wait, blamed := dispatcher.crashCauses.Cause(now, row.attributes); blamed && wait > 0 {
		return message.Suspect, wait
	}
	return message.NoReason, 0
}

// pickPool draws the pool of a new request. All entries draw the same pool for a stream that its
// caller may take up at another entry.
func (dispatcher *Dispatcher) pickPool(request event.Request) string {
	split := trafficsplit.New(request.Class.Split)
	if len(request.Class.Split) > 1 && request.Class.Streamed && request.Class.Resumable && request.Stream != 0 {
		return split.DrawFor(request.Stream)
	}
	return split.Draw(dispatcher.settings.Random)
}

// place sends the request to an upstream, enqueues it if that one has no capacity,
// or has it wait if no upstream is usable. It aborts a request that would crash the
// upstream, unless it may be tried.
func (dispatcher *Dispatcher) place(now time.Duration, row requestRow) {
	if dispatcher.held(now) {
		dispatcher.holdRequest(row)
		return
	}
	if dispatcher.outlivesProcess(now, row) {
		dispatcher.abort(now, row, message.Draining)
		return
	}
	row = dispatcher.withKnownBuild(now, row)
	if dispatcher.buildIsGone(now, row) {
		dispatcher.abort(now, row, message.NoBuild)
		return
	}
	if wait, blamed := dispatcher.crashCauses.Cause(now, row.attributes); blamed {
		if wait > 0 || !dispatcher.sendTrial(now, row) {
			dispatcher.abort(now, row, message.Suspect)
		}
		return
	}
	chosen, ok := dispatcher.choose(now, row)
	if !ok {
		dispatcher.waitForUpstream(now, row)
		return
	}
	row.load = chosen.load
	if !dispatcher.hasCapacity(now, row, chosen) {
		dispatcher.enqueue(now, row, chosen)
		return
	}
	dispatcher.send(now, row, chosen)
}

// send starts an attempt at the chosen upstream.
func (dispatcher *Dispatcher) send(now time.Duration, row requestRow, chosen choice) {
	upstream := chosen.upstream
	row.load = chosen.load
	row.attemptNumber++
	row.attemptsSent++
	dispatcher.dequeue(row)
	row.state = running
	row.sentAt = now
	row.queued = false
	row.firstByteReceived = false
	row.upstream = upstream.Name
	row.domain = upstream.Domain
	row.upstreamBuild = dispatcher.build(now, upstream)
	row.prefillTokens = dispatcher.uncachedTokens(row, upstream.Name, nil)
	dispatcher.addLoad(now, row)
	upstreamRow := dispatcher.upstream(upstream.Name).startTrial(now)
	upstreamRow.limit.share = upstreamRow.limit.share.WithSent(now)
	dispatcher.upstreams.Put(upstream.Name, upstreamRow)
	if upstreamRow.backoff.active {
		dispatcher.scheduleBackoff(upstreamRow.backoff.next())
	}
	dispatcher.requestDue.Remove(row.request.ID)
	if !row.counted {
		row.counted = true
		dispatcher.retryWindow(row.pool).Sent(now)
	}
	dispatcher.requests.Put(row.request.ID, row)
	dispatcher.emit(dispatcher.guardAttempt(now, event.Attempt{
		ID: row.request.ID, Number: row.attemptNumber, Upstream: upstream.Name, Address: upstream.Address, Domain: upstream.Domain,
		Started: upstream.Started, Tier: row.request.Tier, Deadline: row.deadline, ChosenAt: now, Load: chosen.load,
	}))
}

func (dispatcher *Dispatcher) retryWindow(pool string) *retrywindow.Window {
	return findOrAdd(dispatcher.retryWindows, pool, func() *retrywindow.Window { return retrywindow.New(dispatcher.settings.Retries) })
}

// waitForUpstream holds a request for which no upstream is usable now. It aborts
// one that has already been tried somewhere or has waited long enough.
func (dispatcher *Dispatcher) waitForUpstream(now time.Duration, row requestRow) {
	if dispatcher.poolEvacuated(now, row.pool) {
		dispatcher.abort(now, row, message.Evacuated)
		return
	}
	if len(row.tried) > 0 || now >= row.waitDeadline {
		dispatcher.abort(now, row, row.noUpstream())
		return
	}
	if dispatcher.outlastedByBackoff(now, row) {
		dispatcher.abort(now, row, message.QueueFull)
		return
	}
	row.state = waiting
	dispatcher.waitsForOrigin = dispatcher.waitsForOrigin || row.begun && !row.buildKnown
	dispatcher.requests.Put(row.request.ID, row)
	dispatcher.requestDue.Set(row.request.ID, row.waitDeadline)
}

// placeWaiting tries again to place the requests that wait for a usable upstream,
// after upstreams changed.
func (dispatcher *Dispatcher) placeWaiting(now time.Duration) {
	if !dispatcher.upstreamsChanged {
		return
	}
	dispatcher.upstreamsChanged = false
	for _, id := range dispatcher.requests.Keys() {
		if row, ok := dispatcher.requests.Get(id); ok && row.state == waiting && !row.queued {
			dispatcher.place(now, row)
		}
	}
}

// expireWaiting aborts waiting requests that have reached their deadline or that wait in
// vain. Queued requests are due before as well: from spilloverAt on any engine may serve
// them, so the queue is examined again.
func (dispatcher *Dispatcher) expireWaiting(now time.Duration) {
	for _, id := range dispatcher.requestDue.PopDue(now) {
		row, ok := dispatcher.requests.Get(id)
		switch {
		case !ok || row.state != waiting:
		case row.queued && now < row.queueDeadline && !dispatcher.waitsInVain(now, row):
			dispatcher.capacityFreed = true
			dispatcher.requestDue.Set(id, row.nextQueueCheck(now))
		case row.queued:
			dispatcher.abort(now, row, message.Overload)
		default:
			dispatcher.abort(now, row, row.noUpstream())
		}
	}
}

// abort finishes a request that is not served any further. Its outcome is not-run
// only if no upstream can have run it.
func (dispatcher *Dispatcher) abort(now time.Duration, row requestRow, reason message.Reason) {
	switch {
	case row.delivered:
		dispatcher.finish(now, row, message.Incomplete, reason)
	case row.mayHaveRun:
		dispatcher.finish(now, row, message.Unknown, reason)
	default:
		dispatcher.finish(now, row, message.NotRun, reason)
	}
}

func (dispatcher *Dispatcher) finish(now time.Duration, row requestRow, outcome message.Outcome, reason message.Reason) {
	row = dispatcher.endTrial(now, row)
	dispatcher.requests.Delete(row.request.ID)
	dispatcher.requestDue.Remove(row.request.ID)
	dispatcher.dequeue(row)
	finish := event.Finish{ID: row.request.ID, Outcome: outcome, Reason: reason, Upstream: row.upstream, Attempts: row.attemptsSent, Load: row.load}
	if outcome == message.NotRun {
		finish.RetryAfter = dispatcher.retryAfter(now, row, reason)
	}
	dispatcher.emit(finish)
}

// cancel ends a request whose caller has disconnected.
func (dispatcher *Dispatcher) cancel(now time.Duration, id message.RequestID) {
	row, ok := dispatcher.requests.Get(id)
	if !ok || row.state == cancelled {
		return
	}
	if row.state == waiting {
		dispatcher.abort(now, row, message.Cancelled)
		return
	}
	row.state = cancelled
	dispatcher.requests.Put(id, row)
	dispatcher.emit(event.StopRun{ID: id, Number: row.attemptNumber})
}
