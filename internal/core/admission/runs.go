package admission

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/limit"
	"endivepost/internal/wire/message"
)

// runRow is a request that was sent to the upstream. Its last chunks are kept in a
// bounded replay buffer for entries that reattach and for repetitions of a request
// with an idempotency key. The field firstChunk is the index of the first chunk in
// the buffer, nextChunk the index of the next one from the upstream, updatedAt the
// time of the start or of the last chunk, end or reattachment.
type runRow struct {
	peer         string
	reserve      message.Reserve
	repetitions  []repetitionRow
	replayBuffer []message.Chunk
	replayBytes  int
	firstChunk   int
	nextChunk    int
	startedAt    time.Duration
	updatedAt    time.Duration
	ended        bool
	end          message.End
}

// WithChunk returns the row with one more chunk and at most maxBytes of response in
// the replay buffer. The last chunk is kept whatever its size.
func (row runRow) WithChunk(now time.Duration, chunk message.Chunk, maxBytes int) runRow {
	row.replayBuffer = append(row.replayBuffer, chunk)
	row.replayBytes += message.MemorySize(chunk)
	row.nextChunk = chunk.Index + 1
	row.updatedAt = now
	for row.replayBytes > maxBytes && len(row.replayBuffer) > 1 {
		row.replayBytes -= message.MemorySize(row.replayBuffer[0])
		row.replayBuffer[0] = message.Chunk{}
		row.replayBuffer = row.replayBuffer[1:]
	}
	row.firstChunk = row.replayBuffer[0].Index
	return row
}

// WithEnd returns the row as ended.
func (row runRow) WithEnd(now time.Duration, end message.End) runRow {
	row.ended = true
	row.end = end
	row.updatedAt = now
	return row
}

// WithRepetition returns the row with one more repetition that gets the response.
func (row runRow) WithRepetition(repetition repetitionRow) runRow {
	row.repetitions = append(row.repetitions[:len(row.repetitions):len(row.repetitions)], repetition)
	return row
}

// WithPeer returns the row with peer as the entry that gets the response.
func (row runRow) WithPeer(now time.Duration, peer string) runRow {
	row.peer = peer
	row.updatedAt = now
	return row
}

func (controller *Controller) findRun(id message.RequestID) (runRow, bool) {
	if holder, ok := controller.aliases[id]; ok {
		id = holder
	}
	return controller.runs.Get(id)
}

// startRun turns a reservation into a run. From now on the request may have run.
func (controller *Controller) startRun(now time.Duration, row reservationRow, payload message.Payload) {
	id := row.reserve.ID
	reserve := row.reserve
	reserve.Payload = nil
	controller.runs.Put(id, runRow{peer: row.peer, reserve: reserve, repetitions: row.repetitions, startedAt: now, updatedAt: now})
	for _, repetition := range row.repetitions {
		controller.aliases[repetition.id] = id
	}
	controller.running++
	controller.emit(event.StartRun{
		ID: id, Payload: payload, ResumeFrom: reserve.ResumeFrom, Tier: reserve.Tier, NotAfter: now + controller.settings.ClaimLease,
	})
}

func (controller *Controller) appendChunk(now time.Duration, received event.ResponseChunk) {
	run, ok := controller.runs.Get(received.ID)
	if !ok || run.ended {
		return
	}
	if received.Status != 0 {
		controller.endTrial()
	}
	controller.observeLatency(now, run)
	chunk := message.Chunk{ID: received.ID, Index: run.nextChunk, Data: received.Data, Status: received.Status, Header: received.Header}
	run = run.WithChunk(now, chunk, controller.maxReplayBytes())
	if chunk.Index == 0 {
		// A resumed stream continues with the index after the skipped chunks.
		run.nextChunk += run.reserve.ResumeFrom
	}
	controller.runs.Put(received.ID, run)
	controller.sendToAll(run, chunk)
}

// maxReplayBytes returns the bound of a run's replay buffer: its share of the bound for all.
func (controller *Controller) maxReplayBytes() int {
	if controller.settings.ReplayTotalBytes == 0 {
		return controller.settings.ReplayBytes
	}
	return min(controller.settings.ReplayBytes, controller.settings.ReplayTotalBytes/max(controller.runs.Len(), 1))
}

// firstTokenDivisor divides the target for the first token. The quotient is the time
// that the upstream itself may take. An upstream that needs longer queues requests
// internally, where tiers and shedding don't apply.
const firstTokenDivisor = 4

// observeLatency reports to the limit policy how the time to first token or the
// inter-token latency compares with the class's target. Chunk 0 is not measured: it
// holds the status and header and no token.
func (controller *Controller) observeLatency(now time.Duration, run runRow) {
	class, ok := controller.config.Document().Class(run.reserve.Class)
	if !ok {
		return
	}
	if run.nextChunk == 0 {
		return
	}
	first := run.nextChunk == run.reserve.ResumeFrom+1
	target := time.Duration(class.BetweenTokens)
	since := run.updatedAt
	if first {
		target = time.Duration(class.FirstToken) / firstTokenDivisor
		since = run.startedAt
	}
	controller.observe(now, now-since, target, first)
}

func (controller *Controller) observe(now, measured, target time.Duration, first bool) {
	if target <= 0 {
		return
	}
	ratio := float64(measured) / float64(target)
	controller.settings.Limit.Observe(now, limit.Sample{Ratio: ratio, Running: controller.running, FirstToken: first})
}

func (controller *Controller) sendToAll(run runRow, chunk message.Chunk) {
	controller.send(run.peer, chunk)
	for _, repetition := range run.repetitions {
		chunk.ID = repetition.id
		controller.send(repetition.peer, chunk)
	}
}

// handleRunEnded sends the end of a run to all entries that get the response. A run
// that was never sent to the upstream is refused instead.
func (controller *Controller) handleRunEnded(now time.Duration, ended event.RunEnded) {
	run, ok := controller.runs.Get(ended.ID)
	if !ok || run.ended {
		return
	}
	controller.running--
	if ended.NotStarted {
		controller.deleteRun(ended.ID, run)
		controller.refuseNotStarted(now, run)
		return
	}
	controller.updateSuspects(now, run, ended)
	end := message.End{ID: ended.ID, Chunks: run.nextChunk, Outcome: ended.Outcome, Reason: ended.Reason, Crashes: controller.crashCount(now, run, ended)}
	run = run.WithEnd(now, end)
	controller.runs.Put(ended.ID, run)
	controller.sendEnd(run, run.peer, ended.ID)
	for _, repetition := range run.repetitions {
		controller.sendEnd(run, repetition.peer, repetition.id)
	}
	controller.retainResponse(now, run)
}

// refuseNotStarted refuses a run that was never sent to the upstream.
func (controller *Controller) refuseNotStarted(now time.Duration, run runRow) {
	controller.keys.Release(run.reserve.Key)
	controller.replyRefused(now, run.peer, run.reserve.ID, message.LeaseExpired)
	for _, repetition := range run.repetitions {
		controller.replyRefused(now, repetition.peer, repetition.id, message.LeaseExpired)
	}
}

// crashCount returns the number of crashes attributed to the request of a crashed
// run, or 0 if the run did not crash.
func (controller *Controller) crashCount(now time.Duration, run runRow, ended event.RunEnded) int {
	if !ended.Crashed {
		return 0
	}
	crashes, _ := controller.suspects.Crashes(now, run.reserve.Fingerprint)
	return crashes
}

// updateSuspects adds a crash to the request of a crashed run and clears the
// suspicion of a request that completed, whose service time it records. If a suspect
// was in flight, or has crashed within crashWindow, the crash is attributed to it alone
// and not to the other runs.
func (controller *Controller) updateSuspects(now time.Duration, run runRow, ended event.RunEnded) {
	controller.reportCrash(now, run, ended)
	suspect := run.reserve.Crashes > 0
	switch {
	case ended.Crashed && suspect:
		controller.lastSuspectCrash = now
		controller.suspects.Raise(now, run.reserve.Fingerprint, run.reserve.Crashes+1)
	case ended.Crashed && !controller.suspectInFlight() && now-controller.lastSuspectCrash >= crashWindow:
		controller.suspects.AddCrash(now, run.reserve.Fingerprint)
	case ended.Outcome == message.Complete:
		controller.suspects.Clear(run.reserve.Fingerprint)
		controller.updateServiceTime(now, run)
	}
}

// reportCrash reports that the upstream crashed during the run, or that it survived it.
func (controller *Controller) reportCrash(now time.Duration, run runRow, ended event.RunEnded) {
	attributes := run.reserve.Attributes
	switch {
	case ended.Crashed:
		controller.crashCauses.Interrupted(now, message.Interruption{
			Attempt: run.reserve.ID, Upstream: controller.settings.Name, SentAge: now - run.startedAt, Attributes: attributes,
		})
	case ended.Outcome == message.Complete:
		controller.crashCauses.Survived(controller.settings.Name, attributes, len(attributes)-event.OwnAttributes, run.startedAt)
	}
}

// updateServiceTime updates the mean service time. For a class without a target for
// the first token, it reports the total latency to the limit policy.
func (controller *Controller) updateServiceTime(now time.Duration, run runRow) {
	took := now - run.startedAt
	if controller.meanServiceTime == 0 {
		controller.meanServiceTime = took
	}
	controller.meanServiceTime += (took - controller.meanServiceTime) / serviceTimeSmoothing
	class, ok := controller.config.Document().Class(run.reserve.Class)
	if ok && class.FirstToken == 0 {
		controller.observe(now, took, time.Duration(class.WholeAnswer), true)
	}
}

// retainResponse keeps a response for entries that reattach and, if the request
// has an idempotency key, for the repeat window.
func (controller *Controller) retainResponse(now time.Duration, run runRow) {
	keep := controller.settings.ReattachTimeout
	if run.reserve.Key != (message.Digest{}) {
		controller.keys.RunEnded(now, run.reserve.Key)
		keep = max(keep, controller.keys.Window())
	}
	controller.runDue.Set(run.reserve.ID, now+keep)
}

func (controller *Controller) sendEnd(run runRow, peer string, id message.RequestID) {
	end := run.end
	end.ID = id
	controller.send(peer, end)
}

// expireRuns deletes responses that were kept long enough and cancels runs whose
// entry did not reattach in time.
func (controller *Controller) expireRuns(now time.Duration) {
	for _, id := range controller.runDue.PopDue(now) {
		run, ok := controller.runs.Get(id)
		if !ok {
			continue
		}
		if run.ended {
			controller.deleteRun(id, run)
			continue
		}
		controller.emit(event.StopRun{ID: id})
	}
}

func (controller *Controller) deleteRun(id message.RequestID, run runRow) {
	controller.runs.Delete(id)
	controller.runDue.Remove(id)
	for _, repetition := range run.repetitions {
		delete(controller.aliases, repetition.id)
	}
}

// handleAttach sends the rest of a response to a peer that reconnected. A request that
// was not started yet is refused. Every run keeps its row for ReattachTimeout after its
// end. So a request that was sent less than ReattachTimeout ago and has no row was lost
// in transit: it did not run, and it can't arrive any more because its link is closed.
func (controller *Controller) handleAttach(now time.Duration, peer string, attach message.Attach) {
	if row, ok := controller.reservations.Get(attach.ID); ok {
		controller.refuse(now, row, message.Lost)
		return
	}
	run, ok := controller.findRun(attach.ID)
	if !ok && now-attach.Since < controller.settings.ReattachTimeout {
		controller.replyRefused(now, peer, attach.ID, message.Lost)
		return
	}
	if !ok {
		controller.replyUnknown(now, peer, attach.ID)
		return
	}
	if run.reserve.ID == attach.ID {
		run = run.WithPeer(now, peer)
		controller.runs.Put(attach.ID, run)
	}
	if !run.ended {
		controller.runDue.Remove(run.reserve.ID)
	}
	controller.replay(run, peer, attach.ID, attach.Next)
}

// subscribe adds a repetition to the run that holds its key.
func (controller *Controller) subscribe(run runRow, peer string, id message.RequestID) {
	controller.aliases[id] = run.reserve.ID
	controller.runs.Put(run.reserve.ID, run.WithRepetition(repetitionRow{peer: peer, id: id}))
}

// replay sends the chunks from next on, or ends the response as incomplete if the
// replay buffer no longer has all of them.
func (controller *Controller) replay(run runRow, peer string, id message.RequestID, next int) {
	if next < run.firstChunk {
		controller.send(peer, message.End{ID: id, Chunks: next, Outcome: message.Incomplete, Reason: message.Gap})
		return
	}
	for _, chunk := range run.replayBuffer {
		if chunk.Index >= next {
			chunk.ID = id
			controller.send(peer, chunk)
		}
	}
	if run.ended {
		controller.sendEnd(run, peer, id)
	}
}
