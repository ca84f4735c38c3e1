// Package engine is a stand-in for a model engine that batches continuously. It
// speaks chat completions over HTTP and exists for tests, demos and load runs.
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

// Engine runs one batch. Each step gives every running sequence one token; a
// step takes longer the more sequences run, and prefill adds to it. Sequences
// wait by priority for room in the batch and the KV memory.
type Engine struct {
	settings Settings
	mutex    sync.Mutex
	waiting  []*sequence
	running  []*sequence
	prefixes []uint64
	fault    Fault
	down     time.Time
	made     int
	reported LoadReport
	arrivals uint64
}

// Settings of an Engine. StepBase is the time of a step with one sequence,
// StepEach what each further one adds, PrefillEach what a prompt token adds, of
// which a step takes PrefillChunk at the most. A
// Speed of 10 makes time run ten times faster.
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

// Fault is what a control call makes the engine do. Crash cuts all streams and
// refuses for a while; Match crashes on requests that contain the text.
type Fault struct {
	Crash  bool    `json:"crash"`
	Freeze bool    `json:"freeze"`
	Silent bool    `json:"silent"`
	Slow   float64 `json:"slow"`
	Match  string  `json:"match"`
}

// LoadReport is the engine's load as it publishes it, with a lag.
type LoadReport struct {
	Running         int `json:"running"`
	Waiting         int `json:"waiting"`
	KVUsed          int `json:"kv-used"`
	TokensGenerated int `json:"tokens-made"`
}

type sequence struct {
	answer   script.Script
	next     int
	prompt   int
	prefill  int
	priority int
	arrival  uint64
	prefix   uint64
	events   chan string
	cut      chan struct{}
	done     bool
}

const (
	downFor       = 2 * time.Second
	charsPerToken = 4
	idlePoll      = time.Millisecond
	eventsBuffer  = 8192
	maxBody       = 8 << 20
	prefixChars   = 256
	lowest        = 64
)

// New returns an engine that is not running yet.
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
	engine.reported = LoadReport{Running: len(engine.running), Waiting: len(engine.waiting), KVUsed: engine.kvUsed(), TokensGenerated: engine.made}
}

// step gives each running sequence a token and returns how long that took.
func (engine *Engine) step() time.Duration {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.fault.Freeze {
		return idlePoll
	}
	engine.admit()
	prefill := engine.prefill()
	if len(engine.running) == 0 {
		return idlePoll
	}
	took := engine.settings.StepBase + time.Duration(len(engine.running)-1)*engine.settings.StepEach
	took += time.Duration(prefill) * engine.settings.PrefillEach
	if engine.fault.Slow > 0 {
		took = time.Duration(float64(took) * engine.fault.Slow)
	}
	engine.emit()
	return took
}

// prefill works off a bounded number of prompt tokens in each step, so that a
// long prompt does not hold up the others' tokens, and returns that number.
func (engine *Engine) prefill() int {
	done := 0
	for _, sequence := range engine.running {
		part := min(sequence.prefill, engine.settings.PrefillChunk-done)
		sequence.prefill -= part
		done += part
	}
	return done
}

// admit moves waiting sequences into the batch. A cached prefix needs no prefill.
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
		if !engine.cached(first.prefix) {
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

// cached says whether the prefix is in memory, and keeps it there as the latest.
func (engine *Engine) cached(prefix uint64) bool {
	found := false
	kept := engine.prefixes[:0]
	for _, held := range engine.prefixes {
		if held == prefix {
			found = true
			continue
		}
		kept = append(kept, held)
	}
	kept = append(kept, prefix)
	engine.prefixes = kept
	if len(engine.prefixes) > engine.settings.CachedPrefixes {
		engine.prefixes = engine.prefixes[1:]
	}
	return found
}

func (engine *Engine) emit() {
	kept := engine.running[:0]
	for _, sequence := range engine.running {
		if sequence.done {
			continue
		}
		if sequence.prefill > 0 {
			kept = append(kept, sequence)
			continue
		}
		engine.made++
		sequence.events <- sequence.answer.Token(sequence.next)
		sequence.next++
		if sequence.next >= sequence.answer.Len() {
			close(sequence.events)
			continue
		}
		kept = append(kept, sequence)
	}
	engine.running = kept
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

// crash cuts every stream and refuses new ones for a while.
func (engine *Engine) crash() {
	for _, sequence := range slices.Concat(engine.running, engine.waiting) {
		close(sequence.cut)
	}
	engine.running = nil
	engine.waiting = nil
	engine.prefixes = nil
	engine.fault.Crash = false
	engine.down = time.Now().Add(engine.scale(downFor))
}
