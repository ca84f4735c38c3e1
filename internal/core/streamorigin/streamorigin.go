// Package streamorigin knows which build of the upstreams' software began which stream.
// Builds may serve side by side, and what two of them write does not fit together, so a
// stream that broke off may go on only at the build that began it.
package streamorigin

import (
	"maps"
	"slices"
	"time"

	"endivepost/internal/wire/message"
)

// Origins holds the builds of the streams that this entry or its peers began within
// Retention, and the builds that each pool had in that time. The streams of a pool that has
// several builds, or may have had several, are told to peers soon. Otherwise the pool's only
// build is that of all its streams, and they are told with the next report, if at all: a
// second build may join just before this entry is lost.
type Origins struct {
	streams map[uint64]origin
	// order has the streams from the oldest on, told is how many of them were reported.
	order []uint64
	told  int
	// lastListed is when each build was last listed, by pool.
	lastListed map[string]map[string]time.Duration
	// tellsAll is true if the streams of pools with one build are reported as well.
	tellsAll bool
	// observing is true once the upstream list was read, at observedSince.
	observing     bool
	observedSince time.Duration
}

// origin is the build that began a stream of the pool.
type origin struct {
	pool  string
	build string
	at    time.Duration
}

const (
	// Retention is the longest time from the begin of a stream until it may be taken up.
	Retention = 30 * time.Second
	// maxStreams bounds the known streams, maxReported those in one report.
	maxStreams  = 1 << 15
	maxReported = 1 << 10
)

// New returns origins that know no stream.
func New() *Origins {
	return &Origins{streams: make(map[uint64]origin), lastListed: make(map[string]map[string]time.Duration)}
}

// TellAll sets whether peers are told all streams, or only those of pools that have several
// builds or may have had several.
func (origins *Origins) TellAll(all bool) {
	origins.tellsAll = all
}

// Record records the build that began the stream of the pool. A build that is known stays.
// Stream 0 stands for any that is unknown and is not recorded.
func (origins *Origins) Record(now time.Duration, stream uint64, pool, build string) {
	if _, known := origins.streams[stream]; known || stream == 0 {
		return
	}
	origins.forgetOld(now)
	origins.streams[stream] = origin{pool: pool, build: build, at: now}
	origins.order = append(origins.order, stream)
}

// forgetOld forgets the streams older than Retention, and the oldest beyond maxStreams.
func (origins *Origins) forgetOld(now time.Duration) {
	count := 0
	for count < len(origins.order) && (len(origins.order)-count >= maxStreams || now-origins.streams[origins.order[count]].at > Retention) {
		delete(origins.streams, origins.order[count])
		count++
	}
	origins.order = slices.Delete(origins.order, 0, count)
	origins.told = max(origins.told-count, 0)
}

// Find returns the build that began the stream, and its pool, if that is known.
func (origins *Origins) Find(stream uint64) (pool, build string, known bool) {
	found, known := origins.streams[stream]
	return found.pool, found.build, known
}

// ObserveList records the builds that are listed now, by pool.
func (origins *Origins) ObserveList(now time.Duration, listed map[string][]string) {
	if !origins.observing {
		origins.observing = true
		origins.observedSince = now
	}
	for pool, builds := range listed {
		for _, build := range builds {
			origins.Observe(now, pool, build)
		}
	}
	for _, builds := range origins.lastListed {
		for build, at := range builds {
			if now-at > Retention {
				delete(builds, build)
			}
		}
	}
}

// Observe records that the build of the pool was listed at the time.
func (origins *Origins) Observe(at time.Duration, pool, build string) {
	if origins.lastListed[pool] == nil {
		origins.lastListed[pool] = make(map[string]time.Duration)
	}
	builds := origins.lastListed[pool]
	last, known := builds[build]
	if !known && len(builds) == 1 {
		origins.resend()
	}
	if !known || at > last {
		builds[build] = at
	}
}

// All returns what a peer that has just connected is to be told, in parts of maxReported
// streams at most. It must follow ObserveList.
func (origins *Origins) All(now time.Duration) []message.StreamOrigins {
	origins.forgetOld(now)
	reports := []message.StreamOrigins{origins.Builds(now)}
	count := 0
	for _, stream := range origins.order {
		found := origins.streams[stream]
		if !origins.reports(now, found.pool) {
			continue
		}
		if count == maxReported {
			reports = append(reports, message.StreamOrigins{})
			count = 0
		}
		reports[len(reports)-1].Add(found.pool, found.build, stream)
		count++
	}
	return reports
}

// Report returns what peers are to be told, and marks the streams in it as told. It must
// follow ObserveList.
func (origins *Origins) Report(now time.Duration) message.StreamOrigins {
	report := origins.Builds(now)
	origins.forgetOld(now)
	if !origins.tellsAll && !origins.Urgent(now) {
		return report
	}
	end := min(origins.told+maxReported, len(origins.order))
	for _, stream := range origins.order[origins.told:end] {
		if found := origins.streams[stream]; origins.reports(now, found.pool) {
			report.Add(found.pool, found.build, stream)
		}
	}
	origins.told = end
	return report
}

// Builds returns the builds that each pool had lately, without any streams.
func (origins *Origins) Builds(now time.Duration) message.StreamOrigins {
	report := message.StreamOrigins{Observed: origins.observed(now)}
	for _, pool := range slices.Sorted(maps.Keys(origins.lastListed)) {
		listed := message.PoolBuilds{Pool: pool}
		for _, build := range slices.Sorted(maps.Keys(origins.lastListed[pool])) {
			listed.Builds = append(listed.Builds, message.ListedBuild{Build: build, Age: now - origins.lastListed[pool][build]})
		}
		report.Pools = append(report.Pools, listed)
	}
	return report
}

// reports returns whether peers are told the streams of the pool.
func (origins *Origins) reports(now time.Duration, pool string) bool {
	return origins.tellsAll || origins.inDoubt(now, pool)
}

// inDoubt returns whether peers may be in doubt of which build began a stream of the pool.
func (origins *Origins) inDoubt(now time.Duration, pool string) bool {
	return len(origins.lastListed[pool]) > 1 || origins.observed(now) < Retention
}

// Urgent returns whether there are streams to report of which the build may be in doubt.
func (origins *Origins) Urgent(now time.Duration) bool {
	if origins.told == len(origins.order) {
		return false
	}
	for pool := range origins.lastListed {
		if origins.inDoubt(now, pool) {
			return true
		}
	}
	return false
}

// observed returns for how long the list has been observed, at most Retention.
func (origins *Origins) observed(now time.Duration) time.Duration {
	if !origins.observing {
		return 0
	}
	return min(now-origins.observedSince, Retention)
}

// Merge records what a peer reports. The streams are not reported on, unless relay is true:
// peers are then not all connected to each other. What the peer observed before it extends
// what this entry observes from now on, if the peer's list is up to date.
func (origins *Origins) Merge(now time.Duration, report message.StreamOrigins, relay bool) {
	for _, pool := range report.Pools {
		for _, listed := range pool.Builds {
			origins.Observe(now-listed.Age, pool.Pool, listed.Build)
		}
	}
	if origins.observing && report.Confirmed {
		origins.observedSince = min(origins.observedSince, now-report.Observed)
	}
	for _, begun := range report.Begun {
		for _, stream := range begun.Streams {
			origins.mergeStream(now, stream, begun, relay)
		}
	}
}

func (origins *Origins) mergeStream(now time.Duration, stream uint64, begun message.BegunBy, relay bool) {
	if _, known := origins.streams[stream]; known || stream == 0 {
		return
	}
	origins.Record(now, stream, begun.Pool, begun.Build)
	if !relay {
		origins.markTold()
	}
}

// markTold moves the newest stream before those that are to be reported.
func (origins *Origins) markTold() {
	last := len(origins.order) - 1
	origins.order[origins.told], origins.order[last] = origins.order[last], origins.order[origins.told]
	origins.told++
}

// resend has all known streams reported again: a pool has a second build.
func (origins *Origins) resend() {
	origins.told = 0
}

// OnlyBuild returns the only build that the pools have had for Retention, if that is certain.
func (origins *Origins) OnlyBuild(now time.Duration, pools ...string) (build string, certain bool) {
	builds := make(map[string]bool)
	for _, pool := range pools {
		if len(origins.lastListed[pool]) == 0 {
			return "", false
		}
		for found := range origins.lastListed[pool] {
			builds[found] = true
			build = found
		}
	}
	return build, len(builds) == 1 && origins.observed(now) >= Retention
}
