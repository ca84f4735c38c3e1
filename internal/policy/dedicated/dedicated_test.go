package dedicated_test

import (
	"testing"
	"time"

	"endivepost/internal/policy/dedicated"
)

// TestSize checks the size that a new sizer returns for a number of streams and
// engines.
func TestSize(t *testing.T) {
	for _, row := range []struct{ streams, engines, want int }{
		{0, 18, 0}, {1, 18, 1}, {12, 18, 2}, {40, 18, 3}, {500, 18, 9}, {500, 9, 4}, {5, 1, 0},
	} {
		if got := dedicated.New().Size(0, dedicated.Load{LatencySensitive: row.streams, Engines: row.engines}); got != row.want {
			t.Errorf("%d latency-sensitive streams, %d engines: got size %d, want %d", row.streams, row.engines, got, row.want)
		}
	}
}

// TestSizeIsStable guards against an engine that is dedicated and released in turn
// when the number of streams varies around a threshold. Each change delays the
// requests on one side by the prefill of the other.
func TestSizeIsStable(t *testing.T) {
	sizer := dedicated.New()
	changes, last := 0, 0
	for second := range 60 {
		streams := 10
		if second%3 == 0 {
			streams = 14
		}
		now := time.Duration(second) * time.Second
		size := sizer.Size(now, dedicated.Load{LatencySensitive: streams, Engines: 18})
		if second > 0 && size != last {
			changes++
		}
		last = size
	}
	if changes > 1 {
		t.Errorf("10 to 14 streams: got %d changes of size in a minute, want at most 1", changes)
	}
	for second := range 10 {
		last = sizer.Size(time.Minute+time.Duration(second)*time.Second, dedicated.Load{Engines: 18})
	}
	if last != 0 {
		t.Errorf("10s after the last stream: got size %d, want 0", last)
	}
}
