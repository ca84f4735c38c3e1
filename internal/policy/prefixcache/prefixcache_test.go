package prefixcache_test

import (
	"testing"

	"pgregory.net/rapid"

	"endivepost/internal/policy/prefixcache"
	"endivepost/internal/wire/message"
)

func parts(ids ...uint64) []message.PromptPart {
	var made []message.PromptPart
	for _, id := range ids {
		made = append(made, message.PromptPart{ID: id, Tokens: 100})
	}
	return made
}

func TestHeldCountsFromTheStart(t *testing.T) {
	memory := prefixcache.New(1000)
	memory.Add(parts(1, 2, 3))
	for _, row := range []struct {
		asked []message.PromptPart
		held  int
	}{{parts(1, 2, 9), 200}, {parts(9, 2, 3), 0}, {parts(1, 2, 3), 300}, {nil, 0}} {
		if got := memory.CachedTokens(row.asked); got != row.held {
			t.Errorf("%v: %d tokens held, want %d", row.asked, got, row.held)
		}
	}
}

// TestSharedParts: the last part of a prompt is its own until another goes on
// after it, and the parts used last come first.
func TestSharedParts(t *testing.T) {
	memory := prefixcache.New(1000)
	memory.Add(parts(1, 2))
	memory.Add(parts(3, 4))
	memory.AddShared(parts(5))
	if got := memory.Shared(10); len(got) != 3 || got[0].ID != 5 || got[1].ID != 3 || got[2].ID != 1 {
		t.Errorf("shared: %v, want 5, 3 and 1", got)
	}
	memory.Add(parts(1, 2, 6))
	if got := memory.Shared(2); len(got) != 2 || got[0].ID != 2 || got[1].ID != 1 {
		t.Errorf("the two used last: %v, want 2 and 1", got)
	}
}

// TestMemoryIsBounded: whatever is added, no more than the bound is held, and
// what was added last is held as far as it fits.
func TestMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 1000
		memory := prefixcache.New(bound)
		for range rapid.IntRange(1, 40).Draw(t, "prompts") {
			added := parts(rapid.SliceOfNDistinct(rapid.Uint64Range(1, 30), 1, 9, rapid.ID[uint64]).Draw(t, "parts")...)
			memory.Add(added)
			if got := memory.CachedTokens(added); got != 100*len(added) {
				t.Fatalf("%d tokens held of %d that were just added", got, 100*len(added))
			}
			everything := 0
			for id := range uint64(30) {
				everything += memory.CachedTokens(parts(id + 1))
			}
			if everything > bound {
				t.Fatalf("%d tokens held, more than %d", everything, bound)
			}
		}
	})
}
