package caller_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
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

// TestBadRequests is the table of what callers send that cannot be served.
func TestBadRequests(t *testing.T) {
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
			t.Errorf("%s: %+v, want %d %s", row.name, err, row.status, row.code)
		}
	}
}

func TestKeys(t *testing.T) {
	read := func(path, body, key string) event.Request {
		resolved, err := caller.Read(newRequest(path, body, "Idempotency-Key", key), published())
		if err != nil {
			t.Fatal(err)
		}
		return resolved
	}
	first := read("/services/booking/holds?x=1", "a", "k")
	if same := read("/services/booking/holds?x=1", "a", "k"); same.Key != first.Key || same.BodyDigest != first.BodyDigest {
		t.Error("the same request has another key or sum")
	}
	if other := read("/services/booking/holds?x=2", "a", "k"); other.Key != first.Key || other.BodyDigest == first.BodyDigest {
		t.Error("another path has the same sum, or another key")
	}
	if first.Payload.Path != "/holds?x=1" || !first.KeyCreatedAt.IsZero() || !first.Payload.NonIdempotent {
		t.Errorf("%+v", first)
	}
	dated := read("/services/booking/holds", "a", "0199b6a8-0000-7000-8000-000000000000")
	if dated.KeyCreatedAt.UnixMilli() != 0x0199b6a80000 {
		t.Errorf("born at %v", dated.KeyCreatedAt)
	}
	if plain := read("/v1/chat/completions", "{}", "k"); plain.Key != (message.Digest{}) {
		t.Error("an idempotent request has a key")
	}
}

// write carries parts and a final word through a reply.
func write(stream bool, finish event.Finish, parts ...string) *http.Response {
	held := answer.New(1 << 20)
	if len(parts) > 0 {
		held.Push(message.Chunk{Status: 200, Header: []message.Header{{Name: "Content-Type", Value: "text/event-stream"}}})
	}
	recorder := httptest.NewRecorder()
	reply := caller.NewReply(recorder, stream, time.Now(), 0)
	for i, part := range parts {
		held.Push(message.Chunk{Index: i + 1, Data: []byte(part)})
	}
	held.Finish(finish)
	_, _ = reply.Write(context.Background(), held)
	return recorder.Result()
}

func body(response *http.Response) string {
	var text strings.Builder
	_ = response.Write(&text)
	return text.String()
}

// TestCutAnswersNeverLookComplete: streamed or not.
func TestCutAnswersNeverLookComplete(t *testing.T) {
	cut := event.Finish{Outcome: message.Incomplete, Reason: message.UpstreamDown, RetryAfter: 1500 * time.Millisecond}
	streamed := write(true, cut, "data: a\n\n")
	text := body(streamed)
	if strings.Contains(text, "[DONE]") || !strings.Contains(text, "event: error") || streamed.Trailer.Get(caller.HeaderOutcome) != "incomplete" {
		t.Errorf("streamed: %s %v", text, streamed.Trailer)
	}
	whole := write(false, cut, "half an answer")
	if text := body(whole); whole.StatusCode != http.StatusBadGateway || strings.Contains(text, "half") {
		t.Errorf("not streamed: %s", text)
	}
	if whole.Header.Get("Retry-After") != "2" || whole.Header.Get(caller.HeaderOutcome) != "incomplete" {
		t.Errorf("not streamed: %v", whole.Header)
	}
}

// TestFinalWords is the table of outcomes and their status.
func TestFinalWords(t *testing.T) {
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
			t.Errorf("%v %v: status %d, %v", row.outcome, row.reason, response.StatusCode, response.Header)
		}
	}
}
