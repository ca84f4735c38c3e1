package batch_test

import (
	"testing"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/standin/batch"
)

// firstEvents runs the engine until it is idle and returns when each answer began.
func firstEvents(engine *batch.Engine) map[string]time.Duration {
	first := make(map[string]time.Duration)
	for {
		now, busy := engine.StepEnd()
		if !busy {
			return first
		}
		for _, made := range engine.Step(now) {
			if _, begun := first[made.ID]; !begun {
				first[made.ID] = now
			}
		}
	}
}

func job(id string, tier, tokens int, parts ...event.PromptPart) batch.Job {
	return batch.Job{ID: id, Tier: tier, Output: 5, Prompt: event.Prompt{Tokens: tokens, Parts: parts}}
}

// TestReadingSpeed compares the time until the first event with the published
// figures: a step takes 3.09 ms, and 61.8 tokens are read in a millisecond. The
// step that reads the last of a prompt makes the first of the event's 5 tokens.
func TestReadingSpeed(t *testing.T) {
	tokens := 1100
	engine := batch.New(batch.DefaultSettings())
	engine.Submit(0, job("a", 1, tokens))
	reading := time.Duration(float64(tokens) / 61.8 * float64(time.Millisecond))
	least := reading + 5*3090*time.Microsecond
	if got := firstEvents(engine)["a"]; got < least || got > least+2*time.Millisecond {
		t.Errorf("the first event came after %v, want %v and at most 2 ms more", got, least)
	}
}

// TestReadInOrderOfAdmission says what a tier does not do: it does not overtake
// the reading of prompts that were admitted before.
func TestReadInOrderOfAdmission(t *testing.T) {
	engine := batch.New(batch.DefaultSettings())
	engine.Submit(0, job("long", 3, 17_000))
	engine.Submit(0, job("short", 1, 1000))
	first := firstEvents(engine)
	if first["short"] <= first["long"]-50*time.Millisecond {
		t.Errorf("the urgent prompt was read at %v, before that admitted earlier, at %v", first["short"], first["long"])
	}
}

// TestAdmissionByTier fills the batch: the more urgent of those that wait goes first.
func TestAdmissionByTier(t *testing.T) {
	settings := batch.DefaultSettings()
	settings.MaxBatch = 1
	engine := batch.New(settings)
	engine.Submit(0, job("running", 3, 1000))
	engine.Submit(0, job("later", 3, 1000))
	engine.Submit(0, job("urgent", 1, 1000))
	if first := firstEvents(engine); first["urgent"] > first["later"] {
		t.Errorf("the urgent one was admitted after the other: %v and %v", first["urgent"], first["later"])
	}
}

// TestKeptPrefix reads a shared part once.
func TestKeptPrefix(t *testing.T) {
	engine := batch.New(batch.DefaultSettings())
	shared := event.PromptPart{ID: 1, Tokens: 13_000}
	engine.Submit(0, job("a", 1, 14_000, shared, event.PromptPart{ID: 2, Tokens: 1000}))
	firstEvents(engine)
	engine.Submit(time.Second, job("b", 1, 14_000, shared, event.PromptPart{ID: 3, Tokens: 1000}))
	firstEvents(engine)
	if got := engine.Counts().PrefillTokens; got != 15_000 {
		t.Errorf("%d tokens read, want 15000", got)
	}
}
