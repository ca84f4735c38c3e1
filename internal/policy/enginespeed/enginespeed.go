// Package enginespeed estimates how much longer work takes on each engine of a pool than on
// the pool's median engine, from the progress of an entry's own requests, from the slowdown
// that engines state, and from the reports of other entries.
//
// Observations are compared with the pool's median of the same kind of observation, so an
// error of the predictions that all engines share has no effect, and a pool of equal
// engines has no estimates that differ from 1.
package enginespeed

import (
	"math"
	"slices"
	"time"
)

// Kind is the kind of an observation. Each has errors of its own.
type Kind int

// The kinds of observations.
const (
	// QuietGap is the time between events of a stream while the engine prefilled nothing.
	QuietGap Kind = iota
	// BusyGap is that while the engine prefilled prompts. It varies too much for the usual speed,
	// and shows only whether the engine has turned slow.
	BusyGap
	kinds
)

const (
	// observedDecay is the time in which the weight of an observation falls to 1/e.
	observedDecay = time.Minute
	// lowQuantile is the quantile of the ratios that stands for the usual speed: that of work which
	// other requests did not delay. A quantile of 0.1 would be that of the last events of streams,
	// which have fewer tokens.
	lowQuantile = 0.25
	// A quantile moves by firstStep at first, and by leastStep after many observations.
	firstStep = 0.6
	leastStep = 0.05
	stepDecay = 3.0
	// statedDecay is the time in which a stated slowdown approaches its mean: neighbours
	// are busy for 100 ms to some seconds.
	statedDecay = time.Second
	// spreadDecay is that for the mean and the spread of the stated slowdowns.
	spreadDecay = 10 * time.Second
	// minWeight is the weight from which a quantile counts.
	minWeight = 4.0
	// minTotal is the weight of the observations of all entries from which an engine counts as
	// different from the median engine.
	minTotal = 10.0
	// A pool has a median if minReference engines, and half of all, were observed: the first ones
	// that are known may be those with the most prefill.
	minReference = 3
	// A ratio below minRatio, and above its inverse, counts as 1: the load of equal engines
	// differs, and their observations with it. Engines of different speed differ by 1.67 or more.
	minRatio = 1.35
	// An engine has turned slow if minSlow successive observations, over slowTime or longer, took
	// slowRatio as long as usual. That holds for slowExpiry after the last one: with no work
	// there are no observations, and the engine is to get work again.
	slowRatio  = 2.5
	minSlow    = 4
	slowTime   = 700 * time.Millisecond
	slowExpiry = 1500 * time.Millisecond
	// maxRatio bounds a single observation, and its inverse. It is far above maxSlowdown, since
	// the predictions are too short if the number of tokens in an event is unknown.
	maxRatio = 1000.0
	// maxSlowdown bounds an estimate, and its inverse: the slowest engines take 5 times the usual
	// time, and 12 with a busy neighbour.
	maxSlowdown = 12.0
)

// quantile follows a low quantile of values.
type quantile struct {
	value   float64
	weight  float64
	updated time.Duration
}

func (quantile quantile) decayed(now time.Duration) quantile {
	quantile.weight *= math.Exp(-max(now-quantile.updated, 0).Seconds() / observedDecay.Seconds())
	quantile.updated = max(now, quantile.updated)
	return quantile
}

func (quantile quantile) with(now time.Duration, value float64) quantile {
	quantile = quantile.decayed(now)
	step := max(firstStep/(1+quantile.weight/stepDecay), leastStep)
	switch {
	case quantile.weight == 0:
		quantile.value = value
	case value < quantile.value:
		quantile.value = max(quantile.value-(1-lowQuantile)*step, value)
	default:
		quantile.value = min(quantile.value+lowQuantile*step, value)
	}
	quantile.weight++
	return quantile
}

// known returns whether the quantile counts.
func (quantile quantile) known() bool {
	return quantile.weight >= minWeight
}

// slowRun is a sequence of observations that took slowRatio as long as usual or longer.
type slowRun struct {
	count int
	since time.Duration
	until time.Duration
	// least is the logarithm of the least ratio among them.
	least float64
}

func (run slowRun) with(now time.Duration, value float64) slowRun {
	if value < math.Log(slowRatio) {
		return slowRun{}
	}
	if run.count == 0 || now > run.until+slowExpiry {
		run = slowRun{since: now, least: value}
	}
	run.count++
	run.until = now
	run.least = min(run.least, value)
	return run
}

// factor returns by how much longer than usual the work takes now, 1 if it does not.
func (run slowRun) factor(now time.Duration) float64 {
	if run.count < minSlow || run.until-run.since < slowTime || now > run.until+slowExpiry {
		return 1
	}
	return math.Exp(run.least)
}

// average is a mean and a variance in which older values count less.
type average struct {
	weight  float64
	sum     float64
	squares float64
	updated time.Duration
}

func (average average) decayed(now, decay time.Duration) average {
	factor := math.Exp(-max(now-average.updated, 0).Seconds() / decay.Seconds())
	average.weight *= factor
	average.sum *= factor
	average.squares *= factor
	average.updated = max(now, average.updated)
	return average
}

func (average average) with(now, decay time.Duration, value float64) average {
	average = average.decayed(now, decay)
	average.weight++
	average.sum += value
	average.squares += value * value
	return average
}

// mean returns the mean, 0 without values.
func (average average) mean() float64 {
	if average.weight <= 0 {
		return 0
	}
	return average.sum / average.weight
}

func (average average) deviation() float64 {
	if average.weight <= 0 {
		return 0
	}
	mean := average.mean()
	return math.Sqrt(max(average.squares/average.weight-mean*mean, 0))
}

// Speed is what is known of the speed of one engine. The zero value knows nothing.
type Speed struct {
	// usual has low quantiles of the logarithms of the ratios of observed to predicted times, by
	// kind, without what the engine stated.
	usual [kinds]quantile
	slow  slowRun
	// stated has the slowdowns that the engine stated, latest is the last one.
	stated   average
	latest   float64
	latestAt time.Duration
}

// WithObservation returns the speed after work that was predicted to take one time took
// another. The prediction is for the pool's median engine.
func (speed Speed) WithObservation(now time.Duration, kind Kind, predicted, took time.Duration) Speed {
	if predicted <= 0 || took <= 0 || kind < 0 || kind >= kinds {
		return speed
	}
	ratio := took.Seconds() / predicted.Seconds() / speed.statedNow(now)
	value := math.Log(min(max(ratio, 1/maxRatio), maxRatio))
	if gaps := speed.usual[QuietGap]; gaps.weight >= minWeight {
		if change := value - gaps.value; kind == QuietGap || change >= math.Log(slowRatio) {
			speed.slow = speed.slow.with(now, change)
		}
	}
	if kind == QuietGap {
		speed.usual[kind] = speed.usual[kind].with(now, value)
	}
	return speed
}

// WithStated returns the speed after the engine stated, the age ago, that work takes longer than
// usual there by the slowdown.
func (speed Speed) WithStated(now, age time.Duration, slowdown float64) Speed {
	if !(slowdown > 0) || math.IsInf(slowdown, 0) {
		return speed
	}
	at := now - age
	if speed.stated.weight > 0 && at < speed.latestAt {
		return speed
	}
	speed.stated = speed.stated.with(at, spreadDecay, slowdown)
	speed.latest, speed.latestAt = slowdown, at
	return speed
}

// StatedAt returns when the engine last stated a slowdown, 0 if it did not.
func (speed Speed) StatedAt() time.Duration {
	return speed.latestAt
}

// statedNow returns the slowdown expected by what the engine stated: the latest one and, the
// older that is, the mean. It is 1 if nothing was stated.
func (speed Speed) statedNow(now time.Duration) float64 {
	if speed.stated.weight == 0 {
		return 1
	}
	age := max(now-speed.latestAt, 0).Seconds()
	mean := speed.statedMean(now)
	return mean + (speed.latest-mean)*math.Exp(-age/statedDecay.Seconds())
}

// statedMean returns the mean of the stated slowdowns. It approaches 1 as they age.
func (speed Speed) statedMean(now time.Duration) float64 {
	stated := speed.stated.decayed(now, spreadDecay)
	return (stated.sum + priorStated) / (stated.weight + priorStated)
}

// priorStated is the weight of the assumption that an engine is as fast as usual.
const priorStated = 0.5

// Reference has the medians of a pool by kind of observation.
type Reference struct {
	known  [kinds]bool
	median [kinds]float64
}

// NewReference returns the medians of the pool's engines.
func NewReference(now time.Duration, pool []Speed) Reference {
	var reference Reference
	for kind := range kinds {
		var values []float64
		for _, speed := range pool {
			if usual := speed.usual[kind].decayed(now); usual.known() {
				values = append(values, usual.value)
			}
		}
		if len(values) < minReference || 2*len(values) < len(pool) {
			continue
		}
		slices.Sort(values)
		reference.known[kind] = true
		reference.median[kind] = values[len(values)/2]
	}
	return reference
}

// Report is what an entry has learned of the usual speed of an engine: the logarithm of its
// ratio to the pool's median, the weight of the observations, and the slowdown that the
// engine stated last, 0 if none, and how long ago.
type Report struct {
	Ratio  float64
	Weight float64
	Stated float64
	Age    time.Duration
}

// Report returns what is known of the speed in a pool with the reference.
func (speed Speed) Report(now time.Duration, reference Reference) Report {
	var report Report
	for kind := range kinds {
		usual := speed.usual[kind].decayed(now)
		if report.Weight == 0 && reference.known[kind] && usual.known() {
			report.Ratio, report.Weight = usual.value-reference.median[kind], usual.weight
		}
	}
	if speed.stated.weight > 0 {
		report.Stated, report.Age = speed.latest, max(now-speed.latestAt, 0)
	}
	return report
}

// Estimate is the speed of an engine in relation to the pool's median engine. The zero value
// is that of an engine of which nothing is known.
type Estimate struct {
	// Own is the factor by which work takes longer in the long run without what the engine
	// stated, Usual that with the mean of the stated slowdowns, and Now the factor expected at
	// the moment. 0 stands for 1.
	Own   float64
	Usual float64
	Now   float64
	// Change is the factor by which the engine has turned slower lately.
	Change float64
	// Spread is the standard deviation of the factor at the moment, as a share of it.
	Spread float64
	// Confidence is between 0 and 1.
	Confidence float64
}

// UsualFactor returns the factor by which work takes longer in the long run.
func (estimate Estimate) UsualFactor() float64 {
	return orOne(estimate.Usual)
}

// Factor returns the factor by which work is expected to take longer at the moment.
func (estimate Estimate) Factor() float64 {
	return orOne(estimate.Now)
}

// WorkFactor returns the factor by which work of some seconds takes longer than on other
// engines. Neighbours do not count: most of them are busy for a shorter time, and prompts would
// be prefilled again on other engines.
func (estimate Estimate) WorkFactor() float64 {
	return orOne(estimate.Own) * orOne(estimate.Change)
}

// Slow returns a factor that is exceeded seldom: Factor and two standard deviations. It is 0
// if the engine is not known to differ from the pool's median.
func (estimate Estimate) Slow() float64 {
	const deviations = 2
	if estimate.Factor() == 1 && estimate.Spread == 0 {
		return 0
	}
	return estimate.Factor() * (1 + deviations*estimate.Spread)
}

// Steady returns UsualFactor and the spread: of two engines of the same speed, the one with
// less busy neighbours has the lower factor.
func (estimate Estimate) Steady() float64 {
	return estimate.UsualFactor() * (1 + estimate.Spread)
}

func orOne(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}

// Estimate returns the estimate from what this entry observed and others reported.
func (speed Speed) Estimate(now time.Duration, reference Reference, others []Report) Estimate {
	own := speed.Report(now, reference)
	weight, sum := own.Weight, own.Weight*own.Ratio
	for _, other := range others {
		weight += other.Weight
		sum += other.Weight * other.Ratio
	}
	usual := 1.0
	if weight >= minTotal {
		if ratio := math.Exp(sum / weight); ratio >= minRatio || ratio <= 1/minRatio {
			usual = ratio
		}
	}
	change := speed.slow.factor(now)
	mean := speed.statedMean(now)
	return Estimate{
		Own:        bounded(usual),
		Usual:      bounded(usual * mean),
		Now:        bounded(usual * change * speed.statedNow(now)),
		Change:     change,
		Spread:     min(speed.stated.deviation()/mean, 1),
		Confidence: weight / (weight + minWeight),
	}
}

func bounded(factor float64) float64 {
	return min(max(factor, 1/maxSlowdown), maxSlowdown)
}
