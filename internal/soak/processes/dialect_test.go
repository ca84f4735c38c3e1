package processes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// dialect is how callers and upstreams speak in one of the two forms.
type dialect interface {
	// path returns the request's path at the entry, pathAtUpstream that at the upstream.
	path(plan plan) string
	pathAtUpstream(plan plan) string
	// body returns the request's body with the given text in it.
	body(plan plan, text string) string
	// fields returns the fields of the request's header.
	fields(plan plan) []string
	// lastEvent returns the number of the stream's events that the caller has already.
	lastEvent(request *http.Request) int
	// streamEnd returns what follows the last event of a stream.
	streamEnd() string
	// isForeign reports whether the request is meant for another upstream.
	isForeign(request *http.Request, upstream string) bool
	// wrongField names a field that is not as the entry has to set it.
	wrongField(request *http.Request) string
	// cutMark returns the text with which an entry ends a stream that is not complete, "" if
	// it closes the connection.
	cutMark() string
	// tellsDeadline reports whether the entry knows how long the caller waits.
	tellsDeadline() bool
}

const (
	accountName = "desk"
	accountKey  = "the-key-of-the-desk"
	hostName    = "llamas.example"
	// promptTokens is the length of all prompts.
	promptTokens = 300
)

// query returns the plan for the upstream.
func (plan plan) query() string {
	query := url.Values{"route": {string(plan.route)}}
	for name, value := range map[string]int{
		"work": int(plan.work.Milliseconds()), "events": plan.events, "gap": int(plan.gap.Milliseconds()),
		"answer": plan.answer, "break": plan.breakAt, "body": plan.body,
	} {
		query.Set(name, strconv.Itoa(value))
	}
	return query.Encode()
}

// platformDialect is the users' platform's.
type platformDialect struct{}

func (platformDialect) path(plan plan) string {
	return fmt.Sprintf("/%s/x?%s", plan.route, plan.query())
}

func (dialect platformDialect) pathAtUpstream(plan plan) string { return dialect.path(plan) }

func (platformDialect) body(_ plan, text string) string { return text }

func (platformDialect) fields(plan plan) []string {
	return []string{
		fmt.Sprintf("X-Deadline-Ms: %d", plan.deadline.Milliseconds()), "Api-Key: " + accountKey, "X-Model: m",
		fmt.Sprintf("X-Token-Usage: %d,%d", promptTokens, plan.events), fmt.Sprintf("X-Prompt-Prefix: %x:%d", chance(plan.id), promptTokens),
	}
}

func (platformDialect) lastEvent(request *http.Request) int {
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	return last
}

func (platformDialect) streamEnd() string { return "" }

func (platformDialect) isForeign(request *http.Request, upstream string) bool {
	return request.Header.Get("X-Expect-Instance") != upstream
}

func (platformDialect) wrongField(request *http.Request) string {
	switch {
	case request.Header.Get("X-Tenant") != accountName:
		return "account " + request.Header.Get("X-Tenant")
	case request.Header.Get("Api-Key") != "":
		return "has the key"
	}
	return ""
}

func (platformDialect) cutMark() string { return "" }

func (platformDialect) tellsDeadline() bool { return true }

// chatDialect is that of entries with sidecars.
type chatDialect struct{}

func (chatDialect) path(plan plan) string {
	if plan.route.streamed() {
		return "/v1/chat/completions?" + plan.query()
	}
	return "/services/" + bookingService + "/x?" + plan.query()
}

func (dialect chatDialect) pathAtUpstream(plan plan) string {
	return strings.TrimPrefix(dialect.path(plan), "/services/"+bookingService)
}

// chat is the body of a chat completion request.
type chat struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Messages []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (chatDialect) body(plan plan, text string) string {
	if !plan.route.streamed() {
		return text
	}
	encoded, _ := json.Marshal(chat{Model: engineService, Stream: true, Messages: []message{{Role: "user", Content: text}}})
	return string(encoded)
}

func (chatDialect) fields(plan plan) []string {
	return []string{"Authorization: Bearer " + accountKey, "Endivepost-Class: " + string(plan.route)}
}

func (chatDialect) lastEvent(request *http.Request) int {
	last, _ := strconv.Atoi(request.Header.Get("Endivepost-Resume-Offset"))
	return last
}

func (chatDialect) streamEnd() string { return "data: [DONE]\n\n" }

func (chatDialect) isForeign(*http.Request, string) bool { return false }

func (chatDialect) wrongField(request *http.Request) string {
	if request.Header.Get("Authorization") != "" {
		return "has the key"
	}
	return ""
}

func (chatDialect) cutMark() string { return "event: error\n" }

func (chatDialect) tellsDeadline() bool { return false }
