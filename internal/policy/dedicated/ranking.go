package dedicated

import (
	"cmp"
	"slices"
	"time"
)

// Ranking orders the engines of a pool by how suitable they are for latency-sensitive
// streams: fast and steady ones first. Engines of about the same speed keep the order in
// which they are given, so that entries with slightly different estimates agree.
type Ranking struct {
	bands map[string]band
}

// band is the speed band of an engine: fast, usual or slow.
type band struct {
	band  int
	since time.Duration
}

// Engine is an engine of the pool. Slowdown is the factor by which work takes longer in the
// long run, 1 if unknown; it rises with the spread of the factor.
type Engine struct {
	Name     string
	Slowdown float64
}

// bandBounds are the upper bounds of the bands of slowdowns, from fast to slow. They lie between
// the common slowdowns of engines: 0.6, 1 and 1.7.
var bandBounds = []float64{0.78, 1.3}

const (
	usualBand = 1
	// An engine changes its band if its slowdown exceeds the bound by bandMargin, and at most
	// once per bandTime: each change of the dedicated engines moves streams.
	bandMargin = 1.08
	bandTime   = 5 * time.Second
)

// NewRanking returns a ranking in which all engines have the usual speed.
func NewRanking() *Ranking {
	return &Ranking{bands: make(map[string]band)}
}

// Rank returns the names of the engines in order.
func (ranking *Ranking) Rank(now time.Duration, engines []Engine) []string {
	names := make([]string, len(engines))
	current := make(map[string]band, len(engines))
	for i, engine := range engines {
		names[i] = engine.Name
		current[engine.Name] = ranking.bandOf(now, engine)
	}
	ranking.bands = current
	slices.SortStableFunc(names, func(left, right string) int { return cmp.Compare(current[left].band, current[right].band) })
	return names
}

func (ranking *Ranking) bandOf(now time.Duration, engine Engine) band {
	before, known := ranking.bands[engine.Name]
	if !known {
		before = band{band: usualBand, since: now - bandTime}
	}
	if now-before.since < bandTime {
		return before
	}
	next := before.band
	for next < len(bandBounds) && engine.Slowdown > bandBounds[next]*bandMargin {
		next++
	}
	for next > 0 && engine.Slowdown < bandBounds[next-1]/bandMargin {
		next--
	}
	if next == before.band {
		return before
	}
	return band{band: next, since: now}
}
