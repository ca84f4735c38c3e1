// Package dialect defines how the HTTP header fields of callers and upstreams differ between
// deployment environments.
package dialect

import (
	"net/http"
	"time"

	"endivepost/internal/core/event"
)

// Dialect translates the header fields of one environment. It makes no decisions about
// requests.
type Dialect interface {
	// ParseRequest parses the header of a caller's request. The error says why the
	// request is invalid.
	ParseRequest(header http.Header) (RequestInfo, error)
	// UpstreamHeader returns the header of the request to an upstream, from that of the
	// caller's request.
	UpstreamHeader(header http.Header, attempt Attempt) http.Header
	// ParseResponse parses the header of an upstream's response.
	ParseResponse(response *http.Response) ResponseInfo
	// CallerHeader returns the header of an upstream's response without the fields that are
	// not forwarded to callers.
	CallerHeader(header http.Header) http.Header
	// CacheListTarget is the request target of an engine's list of cached prompt parts.
	CacheListTarget() string
	// ParseCacheList parses the body of the response to that request.
	ParseCacheList(body []byte) ([]event.PromptPart, error)
}

// RequestInfo is the content of the header of a caller's request.
type RequestInfo struct {
	// ID is the caller's ID of this request; if the caller retries, the retry has
	// another ID.
	ID string
	// Key is the client account's key, "" without one.
	Key string
	// Timeout is how long the caller waits; 0 is unbounded.
	Timeout time.Duration
	// ResumeAfter is the ID of the last event that the caller has, "" for none.
	ResumeAfter string
	// Resumes is the ID of the request that brought the first event of the stream that this
	// one takes up, "" if unknown.
	Resumes string
	Prompt  event.Prompt
	// Ignored holds the errors of fields that are invalid and left out of Prompt.
	Ignored []error
}

// Attempt holds the values that the header of a request to an upstream carries for
// one attempt.
type Attempt struct {
	// Upstream is the only upstream that may run the request.
	Upstream string
	// Account is the client account's name, "" without one.
	Account string
	// Tier is the request's tier; 1 is the highest.
	Tier int
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration
	// ResumeAfter is the ID of the last event that the caller has, "" for none.
	ResumeAfter string
}

// ResponseInfo is the content of the header of an upstream's response.
type ResponseInfo struct {
	// ID is the ID of the request that the response belongs to, "" if it has none.
	ID string
	// NotRun means that the upstream did not run the request.
	NotRun bool
	// Misdirected means that another upstream answers at the address.
	Misdirected bool
	// Signed means that the response carries the upstream's signature.
	Signed bool
	// Leaving means that the upstream says that it leaves: it is to get no more requests.
	Leaving bool
	// Backoff is for how long the upstream asks not to be sent anything.
	Backoff Backoff
	// Cold is for how much longer the upstream is cold.
	Cold ColdTime
	// Limit is the rate of requests that the upstream takes from all entries together.
	Limit RateLimit
	// Load is the load that the upstream states.
	Load Load
}

// Load is the load that a response states of its upstream, if Stated is true: the requests that
// run and wait there, and how many it runs at a time. Slowdown is the factor by which work
// takes longer than usual there at the moment, 0 if not stated. Err is why a stated load is
// invalid.
type Load struct {
	Stated   bool
	Running  int
	Waiting  int
	Slots    int
	Slowdown float64
	Err      error
}

// Backoff is for how long from a response on an upstream wants nothing, 0 if it does not say
// so. Err is why what it says is invalid.
type Backoff struct {
	For time.Duration
	Err error
}

// RateLimit is what a response says of the upstream's rate limit. PerSecond is in requests
// per second and counts only if Named is true. Err is why a named limit is invalid.
type RateLimit struct {
	Named     bool
	PerSecond float64
	Err       error
}

// ColdTime is for how much longer an upstream is cold, which counts only if Named is true: 0
// means that it is not. Err is why a named time is invalid.
type ColdTime struct {
	Named bool
	For   time.Duration
	Err   error
}
