package dispatch

import (
	"cmp"
	"slices"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/enginechoice"
)

const (
	// silenceTimeout is how long an upstream with requests in progress may send nothing at
	// all, in addition to the time for the pending prefill, before new work goes elsewhere.
	silenceTimeout = 700 * time.Millisecond
	// stallTimeout is how long an upstream that still accepts connections may be silent
	// before its requests go on elsewhere: longer than engines pause.
	stallTimeout = 5 * time.Second
	// prefillTimeFactor multiplies the predicted prefill time, since the error of
	// the prediction grows with the length of the prompts.
	prefillTimeFactor = 1.5
)

// silence returns for how long the upstream has had requests in progress and sent nothing,
// beyond the time that the pending prefill of all entries accounts for. Only time in
// which this process ran counts.
func (dispatcher *Dispatcher) silence(name string, row upstreamRow) time.Duration {
	return row.inactiveFor(dispatcher.watched) - dispatcher.expectedSilence(name)
}

// inactiveFor returns for how long the upstream has had requests in progress and
// sent nothing.
func (row upstreamRow) inactiveFor(watched time.Duration) time.Duration {
	if row.load.Running == 0 {
		return 0
	}
	return watched - max(row.lastActivity, row.busySince)
}

// expectedSilence returns for how long the upstream's pending prefill may keep it silent.
func (dispatcher *Dispatcher) expectedSilence(name string) time.Duration {
	prefill := enginechoice.PrefillTime(dispatcher.allLoads()[name].PrefillTokens)
	return time.Duration(prefillTimeFactor * float64(prefill))
}

// checkSilence finds silent upstreams. New requests go elsewhere, if they can, and the
// shell is asked to open a connection: the silence of an upstream that accepts one is no
// evidence that it is gone.
func (dispatcher *Dispatcher) checkSilence(now time.Duration) {
	if now < dispatcher.livenessCheckDue {
		return
	}
	dispatcher.livenessCheckDue = now + livenessCheckInterval
	silent := make(map[string]bool)
	for _, name := range dispatcher.upstreams.Keys() {
		row, _ := dispatcher.upstreams.Get(name)
		if dispatcher.silence(name, row) <= silenceTimeout {
			continue
		}
		silent[name] = true
		if now >= row.avoidUntil {
			dispatcher.reportSilence(now, name, row)
		}
	}
	dispatcher.moveFromSilent(now, silent)
	dispatcher.moveHopeless(now)
}

func (dispatcher *Dispatcher) reportSilence(now time.Duration, name string, row upstreamRow) {
	dispatcher.upstreams.Put(name, row.WithSilence(now))
	upstream, _ := dispatcher.membership.Find(name)
	dispatcher.emit(event.UpstreamSilent{
		Name: name, Address: upstream.Address, Silence: row.inactiveFor(dispatcher.watched), Expected: dispatcher.expectedSilence(name),
		SinceStep: now - dispatcher.lastStep, Running: row.load.Running,
	})
}

// handleProbe records whether a connection to a silent upstream could be opened.
func (dispatcher *Dispatcher) handleProbe(now time.Duration, probed event.UpstreamProbed) {
	row, ok := dispatcher.upstreams.Get(probed.Name)
	if !ok {
		return
	}
	dispatcher.upstreams.Put(probed.Name, row.WithUnreachable(!probed.Reachable))
	dispatcher.livenessCheckDue = min(dispatcher.livenessCheckDue, now)
}

// moveFromSilent moves repeatable requests from silent upstreams to others that are not.
// An attempt is only stopped once its request has a place and a retry elsewhere: its
// upstream may yet go on. Non-idempotent requests stay.
func (dispatcher *Dispatcher) moveFromSilent(now time.Duration, silent map[string]bool) {
	if len(silent) == 0 {
		return
	}
	leaves := func(row requestRow) bool {
		return row.state == running && silent[row.upstream] && dispatcher.leavesSilent(now, row)
	}
	for _, row := range dispatcher.leaving(leaves) {
		place, found := dispatcher.soundPlace(now, row, silent)
		if !found || !dispatcher.takeRetry(now, &row) {
			continue
		}
		dispatcher.moveTo(row, place)
	}
	dispatcher.totalLoads = nil
}

// moveTo stops the attempt of a request that has a place elsewhere.
func (dispatcher *Dispatcher) moveTo(row requestRow, place choice) {
	dispatcher.expectLoad(row, place)
	row.state = stopping
	row.left = row.upstream
	dispatcher.requests.Put(row.request.ID, row)
	dispatcher.emit(event.StopRun{ID: row.request.ID, Number: row.attemptNumber})
}

// leaving returns the requests that should leave their upstreams, higher tiers first.
func (dispatcher *Dispatcher) leaving(leaves func(row requestRow) bool) []requestRow {
	var leaving []requestRow
	for _, id := range dispatcher.requests.Keys() {
		row, _ := dispatcher.requests.Get(id)
		if leaves(row) {
			leaving = append(leaving, row)
		}
	}
	slices.SortStableFunc(leaving, func(left, right requestRow) int { return cmp.Compare(left.request.Tier, right.request.Tier) })
	return leaving
}

// leavesSilent returns whether the request should leave its silent upstream. If that can be
// reached, silence is no evidence that it is gone: the request leaves it only if it stalls,
// and must have another attempt left in case the next upstream declines.
func (dispatcher *Dispatcher) leavesSilent(now time.Duration, row requestRow) bool {
	if !row.mayRepeat(now) || dispatcher.blamed(now, row) {
		return false
	}
	upstream := dispatcher.upstream(row.upstream)
	stalls := dispatcher.silence(row.upstream, upstream) > stallTimeout && row.attemptsLeftAfter(1)
	return upstream.unreachable || stalls
}

// soundPlace returns an upstream that is neither silent nor avoided and has capacity for the
// request, if there is one. An upstream with a full batch has none for a stream that has
// begun either.
func (dispatcher *Dispatcher) soundPlace(now time.Duration, row requestRow, silent map[string]bool) (choice, bool) {
	row.delivered = false
	chosen, ok := dispatcher.chooseFrom(now, row.WithTried(row.upstream), func(upstream event.Upstream) bool {
		return !silent[upstream.Name] && now >= dispatcher.upstream(upstream.Name).avoidUntil
	})
	return chosen, ok && dispatcher.hasCapacity(now, row, chosen) && !dispatcher.batchIsFull(row.pool, chosen)
}

func (dispatcher *Dispatcher) batchIsFull(pool string, chosen choice) bool {
	found, _ := dispatcher.config.Document().Pool(pool)
	return found.Engine.Batch > 0 && chosen.load.Running >= found.Engine.Batch
}

// expectLoad adds a request that is about to go to the place to the sum of all loads, so
// that the requests considered after it find one place less.
func (dispatcher *Dispatcher) expectLoad(row requestRow, place choice) {
	loads := dispatcher.allLoads()
	load := loads[place.upstream.Name]
	load.Running++
	load.PrefillTokens += place.load.UncachedTokens
	load.KVTokens += row.kvTokens(place.load.UncachedTokens)
	loads[place.upstream.Name] = load
}

// takeRetry takes a retry for the request from the common budget, unless it has one.
func (dispatcher *Dispatcher) takeRetry(now time.Duration, row *requestRow) bool {
	if !row.retryTaken {
		row.retryTaken = dispatcher.retryWindow(row.pool).Take(now, dispatcher.mesh.EntryCount(now))
	}
	return row.retryTaken
}
