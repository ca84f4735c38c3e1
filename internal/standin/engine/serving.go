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

// chunkFormat is one event of a stream.
const chunkFormat = "data: {\"object\":\"chat.completion.chunk\",\"model\":%q," +
	"\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n"

// wholeFormat is an answer that is not streamed.
const wholeFormat = "{\"object\":\"chat.completion\",\"model\":%q,\"choices\":[{\"index\":0,\"finish_reason\":\"stop\"," +
	"\"message\":{\"role\":\"assistant\",\"content\":%q}}],\"usage\":{\"completion_tokens\":%d}}\n"

// Handler returns the engine's HTTP interface.
func (engine *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", engine.complete).Methods(http.MethodPost)
	router.HandleFunc("/load", engine.serveLoad).Methods(http.MethodGet)
	router.HandleFunc("/control/fault", engine.setFault).Methods(http.MethodPost)
	return router
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
	answer := script.New(engine.settings.Model, text, engine.settings.MedianTokens, engine.settings.Spread, engine.settings.MaxTokens)
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
