package drainrate_test

import (
	"fmt"
	"testing"
	"time"

	"endivepost/internal/policy/drainrate"
)

func Example() {
	rate := drainrate.New(time.Second)
	for now := time.Duration(0); now < 4*time.Second; now += 100 * time.Millisecond {
		rate.Dispatched(now, 1000)
	}
	fmt.Println(rate.Wait(4*time.Second, 20_000))
	// Output: 2s true
}

// TestNoEstimateWithoutRecentDispatch guards against an estimate from work that
// was dispatched before the two windows in use.
func TestNoEstimateWithoutRecentDispatch(t *testing.T) {
	rate := drainrate.New(time.Second)
	rate.Dispatched(0, 1000)
	if wait, ok := rate.Wait(10*time.Second, 1000); ok {
		t.Errorf("10s after the last dispatch: got an estimate of %v, want none", wait)
	}
}
