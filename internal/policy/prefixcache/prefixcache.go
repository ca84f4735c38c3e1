// Package prefix remembers which prompt prefixes an upstream has read lately.
package prefixcache

import (
	"container/list"

	"endivepost/internal/wire/message"
)

// Cache is a bounded guess at one engine's prefix cache, made of what entries
// sent there. The least recently used parts are forgotten first, as the engine
// does.
type Cache struct {
	bound int
	held  int
	order *list.List
	parts map[uint64]*list.Element
}

// kept is a part in the memory. Shared says that prompts went on after it, so
// that others may begin alike.
type kept struct {
	part   message.PromptPart
	shared bool
}

// New returns an empty memory of at most bound tokens.
func New(bound int) *Cache {
	return &Cache{bound: bound, order: list.New(), parts: make(map[uint64]*list.Element)}
}

// CachedTokens returns how many tokens at the start of a prompt of these parts the
// upstream need not read: a part counts only if all parts before it are held.
func (memory *Cache) CachedTokens(parts []message.PromptPart) int {
	held := 0
	for _, part := range parts {
		if _, ok := memory.parts[part.ID]; !ok {
			return held
		}
		held += part.Tokens
	}
	return held
}

// Add records that the upstream reads a prompt of these parts, of which the last
// one is the prompt's own.
func (memory *Cache) Add(parts []message.PromptPart) {
	for i, part := range parts {
		memory.put(kept{part: part, shared: i < len(parts)-1})
	}
	memory.forget()
}

// AddShared records that the upstream keeps parts that other prompts begin with.
func (memory *Cache) AddShared(parts []message.PromptPart) {
	for _, part := range parts {
		memory.put(kept{part: part, shared: true})
	}
	memory.forget()
}

// Shared returns up to most shared parts, those used last first.
func (memory *Cache) Shared(most int) []message.PromptPart {
	var shared []message.PromptPart
	for element := memory.order.Front(); element != nil && len(shared) < most; element = element.Next() {
		if held, _ := element.Value.(kept); held.shared {
			shared = append(shared, held.part)
		}
	}
	return shared
}

func (memory *Cache) put(added kept) {
	element, known := memory.parts[added.part.ID]
	if !known {
		memory.parts[added.part.ID] = memory.order.PushFront(added)
		memory.held += added.part.Tokens
		return
	}
	held, _ := element.Value.(kept)
	added.part = held.part
	added.shared = added.shared || held.shared
	element.Value = added
	memory.order.MoveToFront(element)
}

func (memory *Cache) forget() {
	for memory.held > memory.bound && memory.order.Len() > 0 {
		oldest, _ := memory.order.Remove(memory.order.Back()).(kept)
		delete(memory.parts, oldest.part.ID)
		memory.held -= oldest.part.Tokens
	}
}
