package sharedrate_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endivepost/internal/policy/sharedrate"
)

// ExampleLimit shows that one of two processes sends at half of the limit.
func ExampleLimit() {
	share := sharedrate.Share{Rank: 0, Count: 2}
	limit := sharedrate.New(0, 4, 0)
	now := limit.Next(0, share)
	for range 3 {
		fmt.Println(now)
		limit = limit.WithSent(now)
		now = limit.Next(now, share)
	}
	// Output:
	// 500ms
	// 1s
	// 1.5s
}

const (
	window = 4 * time.Second
	// maxClockError is the most by which the epochs of the processes differ.
	maxClockError = 100 * time.Millisecond
)

// TestProcessesKeepToTheLimitTogether guards against processes that each keep to their share
// and together exceed the limit, as after a pause in which none of them sent: within four
// seconds they may send one and a half times the limit and five requests more.
func TestProcessesKeepToTheLimitTogether(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.1, 30).Draw(t, "limit")
		processes := rapid.IntRange(1, 60).Draw(t, "processes")
		pause := time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Second
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var sent []time.Duration
		for rank := range processes {
			share := sharedrate.Share{Rank: rank, Count: processes}
			limit := sharedrate.New(0, perSecond, time.Duration(random.Int64N(int64(maxClockError))))
			for now := limit.Next(pause, share); now < pause+20*time.Second; now = limit.Next(now, share) {
				sent = append(sent, now)
				limit = limit.WithSent(now)
			}
		}
		slices.Sort(sent)
		allowed := int(1.5*window.Seconds()*perSecond) + 5
		for i, first := range sent {
			count := 0
			for _, at := range sent[i:] {
				if at < first+window {
					count++
				}
			}
			if count > allowed {
				t.Fatalf("%d processes with a limit of %g per second sent %d requests in %s, want at most %d", processes, perSecond, count, window, allowed)
			}
		}
	})
}

// TestLimitOfZero guards against an upstream that never gets a request again and so cannot
// end its limit.
func TestLimitOfZero(t *testing.T) {
	limit := sharedrate.New(0, 0, 0)
	if next := limit.Next(0, sharedrate.Share{Count: 1}); next > 10*time.Second {
		t.Errorf("got the first request after %s, want one within 10 s", next)
	}
}
