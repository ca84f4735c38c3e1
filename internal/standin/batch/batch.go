// Package batch simulates a model engine with continuous batching in virtual time.
// Each step generates one token for every running request and prefills one chunk of
// prompt tokens. Prompt prefixes are cached. Requests are admitted to the batch by
// tier, and their prompts are prefilled in the order of admission.
package batch

import (
	"slices"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/prefixcache"
)

// Engine is one simulated engine. Its state changes only in calls of its methods: the
// caller advances time by calling Step when StepEnd is due.
type Engine struct {
	settings Settings
	waiting  []*sequence
	running  []*sequence
	cache    *prefixcache.Cache
	stepEnd  time.Duration
	stepping bool
	counts   Counts
}

// Settings of an Engine. The duration of a step is the sum of Step, of StepPerRequest
// for each running request, and of the time to prefill at most PrefillChunk prompt
// tokens. A millisecond prefills PrefillTokensPerMs tokens, and attention adds
// AttentionPerMillionPairs for each million pairs of a prefilled token and an earlier
// token of its prompt. MaxBatch is the maximum number of running requests, CacheTokens
// the size of the prompt prefix cache in tokens.
type Settings struct {
	Step                     time.Duration
	StepPerRequest           time.Duration
	PrefillTokensPerMs       float64
	AttentionPerMillionPairs time.Duration
	PrefillChunk             int
	MaxBatch                 int
	CacheTokens              int
	// TokensPerEvent is the number of tokens in an event of a response.
	TokensPerEvent int
	// Slowdown multiplies all durations; 1 is normal speed.
	Slowdown float64
}

// DefaultSettings returns the published figures of the users' engines.
func DefaultSettings() Settings {
	return Settings{
		Step: 3090 * time.Microsecond, StepPerRequest: 20 * time.Microsecond, PrefillTokensPerMs: 61.8, AttentionPerMillionPairs: 367 * time.Microsecond,
		PrefillChunk: 2048, MaxBatch: 64, CacheTokens: 573_000, TokensPerEvent: 5, Slowdown: 1,
	}
}

// Job is a request to the engine. Output is the length of the response in tokens.
// Tier 1 is the highest.
type Job struct {
	ID     string
	Prompt event.Prompt
	Output int
	Tier   int
}

// OutputEvent is an event of a response. Final marks its last event.
type OutputEvent struct {
	ID    string
	Final bool
}

// Counts are totals since the start. PrefillTokens counts the prompt tokens of
// admitted requests that were not cached, at least one for each request.
type Counts struct {
	PrefillTokens int
}

// sequence is a queued or running request. PendingPrefill counts the prompt tokens
// still to prefill, processed those cached or prefilled, and generated the response
// tokens so far.
type sequence struct {
	job            Job
	pendingPrefill int
	processed      int
	generated      int
}

// New returns an idle engine with an empty cache.
func New(settings Settings) *Engine {
	return &Engine{settings: settings, cache: prefixcache.New(settings.CacheTokens)}
}

// Submit queues a request by tier and starts a step if the engine is idle.
func (engine *Engine) Submit(now time.Duration, job Job) {
	index := len(engine.waiting)
	for index > 0 && engine.waiting[index-1].job.Tier > job.Tier {
		index--
	}
	engine.waiting = slices.Insert(engine.waiting, index, &sequence{job: job})
	if !engine.stepping {
		engine.startStep(now)
	}
}

// Cancel removes a queued or running request. Unknown IDs are ignored.
func (engine *Engine) Cancel(id string) {
	matches := func(seq *sequence) bool { return seq.job.ID == id }
	engine.waiting = slices.DeleteFunc(engine.waiting, matches)
	engine.running = slices.DeleteFunc(engine.running, matches)
}

// StepEnd returns the end of the current step, and whether there is one.
func (engine *Engine) StepEnd() (time.Duration, bool) {
	return engine.stepEnd, engine.stepping
}

// SetSlowdown sets the factor that multiplies the durations of the steps that start from now on.
func (engine *Engine) SetSlowdown(slowdown float64) {
	engine.settings.Slowdown = slowdown
}

// Counts returns the totals so far.
func (engine *Engine) Counts() Counts {
	return engine.counts
}

// Step ends the current step, starts the next one and returns the events generated.
func (engine *Engine) Step(now time.Duration) []OutputEvent {
	var generated []OutputEvent
	var unfinished []*sequence
	for _, seq := range engine.running {
		if seq.pendingPrefill > 0 {
			unfinished = append(unfinished, seq)
			continue
		}
		seq.generated++
		last := seq.generated >= seq.job.Output
		if last || seq.generated%engine.settings.TokensPerEvent == 0 {
			generated = append(generated, OutputEvent{ID: seq.job.ID, Final: last})
		}
		if !last {
			unfinished = append(unfinished, seq)
		}
	}
	engine.running = unfinished
	engine.startStep(now)
	return generated
}

// startStep admits queued requests while the batch has room, prefills one chunk and
// sets the end of the step.
func (engine *Engine) startStep(now time.Duration) {
	for len(engine.waiting) > 0 && len(engine.running) < engine.settings.MaxBatch {
		engine.admit(engine.waiting[0])
		engine.waiting = engine.waiting[1:]
	}
	engine.stepping = len(engine.running) > 0
	if !engine.stepping {
		return
	}
	took := engine.settings.Step + time.Duration(len(engine.running))*engine.settings.StepPerRequest + engine.prefill()
	engine.stepEnd = now + time.Duration(float64(took)*engine.settings.Slowdown)
}

// admit moves a request into the batch. Its cached prefix needs no prefill, but at
// least one token is prefilled.
func (engine *Engine) admit(seq *sequence) {
	prompt := seq.job.Prompt
	cached := engine.cache.CachedTokens(prompt.Parts)
	seq.processed = cached
	seq.pendingPrefill = max(prompt.Tokens-cached, 1)
	engine.counts.PrefillTokens += seq.pendingPrefill
	engine.cache.Add(prompt.Parts)
	engine.running = append(engine.running, seq)
}

// prefill processes the next chunk of prompt tokens, in the order of admission, and
// returns how long that takes.
func (engine *Engine) prefill() time.Duration {
	left := engine.settings.PrefillChunk
	var took time.Duration
	for _, seq := range engine.running {
		count := min(left, seq.pendingPrefill)
		if count == 0 {
			continue
		}
		seq.pendingPrefill -= count
		left -= count
		pairs := float64(count) * float64(seq.processed+count/2) / 1e6
		seq.processed += count
		took += time.Duration(float64(count)/engine.settings.PrefillTokensPerMs*float64(time.Millisecond) + pairs*float64(engine.settings.AttentionPerMillionPairs))
	}
	return took
}
