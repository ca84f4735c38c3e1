// Package engine is a stand-in for a model engine with continuous batching, for tests,
// demos and load tests. It serves chat completions over HTTP.
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"endivepost/internal/standin/script"
)

// Engine runs one batch. Each step generates one token for every running sequence. A
// step takes longer with more sequences and with prefill. Sequences are queued by
// priority until the batch and the KV cache have room.
type Engine struct {
	settings  Settings
	mutex     sync.Mutex
	waiting   []*sequence
	running   []*sequence
	prefixes  []uint64
	fault     Fault
	downUntil time.Time
	generated int
	reported  LoadReport
	arrivals  uint64
}

// Settings of an Engine. StepBase is the duration of a step with one sequence,
// StepEach what each further sequence adds, and PrefillEach what each prefill token
// adds. A step prefills at most PrefillChunk tokens. MaxBatch is the maximum number of
// running sequences, KVTokens the size of the KV cache in tokens, and CachedPrefixes the
// number of cached prompt prefixes. Response lengths are log-normal with MedianTokens
// and Spread (standard deviation of the logarithm), at most MaxTokens. Load is published
// every ReportInterval. With a Speed of 10, steps and downtimes are ten times shorter.
type Settings struct {
	Model          string
	MaxBatch       int
	KVTokens       int
	StepBase       time.Duration
	StepEach       time.Duration
	PrefillEach    time.Duration
	PrefillChunk   int
	MedianTokens   float64
	Spread         float64
	MaxTokens      int
	ReportInterval time.Duration
	CachedPrefixes int
	Speed          float64
}

// Fault is the fault that a control call injects. Crash closes all streams and refuses
// requests for crashDowntime. Freeze stops the steps, Silent the output of streams,
// and Slow multiplies the duration of steps, 0 meaning normal speed. Match crashes the
// engine on requests that contain the text. A further call replaces the fault.
type Fault struct {
	Crash  bool    `json:"crash"`
	Freeze bool    `json:"freeze"`
	Silent bool    `json:"silent"`
	Slow   float64 `json:"slow"`
	Match  string  `json:"match"`
}

// LoadReport is the engine's load as published every ReportInterval: the numbers of
// running and queued sequences, the tokens in the KV cache, and the tokens generated
// since the start.
type LoadReport struct {
	Running         int `json:"running"`
	Waiting         int `json:"waiting"`
	KVUsed          int `json:"kv-used"`
	TokensGenerated int `json:"tokens-made"`
}

// sequence is a queued or running request. Next is the index of the next token of its
// answer, prompt the length of the prompt in tokens, prefill the prompt tokens still to
// prefill, and prefix a hash of the first characters of the prompt. The lowest priority
// value runs first, and among equal ones the first arrival. Events delivers the tokens
// and is closed at the end; crashed is closed instead when the engine crashes. Done is
// set when the caller has the response or has disconnected.
type sequence struct {
	answer   script.Script
	next     int
	prompt   int
	prefill  int
	priority int
	arrival  uint64
	prefix   uint64
	events   chan string
	crashed  chan struct{}
	done     bool
}

const (
	crashDowntime = 2 * time.Second
	// charsPerToken is the assumed length of a prompt token.
	charsPerToken = 4
	// idleInterval is the step duration without running sequences or with Freeze.
	idleInterval = time.Millisecond
	// eventBuffer is the number of generated tokens of a sequence that may wait for the
	// caller. Beyond it a slow caller would block the batch.
	eventBuffer  = 8192
	maxBodyBytes = 8 << 20
	// prefixChars is the length of a prompt's beginning that is cached as its prefix.
	prefixChars = 256
	// lowestPriority is the priority of requests that have none.
	lowestPriority = 64
)

// New returns an engine. Run starts it.
func New(settings Settings) *Engine {
	return &Engine{settings: settings}
}

// Run steps the batch until the context ends.
func (engine *Engine) Run(ctx context.Context) {
	lastReport := time.Time{}
	for ctx.Err() == nil {
		time.Sleep(engine.scale(engine.step()))
		if time.Since(lastReport) > engine.settings.ReportInterval {
			engine.publish()
			lastReport = time.Now()
		}
	}
}

func (engine *Engine) scale(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / engine.settings.Speed)
}

func (engine *Engine) publish() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.reported = LoadReport{Running: len(engine.running), Waiting: len(engine.waiting),
		KVUsed: engine.kvUsed(), TokensGenerated: engine.generated}
}

// step generates one token for each running sequence and returns the duration of the
// step.
func (engine *Engine) step() time.Duration {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.fault.Freeze {
		return idleInterval
	}
	engine.admit()
	prefill := engine.prefill()
	if len(engine.running) == 0 {
		return idleInterval
	}
	took := engine.settings.StepBase + time.Duration(len(engine.running)-1)*engine.settings.StepEach
	took += time.Duration(prefill) * engine.settings.PrefillEach
	if engine.fault.Slow > 0 {
		took = time.Duration(float64(took) * engine.fault.Slow)
	}
	engine.emit()
	return took
}

// prefill processes at most PrefillChunk prompt tokens, so that a long prompt does not
// delay the tokens of other sequences, and returns their number.
func (engine *Engine) prefill() int {
	done := 0
	for _, sequence := range engine.running {
		part := min(sequence.prefill, engine.settings.PrefillChunk-done)
		sequence.prefill -= part
		done += part
	}
	return done
}

// admit moves queued sequences into the batch. A prompt with a cached prefix needs no
// prefill.
func (engine *Engine) admit() {
	sort.SliceStable(engine.waiting, func(i, j int) bool {
		if engine.waiting[i].priority != engine.waiting[j].priority {
			return engine.waiting[i].priority < engine.waiting[j].priority
		}
		return engine.waiting[i].arrival < engine.waiting[j].arrival
	})
	used := engine.kvUsed()
	for len(engine.waiting) > 0 && len(engine.running) < engine.settings.MaxBatch {
		first := engine.waiting[0]
		if len(engine.running) > 0 && used+first.prompt > engine.settings.KVTokens {
			break
		}
		engine.waiting = engine.waiting[1:]
		engine.running = append(engine.running, first)
		used += first.prompt
		if !engine.useCache(first.prefix) {
			first.prefill = first.prompt
		}
	}
}

func (engine *Engine) kvUsed() int {
	used := 0
	for _, sequence := range engine.running {
		used += sequence.prompt + sequence.next
	}
	return used
}

// useCache reports whether the prefix is cached. The prefix becomes the most recently
// used one, added if needed. Above CachedPrefixes the least recently used is evicted.
func (engine *Engine) useCache(prefix uint64) bool {
	found := false
	remaining := engine.prefixes[:0]
	for _, cached := range engine.prefixes {
		if cached == prefix {
			found = true
			continue
		}
		remaining = append(remaining, cached)
	}
	remaining = append(remaining, prefix)
	engine.prefixes = remaining
	if len(engine.prefixes) > engine.settings.CachedPrefixes {
		engine.prefixes = engine.prefixes[1:]
	}
	return found
}

func (engine *Engine) emit() {
	remaining := engine.running[:0]
	for _, sequence := range engine.running {
		if sequence.done {
			continue
		}
		if sequence.prefill > 0 {
			remaining = append(remaining, sequence)
			continue
		}
		engine.generated++
		sequence.events <- sequence.answer.Token(sequence.next)
		sequence.next++
		if sequence.next >= sequence.answer.Len() {
			close(sequence.events)
			continue
		}
		remaining = append(remaining, sequence)
	}
	engine.running = remaining
}

func (engine *Engine) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	_ = json.NewEncoder(writer).Encode(engine.reported)
}

func (engine *Engine) setFault(writer http.ResponseWriter, request *http.Request) {
	var fault Fault
	if err := json.NewDecoder(request.Body).Decode(&fault); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.fault = fault
	if fault.Crash {
		engine.crash()
	}
}

// crash closes every stream and refuses new ones for crashDowntime.
func (engine *Engine) crash() {
	for _, sequence := range slices.Concat(engine.running, engine.waiting) {
		close(sequence.crashed)
	}
	engine.running = nil
	engine.waiting = nil
	engine.prefixes = nil
	engine.fault.Crash = false
	engine.downUntil = time.Now().Add(engine.scale(crashDowntime))
}
