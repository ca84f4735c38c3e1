// Package batch is a stand-in of a model engine that batches continuously, in
// virtual time: prompts are read in chunks between the tokens of all that runs,
// and prompt prefixes are kept in the memory that running requests leave. The tier
// of a request decides when it is admitted; prompts are read as admitted.
package batch

import (
	"slices"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/prefixcache"
)

// Engine is one engine. It does nothing between two calls of Step.
type Engine struct {
	settings Settings
	waiting  []*run
	running  []*run
	kept     *prefixcache.Cache
	stepEnds time.Duration
	stepping bool
	counts   Counts
}

// Settings of an Engine. A step takes Step and StepPerRun for each request that
// runs, and the time to read up to Chunk tokens of prompts at TokensPerMs; each
// million of pairs of a token read and one before it takes PairsPerMillion more.
type Settings struct {
	Step                     time.Duration
	StepPerRequest           time.Duration
	PrefillTokensPerMs       float64
	AttentionPerMillionPairs time.Duration
	PrefillChunk             int
	MaxBatch                 int
	CacheTokens              int
	// TokensPerEvent is the number of tokens in an event of an answer.
	TokensPerEvent int
	// Slowdown multiplies all times; 1 is usual.
	Slowdown float64
}

// DefaultSettings are the settings of an engine as the users describe theirs.
func DefaultSettings() Settings {
	return Settings{
		Step: 3090 * time.Microsecond, StepPerRequest: 20 * time.Microsecond, PrefillTokensPerMs: 61.8, AttentionPerMillionPairs: 367 * time.Microsecond,
		PrefillChunk: 2048, MaxBatch: 64, CacheTokens: 573_000, TokensPerEvent: 5, Slowdown: 1,
	}
}

// Job is a request to the engine. Output is the number of tokens that the answer
// will have. Tier 1 is the most urgent.
type Job struct {
	ID     string
	Prompt event.Prompt
	Output int
	Tier   int
}

// OutputEvent is an event of an answer; Last marks the one that ends it.
type OutputEvent struct {
	ID    string
	Final bool
}

// Counts are tokens since the start: Read counts those of prompts that were read.
type Counts struct {
	PrefillTokens int
}

type run struct {
	job    Job
	unread int
	before int
	made   int
}

// New returns an idle engine.
func New(settings Settings) *Engine {
	return &Engine{settings: settings, kept: prefixcache.New(settings.CacheTokens)}
}

// Submit adds a request.
func (engine *Engine) Submit(now time.Duration, job Job) {
	place := len(engine.waiting)
	for place > 0 && engine.waiting[place-1].job.Tier > job.Tier {
		place--
	}
	engine.waiting = slices.Insert(engine.waiting, place, &run{job: job})
	if !engine.stepping {
		engine.begin(now)
	}
}

// Cancel drops a request that waits or runs.
func (engine *Engine) Cancel(id string) {
	other := func(held *run) bool { return held.job.ID == id }
	engine.waiting = slices.DeleteFunc(engine.waiting, other)
	engine.running = slices.DeleteFunc(engine.running, other)
}

// StepEnd returns when the step in progress ends, if there is one.
func (engine *Engine) StepEnd() (time.Duration, bool) {
	return engine.stepEnds, engine.stepping
}

// Counts returns what the engine has read.
func (engine *Engine) Counts() Counts {
	return engine.counts
}

// Step ends the step in progress and begins the next one.
func (engine *Engine) Step(now time.Duration) []OutputEvent {
	var made []OutputEvent
	var going []*run
	for _, held := range engine.running {
		if held.unread > 0 {
			going = append(going, held)
			continue
		}
		held.made++
		last := held.made >= held.job.Output
		if last || held.made%engine.settings.TokensPerEvent == 0 {
			made = append(made, OutputEvent{ID: held.job.ID, Final: last})
		}
		if !last {
			going = append(going, held)
		}
	}
	engine.running = going
	engine.begin(now)
	return made
}

// begin admits what waits, reads one chunk and fixes the end of the step.
func (engine *Engine) begin(now time.Duration) {
	for len(engine.waiting) > 0 && len(engine.running) < engine.settings.MaxBatch {
		engine.admit(engine.waiting[0])
		engine.waiting = engine.waiting[1:]
	}
	engine.stepping = len(engine.running) > 0
	if !engine.stepping {
		return
	}
	took := engine.settings.Step + time.Duration(len(engine.running))*engine.settings.StepPerRequest + engine.read()
	engine.stepEnds = now + time.Duration(float64(took)*engine.settings.Slowdown)
}

func (engine *Engine) admit(held *run) {
	prompt := held.job.Prompt
	kept := engine.kept.CachedTokens(prompt.Parts)
	held.before = kept
	held.unread = max(prompt.Tokens-kept, 1)
	engine.counts.PrefillTokens += held.unread
	engine.kept.Add(prompt.Parts)
	engine.running = append(engine.running, held)
}

// read takes the next chunk of the prompts, in the order of their admission.
func (engine *Engine) read() time.Duration {
	left := engine.settings.PrefillChunk
	var took time.Duration
	for _, held := range engine.running {
		count := min(left, held.unread)
		if count == 0 {
			continue
		}
		held.unread -= count
		left -= count
		pairs := float64(count) * float64(held.before+count/2) / 1e6
		held.before += count
		took += time.Duration(float64(count)/engine.settings.PrefillTokensPerMs*float64(time.Millisecond) + pairs*float64(engine.settings.AttentionPerMillionPairs))
	}
	return took
}
