// Package outlier detects upstreams that fail far more often than the others.
package outlier

import (
	"math"
	"time"
)

// Detector tracks the failure rate of each upstream. An upstream that fails requests
// quickly has little load, so load balancing would send it more than its share.
type Detector struct {
	byUpstream map[string]counts
}

// counts are the exponentially decayed numbers of responses and failures. Updated is
// the uptime up to which they are decayed.
type counts struct {
	updated   time.Duration
	responses float64
	failures  float64
}

const (
	// halfLife is the time after which a response counts half.
	halfLife = 2 * time.Second
	// minResponses is the decayed number of responses below which an upstream is
	// not judged.
	minResponses = 3.0
	// minFailureRate is the failure rate from which an upstream may be an outlier,
	// minRatioToOthers the least ratio of its rate to the rate of all the others.
	minFailureRate   = 0.25
	minRatioToOthers = 2.5
	// soundMargin is by how much failure rates of sound upstreams differ by chance.
	soundMargin = 0.1
)

// New returns a detector without responses.
func New() *Detector {
	return &Detector{byUpstream: make(map[string]counts)}
}

// Observe records a response of the upstream. Now is the uptime of the process.
func (detector *Detector) Observe(now time.Duration, name string, failed bool) {
	counted := detector.byUpstream[name].decayed(now)
	counted.responses++
	if failed {
		counted.failures++
	}
	detector.byUpstream[name] = counted
}

func (counted counts) decayed(now time.Duration) counts {
	factor := math.Exp2(-float64(now-counted.updated) / float64(halfLife))
	return counts{updated: now, responses: counted.responses * factor, failures: counted.failures * factor}
}

// Outliers returns those of the named upstreams that fail far more often than the
// rest: at most half of the names, so that enough upstreams remain. If more qualify, it
// returns the first ones in the given order. Now is the uptime of the process.
func (detector *Detector) Outliers(now time.Duration, names []string) map[string]bool {
	var total counts
	byName := make(map[string]counts, len(names))
	for _, name := range names {
		decayed := detector.byUpstream[name].decayed(now)
		byName[name] = decayed
		total.responses += decayed.responses
		total.failures += decayed.failures
	}
	outliers := make(map[string]bool)
	for _, name := range names {
		if 2*(len(outliers)+1) <= len(names) && byName[name].isOutlier(total) {
			outliers[name] = true
		}
	}
	return outliers
}

func (counted counts) isOutlier(total counts) bool {
	if counted.responses < minResponses {
		return false
	}
	rate := counted.failures / counted.responses
	others := 0.0
	if rest := total.responses - counted.responses; rest > 0 {
		others = (total.failures - counted.failures) / rest
	}
	return rate >= minFailureRate && rate >= minRatioToOthers*others
}

// Soundest returns those of the named upstreams whose failure rate is not much higher than
// the lowest one. A request that failed once goes there: its caller is not told of the failure
// only if it does not fail again. Now is the uptime of the process.
func (detector *Detector) Soundest(now time.Duration, names []string) map[string]bool {
	lowest := 1.0
	rates := make(map[string]float64, len(names))
	for _, name := range names {
		decayed := detector.byUpstream[name].decayed(now)
		rates[name] = decayed.failures / (decayed.responses + 1)
		lowest = min(lowest, rates[name])
	}
	soundest := make(map[string]bool, len(names))
	for name, rate := range rates {
		soundest[name] = rate <= lowest+soundMargin
	}
	return soundest
}

// Forget drops the counts of an upstream that was removed.
func (detector *Detector) Forget(name string) {
	delete(detector.byUpstream, name)
}
