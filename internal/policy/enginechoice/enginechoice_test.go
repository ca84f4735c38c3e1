package enginechoice_test

import (
	"testing"
	"time"

	"endivepost/internal/policy/enginechoice"
)

// TestChoose is the table of two engines and what speaks for the one or the other.
func TestChoose(t *testing.T) {
	reply := enginechoice.Request{HasDedicated: true, FirstTokenBudget: 500 * time.Millisecond}
	brief := enginechoice.Request{HasDedicated: true, FirstTokenBudget: 1500 * time.Millisecond}
	chat := enginechoice.Request{HasDedicated: true, LatencySensitive: true, FirstTokenBudget: 300 * time.Millisecond}
	cases := []struct {
		name        string
		ask         enginechoice.Request
		left, right enginechoice.Candidate
		want        int
	}{
		{"the one with less to read", brief, enginechoice.Candidate{PrefillTokens: 9000}, enginechoice.Candidate{PrefillTokens: 3000}, 1},
		{"the one that keeps the prefix", brief, enginechoice.Candidate{PrefillTokens: 9000, UncachedTokens: 3000},
			enginechoice.Candidate{UncachedTokens: 16_000}, 0},
		{
			"a reply that would be late where its prefix is kept",
			reply, enginechoice.Candidate{PrefillTokens: 34_000, UncachedTokens: 2400}, enginechoice.Candidate{UncachedTokens: 8700}, 1,
		},
		{
			"a reply that is in time where its prefix is kept",
			reply, enginechoice.Candidate{PrefillTokens: 20_000, UncachedTokens: 2400}, enginechoice.Candidate{UncachedTokens: 8700}, 0,
		},
		{
			"a long prompt whose prefix is kept on an engine set apart",
			brief, enginechoice.Candidate{UncachedTokens: 3000, Dedicated: true}, enginechoice.Candidate{UncachedTokens: 16_000}, 1,
		},
		{
			"an urgent stream among long prompts only if its own are full",
			chat, enginechoice.Candidate{Running: 30, Dedicated: true}, enginechoice.Candidate{}, 0,
		},
		{
			"an urgent stream whose own are full",
			chat, enginechoice.Candidate{Running: 90, Batch: 64, Dedicated: true}, enginechoice.Candidate{Batch: 64}, 1,
		},
		{"the nearer of equals", brief, enginechoice.Candidate{Remote: true}, enginechoice.Candidate{}, 1},
		{"the first of equals", brief, enginechoice.Candidate{}, enginechoice.Candidate{}, 0},
	}
	for _, row := range cases {
		if got := enginechoice.Choose(row.ask, []enginechoice.Candidate{row.left, row.right}); got != row.want {
			t.Errorf("%s: chose %d, want %d", row.name, got, row.want)
		}
	}
	if got := enginechoice.Choose(brief, nil); got != -1 {
		t.Errorf("chose %d among none", got)
	}
}
