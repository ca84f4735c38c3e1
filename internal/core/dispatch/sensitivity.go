package dispatch

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/enginechoice"
	"endivepost/internal/policy/sensitivity"
)

// latencySensitive returns whether the request's class is latency-sensitive, and records
// the length of its prompt.
func (dispatcher *Dispatcher) latencySensitive(now time.Duration, row requestRow) bool {
	class := row.request.Class
	if !class.Streamed || row.request.Prompt.Tokens <= 0 {
		return false
	}
	classifier := dispatcher.classifier(row.pool)
	prompt := row.request.Prompt
	classifier.ObserveRequest(sensitivity.Class{Name: class.Name, BetweenTokens: time.Duration(class.BetweenTokens)}, prompt.Tokens, prompt.ExpectedOutputTokens)
	return classifier.Sensitive(now, dispatcher.engine(row.pool), class.Name)
}

// observeProgress records how long the latest events of a stream took.
func (dispatcher *Dispatcher) observeProgress(now time.Duration, row requestRow, progress event.AttemptProgressed) {
	took, events := now-row.progressedAt, progress.Events
	upstream := dispatcher.upstream(row.upstream)
	upstream.pace = upstream.pace.WithEvents(now, took, events)
	pending := dispatcher.allLoads()[row.upstream].PrefillTokens
	upstream = upstream.observeGap(now, progress.MedianGap, dispatcher.tokensPerEvent(row.pool), pending)
	dispatcher.upstreams.Put(row.upstream, upstream)
	if pending > 0 && !dispatcher.pool(now, row.pool).dedicated[row.upstream] {
		dispatcher.classifier(row.pool).ObserveGap(dispatcher.engine(row.pool), took, events)
	}
}

func (dispatcher *Dispatcher) classifier(pool string) *sensitivity.Classifier {
	return findOrAdd(dispatcher.classifiers, pool, sensitivity.New)
}

func (dispatcher *Dispatcher) engine(pool string) sensitivity.Engine {
	return sensitivity.Engine{TokensPerEvent: dispatcher.tokensPerEvent(pool), PrefillTime: enginechoice.PrefillTime}
}

func (dispatcher *Dispatcher) tokensPerEvent(pool string) int {
	found, _ := dispatcher.config.Document().Pool(pool)
	return max(found.Engine.TokensPerEvent, 1)
}
