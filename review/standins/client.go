package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one request of a client, with all its tries.
type Request struct {
	Path     string
	Prefix   string
	Usage    string
	Body     []byte
	Deadline time.Duration
	Tries    int
	Record   *Record
	// Pause is the least time between two tries.
	Pause time.Duration
}

// Result is what the client got over its tries.
type Result struct {
	Statuses []int
	// Events are the lines of data by event number, First the attempt that brought the first.
	Events   []string
	LastID   string
	First    string
	Complete bool
	Body     []byte
	// TakenUp counts the streams that were taken up again behind an event, WentOn those of
	// them that brought a further event or their end.
	TakenUp int
	WentOn  int
	Tries   []Try
}

// Try is one attempt: whether it took the stream up again, and whether that went on.
type Try struct {
	At    time.Time
	Again bool
	On    bool
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends the request to the machines in turn, from the first on, each try on a new
// connection. A stream that broke off is taken up again behind its last event.
func (request Request) Send(machines []*Entry) Result {
	var result Result
	end := time.Now().Add(request.Deadline)
	for try := range request.Tries {
		left := time.Until(end)
		if left < 50*time.Millisecond {
			break
		}
		machine := machines[try%len(machines)]
		id := newID()
		before, again := len(result.Events), result.LastID != ""
		sentAt := time.Now()
		status, wait := request.try(machine, id, left, &result)
		if again {
			result.TakenUp++
		}
		if again && (len(result.Events) > before || result.Complete) {
			result.WentOn++
		}
		result.Tries = append(result.Tries, Try{At: sentAt, Again: again, On: again && (len(result.Events) > before || result.Complete)})
		result.Statuses = append(result.Statuses, status)
		request.Record.Add("client: %s of %s at %s: status %d, complete %t, last event %q", id, request.Path, machine.Name, status, result.Complete, result.LastID)
		if result.Complete || status == 400 || status == 401 || status == 404 || status == 413 {
			break
		}
		time.Sleep(min(max(wait, request.Pause), time.Until(end)/3))
	}
	return result
}

// try sends one attempt and returns the status, 0 without an answer, and the time to wait
// before the next.
func (request Request) try(machine *Entry, id string, left time.Duration, result *Result) (status int, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	method := http.MethodPost
	if request.Body == nil {
		method = http.MethodGet
	}
	sent, err := http.NewRequestWithContext(ctx, method, "http://"+machine.Front+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return 0, 0
	}
	sent.Host = "front.example"
	sent.Header.Set("X-Attempt-Id", id)
	sent.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	sent.Header.Set("Api-Key", "key-of-tenant-one")
	sent.Header.Set("X-Model", "m")
	if request.Usage != "" {
		sent.Header.Set("X-Token-Usage", request.Usage)
		sent.Header.Set("X-Prompt-Prefix", request.Prefix)
	}
	if result.LastID != "" {
		sent.Header.Set("Last-Event-Id", result.LastID)
		sent.Header.Set("Resumes", result.First)
	}
	request.Record.Add("client: sends %s for %s to %s, %d bytes, last event %q", id, request.Path, machine.Name, len(request.Body), result.LastID)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(sent)
	if err != nil {
		return 0, 100 * time.Millisecond
	}
	defer response.Body.Close()
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		wait = time.Duration(seconds * float64(time.Second))
	}
	if response.StatusCode != http.StatusOK || !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		body, err := io.ReadAll(response.Body)
		result.Body = body
		result.Complete = err == nil && response.StatusCode == http.StatusOK
		return response.StatusCode, wait
	}
	reader := bufio.NewReader(response.Body)
	number := ""
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			result.Complete = err == io.EOF && line == ""
			return response.StatusCode, 20 * time.Millisecond
		}
		switch text := strings.TrimSpace(line); {
		case strings.HasPrefix(text, "id: "):
			number = strings.TrimPrefix(text, "id: ")
		case strings.HasPrefix(text, "data: "):
			if result.First == "" {
				result.First = id
			}
			result.Events = append(result.Events, number+" "+strings.TrimPrefix(text, "data: "))
		case text == "" && number != "":
			result.LastID = number
		}
	}
}

// Config returns the operator's configuration with one streaming and one safe route.
func Config(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, target, priority int, resume bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": "front.example", "prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": target, "priority": priority,
			"service": service, "max_attempts": 2, "public": false, "sticky": kind == "streaming", "stream_resume": resume, "gap_aim_ms": 200,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("chat", "/chat/", "streaming", "llm", 10000, 300, 0, true),
			route("brief", "/chat/brief/", "streaming", "llm", 8000, 1500, 2, true),
			route("look", "/look/", "safe", "app", 1000, 150, 2, false),
		},
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_cache_tokens": 573657, "kv_token_bytes": 163840, "stride": 5, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "app", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-one", "api_keys": []any{"key-of-tenant-one"}, "priority": 1}},
	}
}

const maxBodyBytes = 4194304
