package simulation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endivepost/internal/core/suspects"
	"endivepost/internal/wire/message"
)

// TestCrashingRequestIsStopped guards against a request that crashes one upstream
// after the other. A request that crashes each upstream that runs it is submitted
// many times at every entry, among other requests. The number of crashed upstreams
// must be bounded, the crashing request must end with a Retry-After of at least one
// second, and all other requests must complete.
func TestCrashingRequestIsStopped(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, 4, published(1, 4))
		simulation.advance(3 * time.Second)
		draft := classes()[1]
		var crashing []*sentRequest
		for i := range 40 {
			if i%4 == 0 {
				crashing = append(crashing, simulation.submit(simulation.entries[i/4%3], draft, crashingBody, "", true))
			}
			simulation.submit(simulation.entries[i%3], draft, fmt.Sprintf("body-%d", i), "", i%2 == 0)
			simulation.advance(time.Duration(rapid.IntRange(200, 1500).Draw(t, "wait")) * time.Millisecond)
		}
		simulation.advance(time.Minute)
		crashes := 0
		for _, count := range simulation.recorder.crashes {
			crashes += count
		}
		if crashes > suspects.CrashLimit {
			t.Errorf("%d upstreams crashed, want at most %d", crashes, suspects.CrashLimit)
		}
		checkCrashing(t, crashing)
		for _, id := range simulation.recorder.order {
			sent := simulation.recorder.sent[id]
			if sent.body != crashingBody && (sent.finish == nil || sent.finish.Outcome != message.Complete) {
				t.Errorf("request %s ended with %+v, want outcome complete", sent.body, sent.finish)
			}
		}
	})
}

func checkCrashing(t *rapid.T, crashing []*sentRequest) {
	for _, sent := range crashing {
		switch {
		case sent.finish == nil:
			t.Errorf("crashing request: got no final outcome")
		case sent.finish.Outcome == message.Complete:
			t.Errorf("crashing request: got outcome complete, want another one")
		case sent.finish.RetryAfter < time.Second:
			t.Errorf("crashing request: got Retry-After %v, want at least %v", sent.finish.RetryAfter, time.Second)
		}
	}
}

// maxCrashes is the number of upstreams that requests with one prompt part may crash: five
// until they must stop, and three more.
const maxCrashes = 8

// TestPartThatCrashesUpstreams guards against requests that crash one upstream after the
// other because of a part of their prompts, though no two of them are equal.
func TestPartThatCrashesUpstreams(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, 4, published(1, 4))
		simulation.advance(3 * time.Second)
		draft := classes()[1]
		for i := range 60 {
			if i%4 == 0 {
				simulation.submit(simulation.entries[i/4%3], draft, fmt.Sprintf("%s%s%d", crashingBody, partSeparator, i), "", true)
			}
			simulation.submit(simulation.entries[i%3], draft, fmt.Sprintf("sound%s%d", partSeparator, i), "", i%2 == 0)
			simulation.advance(time.Duration(rapid.IntRange(200, 1500).Draw(t, "wait")) * time.Millisecond)
		}
		simulation.advance(time.Minute)
		crashes := 0
		for _, count := range simulation.recorder.crashes {
			crashes += count
		}
		if crashes > maxCrashes {
			t.Errorf("%d upstreams crashed, want at most %d", crashes, maxCrashes)
		}
	})
}
