// Package prefixcache models which prompt prefixes an upstream has cached.
package prefixcache

import (
	"container/list"

	"endivepost/internal/wire/message"
)

// Cache estimates the prefix cache of one engine from the prompts that entries
// sent to it. The least recently used parts are evicted first, as in the engine. The
// capacity is in tokens.
type Cache struct {
	capacity     int
	cachedTokens int
	recency      *list.List
	parts        map[uint64]*list.Element
}

// cachedPart is a part in the cache. Shared is set if a prompt continued after the part,
// so that other prompts may begin with it too.
type cachedPart struct {
	part   message.PromptPart
	shared bool
}

// maxParts bounds the parts that are kept: prompts may have very many that are short, or of no
// token at all.
const maxParts = 4096

// New returns an empty cache of the given capacity in tokens.
func New(capacity int) *Cache {
	return &Cache{capacity: capacity, recency: list.New(), parts: make(map[uint64]*list.Element)}
}

// CachedTokens returns the number of tokens at the start of a prompt of these parts
// that the upstream need not prefill. A part counts only if all parts before it are
// cached.
func (cache *Cache) CachedTokens(parts []message.PromptPart) int {
	cached := 0
	for _, part := range parts {
		if _, ok := cache.parts[part.ID]; !ok {
			return cached
		}
		cached += part.Tokens
	}
	return cached
}

// Add records that the upstream prefills a prompt of these parts. The last part is
// the one that the prompt does not share with others yet.
func (cache *Cache) Add(parts []message.PromptPart) {
	for i, part := range parts {
		cache.put(cachedPart{part: part, shared: i < len(parts)-1})
	}
	cache.evict()
}

// AddShared records that the upstream has cached parts that several prompts begin
// with.
func (cache *Cache) AddShared(parts []message.PromptPart) {
	for _, part := range parts {
		cache.put(cachedPart{part: part, shared: true})
	}
	cache.evict()
}

// Shared returns up to limit shared parts, the most recently used first.
func (cache *Cache) Shared(limit int) []message.PromptPart {
	var shared []message.PromptPart
	for element := cache.recency.Front(); element != nil && len(shared) < limit; element = element.Next() {
		if cached, _ := element.Value.(cachedPart); cached.shared {
			shared = append(shared, cached.part)
		}
	}
	return shared
}

func (cache *Cache) put(added cachedPart) {
	element, known := cache.parts[added.part.ID]
	if !known {
		cache.parts[added.part.ID] = cache.recency.PushFront(added)
		cache.cachedTokens += added.part.Tokens
		return
	}
	cached, _ := element.Value.(cachedPart)
	added.part = cached.part
	added.shared = added.shared || cached.shared
	element.Value = added
	cache.recency.MoveToFront(element)
}

// evict removes the least recently used parts until the rest fits the capacity and maxParts.
func (cache *Cache) evict() {
	for cache.cachedTokens > cache.capacity && cache.recency.Len() > 0 || cache.recency.Len() > maxParts {
		oldest, _ := cache.recency.Remove(cache.recency.Back()).(cachedPart)
		delete(cache.parts, oldest.part.ID)
		cache.cachedTokens -= oldest.part.Tokens
	}
}
