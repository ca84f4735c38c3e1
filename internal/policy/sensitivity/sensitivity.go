// Package sensitivity finds the latency-sensitive classes of an engine pool: those whose
// streams miss their target between tokens while the engine prefills long prompts, and
// whose own prompts are so short that their streams can share an engine.
package sensitivity

import "time"

// Classifier keeps, for one pool, what was observed of its engines and classes.
type Classifier struct {
	// busyGap estimates the gapQuantile of the times per event that were observed while
	// engines prefilled, 0 before the first.
	busyGap time.Duration
	classes map[string]classStats
	// strictest is the shortest target of the latency-sensitive classes, 0 without any.
	strictest time.Duration
	refreshAt time.Duration
}

// Class is a class of streams. BetweenTokens is its target for the time between two
// events, 0 for none.
type Class struct {
	Name          string
	BetweenTokens time.Duration
}

// Engine is what the classifier has to know of the pool's engines.
type Engine struct {
	// TokensPerEvent is the number of tokens in an event, 0 if unknown.
	TokensPerEvent int
	// PrefillTime returns the time in which an engine prefills a number of tokens.
	PrefillTime func(tokens int) time.Duration
}

type classStats struct {
	betweenTokens time.Duration
	// promptTokens and outputTokens are the mean lengths of the prompts and of the expected
	// responses, over count requests.
	promptTokens float64
	outputTokens float64
	count        float64
	sensitive    bool
}

const (
	// priorStep is the assumed time per token while an engine prefills, until gaps are
	// observed.
	priorStep = 75 * time.Millisecond
	// gapQuantile is the quantile that the busy gap estimates: an engine that prefills
	// during a part of the time only has shorter gaps. Each observation moves the
	// estimate by up to gapStep of it.
	gapQuantile = 0.98
	gapStep     = 0.02
	// maxCount bounds the number of requests over which their lengths are averaged.
	maxCount = 32
	// maxPrefillPerToken is the longest prefill per token of the response with which a
	// batch of streams still has short decode steps.
	maxPrefillPerToken = 800 * time.Microsecond
	// margin allows for single gaps that are longer than the mean of those observed
	// together. A class that is latency-sensitive stays so until its target exceeds the
	// limit by hysteresis: each change moves its streams to other engines.
	margin          = 1.15
	hysteresis      = 1.25
	refreshInterval = time.Second
)

// New returns a classifier without observations.
func New() *Classifier {
	return &Classifier{classes: make(map[string]classStats)}
}

// ObserveGap records that the latest events of a stream took the time while its engine
// prefilled prompts.
func (classifier *Classifier) ObserveGap(engine Engine, took time.Duration, events int) {
	if events <= 0 || took <= 0 {
		return
	}
	gap := classifier.BusyGap(engine)
	change := -(1 - gapQuantile)
	if took/time.Duration(events) > gap {
		change = gapQuantile
	}
	classifier.busyGap = time.Duration(float64(gap) * (1 + gapStep*change))
}

// ObserveRequest records the lengths of a request's prompt and of its expected response,
// which is 0 if unknown.
func (classifier *Classifier) ObserveRequest(class Class, prompt, output int) {
	stats := classifier.classes[class.Name]
	stats.betweenTokens = class.BetweenTokens
	stats.count = min(stats.count+1, maxCount)
	stats.promptTokens += (float64(prompt) - stats.promptTokens) / stats.count
	stats.outputTokens += (float64(output) - stats.outputTokens) / stats.count
	classifier.classes[class.Name] = stats
}

// Sensitive returns whether the class is latency-sensitive. The answer changes at most
// once per second.
func (classifier *Classifier) Sensitive(now time.Duration, engine Engine, class string) bool {
	if now >= classifier.refreshAt {
		classifier.refresh(engine)
		classifier.refreshAt = now + refreshInterval
	}
	return classifier.classes[class].sensitive
}

// Strictest returns the shortest target of the latency-sensitive classes, 0 without any.
func (classifier *Classifier) Strictest() time.Duration {
	return classifier.strictest
}

// BusyGap returns the expected time between two events of a stream while its engine
// prefills long prompts.
func (classifier *Classifier) BusyGap(engine Engine) time.Duration {
	if classifier.busyGap == 0 {
		return time.Duration(max(engine.TokensPerEvent, 1)) * priorStep
	}
	return classifier.busyGap
}

// refresh classifies all classes. A class is sensitive if its target is shorter than the
// gap while an engine prefills and its own prompts disturb the streams beside them little.
func (classifier *Classifier) refresh(engine Engine) {
	gap := classifier.BusyGap(engine)
	strictest := time.Duration(0)
	for _, stats := range classifier.classes {
		if stats.misses(gap) && (strictest == 0 || stats.betweenTokens < strictest) {
			strictest = stats.betweenTokens
		}
	}
	classifier.strictest = 0
	for name, stats := range classifier.classes {
		stats.sensitive = stats.misses(gap) && stats.disturbsLittle(engine, strictest)
		classifier.classes[name] = stats
		if stats.sensitive && (classifier.strictest == 0 || stats.betweenTokens < classifier.strictest) {
			classifier.strictest = stats.betweenTokens
		}
	}
}

// disturbsLittle returns whether an engine that runs only streams of the class meets the
// strictest target, also while it prefills a prompt for each token of an event.
func (stats classStats) disturbsLittle(engine Engine, strictest time.Duration) bool {
	prefill := engine.PrefillTime(int(stats.promptTokens))
	if stats.outputTokens > 0 && prefill.Seconds()/stats.outputTokens > maxPrefillPerToken.Seconds() {
		return false
	}
	return time.Duration(max(engine.TokensPerEvent, 1))*prefill <= strictest
}

// misses returns whether streams of the class miss their target at the gap.
func (stats classStats) misses(gap time.Duration) bool {
	factor := margin
	if stats.sensitive {
		factor *= hysteresis
	}
	limit := time.Duration(float64(gap) * factor)
	return stats.betweenTokens > 0 && stats.betweenTokens < limit
}
