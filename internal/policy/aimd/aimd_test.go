package aimd_test

import (
	"testing"
	"time"

	"endivepost/internal/policy/aimd"
	"endivepost/internal/policy/limit"
)

// simulate runs an upstream whose tokens take base + each x running, against a
// target, and returns the limit that is learned and the share of late tokens.
func simulate(base, each, target time.Duration, spread float64) (learnedLimit int, late float64) {
	learner := aimd.New(aimd.Settings{Initial: 8, Min: 1, Max: 256, Window: 500 * time.Millisecond})
	slow, count := 0, 0
	now := time.Duration(0)
	for step := range 20_000 {
		running := learner.Limit()
		gap := base + time.Duration(running)*each
		if step%10 == 0 {
			gap = time.Duration(float64(gap) * spread)
		}
		now += gap
		for range running {
			learner.Observe(now, limit.Sample{Ratio: float64(gap) / float64(target), Running: running})
		}
		if step > 10_000 {
			count++
			if gap > target {
				slow++
			}
		}
	}
	return learner.Limit(), float64(slow) / float64(count)
}

// TestLimitKeepsTheTarget: of 100 tokens at most 5 may be late, also when one
// step in ten takes longer; and slots that the target allows are used.
func TestLimitKeepsTheTarget(t *testing.T) {
	for _, row := range []struct {
		name   string
		spread float64
		least  int
	}{
		{"even steps", 1, 20},
		{"one step in ten takes half as long again", 1.5, 9},
		{"one step in ten takes twice as long", 2, 6},
	} {
		got, late := simulate(10*time.Millisecond, time.Millisecond, 40*time.Millisecond, row.spread)
		if late > 0.05 {
			t.Errorf("%s: %.1f%% of the tokens are late at limit %d", row.name, 100*late, got)
		}
		if got < row.least {
			t.Errorf("%s: limit %d leaves slots unused, at least %d meet the target", row.name, got, row.least)
		}
	}
}

// TestLimitShrinksWhenTheUpstreamSlowsDown: an engine that takes 15 ms more for
// each step must be given fewer runs, until its tokens are in time again.
func TestLimitShrinksWhenTheUpstreamSlowsDown(t *testing.T) {
	const each, target = time.Millisecond, 40 * time.Millisecond
	learner := aimd.New(aimd.Settings{Initial: 8, Min: 1, Max: 256, Window: 500 * time.Millisecond})
	now := time.Duration(0)
	slow := 0
	for step := range 10_000 {
		base := 10 * time.Millisecond
		if step > 5000 {
			base = 25 * time.Millisecond
		}
		gap := base + time.Duration(learner.Limit())*each
		now += gap
		for range learner.Limit() {
			learner.Observe(now, limit.Sample{Ratio: float64(gap) / float64(target), Running: learner.Limit()})
		}
		if step > 6000 && gap > target {
			slow++
		}
	}
	if slow > 200 || learner.Limit() < 10 {
		t.Fatalf("%d of 4000 steps are late at limit %d", slow, learner.Limit())
	}
}
