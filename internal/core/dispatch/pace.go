package dispatch

import "time"

// lengthMargin allows for responses that are longer than expected: sending one that is cut
// off costs the prefill of its prompt and delays the others.
const lengthMargin = 1.25

// endsInTime returns whether the response would end by its deadline if the upstream's
// streams go on as they progress now. While long prompts keep an engine busy, a long
// response sent there would be cut off at its deadline, and its prefill wasted. Streams of
// latency-sensitive classes are always sent: their prompts are short.
func (dispatcher *Dispatcher) endsInTime(now time.Duration, row requestRow, name string) bool {
	if row.latencySensitive {
		return true
	}
	gap := dispatcher.upstream(name).pace.Gap(now)
	return now+time.Duration(lengthMargin*dispatcher.expectedEvents(row)*float64(gap)) <= row.deadline
}

// expectedEvents returns the expected number of events of the response, 0 if unknown.
func (dispatcher *Dispatcher) expectedEvents(row requestRow) float64 {
	return float64(row.request.Prompt.ExpectedOutputTokens) / float64(dispatcher.tokensPerEvent(row.pool))
}
