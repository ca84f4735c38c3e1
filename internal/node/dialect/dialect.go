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
	// Read returns what the header of a caller's request says.
	Read(header http.Header) (Call, error)
	// Outbound returns the header of the request to an upstream.
	Outbound(header http.Header, send Send) http.Header
	// Judge returns what the header of an upstream's answer says.
	Judge(response *http.Response) Verdict
	// Inbound removes from an upstream's header what is not for callers.
	Inbound(header http.Header) http.Header
	// KeptTarget is the target of the request for what an engine keeps.
	KeptTarget() string
	// ReadKept returns the prompt parts that the answer to it names.
	ReadKept(body []byte) ([]event.PromptPart, error)
}

// Call is what a caller's request says of itself.
type Call struct {
	// ID is the caller's own name for this send of the request.
	ID string
	// Key is the client account's key, "" without one.
	Key string
	// Budget is how long the caller waits; 0 is unbounded.
	Budget time.Duration
	// ResumeAfter is the ID of the last event that the caller has, "" for none.
	ResumeAfter string
	Prompt      event.Prompt
	// Ignored names what was left out of Prompt since it cannot be read.
	Ignored []error
}

// Send is one attempt at an upstream.
type Send struct {
	// Upstream is the upstream that must run the request and no other.
	Upstream string
	// Account is the client account's name, "" without one.
	Account     string
	Tier        int
	Budget      time.Duration
	ResumeAfter string
}

// Verdict is what an upstream's answer says beside its status.
type Verdict struct {
	// ID is the name of the request that the answer belongs to, "" if it has none.
	ID string
	// NotRun says that the upstream did not run the request.
	NotRun bool
	// Mistaken says that another upstream has the address.
	Mistaken bool
	// Signed says that the answer carries the upstream's signature.
	Signed bool
}
