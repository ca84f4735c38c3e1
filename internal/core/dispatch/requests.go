package dispatch

import (
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/event"
	"endivepost/internal/policy/retrywindow"
	"endivepost/internal/wire/message"
)

type requestState uint8

const (
	// waiting: no attempt is in progress.
	waiting requestState = iota
	// running: an attempt is in progress.
	running
	// stopping: the attempt in progress was stopped, to send the request elsewhere.
	stopping
	// recalled: the attempt in progress was stopped since the caller is gone.
	recalled
)

// requestRow is one request without a final answer.
type requestRow struct {
	request event.Request
	pool    string
	state   requestState
	arrived time.Duration
	// until is when its time is up, waitUntil when it no longer waits.
	until     time.Duration
	waitUntil time.Duration
	// number counts attempts, sent those that may have reached an upstream.
	number     int
	sentAt     time.Duration
	sent       int
	upstream   string
	tried      []string
	reading    int
	answered   bool
	delivered  bool
	mayHaveRun bool
	// queued says that it waits for room and not for an upstream, until giveUpAt.
	queued   bool
	giveUpAt time.Duration
	// view is what decided for the upstream that was chosen last.
	view event.LoadSnapshot
}

// urgentTarget is the longest target between tokens of a stream that the
// reading of long prompts beside it makes late.
const urgentTarget = 250 * time.Millisecond

// longestRequest bounds a request that neither its caller nor its class bounds.
const longestRequest = 10 * time.Minute

// WithTried returns the row with an upstream that it is not sent to again.
func (row requestRow) WithTried(name string) requestRow {
	row.tried = append(row.tried[:len(row.tried):len(row.tried)], name)
	return row
}

func (row requestRow) urgent() bool {
	between := time.Duration(row.request.Class.BetweenTokens)
	return between > 0 && between <= urgentTarget
}

// memory returns how many tokens the request may add to an engine's KV cache where
// so many of its prompt are to be read.
func (row requestRow) memory(unread int) int {
	return unread + row.request.Prompt.MaxOutputTokens
}

// within returns the time left to the target for the first token, 0 if there is
// none or it has passed.
func (row requestRow) within(now time.Duration) time.Duration {
	first := time.Duration(row.request.Class.FirstToken)
	if first == 0 {
		return 0
	}
	return max(row.arrived+first-now, 0)
}

// mayRepeat says whether the request may be sent to one more upstream although
// it may have run.
func (row requestRow) mayRepeat(now time.Duration) bool {
	return row.request.Class.Repeatable() && row.attemptsLeft() && now < row.until
}

func (row requestRow) attemptsLeft() bool {
	most := row.request.Class.MaxAttempts
	return most == 0 || row.sent < most
}

func (dispatcher *Dispatcher) submit(now time.Duration, request event.Request) {
	row := requestRow{request: request, arrived: now, until: now + request.Timeout}
	if request.Timeout == 0 {
		row.until = now + longestRequest
	}
	if limit := time.Duration(request.Class.TimeLimit); limit > 0 && (request.Timeout == 0 || limit < request.Timeout) {
		row.until = now + limit
	}
	row.waitUntil = min(now+dispatcher.settings.UpstreamWait, row.until)
	if reason, retryAfter := dispatcher.unwelcome(now, row); reason != message.NoReason {
		dispatcher.emit(event.Finish{ID: request.ID, Outcome: message.NotRun, Reason: reason, RetryAfter: retryAfter})
		return
	}
	row.pool = dispatcher.pick(request.Class.Split)
	dispatcher.place(now, row)
}

// unwelcome returns why the request is refused at once, if so, and when the
// caller may come back.
func (dispatcher *Dispatcher) unwelcome(now time.Duration, row requestRow) (message.Reason, time.Duration) {
	if crashes, remaining := dispatcher.crashes(now, row); crashes >= refuseFrom {
		return message.Suspect, remaining
	}
	return message.NoReason, 0
}

// pick draws a pool by the weights of the class.
func (dispatcher *Dispatcher) pick(split []document.Share) string {
	total := 0
	for _, share := range split {
		total += share.Weight
	}
	if total <= 0 {
		return split[0].Pool
	}
	drawn := dispatcher.settings.Random.IntN(total)
	for _, share := range split {
		if drawn < share.Weight {
			return share.Pool
		}
		drawn -= share.Weight
	}
	return split[len(split)-1].Pool
}

// place sends the request to an upstream, or lets it wait for one.
func (dispatcher *Dispatcher) place(now time.Duration, row requestRow) {
	chosen, ok := dispatcher.choose(now, row)
	if !ok {
		dispatcher.wait(now, row)
		return
	}
	row.view = chosen.view
	if !dispatcher.hasRoom(row, chosen) {
		dispatcher.queue(now, row, chosen)
		return
	}
	dispatcher.send(now, row, chosen)
}

// send gives the request to the upstream.
func (dispatcher *Dispatcher) send(now time.Duration, row requestRow, chosen choice) {
	upstream := chosen.upstream
	row.view = chosen.view
	row.number++
	row.sent++
	dispatcher.leaveQueue(row)
	row.state = running
	row.sentAt = now
	row.queued = false
	row.answered = false
	row.upstream = upstream.Name
	row.reading = dispatcher.unread(row, upstream.Name, nil)
	dispatcher.occupy(now, row)
	dispatcher.requestDue.Remove(row.request.ID)
	dispatcher.requests.Put(row.request.ID, row)
	if row.sent == 1 {
		dispatcher.window(row.pool).Sent(now)
	}
	dispatcher.emit(event.Attempt{
		ID: row.request.ID, Number: row.number, Upstream: upstream.Name, Address: upstream.Address, Domain: upstream.Domain,
		Tier: row.request.Tier, Deadline: row.until, Load: chosen.view,
	})
}

func (dispatcher *Dispatcher) window(pool string) *retrywindow.Window {
	found, ok := dispatcher.retries[pool]
	if !ok {
		found = retrywindow.New(dispatcher.settings.Retries)
		dispatcher.retries[pool] = found
	}
	return found
}

// wait keeps a request for which there is no upstream now. One that has tried
// all there are is given up at once.
func (dispatcher *Dispatcher) wait(now time.Duration, row requestRow) {
	if len(row.tried) > 0 || now >= row.waitUntil {
		dispatcher.giveUp(now, row, message.NoUpstream)
		return
	}
	row.state = waiting
	dispatcher.requests.Put(row.request.ID, row)
	dispatcher.requestDue.Set(row.request.ID, row.waitUntil)
}

// placeWaiting looks again at the requests that wait after upstreams changed.
func (dispatcher *Dispatcher) placeWaiting(now time.Duration) {
	if !dispatcher.moved {
		return
	}
	dispatcher.moved = false
	for _, id := range dispatcher.requests.Keys() {
		if row, ok := dispatcher.requests.Get(id); ok && row.state == waiting && !row.queued {
			dispatcher.place(now, row)
		}
	}
}

func (dispatcher *Dispatcher) expireWaiting(now time.Duration) {
	for _, id := range dispatcher.requestDue.PopDue(now) {
		row, ok := dispatcher.requests.Get(id)
		switch {
		case !ok || row.state != waiting:
		case row.queued && now < row.giveUpAt:
			dispatcher.freed = true
			dispatcher.requestDue.Set(id, row.giveUpAt)
		case row.queued:
			dispatcher.giveUp(now, row, message.Overload)
		default:
			dispatcher.giveUp(now, row, message.NoUpstream)
		}
	}
}

// giveUp ends a request at once. Its outcome is not-run only if no upstream can
// have run it.
func (dispatcher *Dispatcher) giveUp(now time.Duration, row requestRow, reason message.Reason) {
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
	dispatcher.requests.Delete(row.request.ID)
	dispatcher.requestDue.Remove(row.request.ID)
	dispatcher.leaveQueue(row)
	finish := event.Finish{ID: row.request.ID, Outcome: outcome, Reason: reason, Upstream: row.upstream, Attempts: row.sent, Load: row.view}
	if outcome == message.NotRun {
		finish.RetryAfter = dispatcher.returnAfter(now, reason)
	}
	dispatcher.emit(finish)
}

// recall ends a request whose caller is gone.
func (dispatcher *Dispatcher) recall(now time.Duration, id message.RequestID) {
	row, ok := dispatcher.requests.Get(id)
	if !ok || row.state == recalled {
		return
	}
	if row.state == waiting {
		dispatcher.giveUp(now, row, message.Cancelled)
		return
	}
	row.state = recalled
	dispatcher.requests.Put(id, row)
	dispatcher.emit(event.StopRun{ID: id})
}
