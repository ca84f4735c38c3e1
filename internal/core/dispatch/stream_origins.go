package dispatch

import (
	"slices"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// A stream goes on only at the build of the upstreams' software that began it: within one
// response, and when its caller takes it up again. The entry that began it knows the build,
// and tells the others while several builds serve. For a stream that is not known the build is
// certain if there has been only one for as long as a stream may last. What this entry knows of
// that may be out of date, so it reads the list and asks the others when the stream is taken
// up. A stream whose build is not certain does not go on.

// listConfirmation is how long the upstream list counts as up to date after the
// configuration service has confirmed it.
const listConfirmation = 3 * time.Second

// originsDelay is the time from the begin of a stream until the other entries are told. In a
// large fleet it is the heartbeat interval, since the streams of all entries are told on.
const originsDelay = 50 * time.Millisecond

// fitsBuild returns whether the request may go on at the upstream.
func (dispatcher *Dispatcher) fitsBuild(now time.Duration, row requestRow, upstream event.Upstream) bool {
	return !row.begun || row.buildKnown && dispatcher.build(now, upstream) == row.build
}

// withKnownBuild returns the row of a stream that was taken up with the build that began it,
// if that is certain. It goes on in the pool that began it, or, if its class is served by others
// now, in one of them.
func (dispatcher *Dispatcher) withKnownBuild(now time.Duration, row requestRow) requestRow {
	if !row.begun || row.buildKnown {
		return row
	}
	if pool, build, known := dispatcher.origins.Find(row.request.Stream); known {
		if serves(row.request.Class, pool) {
			row.pool = pool
		}
		row.build, row.buildKnown = build, true
		return row
	}
	if build, certain := dispatcher.onlyBuild(now, row); certain {
		row.build, row.buildKnown = build, true
		dispatcher.origins.Record(now, row.request.Stream, row.pool, build)
	}
	return row
}

// buildIsGone returns whether no upstream serves any more at which the stream may go on, or
// its class is no longer served by the pool that began it.
func (dispatcher *Dispatcher) buildIsGone(now time.Duration, row requestRow) bool {
	if !row.begun || !row.buildKnown {
		return false
	}
	usable := dispatcher.pool(now, row.pool).usable
	return !serves(row.request.Class, row.pool) || len(usable) > 0 && !slices.ContainsFunc(usable, func(upstream event.Upstream) bool {
		return upstream.Build == row.build || dispatcher.fitsBuild(now, row, upstream)
	})
}

// serves returns whether the class is served by the pool.
func serves(class document.Class, pool string) bool {
	return slices.ContainsFunc(class.Split, func(share document.Share) bool { return share.Pool == pool && share.Weight > 0 })
}

// recordOrigin records the build of a stream whose first event has come, and returns its row.
func (dispatcher *Dispatcher) recordOrigin(now time.Duration, row requestRow) requestRow {
	if row.begun || !row.request.Class.Streamed || !row.request.Class.Resumable {
		return row
	}
	row.begun, row.buildKnown, row.build = true, true, row.upstreamBuild
	dispatcher.origins.Record(now, row.request.Stream, row.pool, row.build)
	dispatcher.backUpOrigin(row.request.Stream, row.pool, row.build)
	dispatcher.scheduleOrigins(now)
	return row
}

// scheduleOrigins has the streams that are to be told sent soon: their callers may take them
// up at another entry at once if this one stops.
func (dispatcher *Dispatcher) scheduleOrigins(now time.Duration) {
	if !dispatcher.mesh.Connected() || !dispatcher.origins.Urgent(now) {
		return
	}
	delay := originsDelay
	if dispatcher.mesh.KnownCount() > largeFleet {
		delay = dispatcher.settings.HeartbeatInterval
	}
	if dispatcher.originsDue == 0 {
		dispatcher.originsDue = now + delay
	}
}

// sendOrigins tells the other entries of the streams that have begun, between heartbeats.
func (dispatcher *Dispatcher) sendOrigins(now time.Duration) {
	if dispatcher.originsDue == 0 || now < dispatcher.originsDue {
		return
	}
	dispatcher.originsDue = 0
	if dispatcher.origins.Urgent(now) {
		dispatcher.emit(dispatcher.mesh.Send(dispatcher.reportOrigins(now))...)
		dispatcher.scheduleOrigins(now)
	}
}

// onlyBuild returns the only build that the pools which may have begun the stream have had for as
// long as a stream may last, if that is certain. Who began the stream at another build had read of it in the list, so
// a read since the stream was taken up brings that one too. While the list cannot be read, the
// peers may know.
func (dispatcher *Dispatcher) onlyBuild(now time.Duration, row requestRow) (build string, certain bool) {
	build, certain = dispatcher.origins.OnlyBuild(now, dispatcher.classPools.Candidates(now, row.request.Class, row.request.Stream)...)
	if !certain || dispatcher.listReads.Since(row.arrived) {
		return build, certain
	}
	dispatcher.listReads = dispatcher.listReads.WithNeed(row.arrived, row.waitDeadline)
	return build, dispatcher.peersConfirm(now, row)
}

// readList asks for the list's changes if a stream that was taken up depends on them.
func (dispatcher *Dispatcher) readList(now time.Duration) {
	due, needed := dispatcher.listReads.Due(now, dispatcher.mesh.KnownCount())
	if !needed || now < due {
		return
	}
	dispatcher.listReads = dispatcher.listReads.WithAsked(now)
	dispatcher.emit(event.ReadUpstreamChanges{AskedAt: now})
}

// peersConfirm returns whether no build can be in service of which this entry has not heard,
// without a read of the list: whoever is connected must have answered since the request arrived,
// and the list be up to date here or there, or all known entries be connected. Without any
// connection the list must have been confirmed since the last one closed.
func (dispatcher *Dispatcher) peersConfirm(now time.Duration, row requestRow) bool {
	if !dispatcher.mesh.Connected() {
		return dispatcher.listUpToDate(now) && dispatcher.listConfirmedAt > dispatcher.connectedAt
	}
	upToDate := dispatcher.listUpToDate(now) || dispatcher.mesh.FullyConnected()
	for _, link := range dispatcher.mesh.Links() {
		answer, answered := dispatcher.originsAnswers[link]
		if !answered || answer.stamp < row.arrived {
			dispatcher.originsPullDue = dispatcher.originsPullDue || dispatcher.originsAskedAt < row.arrived
			return false
		}
		upToDate = upToDate || answer.confirmed
	}
	return upToDate
}

// originsAnswer is what a peer answered when it was asked at the stamp: whether its list was up to
// date.
type originsAnswer struct {
	stamp     time.Duration
	confirmed bool
}

// pullOrigins asks the connected entries which builds they know, for the streams that were
// taken up in this step.
func (dispatcher *Dispatcher) pullOrigins(now time.Duration) {
	if !dispatcher.originsPullDue {
		return
	}
	dispatcher.originsPullDue = false
	dispatcher.originsAskedAt = now
	dispatcher.emit(dispatcher.mesh.Send(message.OriginsPull{Stamp: now})...)
}

// answerOriginsPull tells a peer the builds that are known. It has been told the streams, or
// is about to be.
func (dispatcher *Dispatcher) answerOriginsPull(now time.Duration, received event.Received, pull message.OriginsPull) {
	if !dispatcher.mesh.Touch(now, received.Peer, received.Link) {
		return
	}
	dispatcher.observeBuilds(now)
	answer := dispatcher.origins.Builds(now)
	answer.Confirmed = dispatcher.listUpToDate(now)
	answer.Answer = pull.Stamp
	dispatcher.emit(event.Send{Peer: received.Peer, Link: received.Link, Message: answer})
}

func (dispatcher *Dispatcher) recordOriginsAnswer(link string, report message.StreamOrigins) {
	if report.Answer > 0 {
		dispatcher.originsAnswers[link] = originsAnswer{stamp: report.Answer, confirmed: report.Confirmed}
	}
}

func (dispatcher *Dispatcher) listUpToDate(now time.Duration) bool {
	return dispatcher.listConfirmed && now-dispatcher.listConfirmedAt <= listConfirmation
}

// confirmList records that the upstream list is up to date.
func (dispatcher *Dispatcher) confirmList(now time.Duration) {
	dispatcher.listConfirmed = true
	dispatcher.listConfirmedAt = now
	dispatcher.settleBreaks(now)
	dispatcher.observeBuilds(now)
	dispatcher.placeUnknownStreams()
}

// observeBuilds records the builds that are listed now.
func (dispatcher *Dispatcher) observeBuilds(now time.Duration) {
	if !dispatcher.listKnown {
		return
	}
	listed := make(map[string][]string)
	for _, upstream := range dispatcher.membership.Rows() {
		build := dispatcher.listedBuild(now, upstream)
		if builds := listed[upstream.Pool]; !upstream.Leaving && !slices.Contains(builds, build) {
			listed[upstream.Pool] = append(builds, build)
		}
	}
	dispatcher.origins.ObserveList(now, listed)
}

// reportOrigins returns the origins for the next heartbeat.
func (dispatcher *Dispatcher) reportOrigins(now time.Duration) message.StreamOrigins {
	dispatcher.observeBuilds(now)
	report := dispatcher.origins.Report(now)
	report.Confirmed = dispatcher.listUpToDate(now)
	if now < dispatcher.buildsDue && sameBuilds(report.Pools, dispatcher.toldBuilds) {
		report.Pools = nil
		return report
	}
	dispatcher.buildsDue = now + buildsInterval
	dispatcher.toldBuilds = report.Pools
	return report
}

// sameBuilds returns whether the pools had the same builds, at whatever age.
func sameBuilds(left, right []message.PoolBuilds) bool {
	return slices.EqualFunc(left, right, func(left, right message.PoolBuilds) bool {
		return left.Pool == right.Pool && slices.EqualFunc(left.Builds, right.Builds, func(left, right message.ListedBuild) bool { return left.Build == right.Build })
	})
}

// mergeOrigins records what a peer reports, and places the streams that wait for it.
func (dispatcher *Dispatcher) mergeOrigins(now time.Duration, report message.StreamOrigins) {
	dispatcher.origins.Merge(now, report, dispatcher.mesh.KnownCount() > largeFleet)
	dispatcher.scheduleOrigins(now)
	dispatcher.placeUnknownStreams()
}

// placeUnknownStreams has the streams placed again of which the build was not known.
func (dispatcher *Dispatcher) placeUnknownStreams() {
	dispatcher.upstreamsChanged = dispatcher.upstreamsChanged || dispatcher.waitsForOrigin
	dispatcher.waitsForOrigin = false
}
