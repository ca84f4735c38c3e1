package prefixcache_test

import (
	"testing"

	"pgregory.net/rapid"

	"endivepost/internal/policy/prefixcache"
	"endivepost/internal/wire/message"
)

// parts returns a part of 100 tokens for each ID.
func parts(ids ...uint64) []message.PromptPart {
	var made []message.PromptPart
	for _, id := range ids {
		made = append(made, message.PromptPart{ID: id, Tokens: 100})
	}
	return made
}

func TestCachedTokensCountFromTheStart(t *testing.T) {
	cache := prefixcache.New(1000)
	cache.Add(parts(1, 2, 3))
	for _, row := range []struct {
		prompt []message.PromptPart
		want   int
	}{{parts(1, 2, 9), 200}, {parts(9, 2, 3), 0}, {parts(1, 2, 3), 300}, {nil, 0}} {
		if got := cache.CachedTokens(row.prompt); got != row.want {
			t.Errorf("prompt %v: got %d cached tokens, want %d", row.prompt, got, row.want)
		}
	}
}

// TestPartsAreBounded guards against memory that grows with the number of parts, which callers
// may make very short, or of no token at all.
func TestPartsAreBounded(t *testing.T) {
	const bound, many = 4096, 100_000
	for _, tokens := range []int{0, 1} {
		cache := prefixcache.New(1 << 20)
		for id := range uint64(many) {
			cache.AddShared([]message.PromptPart{{ID: id, Tokens: tokens}})
		}
		if kept := len(cache.Shared(many)); kept > bound {
			t.Errorf("parts of %d tokens: %d are kept, want at most %d", tokens, kept, bound)
		}
	}
}

// TestSharedParts checks that the last part of a prompt counts as shared only once
// another prompt continues after it, and that the most recently used parts come
// first.
func TestSharedParts(t *testing.T) {
	cache := prefixcache.New(1000)
	cache.Add(parts(1, 2))
	cache.Add(parts(3, 4))
	cache.AddShared(parts(5))
	if got := cache.Shared(10); len(got) != 3 || got[0].ID != 5 || got[1].ID != 3 || got[2].ID != 1 {
		t.Errorf("got shared parts %v, want 5, 3 and 1", got)
	}
	cache.Add(parts(1, 2, 6))
	if got := cache.Shared(2); len(got) != 2 || got[0].ID != 2 || got[1].ID != 1 {
		t.Errorf("got the two most recent shared parts %v, want 2 and 1", got)
	}
}

// TestCacheIsBounded checks that the cache never holds more than its capacity and
// that all parts of the prompt added last are cached.
func TestCacheIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 1000
		cache := prefixcache.New(capacity)
		for range rapid.IntRange(1, 40).Draw(t, "prompts") {
			added := parts(rapid.SliceOfNDistinct(rapid.Uint64Range(1, 30), 1, 9, rapid.ID[uint64]).Draw(t, "parts")...)
			cache.Add(added)
			if got := cache.CachedTokens(added); got != 100*len(added) {
				t.Fatalf("prompt added last: got %d cached tokens, want %d", got, 100*len(added))
			}
			total := 0
			for id := range uint64(30) {
				total += cache.CachedTokens(parts(id + 1))
			}
			if total > capacity {
				t.Fatalf("got %d cached tokens in all, want at most %d", total, capacity)
			}
		}
	})
}
