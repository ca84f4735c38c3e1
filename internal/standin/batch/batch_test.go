package batch_test

import (
	"testing"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/standin/batch"
)

// firstEvents runs the engine until it is idle and returns the time of each request's
// first event.
func firstEvents(engine *batch.Engine) map[string]time.Duration {
	first := make(map[string]time.Duration)
	for {
		now, busy := engine.StepEnd()
		if !busy {
			return first
		}
		for _, generated := range engine.Step(now) {
			if _, begun := first[generated.ID]; !begun {
				first[generated.ID] = now
			}
		}
	}
}

func job(id string, tier, tokens int, parts ...event.PromptPart) batch.Job {
	return batch.Job{ID: id, Tier: tier, Output: 5, Prompt: event.Prompt{Tokens: tokens, Parts: parts}}
}

// TestPrefillSpeed compares the time to the first event with the published figures: a
// step takes 3.09 ms, and 61.8 prompt tokens are prefilled per millisecond. The step
// that prefills the end of a prompt generates the first of the event's 5 tokens.
func TestPrefillSpeed(t *testing.T) {
	tokens := 1100
	engine := batch.New(batch.DefaultSettings())
	engine.Submit(0, job("a", 1, tokens))
	prefill := time.Duration(float64(tokens) / 61.8 * float64(time.Millisecond))
	least := prefill + 5*3090*time.Microsecond
	if got := firstEvents(engine)["a"]; got < least || got > least+2*time.Millisecond {
		t.Errorf("first event: got %v, want %v to 2 ms more", got, least)
	}
}

// TestPrefillInOrderOfAdmission checks that a high tier does not overtake the prefill
// of prompts admitted before.
func TestPrefillInOrderOfAdmission(t *testing.T) {
	engine := batch.New(batch.DefaultSettings())
	engine.Submit(0, job("long", 3, 17_000))
	engine.Submit(0, job("short", 1, 1000))
	first := firstEvents(engine)
	if first["short"] <= first["long"]-50*time.Millisecond {
		t.Errorf("first events: got %v for tier 1, %v for the prompt admitted before, want the former at most 50 ms earlier", first["short"], first["long"])
	}
}

// TestAdmissionByTier checks that with a full batch the higher tier is admitted first.
func TestAdmissionByTier(t *testing.T) {
	settings := batch.DefaultSettings()
	settings.MaxBatch = 1
	engine := batch.New(settings)
	engine.Submit(0, job("running", 3, 1000))
	engine.Submit(0, job("later", 3, 1000))
	engine.Submit(0, job("urgent", 1, 1000))
	if first := firstEvents(engine); first["urgent"] > first["later"] {
		t.Errorf("first events: got %v for tier 1, %v for tier 3, want tier 1 first", first["urgent"], first["later"])
	}
}

// TestCachedPrefix checks that a prompt part shared by two requests is prefilled once.
func TestCachedPrefix(t *testing.T) {
	engine := batch.New(batch.DefaultSettings())
	shared := event.PromptPart{ID: 1, Tokens: 13_000}
	engine.Submit(0, job("a", 1, 14_000, shared, event.PromptPart{ID: 2, Tokens: 1000}))
	firstEvents(engine)
	engine.Submit(time.Second, job("b", 1, 14_000, shared, event.PromptPart{ID: 3, Tokens: 1000}))
	firstEvents(engine)
	if got := engine.Counts().PrefillTokens; got != 15_000 {
		t.Errorf("got %d prefill tokens, want 15000", got)
	}
}
