package enginechoice_test

import (
	"testing"
	"time"

	"endivepost/internal/policy/enginechoice"
)

// TestChoose is the table of two engines and what speaks for the one or the other.
func TestChoose(t *testing.T) {
	reply := enginechoice.Ask{Split: true, Within: 500 * time.Millisecond}
	brief := enginechoice.Ask{Split: true, Within: 1500 * time.Millisecond}
	chat := enginechoice.Ask{Split: true, Urgent: true, Within: 300 * time.Millisecond}
	cases := []struct {
		name        string
		ask         enginechoice.Ask
		left, right enginechoice.Candidate
		want        int
	}{
		{"the one with less to read", brief, enginechoice.Candidate{Reading: 9000}, enginechoice.Candidate{Reading: 3000}, 1},
		{"the one that keeps the prefix", brief, enginechoice.Candidate{Reading: 9000, Unread: 3000}, enginechoice.Candidate{Unread: 16_000}, 0},
		{
			"a reply that would be late where its prefix is kept",
			reply, enginechoice.Candidate{Reading: 34_000, Unread: 2400}, enginechoice.Candidate{Unread: 8700}, 1,
		},
		{
			"a reply that is in time where its prefix is kept",
			reply, enginechoice.Candidate{Reading: 20_000, Unread: 2400}, enginechoice.Candidate{Unread: 8700}, 0,
		},
		{
			"a long prompt whose prefix is kept on an engine set apart",
			brief, enginechoice.Candidate{Unread: 3000, Apart: true}, enginechoice.Candidate{Unread: 16_000}, 1,
		},
		{
			"an urgent stream among long prompts only if its own are full",
			chat, enginechoice.Candidate{Running: 30, Apart: true}, enginechoice.Candidate{}, 0,
		},
		{
			"an urgent stream whose own are full",
			chat, enginechoice.Candidate{Running: 90, Batch: 64, Apart: true}, enginechoice.Candidate{Batch: 64}, 1,
		},
		{"the nearer of equals", brief, enginechoice.Candidate{Far: true}, enginechoice.Candidate{}, 1},
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
