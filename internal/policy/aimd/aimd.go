// Package aimd adapts an upstream's concurrency limit to the latencies measured
// there, by additive increase and multiplicative decrease (AIMD).
package aimd

import (
	"time"

	"endivepost/internal/policy/limit"
)

// Limit implements limit.Policy by AIMD on the share of samples that miss their
// target. 95 of 100 tokens are to meet a target. The mean does not show whether they
// do: a few long steps can miss the target while the mean is far below it. While few
// samples miss the target or come near it and the limit is reached, it grows by one
// per window. When too many miss it, the limit shrinks by a tenth.
//
// First tokens and later tokens are counted separately. An upstream that queues
// requests internally delays first tokens only, and these would not show among the
// many later ones. The limit needs no tuning for each upstream. Its cost is probing:
// the limit rises until samples come near their target, drops when too many miss it,
// and rises again.
type Limit struct {
	settings   Settings
	limit      float64
	firstToken missRates
	interToken missRates
	// samples is the number of samples since adjustedAt, the uptime of the last
	// adjustment. Saturated is set if one of them was taken at the limit.
	samples    int
	saturated  bool
	adjustedAt time.Duration
}

// missRates are exponentially smoothed shares of samples: missed of those above their
// target, near of those above nearRatio of it.
type missRates struct {
	missed float64
	near   float64
}

// Settings bound the limit, in requests; Min is at least 1. Window is the least time
// between two changes.
type Settings struct {
	Initial int
	Min     int
	Max     int
	Window  time.Duration
}

const (
	// firstTokenWeight and interTokenWeight are the weights of one sample in the
	// smoothed rates, which thus cover about 20 first tokens and 100 later ones.
	firstTokenWeight = 0.05
	interTokenWeight = 0.01
	// nearRatio is the share of the target above which a sample is near it.
	nearRatio = 0.95
	// The limit grows only while less than maxNear of the later tokens are near their
	// target, and shrinks when more than maxMissed miss it. Both are below the 5 of
	// 100 that may miss it.
	maxNear   = 0.02
	maxMissed = 0.03
	// maxMissedFirstToken is the threshold of both rates of first tokens. It is higher
	// because one first token above its target already adds up to firstTokenWeight.
	maxMissedFirstToken = 0.1
	decreaseFactor      = 0.9
	// minSamples is the number of samples needed between two changes.
	minSamples = 20
)

// New returns a limit that starts at settings.Initial.
func New(settings Settings) *Limit {
	return &Limit{settings: settings, limit: float64(settings.Initial)}
}

// Limit implements limit.Policy.
func (aimd *Limit) Limit() int {
	return int(aimd.limit)
}

// Observe implements limit.Policy.
func (aimd *Limit) Observe(now time.Duration, sample limit.Sample) {
	if sample.FirstToken {
		aimd.firstToken = aimd.firstToken.add(sample.Ratio, firstTokenWeight)
	} else {
		aimd.interToken = aimd.interToken.add(sample.Ratio, interTokenWeight)
	}
	aimd.samples++
	aimd.saturated = aimd.saturated || sample.Running >= aimd.Limit()
	if aimd.samples < minSamples || now-aimd.adjustedAt < aimd.settings.Window {
		return
	}
	aimd.adjust()
	aimd.adjustedAt = now
	aimd.samples = 0
	aimd.saturated = false
}

// adjust changes the limit by the current rates. When it shrinks, the missed rates are
// reset, so that samples taken at the higher limit do not shrink it again.
func (aimd *Limit) adjust() {
	switch {
	case aimd.firstToken.missed > maxMissedFirstToken || aimd.interToken.missed > maxMissed:
		aimd.limit *= decreaseFactor
		aimd.firstToken.missed = 0
		aimd.interToken.missed = 0
	case aimd.firstToken.near < maxMissedFirstToken && aimd.interToken.near < maxNear && aimd.saturated:
		aimd.limit++
	}
	aimd.limit = min(max(aimd.limit, float64(aimd.settings.Min)), float64(aimd.settings.Max))
}

// add returns the rates after a sample.
func (missRates missRates) add(ratio, weight float64) missRates {
	missRates.missed += weight * (indicator(ratio > 1) - missRates.missed)
	missRates.near += weight * (indicator(ratio > nearRatio) - missRates.near)
	return missRates
}

// indicator returns 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
