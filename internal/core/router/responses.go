package router

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/core/suspects"
	"endivepost/internal/wire/message"
)

// maxMalformed is the number of malformed responses to a request after which it ends: it would
// otherwise take the retries of others at an upstream in trouble.
const maxMalformed = 2

// firstErrorStatus is the lowest HTTP status that is an error.
const firstErrorStatus = 400

// handleChunk delivers a chunk if it is the next one. Duplicates are dropped. After
// a gap the missing chunks are requested again. If the upstream refuses to resume
// a stream, its error response must not be delivered as part of the stream, so the
// request ends.
func (router *Router) handleChunk(now time.Duration, name string, chunk message.Chunk) {
	row, ok := router.currentAttempt(chunk.ID)
	if !ok || row.peer != name || row.state != bound {
		return
	}
	if chunk.Status >= firstErrorStatus && row.nextChunk > 0 {
		router.send(name, message.Withdraw{ID: row.attemptID})
		router.finish(now, row, row.partialOutcome(), message.UpstreamDown)
		return
	}
	if chunk.Index > row.nextChunk {
		router.requestMissing(now, row)
		return
	}
	if chunk.Index < row.nextChunk {
		return
	}
	router.requests.Put(row.request.ID, row.WithNext(chunk.Index+1))
	router.emit(event.Deliver{ID: row.request.ID, Chunk: chunk})
}

// handleEnd handles the end of an attempt. A response is finished only if all of its
// chunks have arrived. Any other end is passed to retry, except the unknown outcome of
// a non-idempotent request, which is final.
func (router *Router) handleEnd(now time.Duration, name string, end message.End) {
	row, ok := router.currentAttempt(end.ID)
	if !ok || row.peer != name {
		return
	}
	if end.Crashes > 0 {
		router.suspects.Raise(now, row.request.Fingerprint, end.Crashes)
	}
	if row.state == cancelled {
		router.finish(now, row, message.Incomplete, message.Cancelled)
		return
	}
	finished := end.Outcome == message.Complete || end.Outcome == message.Failed
	switch {
	case finished && end.Chunks != row.nextChunk:
		router.reattach(now, row)
	case finished:
		router.retries.Succeeded()
		router.finish(now, row, end.Outcome, end.Reason)
	case end.Outcome == message.Unknown && row.nonIdempotent():
		row.refusal.RetryAfter = end.RetryAfter
		router.finish(now, row, message.Unknown, end.Reason)
	default:
		row.wastedTokens += end.Chunks
		router.retry(now, row, end.Reason)
	}
}

// requestMissing requests the chunks from the next one on, once for each gap, no
// matter how many chunks arrive after the gap.
func (router *Router) requestMissing(now time.Duration, row requestRow) {
	if row.gapAt == row.nextChunk+1 {
		return
	}
	row.gapAt = row.nextChunk + 1
	router.reattach(now, row)
}

// reattach requests the chunks from the next one on from the sidecar.
func (router *Router) reattach(_ time.Duration, row requestRow) {
	row = row.WithDetached(false)
	router.requests.Put(row.request.ID, row)
	router.requestDue.Remove(row.request.ID)
	router.send(row.peer, message.Attach{ID: row.attemptID, Next: row.nextChunk, Since: row.peerUptime})
}

// handleLost handles a request whose sidecar restarted or did not reconnect in
// time. The request may have run.
func (router *Router) handleLost(now time.Duration, row requestRow) {
	if row.state == cancelled {
		router.finish(now, row, message.Unknown, message.Cancelled)
		return
	}
	row.wastedTokens += row.nextChunk
	router.retry(now, row, message.Lost)
}

// retry places an idempotent request again, at another sidecar if there is one, with
// a new deadline. A stream resumes after its last delivered chunk; any other response, and a
// stream without data so far, starts over. A non-idempotent request is never sent a second
// time. The request ends instead if it may have crashed too many upstreams, if its responses
// were malformed or if the retry budget is empty.
func (router *Router) retry(now time.Duration, row requestRow, reason message.Reason) {
	row.mayHaveRun = true
	row.trial = false
	crashes, remaining := router.suspects.Crashes(now, row.request.Fingerprint)
	blamedFor, blamed := router.crashCauses.Cause(now, row.request.CrashAttributes())
	if blamed || crashes >= suspects.CrashLimit {
		row.refusal.RetryAfter = max(remaining, blamedFor)
		router.finish(now, row, row.partialOutcome(), message.Suspect)
		return
	}
	if reason == message.MalformedResponse {
		row.malformed++
	}
	if row.nonIdempotent() || row.malformed >= maxMalformed || !router.retries.Take() {
		router.finish(now, row, row.partialOutcome(), reason)
		return
	}
	failed := row.peer
	router.unbind(row)
	row = row.WithRetry(failed)
	row.refusal = message.Refused{Reason: reason}
	row.deadline = now + time.Duration(row.request.Class.GiveUpAfter)
	if len(router.untried(row)) == 0 {
		row.refused = nil
	}
	router.place(now, row)
}
