package dispatch

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/enginechoice"
)

const (
	// unresponsiveTimeout is how long an upstream with requests in progress may
	// send nothing at all, in addition to the time for the pending prefill.
	unresponsiveTimeout = 700 * time.Millisecond
	// prefillTimeFactor multiplies the predicted prefill time, since the error of
	// the prediction grows with the length of the prompts.
	prefillTimeFactor = 1.5
)

// inactiveFor returns for how long the upstream has had requests in progress and
// sent nothing. Only time in which this process ran counts.
func (row upstreamRow) inactiveFor(watched time.Duration) time.Duration {
	if row.load.Running == 0 {
		return 0
	}
	return watched - max(row.lastActivity, row.busySince)
}

// unresponsive returns whether the upstream has sent nothing for longer than the
// pending prefill of all entries accounts for.
func (dispatcher *Dispatcher) unresponsive(name string, row upstreamRow) bool {
	return row.inactiveFor(dispatcher.watched) > unresponsiveTimeout+dispatcher.expectedSilence(name)
}

// expectedSilence returns for how long the upstream's pending prefill may keep it silent.
func (dispatcher *Dispatcher) expectedSilence(name string) time.Duration {
	prefill := enginechoice.PrefillTime(dispatcher.allLoads()[name].PrefillTokens)
	return time.Duration(prefillTimeFactor * float64(prefill))
}

// moveFromUnresponsive moves repeatable requests away from unresponsive upstreams:
// a crash may leave connections open on which nothing arrives any more.
// Non-idempotent requests stay.
func (dispatcher *Dispatcher) moveFromUnresponsive(now time.Duration) {
	if now < dispatcher.livenessCheckDue {
		return
	}
	dispatcher.livenessCheckDue = now + livenessCheckInterval
	for _, name := range dispatcher.upstreams.Keys() {
		row, _ := dispatcher.upstreams.Get(name)
		if now < row.avoidUntil || !dispatcher.unresponsive(name, row) {
			continue
		}
		dispatcher.upstreams.Put(name, row.WithFailure(now))
		upstream, _ := dispatcher.membership.Find(name)
		dispatcher.emit(event.UpstreamSilent{
			Name: name, Address: upstream.Address, Silence: row.inactiveFor(dispatcher.watched), Expected: dispatcher.expectedSilence(name),
			SinceStep: now - dispatcher.lastStep, Running: row.load.Running,
		})
		dispatcher.moveRequests(now, name)
	}
}

// moveRequests stops the attempts of repeatable requests at the upstream if another
// upstream is available. Each request is sent there once its attempt has stopped.
func (dispatcher *Dispatcher) moveRequests(now time.Duration, name string) {
	for _, id := range dispatcher.requests.Keys() {
		row, _ := dispatcher.requests.Get(id)
		if row.state != running || row.upstream != name || !row.mayRepeat(now) {
			continue
		}
		if _, ok := dispatcher.choose(now, row.WithTried(name)); !ok {
			continue
		}
		row.state = stopping
		dispatcher.requests.Put(id, row)
		dispatcher.emit(event.StopRun{ID: id})
	}
}
