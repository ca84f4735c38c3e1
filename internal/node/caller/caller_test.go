package caller_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/event"
	"endivepost/internal/node/answer"
	"endivepost/internal/node/caller"
	"endivepost/internal/wire/message"
)

func published() document.Document {
	return document.Document{
		Version: 1,
		Classes: []document.Class{
			{Name: "guide", Tier: 1, Model: "chat"}, {Name: "draft", Tier: 2, Model: "long"},
			{Name: "hold", Tier: 1, Service: "booking", NonIdempotent: true},
		},
		Accounts: []document.Account{
			{Name: "desk", KeySHA256: fmt.Sprintf("%x", sha256.Sum256([]byte("desk-key"))), DefaultClass: "guide", Classes: []string{"hold"}},
		},
	}
}

func newRequest(path, body string, header ...string) *http.Request {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer desk-key")
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return request
}

// TestReadRefusesInvalidRequests checks the status and code of each refusal.
func TestReadRefusesInvalidRequests(t *testing.T) {
	chat := "/v1/chat/completions"
	cases := []struct {
		name    string
		request *http.Request
		status  int
		code    string
	}{
		{"no key", newRequest(chat, "{}", "Authorization", ""), 401, "missing-key"},
		{"a wrong key", newRequest(chat, "{}", "Authorization", "Bearer guess"), 401, "wrong-key"},
		{"malformed JSON", newRequest(chat, "{"), 400, "malformed-json"},
		{"a wrong type", newRequest(chat, `{"stream": "yes"}`), 400, "malformed-json"},
		{"an unknown class", newRequest(chat, "{}", caller.HeaderClass, "nope"), 400, "unknown-class"},
		{"a class of another account", newRequest(chat, "{}", caller.HeaderClass, "draft"), 400, "unknown-class"},
		{"a class of a service", newRequest(chat, "{}", caller.HeaderClass, "hold"), 400, "wrong-class"},
		{"an unknown model", newRequest(chat, `{"model": "nope"}`), 404, "no-class"},
		{"an unknown service", newRequest("/services/nope/x", ""), 404, "no-class"},
		{"a body too large", newRequest(chat, strings.Repeat("x", caller.MaxBodyBytes+1)), 413, "body-too-large"},
		{"a key too long", newRequest("/services/booking/x", "", "Idempotency-Key", strings.Repeat("k", 300)), 400, "key-too-long"},
	}
	for _, row := range cases {
		_, err := caller.Read(row.request, published())
		var refusal caller.RefusalError
		if !errors.As(err, &refusal) || refusal.Status != row.status || refusal.Code != row.code {
			t.Errorf("%s: got %+v, want status %d and code %s", row.name, err, row.status, row.code)
		}
	}
}

// TestReadIdempotencyKey guards against a key that changes between retries, which would
// run a non-idempotent request twice, and against a body digest that misses another body
// or path under the same key.
func TestReadIdempotencyKey(t *testing.T) {
	read := func(path, body, key string) event.Request {
		resolved, err := caller.Read(newRequest(path, body, "Idempotency-Key", key), published())
		if err != nil {
			t.Fatal(err)
		}
		return resolved
	}
	first := read("/services/booking/holds?x=1", "a", "k")
	if same := read("/services/booking/holds?x=1", "a", "k"); same.Key != first.Key || same.BodyDigest != first.BodyDigest {
		t.Errorf("retry of the same request: got key %x and digest %x, want %x and %x", same.Key, same.BodyDigest, first.Key, first.BodyDigest)
	}
	if other := read("/services/booking/holds?x=2", "a", "k"); other.Key != first.Key || other.BodyDigest == first.BodyDigest {
		t.Errorf("same key with another path: got key %x and digest %x, want key %x and a digest other than %x",
			other.Key, other.BodyDigest, first.Key, first.BodyDigest)
	}
	if first.Payload.Path != "/holds?x=1" || !first.KeyCreatedAt.IsZero() || !first.Payload.NonIdempotent {
		t.Errorf("request with a key: got %+v, want path /holds?x=1, no creation time, non-idempotent", first)
	}
	dated := read("/services/booking/holds", "a", "0199b6a8-0000-7000-8000-000000000000")
	if dated.KeyCreatedAt.UnixMilli() != 0x0199b6a80000 {
		t.Errorf("creation time of a version 7 UUID: got %v, want 0x0199b6a80000 ms after the epoch", dated.KeyCreatedAt)
	}
	if plain := read("/v1/chat/completions", "{}", "k"); plain.Key != (message.Digest{}) {
		t.Errorf("request of an idempotent class: got key %x, want none", plain.Key)
	}
}

// write writes the chunks and the final outcome through a Reply and returns the response.
func write(stream bool, finish event.Finish, parts ...string) *http.Response {
	queue := answer.New(2*caller.MaxAnswerBytes, new(atomic.Int64))
	if len(parts) > 0 {
		queue.Push(message.Chunk{Status: 200, Header: []message.Header{{Name: "Content-Type", Value: "text/event-stream"}}})
	}
	recorder := httptest.NewRecorder()
	reply := caller.NewReply(recorder, stream, time.Now(), 0)
	for i, part := range parts {
		queue.Push(message.Chunk{Index: i + 1, Data: []byte(part)})
	}
	queue.Finish(finish)
	_, _ = reply.Write(context.Background(), queue)
	return recorder.Result()
}

func body(response *http.Response) string {
	var text strings.Builder
	_ = response.Write(&text)
	return text.String()
}

// TestTooLargeResponseIsNoSuccess guards against a response that is too large to be buffered and
// that its caller takes for a complete one without a body.
func TestTooLargeResponseIsNoSuccess(t *testing.T) {
	response := write(false, event.Finish{Outcome: message.Complete}, strings.Repeat("x", caller.MaxAnswerBytes), "x")
	if response.StatusCode != http.StatusBadGateway || response.Header.Get(caller.HeaderOutcome) != "incomplete" {
		t.Errorf("got status %d and outcome %q, want 502 and incomplete", response.StatusCode, response.Header.Get(caller.HeaderOutcome))
	}
}

// TestTruncatedResponseIsMarked guards against a truncated response that looks complete:
// a stream must end with an error event and no [DONE], any other must become a 502.
func TestTruncatedResponseIsMarked(t *testing.T) {
	truncated := event.Finish{Outcome: message.Incomplete, Reason: message.UpstreamDown, RetryAfter: 1500 * time.Millisecond}
	streamed := write(true, truncated, "data: a\n\n")
	text := body(streamed)
	if strings.Contains(text, "[DONE]") || !strings.Contains(text, "event: error") || streamed.Trailer.Get(caller.HeaderOutcome) != "incomplete" {
		t.Errorf("truncated stream: got %s with trailer %v, want an error event, no [DONE], outcome incomplete", text, streamed.Trailer)
	}
	unstreamed := write(false, truncated, "half an answer")
	if text := body(unstreamed); unstreamed.StatusCode != http.StatusBadGateway || strings.Contains(text, "half") {
		t.Errorf("truncated response, not streamed: got status %d and %s, want status 502 and no part of the response", unstreamed.StatusCode, text)
	}
	if unstreamed.Header.Get("Retry-After") != "2" || unstreamed.Header.Get(caller.HeaderOutcome) != "incomplete" {
		t.Errorf("truncated response, not streamed: got header %v, want Retry-After 2 and outcome incomplete", unstreamed.Header)
	}
}

// TestStatusOfOutcome checks the HTTP status of each outcome without a response.
func TestStatusOfOutcome(t *testing.T) {
	cases := []struct {
		outcome message.Outcome
		reason  message.Reason
		status  int
	}{
		{message.NotRun, message.QueueFull, 429}, {message.NotRun, message.Overload, 429}, {message.NotRun, message.NoUpstream, 503},
		{message.NotRun, message.KeyConflict, 422}, {message.Unknown, message.Lost, 504}, {message.Incomplete, message.Gap, 502},
	}
	for _, row := range cases {
		response := write(true, event.Finish{Outcome: row.outcome, Reason: row.reason, RetryAfter: time.Second})
		if response.StatusCode != row.status || response.Header.Get(caller.HeaderOutcome) != row.outcome.String() {
			t.Errorf("%v, %v: got status %d with header %v, want status %d and that outcome",
				row.outcome, row.reason, response.StatusCode, response.Header, row.status)
		}
	}
}

// TestMessagesAreParts guards against chats that crash upstreams by a message which they
// share and are not found to have it in common.
func TestMessagesAreParts(t *testing.T) {
	parts := func(messages string) []event.PromptPart {
		resolved, err := caller.Read(newRequest("/v1/chat/completions", `{"model": "chat", "messages": [`+messages+`]}`), published())
		if err != nil {
			t.Fatal(err)
		}
		return resolved.Prompt.Parts
	}
	const system = `{"role": "system", "content": "be brief"}`
	first, second := parts(system+`, {"role": "user", "content": "a"}`), parts(system+`, {"role": "user", "content": "b"}`)
	if len(first) != 2 || len(second) != 2 || first[0] != second[0] || first[1] == second[1] {
		t.Errorf("got parts %v and %v, want two each of which the first ones are equal", first, second)
	}
	if resolved, err := caller.Read(newRequest("/v1/chat/completions", `{"model": "chat", "messages": "none"}`), published()); err != nil {
		t.Errorf("messages that are no list: got error %v, want the request passed on, it is %v", err, resolved.ID)
	}
	if got := parts(strings.Repeat(system+", ", 100) + system); len(got) > 16 {
		t.Errorf("got %d parts of a long chat, want at most 16", len(got))
	}
}
