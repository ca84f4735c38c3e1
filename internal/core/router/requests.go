package router

import (
	"slices"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/core/suspects"
	"endivepost/internal/policy/order"
	"endivepost/internal/wire/message"
)

type requestState uint8

const (
	// waiting: the body was not sent in this attempt.
	waiting requestState = iota
	// bound: the body was sent to one sidecar, where the request may run.
	bound
	// cancelled: bound, and the caller has disconnected.
	cancelled
)

// requestRow is one request without a final outcome.
type requestRow struct {
	request event.Request
	// attemptID differs in each attempt, so that late messages of an earlier attempt
	// are recognized.
	attemptID message.RequestID
	attempts  int
	state     requestState
	// reserved holds the sidecars with a reservation, refused those that are not asked
	// again.
	reserved []string
	refused  []string
	// peer is the sidecar that has the body, empty for none, and peerUptime the reading
	// of its clock from before the body was sent.
	peer       string
	peerUptime time.Duration
	// nextChunk is the index of the next chunk to deliver, gapAt one more than the
	// index at which missing chunks were requested last, 0 for never.
	nextChunk int
	gapAt     int
	// resumeFrom is the number of data chunks that a resumed stream skips, build that of the
	// upstream that began it.
	resumeFrom int
	build      string
	// sendBy is the latest send time that still meets the target for the first token.
	// Without ShedLate or such a target it is the deadline of the first attempt. Retries
	// do not change it.
	sendBy time.Duration
	// deadline is the time at which the request fails if no sidecar has its body.
	deadline time.Duration
	// detached is set while the link to the sidecar with the body is lost.
	detached bool
	// mayHaveRun is set once an earlier attempt may have run.
	mayHaveRun bool
	// malformed counts the malformed responses to its attempts.
	malformed int
	// trial is true if the first attempt tries an attribute that is blamed for crashes.
	trial bool
	// wastedTokens counts the chunks of attempts that failed.
	wastedTokens int
	// refusal holds the reason of the last refusal or failure, and the shortest delay
	// to suggest to the caller.
	refusal message.Refused
}

// WithAttempt returns the row at the start of its next attempt.
func (row requestRow) WithAttempt() requestRow {
	row.attempts++
	row.trial = false
	row.attemptID = row.request.ID.WithAttempt(row.attempts)
	row.state = waiting
	row.peer = ""
	row.detached = false
	row.reserved = nil
	return row
}

// WithRetry returns the row at the start of its next attempt, after one at the failed
// sidecar. A stream resumes after its last delivered chunk, any other response starts over.
func (row requestRow) WithRetry(failed string) requestRow {
	row = row.WithAttempt()
	row.refused = []string{failed}
	row.resumeFrom = 0
	if row.request.Payload.Stream {
		// Chunk 0 holds the status and header and no data.
		row.resumeFrom = max(row.nextChunk-1, 0)
	}
	if row.resumeFrom == 0 {
		row.nextChunk = 0
	}
	return row
}

// WithReserved returns the row with a reservation at the sidecar added.
func (row requestRow) WithReserved(name string) requestRow {
	row.reserved = append(row.reserved[:len(row.reserved):len(row.reserved)], name)
	return row
}

// WithoutReserved returns the row with the reservation at the sidecar removed.
func (row requestRow) WithoutReserved(name string) requestRow {
	row.reserved = slices.DeleteFunc(slices.Clone(row.reserved), func(other string) bool { return other == name })
	return row
}

// WithRefused returns the row with the sidecar added to those not asked again.
func (row requestRow) WithRefused(name string, refusal message.Refused) requestRow {
	row.refused = append(row.refused[:len(row.refused):len(row.refused)], name)
	row.refusal = refusal
	return row
}

// WithBound returns the row bound to the sidecar, to which the body is sent.
// peerUptime is the latest reading of the sidecar's clock.
func (row requestRow) WithBound(name string, peerUptime time.Duration) requestRow {
	row.peerUptime = peerUptime
	row.state = bound
	row.peer = name
	row.reserved = nil
	return row
}

// WithDetached returns the row with detached set or cleared.
func (row requestRow) WithDetached(detached bool) requestRow {
	row.detached = detached
	return row
}

// WithNext returns the row with the index of the next chunk to deliver.
func (row requestRow) WithNext(nextChunk int) requestRow {
	row.nextChunk = nextChunk
	return row
}

func (row requestRow) nonIdempotent() bool {
	return row.request.Class.NonIdempotent
}

// submit queues and places a new request, or refuses it.
func (router *Router) submit(now time.Duration, request event.Request) {
	row := requestRow{request: request, deadline: now + time.Duration(request.Class.GiveUpAfter)}
	row.sendBy = row.deadline
	if router.settings.ShedLate && request.Class.FirstToken > 0 {
		row.sendBy = now + time.Duration(float64(request.Class.FirstToken)*maxWaitShare)
	}
	if reason, retryAfter := router.refusalReason(now, request); reason != message.NoReason {
		router.emit(event.Finish{ID: request.ID, Outcome: message.NotRun, Reason: reason, RetryAfter: retryAfter})
		return
	}
	item := order.Item[message.RequestID]{
		Key: request.ID, Tier: request.Class.Tier, Class: request.Class.Name, Account: request.Account, Work: 1,
	}
	if !router.ensureCapacity(now, item) {
		router.emit(event.Finish{ID: request.ID, Outcome: message.NotRun, Reason: message.QueueFull, RetryAfter: router.retryDelay(request)})
		return
	}
	row = row.WithAttempt()
	if _, blamed := router.crashCauses.Cause(now, request.CrashAttributes()); blamed {
		row.trial = true
		router.crashCauses.Try(now, row.attemptID, request.CrashAttributes())
	}
	router.settings.Queue.Add(now, item)
	router.place(now, row)
}

// refusalReason returns why a new request is refused, or NoReason, and after which
// delay the caller may retry.
func (router *Router) refusalReason(now time.Duration, request event.Request) (message.Reason, time.Duration) {
	if router.draining {
		return message.Draining, minRetryAfter
	}
	if !router.ready {
		return message.NotReady, minRetryAfter
	}
	crashes, remaining := router.suspects.Crashes(now, request.Fingerprint)
	if crashes >= suspects.CrashLimit {
		return message.Suspect, remaining
	}
	if wait, blamed := router.crashCauses.Cause(now, request.CrashAttributes()); blamed && wait > 0 {
		return message.Suspect, wait
	}
	return message.NoReason, 0
}

// ensureCapacity evicts a waiting request of a lower tier if the queue is full. It
// reports whether the item fits into the queue.
func (router *Router) ensureCapacity(now time.Duration, item order.Item[message.RequestID]) bool {
	if router.settings.Queue.Fits(item, router.settings.QueueCapacity) {
		return true
	}
	victim, ok := router.settings.Queue.Victim(item.Tier)
	if !ok {
		return false
	}
	row, _ := router.requests.Get(victim.Key)
	router.failQueued(now, row, message.QueueFull)
	return true
}

// failQueued ends a waiting request and withdraws its reservations. No sidecar has
// its body in this attempt, so there is no response to wait for.
func (router *Router) failQueued(now time.Duration, row requestRow, reason message.Reason) {
	for _, name := range row.reserved {
		router.send(name, message.Withdraw{ID: row.attemptID})
	}
	outcome := message.NotRun
	if row.mayHaveRun {
		outcome = row.partialOutcome()
	}
	router.finish(now, row, outcome, reason)
}

// partialOutcome returns the outcome of a request that may have run and was not
// completed.
func (row requestRow) partialOutcome() message.Outcome {
	if row.nextChunk > 0 && row.request.Payload.Stream {
		return message.Incomplete
	}
	return message.Unknown
}

func (router *Router) finish(now time.Duration, row requestRow, outcome message.Outcome, reason message.Reason) {
	if row.trial {
		router.crashCauses.EndTrial(now, row.attemptID, row.request.CrashAttributes())
	}
	router.unbind(row)
	router.settings.Queue.Remove(row.request.ID)
	router.requests.Delete(row.request.ID)
	router.requestDue.Remove(row.request.ID)
	finish := event.Finish{
		ID: row.request.ID, Outcome: outcome, Reason: reason, Upstream: row.peer, Attempts: row.attempts, WastedTokens: row.wastedTokens,
	}
	if outcome != message.Complete && outcome != message.Failed {
		finish.RetryAfter = max(router.retryDelay(row.request), row.refusal.RetryAfter)
	}
	router.emit(finish)
}

// retryDelay returns the delay to suggest to a caller: the shortest queue wait that
// a sidecar of the class predicts, or without one that serves the shortest time for which an
// upstream wants nothing, and at least minRetryAfter.
func (router *Router) retryDelay(request event.Request) time.Duration {
	var waits []time.Duration
	for _, candidate := range router.candidates(request) {
		waits = append(waits, candidate.Load.Wait)
	}
	if len(waits) == 0 {
		waits = router.backoffs(request)
	}
	if len(waits) == 0 {
		return minRetryAfter
	}
	return max(slices.Min(waits), minRetryAfter)
}

// backoffs returns for how long the upstreams want nothing that asked for a backoff.
func (router *Router) backoffs(request event.Request) []time.Duration {
	var waits []time.Duration
	for _, name := range router.connectable(request) {
		if peer, ok := router.peers.Get(name); ok && peer.loadKnown && peer.load.Limit == 0 && peer.load.Wait > 0 {
			waits = append(waits, peer.load.Wait)
		}
	}
	return waits
}

// bind removes a request from the queue and binds it to a sidecar, which gets its
// body.
func (router *Router) bind(row requestRow, name string) requestRow {
	peer, _ := router.peers.Get(name)
	router.peers.Put(name, peer.WithBound(1).WithSent(1))
	router.settings.Queue.Remove(row.request.ID)
	row = row.WithBound(name, peer.uptime)
	if row.request.Payload.Stream && row.resumeFrom == 0 {
		row.build = router.buildOf(name)
	}
	router.requests.Put(row.request.ID, row)
	return row
}

// buildOf returns the build of the upstream in the active document.
func (router *Router) buildOf(name string) string {
	upstream, _ := router.config.Document().Upstream(name)
	return upstream.Build
}

// unbind subtracts the request from its sidecar's count of bound requests. The row
// itself does not change.
func (router *Router) unbind(row requestRow) {
	if row.peer == "" {
		return
	}
	if peer, ok := router.peers.Get(row.peer); ok {
		router.peers.Put(row.peer, peer.WithBound(-1))
	}
}

// cancel ends a request whose caller has disconnected. A bound one ends with its
// sidecar's response, or after cancelTimeout without one.
func (router *Router) cancel(now time.Duration, id message.RequestID) {
	row, ok := router.requests.Get(id)
	if !ok || row.state == cancelled {
		return
	}
	if row.state == waiting {
		router.failQueued(now, row, message.Cancelled)
		return
	}
	router.send(row.peer, message.Withdraw{ID: row.attemptID})
	row.state = cancelled
	router.requests.Put(id, row)
	router.requestDue.Set(id, now+cancelTimeout)
}

// shedLate sheds a request that has waited past its latest send time if all of its
// sidecars have queues: running it would make other requests miss their targets. It
// also sheds one without a connected sidecar. Otherwise the request may still run late.
func (router *Router) shedLate(now time.Duration, row requestRow) {
	for _, candidate := range router.candidates(row.request) {
		if candidate.Load.Queued == 0 {
			router.requestDue.Set(row.request.ID, row.deadline)
			return
		}
	}
	router.failQueued(now, row, message.Overload)
}

// expireRequests handles the requests that are due: waiting past their latest send
// time or their deadline, detached past the reattach timeout, or cancelled without
// a response from the sidecar.
func (router *Router) expireRequests(now time.Duration) {
	for _, id := range router.requestDue.PopDue(now) {
		row, ok := router.requests.Get(id)
		if !ok {
			continue
		}
		switch {
		case row.state == waiting && now < row.deadline:
			router.shedLate(now, row)
		case row.state == waiting:
			router.failQueued(now, row, message.DeadlinePassed)
		case row.state == cancelled:
			router.finish(now, row, message.Unknown, message.Cancelled)
		case row.detached && router.awaitsSilent(now, row):
			router.requestDue.Set(id, now+router.settings.ReattachTimeout)
		case row.detached:
			router.handleLost(now, row)
		}
	}
}
