package dispatch

import (
	"slices"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/chance"
	"endivepost/internal/policy/enginechoice"
)

// minHopelessAge is how long a stream that has not begun stays at its engine before it may be
// moved since it cannot end there: the pace of an engine varies with each long prompt.
const minHopelessAge = 300 * time.Millisecond

// slowFactor is from how many times the gap of another engine on an engine counts as slow:
// they turn four to five times slower. Long prompts alone make gaps differ by a factor of two.
const slowFactor = 3

// endsInTime returns whether the response would probably end by its deadline if the upstream's
// streams go on as they progress now. While long prompts keep an engine busy, a long
// response sent there would be cut off at its deadline, and its prefill wasted. Streams of
// latency-sensitive classes are sent if that is possible at all: their prompts are short.
func (dispatcher *Dispatcher) endsInTime(now time.Duration, row requestRow, name string) bool {
	if row.latencySensitive {
		return dispatcher.canEnd(now, row, name)
	}
	return dispatcher.stream(now, row).LikelyEnds(dispatcher.enginePace(now, name))
}

// canEnd returns whether the response of the expected length ends by its deadline at the
// upstream.
func (dispatcher *Dispatcher) canEnd(now time.Duration, row requestRow, name string) bool {
	return dispatcher.stream(now, row).CanEnd(dispatcher.enginePace(now, name))
}

func (dispatcher *Dispatcher) stream(now time.Duration, row requestRow) chance.Stream {
	return chance.Stream{Left: row.deadline - now, Events: dispatcher.expectedEvents(row)}
}

func (dispatcher *Dispatcher) enginePace(now time.Duration, name string) chance.Engine {
	return chance.Engine{
		Gap: dispatcher.upstream(name).pace.Gap(now), Prefill: enginechoice.PrefillTime(dispatcher.allLoads()[name].PrefillTokens),
	}
}

// withoutSlow returns the upstreams without those that are much slower than others for such
// requests and at which the response would not end by its deadline. If the others are
// no slower, it pays to wait for the engine that has the prompt's prefix cached.
func (dispatcher *Dispatcher) withoutSlow(now time.Duration, row requestRow, upstreams []event.Upstream, dedicated map[string]bool) []event.Upstream {
	if dispatcher.expectedEvents(row) == 0 {
		return upstreams
	}
	fastest := maxRequestTime
	for _, upstream := range upstreams {
		if dedicated[upstream.Name] == row.latencySensitive {
			fastest = min(fastest, dispatcher.upstream(upstream.Name).pace.Gap(now))
		}
	}
	left := slices.DeleteFunc(slices.Clone(upstreams), func(upstream event.Upstream) bool {
		return dispatcher.muchSlower(now, upstream.Name, fastest) && !dispatcher.endsInTime(now, row, upstream.Name)
	})
	if len(left) == 0 {
		return upstreams
	}
	return left
}

// muchSlower returns whether the streams of the upstream take slowFactor times the gap between
// two events, which is 0 for an engine without streams lately.
func (dispatcher *Dispatcher) muchSlower(now time.Duration, name string, gap time.Duration) bool {
	return dispatcher.upstream(name).pace.Gap(now) >= slowFactor*gap
}

// endsSomewhere returns whether the response ends by its deadline, as ends tells, on any engine
// of the pool that serves such requests. Without any engine it is true.
func (dispatcher *Dispatcher) endsSomewhere(now time.Duration, row requestRow, ends func(now time.Duration, row requestRow, name string) bool) bool {
	snapshot := dispatcher.pool(now, row.pool)
	return len(snapshot.usable) == 0 || slices.ContainsFunc(snapshot.usable, func(upstream event.Upstream) bool {
		return (row.latencySensitive || !snapshot.dedicated[upstream.Name]) && ends(now, row, upstream.Name)
	})
}

// hopelessThere returns whether the request, of which the caller has nothing yet, should
// leave its upstream since the response cannot end by its deadline there.
func (dispatcher *Dispatcher) hopelessThere(now time.Duration, row requestRow) bool {
	return row.state == running && !row.firstByteReceived && !row.delivered && now-row.sentAt >= minHopelessAge &&
		row.mayRepeat(now) && !dispatcher.blamed(now, row) && !dispatcher.canEnd(now, row, row.upstream)
}

// moveHopeless moves streams that have not begun from engines at which they cannot end by
// their deadline to others, where they can and there is capacity.
func (dispatcher *Dispatcher) moveHopeless(now time.Duration) {
	for _, row := range dispatcher.leaving(func(row requestRow) bool { return dispatcher.hopelessThere(now, row) }) {
		place, found := dispatcher.soundPlace(now, row, map[string]bool{row.upstream: true})
		if !found || !dispatcher.endsInTime(now, row, place.upstream.Name) {
			continue
		}
		gap := dispatcher.upstream(place.upstream.Name).pace.Gap(now)
		if dispatcher.muchSlower(now, row.upstream, gap) && dispatcher.takeRetry(now, &row) {
			dispatcher.moveTo(row, place)
			dispatcher.emit(event.StreamMoved{ID: row.request.ID, Upstream: row.upstream, Gap: dispatcher.upstream(row.upstream).pace.Gap(now)})
		}
	}
	dispatcher.totalLoads = nil
}

// expectedEvents returns the expected number of events of the response, 0 if unknown.
func (dispatcher *Dispatcher) expectedEvents(row requestRow) float64 {
	return float64(row.request.Prompt.ExpectedOutputTokens) / float64(dispatcher.tokensPerEvent(row.pool))
}
