package admission

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/limit"
	"endivepost/internal/wire/message"
)

// runRow is a request that was handed over to the upstream. Its parts are kept
// in a bounded tail for entries that attach again; the parts of a guarded run
// are kept from the first on, for callers who send the request again.
type runRow struct {
	peer    string
	reserve message.Reserve
	joined  []joinRow
	tail    []message.Chunk
	bytes   int
	first   int
	next    int
	started time.Duration
	latest  time.Duration
	ended   bool
	end     message.End
}

// WithChunk returns the row with one more part and at most keep bytes of tail.
func (row runRow) WithChunk(now time.Duration, chunk message.Chunk, keep int) runRow {
	row.tail = append(row.tail, chunk)
	row.bytes += len(chunk.Data)
	row.next = chunk.Index + 1
	row.latest = now
	for row.bytes > keep && len(row.tail) > 1 {
		row.bytes -= len(row.tail[0].Data)
		row.tail = row.tail[1:]
	}
	row.first = row.tail[0].Index
	return row
}

// WithEnd returns the row as one that has ended.
func (row runRow) WithEnd(now time.Duration, end message.End) runRow {
	row.ended = true
	row.end = end
	row.latest = now
	return row
}

// WithJoined returns the row with one more request that follows it.
func (row runRow) WithJoined(join joinRow) runRow {
	row.joined = append(row.joined[:len(row.joined):len(row.joined)], join)
	return row
}

// WithPeer returns the row as one that the peer follows from now on.
func (row runRow) WithPeer(now time.Duration, peer string) runRow {
	row.peer = peer
	row.latest = now
	return row
}

func (gate *Controller) findRun(id message.RequestID) (runRow, bool) {
	if holder, ok := gate.aliases[id]; ok {
		id = holder
	}
	return gate.runs.Get(id)
}

// start turns a reservation into a run. From here on the request may have run.
func (gate *Controller) start(now time.Duration, row reservationRow, payload message.Payload) {
	id := row.reserve.ID
	reserve := row.reserve
	reserve.Payload = nil
	gate.runs.Put(id, runRow{peer: row.peer, reserve: reserve, joined: row.joined, started: now, latest: now})
	for _, joined := range row.joined {
		gate.aliases[joined.id] = id
	}
	gate.running++
	gate.emit(event.StartRun{
		ID: id, Payload: payload, ResumeFrom: reserve.ResumeFrom, Tier: reserve.Tier, NotAfter: now + gate.settings.ClaimLease,
	})
}

func (gate *Controller) appendAnswer(now time.Duration, answered event.ResponseChunk) {
	run, ok := gate.runs.Get(answered.ID)
	if !ok || run.ended {
		return
	}
	gate.measure(now, run)
	chunk := message.Chunk{ID: answered.ID, Index: run.next, Data: answered.Data, Status: answered.Status, Header: answered.Header}
	run = run.WithChunk(now, chunk, gate.settings.ReplayBytes)
	if chunk.Index == 0 {
		run.next += run.reserve.ResumeFrom
	}
	gate.runs.Put(answered.ID, run)
	gate.sendAll(run, chunk)
}

// upstreamShare is the part of the target for the first token, as a divisor,
// that the upstream may take by itself. More means that it queues work inside,
// out of reach of the tiers and of shedding here.
const upstreamShare = 4

// measure compares the upstream's pace with the class's targets.
func (gate *Controller) measure(now time.Duration, run runRow) {
	class, ok := gate.config.Document().Class(run.reserve.Class)
	if !ok {
		return
	}
	if run.next == 0 {
		return
	}
	first := run.next == run.reserve.ResumeFrom+1
	target := time.Duration(class.BetweenTokens)
	since := run.latest
	if first {
		target = time.Duration(class.FirstToken) / upstreamShare
		since = run.started
	}
	gate.observe(now, now-since, target, first)
}

func (gate *Controller) observe(now, measured, target time.Duration, first bool) {
	if target <= 0 {
		return
	}
	ratio := float64(measured) / float64(target)
	gate.settings.Limit.Observe(now, limit.Sample{Ratio: ratio, Running: gate.running, FirstToken: first})
}

func (gate *Controller) sendAll(run runRow, chunk message.Chunk) {
	gate.send(run.peer, chunk)
	for _, joined := range run.joined {
		chunk.ID = joined.id
		gate.send(joined.peer, chunk)
	}
}

func (gate *Controller) endRun(now time.Duration, ended event.RunEnded) {
	run, ok := gate.runs.Get(ended.ID)
	if !ok || run.ended {
		return
	}
	gate.running--
	if ended.NotStarted {
		gate.forgetRun(ended.ID, run)
		gate.refuseRun(now, run)
		return
	}
	gate.judge(now, run, ended)
	end := message.End{ID: ended.ID, Chunks: run.next, Outcome: ended.Outcome, Reason: ended.Reason, Crashes: gate.blamed(now, run, ended)}
	run = run.WithEnd(now, end)
	gate.runs.Put(ended.ID, run)
	gate.sendEnd(run, run.peer, ended.ID)
	for _, joined := range run.joined {
		gate.sendEnd(run, joined.peer, joined.id)
	}
	gate.keepEnded(now, run)
}

// refuseRun answers for a run whose hand-over never took place.
func (gate *Controller) refuseRun(now time.Duration, run runRow) {
	gate.keys.Release(run.reserve.Key)
	gate.answerRefused(now, run.peer, run.reserve.ID, message.LeaseExpired)
	for _, joined := range run.joined {
		gate.answerRefused(now, joined.peer, joined.id, message.LeaseExpired)
	}
}

// blamed returns for how many crashes the request of a crashed run is blamed.
func (gate *Controller) blamed(now time.Duration, run runRow, ended event.RunEnded) int {
	if !ended.Crashed {
		return 0
	}
	crashes, _ := gate.suspects.Crashes(now, run.reserve.Fingerprint)
	return crashes
}

// judge blames crashes and clears the suspicion of requests that completed. If
// a suspect was in progress, it alone is blamed: its neighbours are innocent.
func (gate *Controller) judge(now time.Duration, run runRow, ended event.RunEnded) {
	suspect := run.reserve.Crashes > 0
	switch {
	case ended.Crashed && suspect:
		gate.suspectCrash = now
		gate.suspects.Raise(now, run.reserve.Fingerprint, run.reserve.Crashes+1)
	case ended.Crashed && !gate.suspectInProgress() && now-gate.suspectCrash >= crashEpisode:
		gate.suspects.AddCrash(now, run.reserve.Fingerprint)
	case ended.Outcome == message.Complete:
		gate.suspects.Clear(run.reserve.Fingerprint)
		gate.learnServiceTime(now, run)
	}
}

func (gate *Controller) learnServiceTime(now time.Duration, run runRow) {
	took := now - run.started
	if gate.serviceTime == 0 {
		gate.serviceTime = took
	}
	gate.serviceTime += (took - gate.serviceTime) / serviceSmooth
	class, ok := gate.config.Document().Class(run.reserve.Class)
	if ok && class.FirstToken == 0 {
		gate.observe(now, took, time.Duration(class.WholeAnswer), true)
	}
}

// keepEnded keeps an answer for entries that attach again and, if the request
// carries a key, for the whole repeat window.
func (gate *Controller) keepEnded(now time.Duration, run runRow) {
	keep := gate.settings.ReattachTimeout
	if run.reserve.Key != (message.Digest{}) {
		gate.keys.RunEnded(now, run.reserve.Key)
		keep = max(keep, gate.keys.Window())
	}
	gate.runDue.Set(run.reserve.ID, now+keep)
}

func (gate *Controller) sendEnd(run runRow, peer string, id message.RequestID) {
	end := run.end
	end.ID = id
	gate.send(peer, end)
}

// expireRuns forgets answers kept long enough and cancels runs whose entry did
// not come back.
func (gate *Controller) expireRuns(now time.Duration) {
	for _, id := range gate.runDue.PopDue(now) {
		run, ok := gate.runs.Get(id)
		if !ok {
			continue
		}
		if run.ended {
			gate.forgetRun(id, run)
			continue
		}
		gate.emit(event.StopRun{ID: id})
	}
}

func (gate *Controller) forgetRun(id message.RequestID, run runRow) {
	gate.runs.Delete(id)
	gate.runDue.Remove(id)
	for _, joined := range run.joined {
		delete(gate.aliases, joined.id)
	}
}

// attach sends a peer the rest of an answer after it reconnected. Every run
// keeps its row for AttachFor after its end, so a request sent since then that
// has no row was lost on its way: it did not run, and it cannot arrive any more,
// for its link is closed.
func (gate *Controller) attach(now time.Duration, peer string, attach message.Attach) {
	if row, ok := gate.reservations.Get(attach.ID); ok {
		gate.refuse(now, row, message.Lost)
		return
	}
	run, ok := gate.findRun(attach.ID)
	if !ok && now-attach.Since < gate.settings.ReattachTimeout {
		gate.answerRefused(now, peer, attach.ID, message.Lost)
		return
	}
	if !ok {
		gate.answerUnknown(now, peer, attach.ID)
		return
	}
	if run.reserve.ID == attach.ID {
		run = run.WithPeer(now, peer)
		gate.runs.Put(attach.ID, run)
	}
	if !run.ended {
		gate.runDue.Remove(run.reserve.ID)
	}
	gate.replay(run, peer, attach.ID, attach.Next)
}

func (gate *Controller) subscribe(run runRow, peer string, id message.RequestID) {
	gate.aliases[id] = run.reserve.ID
	gate.runs.Put(run.reserve.ID, run.WithJoined(joinRow{peer: peer, id: id}))
}

// replay sends the kept parts from next on, or says that they are gone.
func (gate *Controller) replay(run runRow, peer string, id message.RequestID, next int) {
	if next < run.first {
		gate.send(peer, message.End{ID: id, Chunks: next, Outcome: message.Incomplete, Reason: message.Gap})
		return
	}
	for _, chunk := range run.tail {
		if chunk.Index >= next {
			chunk.ID = id
			gate.send(peer, chunk)
		}
	}
	if run.ended {
		gate.sendEnd(run, peer, id)
	}
}
