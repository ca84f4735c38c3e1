package event

import (
	"time"

	"endivepost/internal/data/revision"
	"endivepost/internal/wire/message"
)

// The inputs and outputs of entries that reach upstreams without sidecars.

// Prompt describes the prompt of a request to a model engine. It is zero for a
// request to a plain service.
type Prompt struct {
	// Parts are in the order of the prompt. Only this request, or only requests of its
	// session, have the last one.
	Parts []PromptPart
	// Tokens is the length of the whole prompt, MaxOutputTokens the maximum length of
	// the response. ExpectedOutputTokens is the caller's estimate of its length, 0 without
	// one.
	Tokens               int
	MaxOutputTokens      int
	ExpectedOutputTokens int
}

// Shared returns the parts that other prompts may share: all but the last.
func (prompt Prompt) Shared() []PromptPart {
	return prompt.Parts[:max(len(prompt.Parts)-1, 0)]
}

// OwnAttributes is the number of attributes that no other request shares: the last part of
// the prompt and the fingerprint.
const OwnAttributes = 2

// CrashAttributes returns what the request may have in common with others that crash
// upstreams: its prompt parts, from the most to the least shared, and its fingerprint.
func (request Request) CrashAttributes() []uint64 {
	attributes := make([]uint64, 0, len(request.Prompt.Parts)+1)
	for _, part := range request.Prompt.Parts {
		attributes = append(attributes, part.ID)
	}
	return append(attributes, request.Fingerprint)
}

// PromptPart is a sequence of tokens that all prompts with a part of this ID share.
type PromptPart = message.PromptPart

// Upstream is one upstream of the published list, for entries that reach
// upstreams without sidecars. Revision rises with each change of its row.
type Upstream = message.Upstream

// UpstreamUpdated reports a row of the published list that was added or changed.
type UpstreamUpdated struct{ Upstream Upstream }

// UpstreamRemoved reports that the row of an upstream was removed at Revision.
type UpstreamRemoved struct {
	Name     string
	Revision revision.Revision
}

// UpstreamListRead is the whole published list. An upstream that is not in it had
// no row at Revision, the revision at which the first page was read.
type UpstreamListRead struct {
	Upstreams []Upstream
	Revision  revision.Revision
}

// UpstreamListConfirmed reports that the published list has no changes up to now but those
// that were reported. If the list was read for a ReadUpstreamChanges, AskedAt is that of it, else 0.
type UpstreamListConfirmed struct{ AskedAt time.Duration }

// ReadUpstreamChanges asks the shell to read the changes of the published list at once. The
// shell reports them and UpstreamListConfirmed, or nothing if the configuration service does
// not respond. AskedAt is the uptime of the process.
type ReadUpstreamChanges struct{ AskedAt time.Duration }

// UpstreamProbed reports, after UpstreamSilent, whether a new connection to the upstream
// could be opened.
type UpstreamProbed struct {
	Name      string
	Reachable bool
}

// StoreUnreachable reports that the configuration service stopped responding.
type StoreUnreachable struct{}

// StoreReachable reports the first response of the configuration service after
// StoreUnreachable.
type StoreReachable struct{}

// QueryCache asks the shell to query an engine for the prompt parts that it has
// cached. The shell reports CacheReported if the engine responds.
type QueryCache struct {
	Upstream string
	Address  string
}

// CacheReported holds the prompt parts that an engine reports as cached.
type CacheReported struct {
	Upstream string
	Parts    []PromptPart
}

// PeerDiscovered reports the address of another entry.
type PeerDiscovered struct{ Address string }

// LimitReported reports what the head of a response says of its upstream's rate limit:
// PerSecond is the number of requests per second that the upstream takes from all entries
// together, if Limited is true.
type LimitReported struct {
	Upstream  string
	Limited   bool
	PerSecond float64
}

// LoadReported reports the load that the head of a response states of its upstream. Slowdown is
// the factor by which work takes longer than usual there at the moment, 0 if not stated.
type LoadReported struct {
	Upstream string
	Running  int
	Waiting  int
	Slots    int
	Slowdown float64
}

// LeavingAnnounced reports that the head of a response says that its upstream leaves: the
// process that started at Started, in Unix milliseconds.
type LeavingAnnounced struct {
	Upstream string
	Started  int64
}

// ColdReported reports for how much longer an upstream is cold, as it said in the response to
// a request that was sent at SentAt, an uptime.
type ColdReported struct {
	Upstream  string
	Remaining time.Duration
	SentAt    time.Duration
}

// BackoffRequested reports that an upstream turned a request away and wants nothing from this
// entry for the given time.
type BackoffRequested struct {
	Upstream string
	For      time.Duration
}

// StateChanged reports, for the log, that the state of an upstream or of an attribute of
// requests changed as the core sees it. Name is the upstream, or the attribute in
// hexadecimal. The meaning of Version depends on State.
type StateChanged struct {
	State   State
	Source  Source
	Name    string
	Version uint64
	// Era is that of the revision in Version.
	Era uint64
	// Age is how long ago the upstream announced a departure; see AnnouncedLeaving.
	Age time.Duration
	// For is how long a backoff lasts, or has lasted, or how much longer an upstream is cold.
	For time.Duration
}

// CrashCause reports, for the log, that requests with an attribute are declined since
// upstreams crash under them, and the evidence: a part of their prompts, or the fingerprint of
// a request.
type CrashCause struct {
	Attribute uint64
	// Crashes counts the crashes that count against the attribute, Interruptions the requests
	// with it that they broke off. Crashed are the upstreams that crashed.
	Crashes       int
	Interruptions int
	Crashed       []string
	// Survivors are the upstreams that survived a request with it since the first crash,
	// SurvivedBefore counts those that did so at any time.
	Survivors      []string
	SurvivedBefore int
	// FirstAge and LatestAge are how long ago the first and the latest crash were.
	FirstAge  time.Duration
	LatestAge time.Duration
}

// UpstreamSilent reports that an upstream has requests in flight and sends nothing. Idle
// connections to it may be broken too.
type UpstreamSilent struct {
	Name    string
	Address string
	// Silence is for how long it has sent nothing, Expected how much of that its pending
	// prefill accounts for.
	Silence  time.Duration
	Expected time.Duration
	// SinceStep is the time since the previous step of the core: if it is long, this process
	// was itself paused.
	SinceStep time.Duration
	Running   int
}

// Source is where the information behind a state change came from.
type Source uint8

// The sources of a state change.
const (
	// OwnRequests are the results of the entry's own requests.
	OwnRequests Source = iota
	// PublishedRow is a row of the published list that was added or changed.
	PublishedRow
	// RowRemoved is the removal of a row of the published list.
	RowRemoved
	// FullList is the published list as a whole, with or without the upstream's row.
	FullList
	// PeerEntry is a message from another entry.
	PeerEntry
	// OtherUpstream is another upstream that now has the address.
	OtherUpstream
	// OwnResponses are the heads of responses to the entry's own requests.
	OwnResponses
	// EvacuationEnded is the end of the evacuation of the upstream's domain.
	EvacuationEnded
)

// sourceNames are the sources in logs, in the order of the constants.
var sourceNames = [...]string{"own-requests", "published-row", "row-removed", "whole-list", "other-entry", "other-upstream", "own-responses", "domain-restored"}

// String returns the kebab-case name used in logs.
func (source Source) String() string {
	if int(source) < len(sourceNames) {
		return sourceNames[source]
	}
	return "unknown"
}

// State is the state of the upstream or the request in StateChanged.Name.
type State uint8

// The states.
const (
	// Usable means that the upstream accepts new work. Version is the revision of its
	// row.
	Usable State = iota + 1
	// Leaving means that the upstream is leaving or was removed. Version is the
	// revision of its row.
	Leaving
	// BlameCleared means, of the attribute in Name that a CrashCause reported, that an upstream
	// survived such a request, or that another attribute explains the crashes.
	BlameCleared
	// Limited means that the upstream named a rate limit. Version is the limit in requests
	// per 1000 seconds.
	Limited
	// LimitEnded means that the upstream no longer names a rate limit.
	LimitEnded
	// AnnouncedLeaving means that the upstream announced in a response that it leaves.
	// Version is the revision of its row.
	AnnouncedLeaving
	// BackoffStarted means that the upstream asked to be sent nothing for a time.
	BackoffStarted
	// BackoffEnded means that the upstream has answered again after a backoff.
	BackoffEnded
	// DomainEvacuated and DomainRestored mean that the failure domain in Name gets no
	// requests, or gets them again. Version is the revision of the operator's order.
	DomainEvacuated
	DomainRestored
	// EvacuationUnmatched means that no upstream is listed in the evacuated domain in Name.
	EvacuationUnmatched
	// TurnedCold means that the upstream is or may be cold: it tolerates few requests.
	TurnedCold
	// TurnedWarm means that the upstream is not cold any more.
	TurnedWarm
	// TurnedSlow means that the upstream takes much longer than usual for its work. Version is
	// how long, in percent of the usual time.
	TurnedSlow
	// SlowEnded means that the upstream does not, or that it has no work that would show it.
	SlowEnded
)

func (UpstreamUpdated) input()       {}
func (UpstreamRemoved) input()       {}
func (UpstreamListRead) input()      {}
func (UpstreamListConfirmed) input() {}
func (StoreUnreachable) input()      {}
func (UpstreamProbed) input()        {}
func (StoreReachable) input()        {}
func (PeerDiscovered) input()        {}
func (CacheReported) input()         {}
func (LimitReported) input()         {}
func (LoadReported) input()          {}
func (LeavingAnnounced) input()      {}
func (BackoffRequested) input()      {}
func (ColdReported) input()          {}

func (QueryCache) output()          {}
func (ReadUpstreamChanges) output() {}
func (StateChanged) output()        {}
func (CrashCause) output()          {}
func (UpstreamSilent) output()      {}
