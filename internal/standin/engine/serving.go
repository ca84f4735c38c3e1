package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"endivepost/internal/node/upstream"
	"endivepost/internal/standin/script"
)

// chunkFormat is the format of one event of a stream.
const chunkFormat = "data: {\"object\":\"chat.completion.chunk\",\"model\":%q," +
	"\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n"

// completionFormat is the format of a response that is not streamed.
const completionFormat = "{\"object\":\"chat.completion\",\"model\":%q,\"choices\":[{\"index\":0,\"finish_reason\":\"stop\"," +
	"\"message\":{\"role\":\"assistant\",\"content\":%q}}],\"usage\":{\"completion_tokens\":%d}}\n"

// Handler returns the engine's HTTP interface.
func (engine *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", engine.serveCompletion).Methods(http.MethodPost)
	router.HandleFunc("/load", engine.serveLoad).Methods(http.MethodGet)
	router.HandleFunc("/control/fault", engine.setFault).Methods(http.MethodPost)
	return router
}

// chatRequest has the fields of a chat completion request that the stand-in uses.
type chatRequest struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// promptText returns the text that a response is derived from.
func promptText(messages []chatMessage) string {
	var text strings.Builder
	for _, message := range messages {
		text.WriteString(message.Content)
	}
	return text.String()
}

func (engine *Engine) serveCompletion(writer http.ResponseWriter, request *http.Request) {
	var body chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBodyBytes)).Decode(&body); err != nil {
		http.Error(writer, `{"error":{"message":"malformed request"}}`, http.StatusBadRequest)
		return
	}
	text := promptText(body.Messages)
	answer := script.New(engine.settings.Model, text, engine.settings.MedianTokens, engine.settings.Spread, engine.settings.MaxTokens)
	queued, ok := engine.enqueue(request, text, answer)
	if !ok {
		abort()
	}
	defer engine.remove(queued)
	if body.Stream {
		engine.stream(writer, request, queued)
		return
	}
	engine.respondWhole(writer, request, queued)
}

// abort closes the connection without a response, like a crashed process.
func abort() {
	panic(http.ErrAbortHandler)
}

// enqueue queues a request and returns its sequence, which starts at the request's resume
// offset. It returns false if the engine is down or crashes on the request.
func (engine *Engine) enqueue(request *http.Request, text string, answer script.Script) (*sequence, bool) {
	offset, _ := strconv.Atoi(request.Header.Get(upstream.HeaderResumeOffset))
	priority, err := strconv.Atoi(request.Header.Get(upstream.HeaderPriority))
	if err != nil {
		priority = lowestPriority
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if time.Now().Before(engine.downUntil) {
		return nil, false
	}
	if engine.fault.Match != "" && strings.Contains(text, engine.fault.Match) {
		engine.crash()
		return nil, false
	}
	engine.arrivals++
	// Only the seed of this script is used, as a hash of the prefix.
	head := script.New("prefix", text[:min(len(text), prefixChars)], 1, 0, 1)
	queued := &sequence{
		answer: answer, next: offset, prompt: len(text)/charsPerToken + 1, priority: priority, arrival: engine.arrivals,
		prefix: head.Seed(), events: make(chan string, eventBuffer), crashed: make(chan struct{}),
	}
	if offset >= answer.Len() {
		close(queued.events)
		return queued, true
	}
	engine.waiting = append(engine.waiting, queued)
	return queued, true
}

// remove discards a sequence whose caller has its response or has disconnected.
func (engine *Engine) remove(ended *sequence) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	ended.done = true
	for i, queued := range engine.waiting {
		if queued == ended {
			engine.waiting = append(engine.waiting[:i], engine.waiting[i+1:]...)
			return
		}
	}
}

// next returns the next token. Complete is true at the end of the response.
func (engine *Engine) next(request *http.Request, queued *sequence) (token string, complete bool) {
	select {
	case <-request.Context().Done():
		abort()
	case <-queued.crashed:
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
		token, complete := engine.next(request, queued)
		if engine.silent() {
			<-request.Context().Done()
			abort()
		}
		if complete {
			_, _ = fmt.Fprint(writer, "data: [DONE]\n\n")
			return
		}
		if _, err := fmt.Fprintf(writer, chunkFormat, engine.settings.Model, token); err != nil {
			return
		}
		_ = controller.Flush()
	}
}

func (engine *Engine) respondWhole(writer http.ResponseWriter, request *http.Request, queued *sequence) {
	var text strings.Builder
	for {
		token, complete := engine.next(request, queued)
		if complete {
			break
		}
		text.WriteString(token)
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(writer, completionFormat,
		engine.settings.Model, text.String(), queued.answer.Len())
}
