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
	// bound: the body was sent to one sidecar and may run there.
	bound
	// recalled: bound, but the caller is gone.
	recalled
)

// requestRow is one request without a final answer. Wire is the ID under which
// the present attempt travels: each attempt has its own, so that what is late
// from an earlier one is told apart.
type requestRow struct {
	request    event.Request
	wire       message.RequestID
	attempts   int
	state      requestState
	reserved   []string
	refused    []string
	peer       string
	since      time.Duration
	next       int
	gapAt      int
	base       int
	lateAt     time.Duration
	deadline   time.Duration
	detached   bool
	mayHaveRun bool
	wasted     int
	refusal    message.Refused
}

// WithAttempt returns the row at the start of one more attempt.
func (row requestRow) WithAttempt() requestRow {
	row.attempts++
	row.wire = row.request.ID.WithAttempt(row.attempts)
	row.state = waiting
	row.peer = ""
	row.detached = false
	row.reserved = nil
	return row
}

// WithReserved returns the row with a reservation at the sidecar.
func (row requestRow) WithReserved(name string) requestRow {
	row.reserved = append(row.reserved[:len(row.reserved):len(row.reserved)], name)
	return row
}

// WithoutReserved returns the row without a reservation at the sidecar.
func (row requestRow) WithoutReserved(name string) requestRow {
	row.reserved = slices.DeleteFunc(slices.Clone(row.reserved), func(other string) bool { return other == name })
	return row
}

// WithRefused returns the row with the sidecar among those not to ask again.
func (row requestRow) WithRefused(name string, refusal message.Refused) requestRow {
	row.refused = append(row.refused[:len(row.refused):len(row.refused)], name)
	row.refusal = refusal
	return row
}

// WithBound returns the row as one whose body is sent to the sidecar; since is
// the latest reading of its clock.
func (row requestRow) WithBound(name string, since time.Duration) requestRow {
	row.since = since
	row.state = bound
	row.peer = name
	row.reserved = nil
	return row
}

// WithDetached returns the row with the word whether its connection is lost.
func (row requestRow) WithDetached(detached bool) requestRow {
	row.detached = detached
	return row
}

// WithNext returns the row with the number of the part that comes next.
func (row requestRow) WithNext(next int) requestRow {
	row.next = next
	return row
}

func (row requestRow) guarded() bool {
	return row.request.Class.NonIdempotent
}

func (router *Router) submit(now time.Duration, request event.Request) {
	row := requestRow{request: request, deadline: now + time.Duration(request.Class.GiveUpAfter)}
	row.lateAt = row.deadline
	if router.settings.ShedLate && request.Class.FirstToken > 0 {
		row.lateAt = now + time.Duration(float64(request.Class.FirstToken)*startShare)
	}
	if reason, retryAfter := router.unwelcome(now, request); reason != message.NoReason {
		router.emit(event.Finish{ID: request.ID, Outcome: message.NotRun, Reason: reason, RetryAfter: retryAfter})
		return
	}
	item := order.Item[message.RequestID]{
		Key: request.ID, Tier: request.Class.Tier, Class: request.Class.Name, Account: request.Account, Work: 1,
	}
	if !router.makeRoom(now, item) {
		router.emit(event.Finish{ID: request.ID, Outcome: message.NotRun, Reason: message.QueueFull, RetryAfter: router.returnAfter(request)})
		return
	}
	row = row.WithAttempt()
	router.settings.Queue.Add(now, item)
	router.place(now, row)
}

// unwelcome returns why the request is refused at once, if so, and when the
// caller may come back.
func (router *Router) unwelcome(now time.Duration, request event.Request) (message.Reason, time.Duration) {
	if router.draining {
		return message.Draining, shortestReturn
	}
	if !router.ready {
		return message.NotReady, shortestReturn
	}
	crashes, remaining := router.suspects.Crashes(now, request.Fingerprint)
	if crashes >= suspects.RefuseFrom {
		return message.Suspect, remaining
	}
	return message.NoReason, 0
}

// makeRoom gives up a waiting request of a lower tier if the queue is full.
func (router *Router) makeRoom(now time.Duration, item order.Item[message.RequestID]) bool {
	if router.settings.Queue.Fits(item, router.settings.QueueCapacity) {
		return true
	}
	victim, ok := router.settings.Queue.Victim(item.Tier)
	if !ok {
		return false
	}
	row, _ := router.requests.Get(victim.Key)
	router.giveUp(now, row, message.QueueFull)
	return true
}

// giveUp ends a waiting request at once: its body is with nobody.
func (router *Router) giveUp(_ time.Duration, row requestRow, reason message.Reason) {
	for _, name := range row.reserved {
		router.send(name, message.Withdraw{ID: row.wire})
	}
	outcome := message.NotRun
	if row.mayHaveRun {
		outcome = row.cutOff()
	}
	router.finish(row, outcome, reason)
}

// cutOff is the outcome of a request that ran at least in part.
func (row requestRow) cutOff() message.Outcome {
	if row.next > 0 && row.request.Payload.Stream {
		return message.Incomplete
	}
	return message.Unknown
}

func (router *Router) finish(row requestRow, outcome message.Outcome, reason message.Reason) {
	router.unbind(row)
	router.settings.Queue.Remove(row.request.ID)
	router.requests.Delete(row.request.ID)
	router.requestDue.Remove(row.request.ID)
	finish := event.Finish{
		ID: row.request.ID, Outcome: outcome, Reason: reason, Upstream: row.peer, Attempts: row.attempts, WastedTokens: row.wasted,
	}
	if outcome != message.Complete && outcome != message.Failed {
		finish.RetryAfter = max(router.returnAfter(row.request), row.refusal.RetryAfter)
	}
	router.emit(finish)
}

// returnAfter tells a caller when to come back: after the shortest wait that a
// sidecar of the class predicts.
func (router *Router) returnAfter(request event.Request) time.Duration {
	shortest := time.Duration(0)
	for i, candidate := range router.candidates(request) {
		if i == 0 || candidate.Load.Wait < shortest {
			shortest = candidate.Load.Wait
		}
	}
	return max(shortest, shortestReturn)
}

func (router *Router) bind(row requestRow, name string) requestRow {
	peer, _ := router.peers.Get(name)
	router.peers.Put(name, peer.WithBound(1).WithSent(1))
	router.settings.Queue.Remove(row.request.ID)
	row = row.WithBound(name, peer.uptime)
	router.requests.Put(row.request.ID, row)
	return row
}

func (router *Router) unbind(row requestRow) {
	if row.peer == "" {
		return
	}
	if peer, ok := router.peers.Get(row.peer); ok {
		router.peers.Put(row.peer, peer.WithBound(-1))
	}
}

// recall ends a request whose caller is gone.
func (router *Router) recall(now time.Duration, id message.RequestID) {
	row, ok := router.requests.Get(id)
	if !ok || row.state == recalled {
		return
	}
	if row.state == waiting {
		router.giveUp(now, row, message.Cancelled)
		return
	}
	router.send(row.peer, message.Withdraw{ID: row.wire})
	row.state = recalled
	router.requests.Put(id, row)
	router.requestDue.Set(id, now+recallGrace)
}

// shedLate gives up a request that has waited so long that it would miss its
// target, if others wait too: running it would make them miss theirs. Without
// contention it may still run late.
func (router *Router) shedLate(now time.Duration, row requestRow) {
	for _, candidate := range router.candidates(row.request) {
		if candidate.Load.Queued == 0 {
			router.requestDue.Set(row.request.ID, row.deadline)
			return
		}
	}
	router.giveUp(now, row, message.Overload)
}

// expireRequests ends the requests that are due: waiting past their deadline,
// detached for too long, or recalled without an answer.
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
			router.giveUp(now, row, message.DeadlinePassed)
		case row.state == recalled:
			router.finish(row, message.Unknown, message.Cancelled)
		case row.detached:
			router.lose(now, row)
		}
	}
}
