// Package prefix remembers which prompt prefixes an upstream has read lately.
package prefix

import (
	"container/list"

	"endivepost/internal/core/event"
)

// Memory is a bounded guess at one engine's prefix cache, made of what this
// entry sent there. The least recently used parts are forgotten first, as the
// engine does.
type Memory struct {
	bound int
	held  int
	order *list.List
	parts map[uint64]*list.Element
}

// New returns an empty memory of at most bound tokens.
func New(bound int) *Memory {
	return &Memory{bound: bound, order: list.New(), parts: make(map[uint64]*list.Element)}
}

// Held returns how many tokens at the start of the prompt the upstream need not
// read: a part counts only if all parts before it are held.
func (memory *Memory) Held(prompt event.Prompt) int {
	held := 0
	for _, part := range prompt.Parts {
		if _, ok := memory.parts[part.ID]; !ok {
			return held
		}
		held += part.Tokens
	}
	return held
}

// Add records that the upstream reads the prompt.
func (memory *Memory) Add(prompt event.Prompt) {
	for _, part := range prompt.Parts {
		if found, ok := memory.parts[part.ID]; ok {
			memory.order.MoveToFront(found)
			continue
		}
		memory.parts[part.ID] = memory.order.PushFront(part)
		memory.held += part.Tokens
	}
	for memory.held > memory.bound && memory.order.Len() > 0 {
		oldest := memory.order.Back()
		part, _ := memory.order.Remove(oldest).(event.PromptPart)
		delete(memory.parts, part.ID)
		memory.held -= part.Tokens
	}
}
