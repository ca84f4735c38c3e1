// Package learned finds an upstream's concurrency limit from what it measures.
package aimd

import (
	"time"

	"endivepost/internal/policy/limit"
)

// Limit implements limit.Policy by additive increase and multiplicative
// decrease on the share of late samples. Targets are stated for 95 in 100, so a
// mean says nothing: a few long steps can miss the target while the mean is far
// below it. While few samples are late or close to it and the limit is in use,
// it grows by one for each window; when more are late than the target allows, it
// shrinks. First tokens and later ones are counted apart, or the many would hide
// the few: an upstream that queues work inside shows it in the first only. No
// weight is set by anyone, at the price of probing: the limit
// saw-tooths just below the point where targets are missed.
type Limit struct {
	settings Settings
	limit    float64
	first    shares
	later    shares
	samples  int
	full     bool
	changed  time.Duration
}

// shares are smoothed shares of samples that are late, or close to it.
type shares struct {
	late  float64
	close float64
}

// Settings bound the search. Window is the shortest time between two changes.
type Settings struct {
	Initial int
	Min     int
	Max     int
	Window  time.Duration
}

const (
	firstWeight = 0.05
	laterWeight = 0.01
	closeRatio  = 0.95
	mostClose   = 0.02
	mostLate    = 0.03
	// mostLateFirst is wider: one sample of the few weighs more than that.
	mostLateFirst = 0.1
	decrease      = 0.9
	leastSamples  = 20
)

// New returns a limit that begins at settings.Start.
func New(settings Settings) *Limit {
	return &Limit{settings: settings, limit: float64(settings.Initial)}
}

// Limit implements limit.Policy.
func (learned *Limit) Limit() int {
	return int(learned.limit)
}

// Observe implements limit.Policy.
func (learned *Limit) Observe(now time.Duration, sample limit.Sample) {
	if sample.FirstToken {
		learned.first = learned.first.with(sample.Ratio, firstWeight)
	} else {
		learned.later = learned.later.with(sample.Ratio, laterWeight)
	}
	learned.samples++
	learned.full = learned.full || sample.Running >= learned.Limit()
	if learned.samples < leastSamples || now-learned.changed < learned.settings.Window {
		return
	}
	learned.adjust()
	learned.changed = now
	learned.samples = 0
	learned.full = false
}

func (learned *Limit) adjust() {
	switch {
	case learned.first.late > mostLateFirst || learned.later.late > mostLate:
		learned.limit *= decrease
		learned.first.late = 0
		learned.later.late = 0
	case learned.first.close < mostLateFirst && learned.later.close < mostClose && learned.full:
		learned.limit++
	}
	learned.limit = min(max(learned.limit, float64(learned.settings.Min)), float64(learned.settings.Max))
}

func (shares shares) with(ratio, weight float64) shares {
	shares.late += weight * (share(ratio > 1) - shares.late)
	shares.close += weight * (share(ratio > closeRatio) - shares.close)
	return shares
}

func share(counts bool) float64 {
	if counts {
		return 1
	}
	return 0
}
