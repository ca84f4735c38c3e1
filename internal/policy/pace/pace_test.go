package pace_test

import (
	"fmt"
	"testing"
	"time"

	"endivepost/internal/policy/pace"
)

func ExamplePace_Gap() {
	var observed pace.Pace
	observed = observed.WithEvents(time.Second, 250*time.Millisecond, 5)
	observed = observed.WithEvents(time.Second, 500*time.Millisecond, 1)
	fmt.Println(observed.Gap(time.Second))
	// Output: 125ms
}

// TestGapFollowsEngine guards against a gap that stays long after the engine has finished
// its prefill, or that is taken for known long after the last observation.
func TestGapFollowsEngine(t *testing.T) {
	const short, long = 40 * time.Millisecond, 500 * time.Millisecond
	var observed pace.Pace
	now := time.Duration(0)
	for range 10 {
		now += long
		observed = observed.WithEvents(now, long, 1)
	}
	if got := observed.Gap(now); got < long-time.Millisecond || got > long {
		t.Errorf("during prefill: got gap %s, want %s", got, long)
	}
	for range 100 {
		now += short
		observed = observed.WithEvents(now, short, 1)
	}
	if got := observed.Gap(now); got > 2*short {
		t.Errorf("4s after prefill: got gap %s, want about %s", got, short)
	}
	if got := observed.Gap(now + time.Minute); got != 0 {
		t.Errorf("a minute after the last observation: got gap %s, want 0", got)
	}
}

// TestInvalidEventsAreIgnored guards against a gap of infinity.
func TestInvalidEventsAreIgnored(t *testing.T) {
	var observed pace.Pace
	if got := observed.WithEvents(0, time.Second, 0).WithEvents(0, 0, 1).Gap(0); got != 0 {
		t.Errorf("got gap %s, want 0", got)
	}
}
