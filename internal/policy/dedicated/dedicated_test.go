package dedicated_test

import (
	"testing"
	"time"

	"endivepost/internal/policy/dedicated"
)

const streamsPerEngine = 24

// TestSize checks the size that a new sizer returns for a number of streams and
// engines.
func TestSize(t *testing.T) {
	for _, row := range []struct{ streams, engines, want int }{
		{0, 18, 0}, {1, 18, 1}, {12, 18, 2}, {40, 18, 3}, {500, 18, 9}, {500, 9, 4}, {5, 1, 0},
	} {
		if got := dedicated.New().Size(0, dedicated.Load{LatencySensitive: row.streams, Engines: row.engines, StreamsPerEngine: streamsPerEngine}); got != row.want {
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
		size := sizer.Size(now, dedicated.Load{LatencySensitive: streams, Engines: 18, StreamsPerEngine: streamsPerEngine})
		if second > 0 && size != last {
			changes++
		}
		last = size
	}
	if changes > 1 {
		t.Errorf("10 to 14 streams: got %d changes of size in a minute, want at most 1", changes)
	}
	for second := range 10 {
		last = sizer.Size(time.Minute+time.Duration(second)*time.Second, dedicated.Load{Engines: 18, StreamsPerEngine: streamsPerEngine})
	}
	if last != 0 {
		t.Errorf("10s after the last stream: got size %d, want 0", last)
	}
}

// TestStreamsPerEngine checks that an engine is given fewer streams the less time each
// token may take, and never more than its batch can hold beside others.
func TestStreamsPerEngine(t *testing.T) {
	for _, row := range []struct {
		perToken time.Duration
		batch    int
		want     int
	}{
		{40 * time.Millisecond, 64, 23}, {80 * time.Millisecond, 64, 47}, {time.Second, 64, 48}, {time.Second, 0, 598}, {0, 64, 8}, {time.Second, 4, 8},
	} {
		if got := dedicated.StreamsPerEngine(row.perToken, row.batch); got != row.want {
			t.Errorf("%s per token, batch %d: got %d streams, want %d", row.perToken, row.batch, got, row.want)
		}
	}
}
