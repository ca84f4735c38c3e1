// Package engine is a stand-in for a model engine that batches continuously. It
// speaks chat completions over HTTP and exists for tests, demos and load runs.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"endivepost/internal/node/upstream"
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
	reported Report
	arrivals uint64
}

// Settings of an Engine. StepBase is the time of a step with one sequence,
// StepEach what each further one adds, PrefillEach what a prompt token adds, of
// which a step takes PrefillChunk at the most. A
// Speed of 10 makes time run ten times faster.
type Settings struct {
	Model        string
	Batch        int
	KVTokens     int
	StepBase     time.Duration
	StepEach     time.Duration
	PrefillEach  time.Duration
	PrefillChunk int
	MedianTokens float64
	Spread       float64
	MostTokens   int
	ReportLag    time.Duration
	Prefixes     int
	Speed        float64
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

// Report is the engine's load as it publishes it, with a lag.
type Report struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	KVUsed  int `json:"kv-used"`
	Made    int `json:"tokens-made"`
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

// chunkFormat is one event of a stream.
const chunkFormat = "data: {\"object\":\"chat.completion.chunk\",\"model\":%q," +
	"\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n"

// wholeFormat is an answer that is not streamed.
const wholeFormat = "{\"object\":\"chat.completion\",\"model\":%q,\"choices\":[{\"index\":0,\"finish_reason\":\"stop\"," +
	"\"message\":{\"role\":\"assistant\",\"content\":%q}}],\"usage\":{\"completion_tokens\":%d}}\n"

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
		if time.Since(lastReport) > engine.settings.ReportLag {
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
	engine.reported = Report{Running: len(engine.running), Waiting: len(engine.waiting), KVUsed: engine.kvUsed(), Made: engine.made}
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
	for len(engine.waiting) > 0 && len(engine.running) < engine.settings.Batch {
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
	if len(engine.prefixes) > engine.settings.Prefixes {
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

// Handler returns the engine's HTTP interface.
func (engine *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", engine.complete).Methods(http.MethodPost)
	router.HandleFunc("/load", engine.serveLoad).Methods(http.MethodGet)
	router.HandleFunc("/control/fault", engine.setFault).Methods(http.MethodPost)
	return router
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

// chat is the part of a request that the stand-in reads.
type chat struct {
	Model    string     `json:"model"`
	Stream   bool       `json:"stream"`
	Messages []chatTurn `json:"messages"`
}

type chatTurn struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt returns the text that an answer is derived from.
func prompt(turns []chatTurn) string {
	var text strings.Builder
	for _, turn := range turns {
		text.WriteString(turn.Content)
	}
	return text.String()
}

func (engine *Engine) complete(writer http.ResponseWriter, request *http.Request) {
	var asked chat
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBody)).Decode(&asked); err != nil {
		http.Error(writer, `{"error":{"message":"malformed request"}}`, http.StatusBadRequest)
		return
	}
	text := prompt(asked.Messages)
	answer := script.New(engine.settings.Model, text, engine.settings.MedianTokens, engine.settings.Spread, engine.settings.MostTokens)
	queued, ok := engine.enqueue(request, text, answer)
	if !ok {
		abort()
	}
	defer engine.leave(queued)
	if asked.Stream {
		engine.stream(writer, request, queued)
		return
	}
	engine.answerWhole(writer, request, queued)
}

// abort cuts the connection, as a crashed process would.
func abort() {
	panic(http.ErrAbortHandler)
}

func (engine *Engine) enqueue(request *http.Request, text string, answer script.Script) (*sequence, bool) {
	offset, _ := strconv.Atoi(request.Header.Get(upstream.HeaderResumeOffset))
	priority, err := strconv.Atoi(request.Header.Get(upstream.HeaderPriority))
	if err != nil {
		priority = lowest
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if time.Now().Before(engine.down) {
		return nil, false
	}
	if engine.fault.Match != "" && strings.Contains(text, engine.fault.Match) {
		engine.crash()
		return nil, false
	}
	engine.arrivals++
	head := script.New("prefix", text[:min(len(text), prefixChars)], 1, 0, 1)
	queued := &sequence{
		answer: answer, next: offset, prompt: len(text)/charsPerToken + 1, priority: priority, arrival: engine.arrivals,
		prefix: head.Seed(), events: make(chan string, eventsBuffer), cut: make(chan struct{}),
	}
	if offset >= answer.Len() {
		close(queued.events)
		return queued, true
	}
	engine.waiting = append(engine.waiting, queued)
	return queued, true
}

// leave takes a sequence out whose caller is gone.
func (engine *Engine) leave(gone *sequence) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	gone.done = true
	for i, queued := range engine.waiting {
		if queued == gone {
			engine.waiting = append(engine.waiting[:i], engine.waiting[i+1:]...)
			return
		}
	}
}

// next returns the next token; whole is true at the end of the answer.
func (engine *Engine) next(request *http.Request, queued *sequence) (token string, whole bool) {
	select {
	case <-request.Context().Done():
		abort()
	case <-queued.cut:
		abort()
	case token, more := <-queued.events:
		return token, !more
	}
	return "", true
}

func (engine *Engine) silent() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.fault.Silent
}

func (engine *Engine) stream(writer http.ResponseWriter, request *http.Request, queued *sequence) {
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	for {
		token, whole := engine.next(request, queued)
		if engine.silent() {
			<-request.Context().Done()
			abort()
		}
		if whole {
			_, _ = fmt.Fprint(writer, "data: [DONE]\n\n")
			return
		}
		if _, err := fmt.Fprintf(writer, chunkFormat, engine.settings.Model, token); err != nil {
			return
		}
		_ = controller.Flush()
	}
}

func (engine *Engine) answerWhole(writer http.ResponseWriter, request *http.Request, queued *sequence) {
	var text strings.Builder
	for {
		token, whole := engine.next(request, queued)
		if whole {
			break
		}
		text.WriteString(token)
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(writer, wholeFormat,
		engine.settings.Model, text.String(), queued.answer.Len())
}
