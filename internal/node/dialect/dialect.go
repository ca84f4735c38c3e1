// Package dialect defines what differs between environments in the HTTP that
// callers and upstreams speak.
package dialect

import (
	"net/http"
	"time"

	"endivepost/internal/core/event"
)

// Dialect translates the header fields of one environment. It decides nothing.
type Dialect interface {
	// ParseRequest returns what the header of a caller's request says.
	ParseRequest(header http.Header) (RequestInfo, error)
	// UpstreamHeader returns the header of the request to an upstream.
	UpstreamHeader(header http.Header, send Attempt) http.Header
	// ParseResponse returns what the header of an upstream's answer says.
	ParseResponse(response *http.Response) ResponseInfo
	// CallerHeader removes from an upstream's header what is not for callers.
	CallerHeader(header http.Header) http.Header
	// CacheListTarget is the target of the request for what an engine keeps.
	CacheListTarget() string
	// ParseCacheList returns the prompt parts that the answer to it names.
	ParseCacheList(body []byte) ([]event.PromptPart, error)
}

// RequestInfo is what a caller's request says of itself.
type RequestInfo struct {
	// ID is the caller's own name for this send of the request.
	ID string
	// Key is the client account's key, "" without one.
	Key string
	// Timeout is how long the caller waits; 0 is unbounded.
	Timeout time.Duration
	// ResumeAfter is the ID of the last event that the caller has, "" for none.
	ResumeAfter string
	Prompt      event.Prompt
	// Ignored names what was left out of Prompt since it cannot be read.
	Ignored []error
}

// Attempt is one attempt at an upstream.
type Attempt struct {
	// Upstream is the upstream that must run the request and no other.
	Upstream string
	// Account is the client account's name, "" without one.
	Account     string
	Tier        int
	Timeout     time.Duration
	ResumeAfter string
}

// ResponseInfo is what an upstream's answer says beside its status.
type ResponseInfo struct {
	// ID is the name of the request that the answer belongs to, "" if it has none.
	ID string
	// NotRun says that the upstream did not run the request.
	NotRun bool
	// Misdirected says that another upstream has the address.
	Misdirected bool
	// Signed says that the answer carries the upstream's signature.
	Signed bool
}
