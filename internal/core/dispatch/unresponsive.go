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
	// before streams that have begun go on elsewhere: longer than engines pause.
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
	for _, row := range dispatcher.requestsLeaving(now, silent) {
		if !dispatcher.hasSoundPlace(now, row, silent) || !dispatcher.takeRetry(now, &row) {
			continue
		}
		row.state = stopping
		dispatcher.requests.Put(row.request.ID, row)
		dispatcher.emit(event.StopRun{ID: row.request.ID, Number: row.attemptNumber})
	}
}

// requestsLeaving returns the requests that should leave silent upstreams, higher tiers
// first.
func (dispatcher *Dispatcher) requestsLeaving(now time.Duration, silent map[string]bool) []requestRow {
	var leaving []requestRow
	for _, id := range dispatcher.requests.Keys() {
		row, _ := dispatcher.requests.Get(id)
		if row.state == running && silent[row.upstream] && dispatcher.leavesSilent(now, row) {
			leaving = append(leaving, row)
		}
	}
	slices.SortStableFunc(leaving, func(left, right requestRow) int { return cmp.Compare(left.request.Tier, right.request.Tier) })
	return leaving
}

// leavesSilent returns whether the request should leave its silent upstream. If that can be
// reached, silence is no evidence that it is gone: the request must have another attempt
// left in case the next upstream declines, and a stream that has begun leaves only an
// upstream that stalls.
func (dispatcher *Dispatcher) leavesSilent(now time.Duration, row requestRow) bool {
	if !row.mayRepeat(now) || dispatcher.suspected(now, row) {
		return false
	}
	upstream := dispatcher.upstream(row.upstream)
	if upstream.unreachable {
		return true
	}
	begun := row.delivered || row.firstByteReceived
	return row.attemptsLeftAfter(1) && (!begun || dispatcher.silence(row.upstream, upstream) > stallTimeout)
}

// hasSoundPlace returns whether an upstream that is neither silent nor avoided has capacity
// for the request.
func (dispatcher *Dispatcher) hasSoundPlace(now time.Duration, row requestRow, silent map[string]bool) bool {
	chosen, ok := dispatcher.chooseFrom(now, row.WithTried(row.upstream), func(upstream event.Upstream) bool {
		return !silent[upstream.Name] && now >= dispatcher.upstream(upstream.Name).avoidUntil
	})
	return ok && dispatcher.hasCapacity(now, row, chosen)
}

// takeRetry takes a retry for the request from the common budget, unless it has one.
func (dispatcher *Dispatcher) takeRetry(now time.Duration, row *requestRow) bool {
	if !row.retryTaken {
		row.retryTaken = dispatcher.retryWindow(row.pool).Take(now, dispatcher.mesh.EntryCount(now))
	}
	return row.retryTaken
}
