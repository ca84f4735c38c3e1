package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/node/answer"
	"endivepost/internal/wire/message"
)

// Reply writes the response to one request. A streamed response is written chunk by
// chunk; any other is buffered until it is complete, so that a truncated response never
// looks complete.
type Reply struct {
	writer http.ResponseWriter
	stream bool
	head   message.Chunk
	// parts are what is not written yet of the body, of size bytes together.
	parts    [][]byte
	size     int
	started  bool
	received time.Time
	// firstToken is the time from received to the first token, previous the time of the
	// latest token.
	firstToken time.Duration
	previous   time.Time
	tokens     int
	lateTokens int
	// betweenTokens is the class's target between tokens, 0 for none.
	betweenTokens time.Duration
}

// Measurements are the latencies and token counts of a reply; the latencies count from
// the receipt of the request. Tokens is the number of chunks, each counted as one token;
// for a response that is not streamed it is the number in its usage, if it has one.
// LateTokens counts the tokens whose delay after the previous token exceeded the class's
// target.
type Measurements struct {
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
	LateTokens int
}

// doneEvent is the last event of a complete stream.
var doneEvent = []byte("data: [DONE]")

// ErrAnswerTooLarge is returned if more than MaxAnswerBytes of a response are buffered.
var ErrAnswerTooLarge = errors.New("the answer is too large to hold until it is whole")

const (
	// MaxAnswerBytes is the largest response that is buffered until it is complete.
	MaxAnswerBytes = 64 << 20

	// maxWriteBytes is the most that is written to the caller at once, and writeTimeout how
	// long that may take: a caller that goes on reading is not cut off, however slow it is.
	maxWriteBytes = 64 << 10
	writeTimeout  = 10 * time.Second
	// maxUsageBytes bounds a response that is searched for its number of tokens.
	maxUsageBytes = 4 << 20
	// errorType is the error type of errors that the caller did not cause.
	errorType = "endivepost"
)

// NewReply returns a reply to a request that was received at the given time.
// BetweenTokens is the class's target between tokens, 0 for none.
func NewReply(writer http.ResponseWriter, stream bool, received time.Time, betweenTokens time.Duration) *Reply {
	return &Reply{writer: writer, stream: stream, received: received, betweenTokens: betweenTokens}
}

// Write writes the response up to the request's final outcome, which it returns. The
// error is the context's, ErrAnswerTooLarge, or that of writing to the caller. A response that
// is too large ends as incomplete.
func (reply *Reply) Write(ctx context.Context, queue *answer.Queue) (finish event.Finish, err error) {
	for {
		chunks, final, err := queue.Next(ctx)
		if err != nil {
			return event.Finish{}, err
		}
		for _, chunk := range chunks {
			if err := reply.add(chunk); err != nil {
				return event.Finish{}, errors.Join(err, reply.close(event.Finish{Outcome: message.Incomplete, Reason: message.TooLarge}))
			}
		}
		if final != nil {
			return *final, reply.close(*final)
		}
		if err := reply.flush(); err != nil {
			return event.Finish{}, err
		}
		if reply.size == 0 {
			queue.FreeRead()
		}
	}
}

// Measurements returns the figures of the reply, with the total latency as of now.
func (reply *Reply) Measurements(now time.Time) Measurements {
	return Measurements{FirstToken: reply.firstToken, Total: now.Sub(reply.received), Tokens: reply.tokens, LateTokens: reply.lateTokens}
}

// add buffers a chunk. Chunk 0 starts the response, and starts it anew when a request that
// is not streamed is retried.
func (reply *Reply) add(chunk message.Chunk) error {
	if chunk.Index == 0 {
		reply.head = chunk
		reply.parts, reply.size = nil, 0
		return nil
	}
	if !bytes.HasPrefix(chunk.Data, doneEvent) {
		reply.countToken(time.Now())
	}
	reply.parts = append(reply.parts, chunk.Data)
	reply.size += len(chunk.Data)
	if reply.size > MaxAnswerBytes {
		return ErrAnswerTooLarge
	}
	return nil
}

// countToken counts a chunk as one token and records its latency.
func (reply *Reply) countToken(now time.Time) {
	if reply.tokens == 0 {
		reply.firstToken = now.Sub(reply.received)
	}
	if reply.tokens > 0 && reply.betweenTokens > 0 && now.Sub(reply.previous) > reply.betweenTokens {
		reply.lateTokens++
	}
	reply.tokens++
	reply.previous = now
}

// flush writes the buffered part of a streamed response.
func (reply *Reply) flush() error {
	if !reply.stream || reply.size == 0 {
		return nil
	}
	reply.start("")
	if err := reply.writeBody(); err != nil {
		return err
	}
	return http.NewResponseController(reply.writer).Flush()
}

// writeBody writes the buffered part of the body.
func (reply *Reply) writeBody() error {
	parts := reply.parts
	reply.parts, reply.size = nil, 0
	for _, part := range parts {
		if err := reply.write(part); err != nil {
			return err
		}
	}
	return nil
}

// write writes the data in pieces of at most maxWriteBytes, each with its own deadline.
func (reply *Reply) write(data []byte) error {
	controller := http.NewResponseController(reply.writer)
	for piece := range slices.Chunk(data, maxWriteBytes) {
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := reply.writer.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// start writes the status and header once. The outcome is empty for a stream, because it
// is not known yet; it follows in the trailer.
func (reply *Reply) start(outcome string) {
	if reply.started {
		return
	}
	reply.started = true
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
	complete := finish.Outcome == message.Complete || finish.Outcome == message.Failed
	switch {
	case complete && reply.started:
		if err := reply.flush(); err != nil {
			return err
		}
		reply.setTrailer(finish)
		return nil
	case complete:
		reply.setReportedTokens()
		reply.start(finish.Outcome.String())
		return reply.writeBody()
	case reply.started:
		return reply.closeTruncated(finish)
	}
	return reply.refuse(finish)
}

// usage is the part of a chat completion response that holds its number of tokens.
type usage struct {
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// setReportedTokens sets the number of tokens of a response that is not streamed from the
// usage in its body. Without one, as from a plain service, it stays the number of
// chunks.
func (reply *Reply) setReportedTokens() {
	if reply.size > maxUsageBytes {
		return
	}
	var decoded usage
	if json.Unmarshal(bytes.Join(reply.parts, nil), &decoded) == nil && decoded.Usage.CompletionTokens > 0 {
		reply.tokens = decoded.Usage.CompletionTokens
	}
}

// closeTruncated marks a stream as incomplete: it ends with an error event instead of
// the [DONE] event.
func (reply *Reply) closeTruncated(finish event.Finish) error {
	if err := reply.flush(); err != nil {
		return err
	}
	body, err := json.Marshal(errorBody(finish))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(reply.writer, "event: error\ndata: %s\n\n", body)
	reply.setTrailer(finish)
	return err
}

// setTrailer sets the trailer of a stream.
func (reply *Reply) setTrailer(finish event.Finish) {
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

// statusOf maps the outcome of a request without a complete response to an HTTP status.
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
		switch finish.Reason {
		case message.UploadCutOff, message.MalformedResponse:
			return http.StatusBadGateway
		}
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// ErrorBody is the JSON body of an error, as in the usual chat completion API.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the error object of an ErrorBody.
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
		Type:    errorType,
		Code:    finish.Reason.String(),
		Outcome: finish.Outcome.String(),
	}}
}

// WriteError writes a JSON error response. The error is that of writing to the caller.
func WriteError(writer http.ResponseWriter, status int, body ErrorBody) error {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	return json.NewEncoder(writer).Encode(body)
}

// WriteRefusal writes a refusal as a JSON error response with outcome not-run.
func WriteRefusal(writer http.ResponseWriter, refusal RefusalError) {
	WriteFailure(writer, refusal, message.NotRun)
}

// WriteFailure writes a JSON error response of the router's own with the outcome.
func WriteFailure(writer http.ResponseWriter, refusal RefusalError, outcome message.Outcome) {
	writer.Header().Set(HeaderOutcome, outcome.String())
	body := ErrorBody{Error: ErrorDetail{
		Message: refusal.Message, Type: "invalid_request_error", Code: refusal.Code, Outcome: outcome.String(),
	}}
	_ = WriteError(writer, refusal.Status, body)
}
