package simulation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endivepost/internal/core/suspects"
	"endivepost/internal/wire/message"
)

// TestCrashingRequestIsStopped sends a request that crashes each upstream that
// runs it, again and again through every entry, among innocent requests. The
// upstreams lost are bounded, the final answer says when to come back, and the
// innocent are answered.
func TestCrashingRequestIsStopped(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(rapid.Uint64().Draw(t, "seed"), 3, 4, published(1, 4))
		world.advance(3 * time.Second)
		draft := classes()[1]
		var poisoned []*sentRequest
		for i := range 40 {
			if i%4 == 0 {
				poisoned = append(poisoned, world.submit(world.entries[i/4%3], draft, poison, "", true))
			}
			world.submit(world.entries[i%3], draft, fmt.Sprintf("body-%d", i), "", i%2 == 0)
			world.advance(time.Duration(rapid.IntRange(200, 1500).Draw(t, "wait")) * time.Millisecond)
		}
		world.advance(time.Minute)
		crashes := 0
		for _, count := range world.ledger.crashes {
			crashes += count
		}
		if crashes > suspects.RefuseFrom {
			t.Errorf("%d upstreams crashed, at most %d may", crashes, suspects.RefuseFrom)
		}
		checkPoisoned(t, poisoned)
		for _, id := range world.ledger.order {
			sent := world.ledger.sent[id]
			if sent.body != poison && (sent.finish == nil || sent.finish.Outcome != message.Complete) {
				t.Errorf("innocent %s ended with %+v", sent.body, sent.finish)
			}
		}
	})
}

func checkPoisoned(t *rapid.T, poisoned []*sentRequest) {
	for _, sent := range poisoned {
		switch {
		case sent.finish == nil:
			t.Errorf("the crashing request got no final word")
		case sent.finish.Outcome == message.Complete:
			t.Errorf("the crashing request was complete")
		case sent.finish.RetryAfter < time.Second:
			t.Errorf("the crashing request was not told when to come back")
		}
	}
}
