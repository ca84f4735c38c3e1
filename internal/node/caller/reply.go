package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/node/answer"
	"endivepost/internal/wire/message"
)

// Reply writes one answer. A streamed answer goes out part by part; any other is
// held until it is whole, so that a cut one never looks complete.
type Reply struct {
	writer   http.ResponseWriter
	stream   bool
	head     message.Chunk
	body     []byte
	begun    bool
	received time.Time
	first    time.Duration
	latest   time.Time
	tokens   int
	slow     int
	gap      time.Duration
}

// Measurements is what a reply took.
type Measurements struct {
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
	LateTokens int
}

var endMark = []byte("data: [DONE]")

// ErrAnswerTooLarge is returned for an answer that cannot be held until it is whole.
var ErrAnswerTooLarge = errors.New("the answer is too large to hold until it is whole")

const (
	// MaxAnswerBytes is the largest answer that is held until it is whole.
	MaxAnswerBytes = 64 << 20

	writeTimeout   = 10 * time.Second
	codeFinalError = "endivepost"
)

// NewReply returns a reply to a request received at the time. Gap is the
// class's target between tokens.
func NewReply(writer http.ResponseWriter, stream bool, received time.Time, gap time.Duration) *Reply {
	return &Reply{writer: writer, stream: stream, received: received, gap: gap}
}

// Write passes the answer on until its final word, which it returns. The error
// is the context's, or that of a caller who does not read.
func (reply *Reply) Write(ctx context.Context, parts *answer.Queue) (finish event.Finish, err error) {
	for {
		chunks, final, err := parts.Next(ctx)
		if err != nil {
			return event.Finish{}, err
		}
		for _, chunk := range chunks {
			if err := reply.add(chunk); err != nil {
				return event.Finish{}, err
			}
		}
		if final != nil {
			return *final, reply.close(*final)
		}
		if err := reply.flush(); err != nil {
			return event.Finish{}, err
		}
	}
}

// Measurements returns what the reply took.
func (reply *Reply) Measurements(now time.Time) Measurements {
	return Measurements{FirstToken: reply.first, Total: now.Sub(reply.received), Tokens: reply.tokens, LateTokens: reply.slow}
}

func (reply *Reply) add(chunk message.Chunk) error {
	if chunk.Index == 0 {
		reply.head = chunk
		reply.body = nil
		return nil
	}
	if !bytes.HasPrefix(chunk.Data, endMark) {
		reply.measure(time.Now())
	}
	reply.body = append(reply.body, chunk.Data...)
	if len(reply.body) > MaxAnswerBytes {
		return ErrAnswerTooLarge
	}
	return nil
}

func (reply *Reply) measure(now time.Time) {
	if reply.tokens == 0 {
		reply.first = now.Sub(reply.received)
	}
	if reply.tokens > 0 && reply.gap > 0 && now.Sub(reply.latest) > reply.gap {
		reply.slow++
	}
	reply.tokens++
	reply.latest = now
}

// flush writes what a streamed answer has so far.
func (reply *Reply) flush() error {
	if !reply.stream || len(reply.body) == 0 {
		return nil
	}
	reply.begin("")
	controller := http.NewResponseController(reply.writer)
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := reply.writer.Write(reply.body); err != nil {
		return err
	}
	reply.body = reply.body[:0]
	return controller.Flush()
}

// begin writes the status and header. The outcome of a stream is not known yet
// and follows in a trailer.
func (reply *Reply) begin(outcome string) {
	if reply.begun {
		return
	}
	reply.begun = true
	_ = http.NewResponseController(reply.writer).SetWriteDeadline(time.Now().Add(writeTimeout))
	header := reply.writer.Header()
	for _, field := range reply.head.Header {
		header.Add(field.Name, field.Value)
	}
	if outcome == "" {
		header.Set("Trailer", HeaderOutcome+", "+HeaderReason)
	} else {
		header.Set(HeaderOutcome, outcome)
	}
	reply.writer.WriteHeader(reply.head.Status)
}

func (reply *Reply) close(finish event.Finish) error {
	whole := finish.Outcome == message.Complete || finish.Outcome == message.Failed
	switch {
	case whole && reply.begun:
		if err := reply.flush(); err != nil {
			return err
		}
		reply.trail(finish)
		return nil
	case whole:
		reply.countTokens()
		reply.begin(finish.Outcome.String())
		_, err := reply.writer.Write(reply.body)
		return err
	case reply.begun:
		return reply.closeCutOff(finish)
	}
	return reply.refuse(finish)
}

// usage is the part of an answer that is not streamed which tells its length.
type usage struct {
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// countTokens takes the length of an answer that is not streamed from the answer;
// that of a plain service counts as one.
func (reply *Reply) countTokens() {
	var told usage
	if json.Unmarshal(reply.body, &told) == nil && told.Usage.CompletionTokens > 0 {
		reply.tokens = told.Usage.CompletionTokens
	}
}

// closeCutOff marks a stream as incomplete: an error event, and no end mark.
func (reply *Reply) closeCutOff(finish event.Finish) error {
	if err := reply.flush(); err != nil {
		return err
	}
	body, err := json.Marshal(errorBody(finish))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(reply.writer, "event: error\ndata: %s\n\n", body)
	reply.trail(finish)
	return err
}

func (reply *Reply) trail(finish event.Finish) {
	reply.writer.Header().Set(HeaderOutcome, finish.Outcome.String())
	if finish.Reason != message.NoReason {
		reply.writer.Header().Set(HeaderReason, finish.Reason.String())
	}
}

func (reply *Reply) refuse(finish event.Finish) error {
	header := reply.writer.Header()
	header.Set(HeaderOutcome, finish.Outcome.String())
	header.Set(HeaderReason, finish.Reason.String())
	if finish.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(finish.RetryAfter.Seconds()))))
	}
	return WriteError(reply.writer, statusOf(finish), errorBody(finish))
}

// statusOf maps a final word without an answer to an HTTP status.
func statusOf(finish event.Finish) int {
	switch finish.Outcome {
	case message.NotRun:
		switch finish.Reason {
		case message.KeyConflict:
			return http.StatusUnprocessableEntity
		case message.QueueFull, message.Overload:
			return http.StatusTooManyRequests
		}
		return http.StatusServiceUnavailable
	case message.Unknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// ErrorBody is an error in the customary shape of the chat completion interface.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the inside of an ErrorBody.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"outcome,omitempty"`
}

var outcomeTexts = map[message.Outcome]string{
	message.NotRun:     "the request was not run",
	message.Unknown:    "the request may have run and will not be run again",
	message.Incomplete: "the answer was cut off",
}

func errorBody(finish event.Finish) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Message: outcomeTexts[finish.Outcome] + ": " + finish.Reason.String(),
		Type:    codeFinalError,
		Code:    finish.Reason.String(),
		Outcome: finish.Outcome.String(),
	}}
}

// WriteError writes a JSON error.
func WriteError(writer http.ResponseWriter, status int, body ErrorBody) error {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	return json.NewEncoder(writer).Encode(body)
}

// WriteRefusal writes a refusal of Read. Nothing was run.
func WriteRefusal(writer http.ResponseWriter, refusal RefusalError) {
	writer.Header().Set(HeaderOutcome, message.NotRun.String())
	body := ErrorBody{Error: ErrorDetail{
		Message: refusal.Message, Type: "invalid_request_error", Code: refusal.Code, Outcome: message.NotRun.String(),
	}}
	_ = WriteError(writer, refusal.Status, body)
}
