package aimd_test

import (
	"testing"
	"time"

	"endivepost/internal/policy/aimd"
	"endivepost/internal/policy/limit"
)

// simulate runs an upstream whose inter-token latency, the gap, is base + perRequest
// times the number of running requests, and spread times that in one step of ten. It
// returns the final limit and the share of late steps in the second half.
func simulate(base, perRequest, target time.Duration, spread float64) (finalLimit int, late float64) {
	adaptive := aimd.New(aimd.Settings{Initial: 8, Min: 1, Max: 256, Window: 500 * time.Millisecond})
	lateSteps, count := 0, 0
	now := time.Duration(0)
	for step := range 20_000 {
		running := adaptive.Limit()
		gap := base + time.Duration(running)*perRequest
		if step%10 == 0 {
			gap = time.Duration(float64(gap) * spread)
		}
		now += gap
		for range running {
			adaptive.Observe(now, limit.Sample{Ratio: float64(gap) / float64(target), Running: running})
		}
		if step > 10_000 {
			count++
			if gap > target {
				lateSteps++
			}
		}
	}
	return adaptive.Limit(), float64(lateSteps) / float64(count)
}

// TestLimitKeepsTheTarget guards against a limit that is set by the mean: at most
// 5 of 100 tokens may miss their target, also when one step in ten is slow. It also
// guards against a limit that is too low to use the slots that the target allows.
//
// At most 30, 16 and 10 requests meet the target in every step of the three cases.
func TestLimitKeepsTheTarget(t *testing.T) {
	for _, row := range []struct {
		name   string
		spread float64
		least  int
	}{
		{"equal steps", 1, 20},
		{"one step in ten takes 1.5 times as long", 1.5, 9},
		{"one step in ten takes twice as long", 2, 6},
	} {
		got, late := simulate(10*time.Millisecond, time.Millisecond, 40*time.Millisecond, row.spread)
		if late > 0.05 {
			t.Errorf("%s: got %.1f%% late tokens at limit %d, want at most 5%%", row.name, 100*late, got)
		}
		if got < row.least {
			t.Errorf("%s: got limit %d, want at least %d, which meets the target", row.name, got, row.least)
		}
	}
}

// TestLimitShrinksWhenTheUpstreamSlowsDown guards against a limit that stays at an
// old value: when each step of an engine takes 15 ms longer, the limit must shrink
// until the tokens meet their target again.
func TestLimitShrinksWhenTheUpstreamSlowsDown(t *testing.T) {
	const perRequest, target = time.Millisecond, 40 * time.Millisecond
	adaptive := aimd.New(aimd.Settings{Initial: 8, Min: 1, Max: 256, Window: 500 * time.Millisecond})
	now := time.Duration(0)
	lateSteps := 0
	for step := range 10_000 {
		base := 10 * time.Millisecond
		if step > 5000 {
			base = 25 * time.Millisecond
		}
		gap := base + time.Duration(adaptive.Limit())*perRequest
		now += gap
		for range adaptive.Limit() {
			adaptive.Observe(now, limit.Sample{Ratio: float64(gap) / float64(target), Running: adaptive.Limit()})
		}
		if step > 6000 && gap > target {
			lateSteps++
		}
	}
	if lateSteps > 200 || adaptive.Limit() < 10 {
		t.Fatalf("got %d late steps of 4000 at limit %d, want at most 200 and a limit of at least 10", lateSteps, adaptive.Limit())
	}
}
