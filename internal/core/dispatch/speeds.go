package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/dedicated"
	"endivepost/internal/policy/enginespeed"
	"endivepost/internal/policy/rendezvous"
	"endivepost/internal/wire/message"
)

const (
	// speedInterval is the time between two estimates of the speeds of a pool's engines: it
	// limits the processor time of the entry. Slowdowns by neighbours last 100 ms or longer.
	speedInterval = 100 * time.Millisecond
	// quietTime is how long an engine must have had no more pending prefill than shortPrefill
	// for the events since to count as not delayed by it. Streams report their progress every
	// 250 ms. A shorter prefill changes only some of the gaps in that time, and an engine that is
	// dedicated to streams with short prompts always has some.
	shortPrefill = 4096
	quietTime    = 300 * time.Millisecond
	// maxStatedAge is the greatest age of a stated slowdown that is reported to peers, and
	// statedAgeError bounds the error of the age on its way: a report of a known one is ignored.
	maxStatedAge   = 2 * time.Second
	statedAgeError = 50 * time.Millisecond
	// maxReportWeight bounds the weight of a peer's report, so that an invalid one cannot
	// override all others.
	maxReportWeight = 1000
	percent         = 100
	// The first of dedicatedShare engines by rank are those that are dedicated in most pools.
	dedicatedShare = 4
	// usualStep is the time of a decode step without prefill on an engine of usual speed, and
	// busyStep that with the prefill of a chunk of 2,048 tokens.
	usualStep = 4600 * time.Microsecond
	busyStep  = usualStep + 33*time.Millisecond
)

// poolSpeeds are the estimates of the speeds of a pool's engines.
type poolSpeeds struct {
	estimates map[string]enginespeed.Estimate
	// work are the factors by which work takes longer than on the pool's median engine.
	work      map[string]float64
	reference enginespeed.Reference
	due       time.Duration
	ranking   *dedicated.Ranking
	// ranked are the engines by how suitable they are for latency-sensitive streams.
	ranked []string
	// slow are the engines that were reported to have turned slow.
	slow map[string]bool
}

// handleLoad records the slowdown that an upstream states.
func (dispatcher *Dispatcher) handleLoad(now time.Duration, input event.LoadReported) {
	if _, listed := dispatcher.membership.Find(input.Upstream); !listed || input.Slowdown == 0 {
		return
	}
	upstream := dispatcher.upstream(input.Upstream)
	upstream.speed = upstream.speed.WithStated(now, 0, input.Slowdown)
	dispatcher.upstreams.Put(input.Upstream, upstream)
}

// poolSpeeds returns the estimates of the pool's engines, which are at most speedInterval old.
func (dispatcher *Dispatcher) poolSpeeds(now time.Duration, pool string) *poolSpeeds {
	speeds := findOrAdd(dispatcher.speeds, pool, func() *poolSpeeds { return &poolSpeeds{ranking: dedicated.NewRanking()} })
	if now < speeds.due {
		return speeds
	}
	speeds.due = now + speedInterval
	speeds.ranked = nil
	engines := dispatcher.membership.InPool(now, pool)
	known := make([]enginespeed.Speed, len(engines))
	for i, engine := range engines {
		known[i] = dispatcher.upstream(engine.Name).speed
	}
	speeds.reference = enginespeed.NewReference(now, known)
	reported := dispatcher.reportedSpeeds()
	speeds.estimates = make(map[string]enginespeed.Estimate, len(engines))
	for i, engine := range engines {
		speeds.estimates[engine.Name] = known[i].Estimate(now, speeds.reference, reported[engine.Name])
	}
	speeds.work = relativeWork(speeds.estimates)
	dispatcher.reportSlow(speeds, engines)
	return speeds
}

// reportSlow reports, for the log, the engines that turned slow or no longer are.
func (dispatcher *Dispatcher) reportSlow(speeds *poolSpeeds, engines []event.Upstream) {
	slow := make(map[string]bool)
	for _, engine := range engines {
		change := speeds.estimates[engine.Name].Change
		switch {
		case change > 1:
			slow[engine.Name] = true
			if !speeds.slow[engine.Name] {
				dispatcher.emit(event.StateChanged{State: event.TurnedSlow, Name: engine.Name, Version: uint64(math.Round(percent * change))})
			}
		case speeds.slow[engine.Name]:
			dispatcher.emit(event.StateChanged{State: event.SlowEnded, Name: engine.Name})
		}
	}
	speeds.slow = slow
}

// relativeWork returns the estimates' work factors divided by their median: the assumed figures
// are those of the median engine.
func relativeWork(estimates map[string]enginespeed.Estimate) map[string]float64 {
	work := make(map[string]float64, len(estimates))
	if len(estimates) == 0 {
		return work
	}
	for name, estimate := range estimates {
		work[name] = estimate.WorkFactor()
	}
	median := slices.Sorted(maps.Values(work))[len(work)/2]
	for name := range work {
		work[name] /= median
	}
	return work
}

// workFactor returns by how much longer work takes than on the pool's median engine.
func (dispatcher *Dispatcher) workFactor(now time.Duration, pool, name string) float64 {
	if factor, known := dispatcher.poolSpeeds(now, pool).work[name]; known {
		return factor
	}
	return 1
}

func (dispatcher *Dispatcher) speed(now time.Duration, pool, name string) enginespeed.Estimate {
	return dispatcher.poolSpeeds(now, pool).estimates[name]
}

// observeGap returns the row after events of a stream with the median gap. Pending is the
// prefill that is pending at the engine. A report without a median is none of the engine's speed:
// single gaps differ by the prefill beside them, and the last event has fewer tokens.
func (row upstreamRow) observeGap(now, gap time.Duration, tokensPerEvent, pending int) upstreamRow {
	if pending > shortPrefill {
		row.prefilledAt = now
	}
	if gap <= 0 {
		return row
	}
	kind, step := enginespeed.QuietGap, usualStep
	if row.prefilledAt > 0 && now-row.prefilledAt < quietTime {
		kind, step = enginespeed.BusyGap, busyStep
	}
	row.speed = row.speed.WithObservation(now, kind, time.Duration(tokensPerEvent)*step, gap)
	return row
}

// rankEngines returns the pool's engines by how suitable they are for latency-sensitive
// streams. All entries order those of the same speed alike.
func (dispatcher *Dispatcher) rankEngines(now time.Duration, pool string, names []string) []string {
	if len(names) == 0 {
		return nil
	}
	speeds := dispatcher.poolSpeeds(now, pool)
	if len(speeds.ranked) == len(names) {
		return speeds.ranked
	}
	factors := make([]float64, len(names))
	for i, name := range names {
		factors[i] = speeds.estimates[name].Steady()
	}
	median := slices.Sorted(slices.Values(factors))[len(factors)/2]
	engines := make([]dedicated.Engine, len(names))
	for i, name := range rendezvous.Rank([]byte(pool), names) {
		engines[i] = dedicated.Engine{Name: name, Slowdown: speeds.estimates[name].Steady() / median}
	}
	speeds.ranked = speeds.ranking.Rank(now, engines)
	return speeds.ranked
}

// dedicatedSlowdown returns the mean factor by which work takes longer on the engines that
// are dedicated first, at least 1: fast engines are not given more streams than others, so that
// they keep their target beside busy neighbours.
func (dispatcher *Dispatcher) dedicatedSlowdown(now time.Duration, pool string, ranked []string) float64 {
	speeds := dispatcher.poolSpeeds(now, pool)
	first := ranked[:(len(ranked)+dedicatedShare-1)/dedicatedShare]
	sum := 0.0
	for _, name := range first {
		sum += speeds.estimates[name].Steady()
	}
	return max(sum/float64(max(len(first), 1)), 1)
}

// prefillBound returns the pending prefill tokens that all entries together send to the
// engine: the tokens of the time that maxPrefillTokens take at the assumed rate.
func (dispatcher *Dispatcher) prefillBound(now time.Duration, pool, name string) int {
	return int(maxPrefillTokens / dispatcher.workFactor(now, pool, name))
}

// forgetSpeed forgets the speed of an engine of which another process runs.
func (dispatcher *Dispatcher) forgetSpeed(name string) {
	if row, known := dispatcher.upstreams.Get(name); known {
		row.speed = enginespeed.Speed{}
		dispatcher.upstreams.Put(name, row)
	}
}

// slowdown returns by how much longer the upstream may be silent than a usual one with the
// same pending prefill, at least 1.
func (dispatcher *Dispatcher) slowdown(now time.Duration, name string) float64 {
	upstream, _ := dispatcher.membership.Find(name)
	return max(dispatcher.speed(now, upstream.Pool, name).WorkFactor(), 1)
}

// speedReport returns what this entry learned of the upstream's speed, for its peers.
func (dispatcher *Dispatcher) speedReport(now time.Duration, name string, speed enginespeed.Speed) message.UpstreamSpeed {
	upstream, _ := dispatcher.membership.Find(name)
	report := speed.Report(now, dispatcher.poolSpeeds(now, upstream.Pool).reference)
	var compact message.UpstreamSpeed
	if report.Weight >= 1 {
		compact.RatioPercent = int(math.Round(percent * math.Exp(report.Ratio)))
		compact.Weight = int(report.Weight)
	}
	if report.Stated > 0 && report.Age < maxStatedAge {
		compact.StatedPercent = int(math.Round(percent * report.Stated))
		compact.StatedAgeMs = int(report.Age.Milliseconds())
	}
	return compact
}

// handlePeerSpeeds records the slowdowns that upstreams stated to a peer.
func (dispatcher *Dispatcher) handlePeerSpeeds(now time.Duration, loads []message.UpstreamLoad) {
	for _, load := range loads {
		age := time.Duration(load.Speed.StatedAgeMs) * time.Millisecond
		if load.Speed.StatedPercent <= 0 || age < 0 || age > maxStatedAge {
			continue
		}
		if _, listed := dispatcher.membership.Find(load.Upstream); !listed {
			continue
		}
		upstream := dispatcher.upstream(load.Upstream)
		if now-age > upstream.speed.StatedAt()+statedAgeError {
			upstream.speed = upstream.speed.WithStated(now, age, float64(load.Speed.StatedPercent)/percent)
			dispatcher.upstreams.Put(load.Upstream, upstream)
		}
	}
}

// reportedSpeeds returns what the connected entries observed, by upstream.
func (dispatcher *Dispatcher) reportedSpeeds() map[string][]enginespeed.Report {
	reported := make(map[string][]enginespeed.Report)
	for _, heartbeat := range dispatcher.mesh.Heartbeats() {
		for _, load := range heartbeat.Loads {
			if speed := load.Speed; speed.Weight > 0 && speed.RatioPercent > 0 {
				reported[load.Upstream] = append(reported[load.Upstream], enginespeed.Report{
					Ratio: math.Log(float64(speed.RatioPercent) / percent), Weight: float64(min(speed.Weight, maxReportWeight)),
				})
			}
		}
	}
	return reported
}
