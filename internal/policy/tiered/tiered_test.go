package tiered_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endivepost/internal/policy/order"
	"endivepost/internal/policy/tiered"
)

// TestMain fixes rapid's seed, so that each run checks the same inputs.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func item(key, tier int, account string) order.Item[int] {
	return order.Item[int]{Key: key, Tier: tier, Class: fmt.Sprintf("class-%d", tier), Account: account, Work: 1}
}

func ExampleQueue() {
	queue := tiered.New[int](tiered.Floor{Wait: time.Second, Every: 4})
	queue.Add(0, item(1, 3, "a"))
	queue.Add(0, item(2, 1, "a"))
	picked, _ := queue.Pick(0, nil)
	fmt.Println("tier", picked.Tier)
	// Output: tier 1
}

// TestHighestTierGoesFirst compares the queue with a map of what is queued: without
// a floor each pick is of the highest tier in the queue.
func TestHighestTierGoesFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := tiered.New[int](tiered.Floor{})
		waiting := make(map[int]int)
		for key := range rapid.IntRange(1, 80).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "add") {
				tier := rapid.IntRange(1, 4).Draw(t, "tier")
				waiting[key] = tier
				queue.Add(time.Duration(key), item(key, tier, fmt.Sprint(key%3)))
				continue
			}
			picked, ok := queue.Pick(time.Duration(key), nil)
			if ok != (len(waiting) > 0) {
				t.Fatalf("got picked %v with %d queued items", ok, len(waiting))
			}
			for _, tier := range waiting {
				if tier < picked.Tier {
					t.Fatalf("got tier %d while tier %d is queued", picked.Tier, tier)
				}
			}
			delete(waiting, picked.Key)
		}
	})
}

// TestNoClassStarves guards against a class that is never picked while every higher
// tier always has queued items. Once the first item of a class has waited for the
// floor's wait, it must be picked within Every picks for each class in the queue. The
// limit adds the picks during that wait, of which there are Every per second.
func TestNoClassStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		every := rapid.IntRange(1, 10).Draw(t, "every")
		tiers := rapid.IntRange(2, 6).Draw(t, "tiers")
		floor := tiered.Floor{Wait: time.Second, Every: every}
		queue := tiered.New[int](floor)
		key := 0
		add := func(now time.Duration, tier int) {
			key++
			queue.Add(now, item(key, tier, "a"))
		}
		sinceServed := make(map[int]int)
		now := time.Duration(0)
		for tier := 1; tier <= tiers; tier++ {
			add(now, tier)
			add(now, tier)
		}
		now += floor.Wait
		for range 500 {
			picked, ok := queue.Pick(now, nil)
			if !ok {
				t.Fatal("got no item from a queue that is not empty")
			}
			add(now, picked.Tier)
			for tier := 1; tier <= tiers; tier++ {
				sinceServed[tier]++
				if tier == picked.Tier {
					sinceServed[tier] = 0
				}
				if limit := every*tiers + every*int(floor.Wait/time.Second); sinceServed[tier] > limit {
					t.Fatalf("tier %d: got none of %d picks, want one within %d", tier, sinceServed[tier], limit)
				}
			}
			now += time.Second / time.Duration(every)
		}
	})
}

// TestVictimIsLowerAndNotTheLastOfItsClass guards against evicting an item for one
// of the same or a lower tier, and against evicting a class's only item.
func TestVictimIsLowerAndNotTheLastOfItsClass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := tiered.New[int](tiered.Floor{Wait: time.Second, Every: 4})
		count := make(map[int]int)
		lowest := 0
		for key := range rapid.IntRange(1, 30).Draw(t, "items") {
			tier := rapid.IntRange(1, 5).Draw(t, "tier")
			queue.Add(0, item(key, tier, fmt.Sprint(key%2)))
			count[tier]++
		}
		arriving := rapid.IntRange(1, 5).Draw(t, "arriving")
		for tier, waiting := range count {
			if tier > arriving && waiting > 1 {
				lowest = max(lowest, tier)
			}
		}
		victim, ok := queue.Victim(arriving)
		if ok != (lowest > 0) || (ok && victim.Tier != lowest) {
			t.Fatalf("got victim %+v, %v, want tier %d (0 for none); queued items by tier: %v", victim, ok, lowest, count)
		}
	})
}

// TestAccountsGetEqualShares guards against an account whose many queued items hold back
// those of another account in the same class.
func TestAccountsGetEqualShares(t *testing.T) {
	queue := tiered.New[int](tiered.Floor{})
	for key := range 100 {
		queue.Add(0, item(key, 1, "large"))
	}
	for key := range 10 {
		queue.Add(0, item(1000+key, 1, "small"))
	}
	small := 0
	for range 20 {
		picked, _ := queue.Pick(0, nil)
		if picked.Account == "small" {
			small++
		}
	}
	if small != 10 {
		t.Fatalf("account small: got %d of 20 picks, want 10", small)
	}
}
