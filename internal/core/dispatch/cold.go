package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"endivepost/internal/core/coldstart"
	"endivepost/internal/core/event"
	"endivepost/internal/policy/coldrate"
	"endivepost/internal/wire/message"
)

// ColdBounds are the bounds of what all entries together send a cold upstream in any one
// second: Ratio times the rate that its pool names, and Slack requests more.
type ColdBounds struct {
	Ratio float64
	Slack float64
}

// coldUpstreams is what the dispatcher knows of cold upstreams and of what waits for them.
type coldUpstreams struct {
	state *coldstart.State
	// places has this entry's place among the entries by upstream, for the current step.
	places map[string]coldrate.Place
	// queued counts the queued requests by pool and tier.
	queued map[poolTier]int
	// heldBack counts the requests that were queued since all upstreams of their pool were cold.
	heldBack int
}

type poolTier struct {
	pool string
	tier int
}

func newColdUpstreams() coldUpstreams {
	return coldUpstreams{state: coldstart.New(), places: make(map[string]coldrate.Place), queued: make(map[poolTier]int)}
}

// coldRate returns the rate that the upstream tolerates while it is cold, and false if its pool
// names none.
func (dispatcher *Dispatcher) coldRate(name string) (coldrate.Rate, bool) {
	upstream, _ := dispatcher.membership.Find(name)
	return dispatcher.poolColdRate(upstream.Pool)
}

func (dispatcher *Dispatcher) poolColdRate(pool string) (coldrate.Rate, bool) {
	found, _ := dispatcher.config.Document().Pool(pool)
	bounds := dispatcher.settings.Cold
	return coldrate.Rate{PerSecond: found.ColdPerSecond, Over: bounds.Ratio, Slack: bounds.Slack}, found.ColdPerSecond > 0
}

// cooling returns for how long an upstream of the pool is cold after its start, 0 if that does
// not limit what it is sent.
func (dispatcher *Dispatcher) cooling(pool string) time.Duration {
	found, _ := dispatcher.config.Document().Pool(pool)
	if found.ColdPerSecond <= 0 {
		return 0
	}
	return time.Duration(found.ColdStart)
}

func (dispatcher *Dispatcher) coolingOf(name string) time.Duration {
	upstream, _ := dispatcher.membership.Find(name)
	return dispatcher.cooling(upstream.Pool)
}

// isCold returns whether the upstream is or may be cold and tolerates a limited rate meanwhile.
func (dispatcher *Dispatcher) isCold(now time.Duration, name string) bool {
	if !dispatcher.cold.state.Cold(now, name) {
		return false
	}
	_, limited := dispatcher.coldRate(name)
	return limited
}

// readColdList records which upstreams a whole list says are cold.
func (dispatcher *Dispatcher) readColdList(now time.Duration, upstreams []event.Upstream) {
	stated := make([]event.Upstream, len(upstreams))
	for i, upstream := range upstreams {
		stated[i] = dispatcher.withColdTime(upstream)
	}
	dispatcher.cold.state.ReadList(now, stated, dispatcher.cooling)
	dispatcher.reviewCold(now)
}

// readColdItem records whether a row of the published list says that its upstream is cold.
func (dispatcher *Dispatcher) readColdItem(now time.Duration, upstream event.Upstream) {
	dispatcher.cold.state.ReadItem(now, dispatcher.withColdTime(upstream), dispatcher.cooling(upstream.Pool))
	dispatcher.reviewCold(now)
}

// withColdTime returns the row without its cold time if its pool names no rate.
func (dispatcher *Dispatcher) withColdTime(upstream event.Upstream) event.Upstream {
	if _, limited := dispatcher.poolColdRate(upstream.Pool); !limited {
		upstream.ColdRemaining = 0
	}
	return upstream
}

// doubtProcess records that the upstream may have restarted: it broke off or refused a
// connection, or is silent. The other entries are told if told is true.
func (dispatcher *Dispatcher) doubtProcess(now time.Duration, name string, told bool) {
	if dispatcher.coolingOf(name) > 0 && dispatcher.cold.state.Break(now, name, event.OwnRequests, told) && told {
		dispatcher.heartbeatDue = min(dispatcher.heartbeatDue, now)
	}
	dispatcher.reviewCold(now)
}

// observeColdData records that the upstream sent something in the request's current attempt.
func (dispatcher *Dispatcher) observeColdData(now time.Duration, row requestRow) {
	if !dispatcher.cold.state.Doubted(row.upstream) {
		return
	}
	dispatcher.cold.state.DataReceived(now, row.upstream, row.sentAt, dispatcher.coolingOf(row.upstream))
	dispatcher.reviewCold(now)
}

// observeColdResult records what the end of an attempt says of its upstream's process.
func (dispatcher *Dispatcher) observeColdResult(now time.Duration, row requestRow, ended event.AttemptEnded) {
	switch ended.Result {
	case event.Completed, event.Declined, event.UpstreamError, event.Unusable:
		dispatcher.observeColdData(now, row)
	case event.ConnectFailed:
		// A timeout may be that of this entry's path: the others are not told.
		dispatcher.doubtProcess(now, row.upstream, !ended.NoBreak)
	case event.Interrupted:
		if !ended.NoBreak {
			dispatcher.doubtProcess(now, row.upstream, true)
		}
	case event.Unconfirmed:
		dispatcher.doubtProcess(now, row.upstream, false)
	}
}

// mayReturn returns whether a request whose attempt ended so may be sent to the same upstream
// again: nothing was sent, since the attempt was placed too long ago or the upstream may have
// restarted.
func mayReturn(result event.AttemptResult) bool {
	return result == event.Unconfirmed || result == event.Withdrawn
}

// handleColdReport handles a response in which an upstream says for how much longer it is cold.
func (dispatcher *Dispatcher) handleColdReport(now time.Duration, input event.ColdReported) {
	if _, limited := dispatcher.coldRate(input.Upstream); !limited {
		return
	}
	if dispatcher.cold.state.Stated(now, input.Upstream, input.Remaining, input.SentAt) {
		dispatcher.heartbeatDue = min(dispatcher.heartbeatDue, now)
	}
	dispatcher.reviewCold(now)
}

// observeRestored records that the upstreams of a domain get requests again after its
// evacuation. They may be cold.
func (dispatcher *Dispatcher) observeRestored(now time.Duration, domain string) {
	for _, upstream := range dispatcher.membership.Rows() {
		if cooling := dispatcher.coolingOf(upstream.Name); upstream.Domain == domain && cooling > 0 {
			dispatcher.cold.state.DomainRestored(now, upstream.Name, cooling)
		}
	}
	dispatcher.reviewCold(now)
}

// handlePeerCold applies the cold upstreams that a peer reports. That a connection of a peer
// broke says nothing if this entry has one that has been open since before.
func (dispatcher *Dispatcher) handlePeerCold(now time.Duration, reports []message.ColdUpstream) {
	for _, report := range reports {
		if _, limited := dispatcher.coldRate(report.Upstream); !limited {
			continue
		}
		// The search for a connection looks at all requests, and peers repeat their reports.
		if report.Broke && !dispatcher.cold.state.Knows(now, report) && dispatcher.connectedSince(report.Upstream, now-report.Age) {
			continue
		}
		if dispatcher.cold.state.Merge(now, report) {
			dispatcher.heartbeatDue = min(dispatcher.heartbeatDue, now)
		}
	}
	dispatcher.reviewCold(now)
}

// connectedSince returns whether an attempt at the upstream is in progress on a connection that
// was open at the time.
func (dispatcher *Dispatcher) connectedSince(name string, at time.Duration) bool {
	if dispatcher.upstream(name).load.Running == 0 {
		return false
	}
	for _, id := range dispatcher.requests.Keys() {
		row, _ := dispatcher.requests.Get(id)
		if row.state != waiting && row.upstream == name && row.sentAt+coldrate.SendTime <= at {
			return true
		}
	}
	return false
}

// knownCold returns the cold upstreams for a heartbeat.
func (dispatcher *Dispatcher) knownCold(now time.Duration) []message.ColdUpstream {
	dispatcher.cold.state.Forget(now, func(name string) bool {
		_, listed := dispatcher.membership.Find(name)
		return listed
	})
	return dispatcher.cold.state.Reports(now, dispatcher.coolingOf)
}

// reviewCold reports the upstreams that became cold or warm, for the log and so that the shell
// withdraws attempts of which nothing was sent yet.
func (dispatcher *Dispatcher) reviewCold(now time.Duration) {
	for _, change := range dispatcher.cold.state.Review(now) {
		if _, limited := dispatcher.coldRate(change.Name); !limited {
			continue
		}
		changed := event.StateChanged{State: event.TurnedWarm, Source: change.Source, Name: change.Name}
		if change.Cold {
			until, _ := dispatcher.cold.state.Until(now, change.Name, dispatcher.coolingOf(change.Name))
			changed.State, changed.For = event.TurnedCold, until-now
		}
		dispatcher.capacityFreed = true
		dispatcher.emit(changed)
	}
}

// withinColdRate returns whether this entry may send the upstream a request now, as far as it is
// cold. If not, the queue is examined again once it may.
func (dispatcher *Dispatcher) withinColdRate(now time.Duration, name string) bool {
	if !dispatcher.isCold(now, name) {
		return true
	}
	next := dispatcher.coldNext(now, name)
	if next > now {
		dispatcher.scheduleLimit(now, next)
	}
	return next <= now
}

// coldNext returns when this entry may send the cold upstream a request: when its rate allows
// it or the upstream is warm.
func (dispatcher *Dispatcher) coldNext(now time.Duration, name string) time.Duration {
	rate, _ := dispatcher.coldRate(name)
	until, _ := dispatcher.cold.state.Until(now, name, dispatcher.coolingOf(name))
	place := dispatcher.coldPlace(now, name)
	if place.Unsettled {
		return min(until, coldrate.SettleTime)
	}
	if next, found := dispatcher.upstream(name).coldSent.Next(now, rate, place); found {
		return min(until, next)
	}
	return until
}

// coldPlace returns this entry's place among those that share the rate of the upstream.
func (dispatcher *Dispatcher) coldPlace(now time.Duration, name string) coldrate.Place {
	if place, found := dispatcher.cold.places[name]; found {
		return place
	}
	rank, count := dispatcher.mesh.RankFor(now, name)
	place := coldrate.Place{
		Rank: rank, Count: count, Alone: dispatcher.mesh.Alone(), Unsettled: dispatcher.mesh.HasPeers() && now < coldrate.SettleTime,
	}
	dispatcher.cold.places[name] = place
	return place
}

// guardAttempt records an attempt that is about to be sent, and has the shell check right
// before it writes the request that it may still be sent: to a cold upstream within the time
// that counts, to another one only if it has not restarted.
func (dispatcher *Dispatcher) guardAttempt(now time.Duration, attempt event.Attempt) event.Attempt {
	if _, limited := dispatcher.coldRate(attempt.Upstream); !limited {
		return attempt
	}
	row := dispatcher.upstream(attempt.Upstream)
	row.coldSent = row.coldSent.With(now)
	dispatcher.upstreams.Put(attempt.Upstream, row)
	if dispatcher.cold.state.Cold(now, attempt.Upstream) {
		attempt.SendBy = now + coldrate.SendTime
	} else {
		attempt.SameProcess = dispatcher.coolingOf(attempt.Upstream) > 0
	}
	return attempt
}

// coldBatchShare is the part of its batch that a cold engine runs: it is slow.
const coldBatchShare = 4

// batchOf returns how many requests the upstream may run at a time, of the batch of its pool.
func (dispatcher *Dispatcher) batchOf(now time.Duration, name string, batch int) int {
	if batch > 0 && dispatcher.isCold(now, name) {
		return max(batch/coldBatchShare, 1)
	}
	return batch
}

// countQueued counts a request that enters or leaves the queue.
func (dispatcher *Dispatcher) countQueued(row requestRow, change int) {
	key := poolTier{pool: row.pool, tier: row.request.Tier}
	dispatcher.cold.queued[key] += change
	if dispatcher.cold.queued[key] <= 0 {
		delete(dispatcher.cold.queued, key)
	}
}

// coldWait returns how long the request waits until one of its pool's upstreams may be sent it,
// behind the queued requests of its tier and of higher ones. It returns false unless all of
// these upstreams are cold and none may be sent a request now.
func (dispatcher *Dispatcher) coldWait(now time.Duration, row requestRow) (time.Duration, bool) {
	usable := dispatcher.pool(now, row.pool).usable
	rate, limited := dispatcher.poolColdRate(row.pool)
	if !limited || len(usable) == 0 {
		return 0, false
	}
	earliest, warm := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	share := 0
	for _, upstream := range usable {
		if dispatcher.withinColdRate(now, upstream.Name) {
			return 0, false
		}
		until, _ := dispatcher.cold.state.Until(now, upstream.Name, dispatcher.cooling(row.pool))
		warm = min(warm, until)
		earliest = min(earliest, dispatcher.coldNext(now, upstream.Name))
		share += rate.Share(dispatcher.coldPlace(now, upstream.Name))
	}
	wait := earliest - now
	if share > 0 {
		windows := dispatcher.queuedBefore(row) / share
		wait += min(time.Duration(windows)*rate.Window(), warm-earliest)
	}
	return wait, true
}

// queuedBefore counts the queued requests of the row's pool, of its tier and of higher ones.
func (dispatcher *Dispatcher) queuedBefore(row requestRow) int {
	ahead := 0
	for key, count := range dispatcher.cold.queued {
		if key.pool == row.pool && key.tier <= row.request.Tier {
			ahead += count
		}
	}
	return ahead
}

// outlastedByCold returns whether a request that is about to be queued would wait for a cold
// upstream until the deadline. It counts the others as held back.
func (dispatcher *Dispatcher) outlastedByCold(now time.Duration, row requestRow, deadline time.Duration) bool {
	wait, found := dispatcher.coldWait(now, row)
	if found && now+wait < deadline {
		dispatcher.cold.heldBack++
	}
	return found && now+wait >= deadline
}

// coldRetryAfter returns when the caller of a request may retry if all of its pool's upstreams
// are cold: when there is an allowance for it, spread over some time.
func (dispatcher *Dispatcher) coldRetryAfter(now time.Duration, row requestRow) (time.Duration, bool) {
	wait, found := dispatcher.coldWait(now, row)
	if !found {
		return 0, false
	}
	spread := max(wait/retrySpread, minRetryAfter)
	return wait + randomBelow(dispatcher.settings.Random, spread), true
}

func randomBelow(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// ColdUpstream is an upstream that is or may be cold, for operators.
type ColdUpstream struct {
	Name        string `json:"name"`
	RemainingMs int64  `json:"remaining-ms"`
}

// ColdUpstreams returns the upstreams that are or may be cold, and how many requests were held
// back since all upstreams of their pool were.
func (dispatcher *Dispatcher) ColdUpstreams(now time.Duration) (cold []ColdUpstream, heldBack int) {
	for _, upstream := range dispatcher.membership.Rows() {
		if !upstream.Leaving && dispatcher.isCold(now, upstream.Name) {
			until, _ := dispatcher.cold.state.Until(now, upstream.Name, dispatcher.coolingOf(upstream.Name))
			cold = append(cold, ColdUpstream{Name: upstream.Name, RemainingMs: (until - now).Milliseconds()})
		}
	}
	return cold, dispatcher.cold.heldBack
}
