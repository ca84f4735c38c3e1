package router

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/core/suspects"
	"endivepost/internal/wire/message"
)

// firstErrorStatus is the lowest HTTP status that is an error.
const firstErrorStatus = 400

// takeChunk passes a part on if it is the next one. Parts met before are
// dropped, and a gap is closed by asking for the rest again. If the upstream
// refuses to resume a stream, its error must not pass for the answer.
func (router *Router) takeChunk(now time.Duration, name string, chunk message.Chunk) {
	row, ok := router.current(chunk.ID)
	if !ok || row.peer != name || row.state != bound {
		return
	}
	if chunk.Status >= firstErrorStatus && row.next > 0 {
		router.send(name, message.Withdraw{ID: row.wire})
		router.finish(row, row.cutOff(), message.UpstreamDown)
		return
	}
	if chunk.Index > row.next {
		router.closeGap(now, row)
		return
	}
	if chunk.Index < row.next {
		return
	}
	router.requests.Put(row.request.ID, row.WithNext(chunk.Index+1))
	router.emit(event.Deliver{ID: row.request.ID, Chunk: chunk})
}

func (router *Router) takeEnd(now time.Duration, name string, end message.End) {
	row, ok := router.current(end.ID)
	if !ok || row.peer != name {
		return
	}
	if end.Crashes > 0 {
		router.suspects.Raise(now, row.request.Fingerprint, end.Crashes)
	}
	if row.state == recalled {
		router.finish(row, message.Incomplete, message.Cancelled)
		return
	}
	whole := end.Outcome == message.Complete || end.Outcome == message.Failed
	switch {
	case whole && end.Chunks != row.next:
		router.attach(now, row)
	case whole:
		router.retries.Succeeded()
		router.finish(row, end.Outcome, end.Reason)
	case end.Outcome == message.Unknown && row.guarded():
		row.refusal.RetryAfter = end.RetryAfter
		router.finish(row, message.Unknown, end.Reason)
	default:
		row.wasted += end.Chunks
		router.retry(now, row, end.Reason)
	}
}

// closeGap asks once for the parts from the next one on, however many parts
// arrive behind the gap.
func (router *Router) closeGap(now time.Duration, row requestRow) {
	if row.gapAt == row.next+1 {
		return
	}
	row.gapAt = row.next + 1
	router.attach(now, row)
}

// attach asks the sidecar for the parts from the next one on.
func (router *Router) attach(_ time.Duration, row requestRow) {
	row = row.WithDetached(false)
	router.requests.Put(row.request.ID, row)
	router.requestDue.Remove(row.request.ID)
	router.send(row.peer, message.Attach{ID: row.wire, Next: row.next, Since: row.since})
}

// lose acts on a request whose sidecar is gone: it may have run.
func (router *Router) lose(now time.Duration, row requestRow) {
	if row.state == recalled {
		router.finish(row, message.Unknown, message.Cancelled)
		return
	}
	row.wasted += row.next
	router.retry(now, row, message.Lost)
}

// retry runs an idempotent request again elsewhere: a stream resumes behind its
// last delivered part, any other answer starts anew. A guarded one is never
// sent a second time.
func (router *Router) retry(now time.Duration, row requestRow, reason message.Reason) {
	row.mayHaveRun = true
	if crashes, remaining := router.suspects.Crashes(now, row.request.Fingerprint); crashes >= suspects.RefuseFrom {
		row.refusal.RetryAfter = remaining
		router.finish(row, row.cutOff(), message.Suspect)
		return
	}
	if row.guarded() || !router.retries.Take() {
		router.finish(row, row.cutOff(), reason)
		return
	}
	failed := row.peer
	router.unbind(row)
	row = row.WithAttempt()
	row.refused = []string{failed}
	row.refusal = message.Refused{Reason: reason}
	row.deadline = now + time.Duration(row.request.Class.GiveUpAfter)
	row.base = 0
	if row.request.Payload.Stream {
		row.base = max(row.next-1, 0)
	} else {
		row.next = 0
	}
	if len(router.untried(row)) == 0 {
		row.refused = nil
	}
	router.place(now, row)
}
