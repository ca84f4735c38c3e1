package dedicated_test

import (
	"testing"
	"time"

	"endivepost/internal/policy/dedicated"
)

// TestSize is the table of urgent streams in a pool, and the engines that a new
// split sets apart for them.
func TestSize(t *testing.T) {
	for _, row := range []struct{ urgent, engines, want int }{
		{0, 18, 0}, {1, 18, 1}, {12, 18, 2}, {40, 18, 3}, {500, 18, 9}, {500, 9, 4}, {5, 1, 0},
	} {
		if got := dedicated.New().Size(0, dedicated.Load{LatencySensitive: row.urgent, Engines: row.engines}); got != row.want {
			t.Errorf("%d urgent streams, %d engines: %d set apart, want %d", row.urgent, row.engines, got, row.want)
		}
	}
}

// TestSizeIsSteady: streams that come and go around a bound do not move an engine
// to and fro, since what it reads for the one side is late for the other.
func TestSizeIsSteady(t *testing.T) {
	split := dedicated.New()
	changes, last := 0, 0
	for second := range 60 {
		urgent := 10
		if second%3 == 0 {
			urgent = 14
		}
		now := time.Duration(second) * time.Second
		size := split.Size(now, dedicated.Load{LatencySensitive: urgent, Engines: 18})
		if second > 0 && size != last {
			changes++
		}
		last = size
	}
	if changes > 1 {
		t.Errorf("the size changed %d times in a minute", changes)
	}
	for second := range 10 {
		last = split.Size(time.Minute+time.Duration(second)*time.Second, dedicated.Load{Engines: 18})
	}
	if last != 0 {
		t.Errorf("%d engines are set apart ten seconds after the last stream", last)
	}
}
