package event

import (
	"time"

	"endivepost/internal/wire/message"
)

// The events of entries that reach upstreams without sidecars.

// Prompt describes the prompt of a request to a model engine. The zero value
// is that of a request to a plain service.
type Prompt struct {
	// Parts are in order; the last one is the request's own or its session's.
	Parts []PromptPart
	// Tokens counts the whole prompt, MostOutput bounds the answer.
	Tokens          int
	MaxOutputTokens int
}

// Shared returns the parts that other prompts may have in common with this one.
func (prompt Prompt) Shared() []PromptPart {
	return prompt.Parts[:max(len(prompt.Parts)-1, 0)]
}

// PromptPart is one part of a prompt.
type PromptPart = message.PromptPart

// Upstream is one upstream of the published list, for entries that reach
// upstreams without sidecars. Revision rises with each change of its row.
type Upstream = message.Upstream

// UpstreamUpdated is a row of the published list as it was written.
type UpstreamUpdated struct{ Upstream Upstream }

// UpstreamRemoved reports that the row of an upstream was removed.
type UpstreamRemoved struct {
	Name     string
	Revision uint64
}

// UpstreamListRead is the whole published list; what is not in it was gone at the
// revision at which its first page was read.
type UpstreamListRead struct {
	Upstreams []Upstream
	Revision  uint64
}

// StoreUnreachable reports that the configuration service stopped answering, and
// StoreRegained that it answers again.
type StoreUnreachable struct{}

// StoreReachable is the first answer after StoreLost.
type StoreReachable struct{}

// QueryCache asks the shell to have an engine tell which prompt parts it keeps. The
// shell reports KeptRead if it does.
type QueryCache struct {
	Upstream string
	Address  string
}

// CacheReported holds the prompt parts that an engine says it keeps.
type CacheReported struct {
	Upstream string
	Parts    []PromptPart
}

// PeerDiscovered names another entry by the address that it is reached at.
type PeerDiscovered struct{ Address string }

// AttemptFirstByte reports the first byte of an answer to an attempt, or for a
// stream its first event.
type AttemptFirstByte struct {
	ID     message.RequestID
	Number int
}

// AttemptProgressed reports that more of an answer has come. The shell may leave
// out those that follow closely.
type AttemptProgressed struct {
	ID     message.RequestID
	Number int
}

// AttemptEnded reports how an attempt ended.
type AttemptEnded struct {
	ID     message.RequestID
	Number int
	Result AttemptResult
	// Delivered says that part of the answer has reached the caller.
	Delivered bool
	// Status is the status code of the upstream's answer, 0 without one.
	Status int
}

// AttemptResult says how an attempt ended.
type AttemptResult uint8

// The ways in which an attempt ends.
const (
	// Completed means that the whole answer was delivered.
	Completed AttemptResult = iota + 1
	// ConnectFailed means that no connection could be made: nothing was sent.
	ConnectFailed
	// Declined means that the upstream says that it did not run the request.
	Declined
	// Misdirected means that another upstream has the address; it ran nothing.
	Misdirected
	// UpstreamError means that the upstream answered with a failure of its own, which
	// is held back until the core decides.
	UpstreamError
	// Interrupted means that the answer ended early: the request may have run.
	Interrupted
	// Stopped means that the core stopped the attempt: the request may have run.
	Stopped
	// TimedOut means that the time of the request was up: it may have run.
	TimedOut
	// NotSent means that nothing was sent since the time was up.
	NotSent
	// Abandoned means that the caller went away: the request may have run.
	Abandoned
)

var attemptResultNames = [...]string{
	"", "whole", "unreached", "declined", "mistaken", "erred", "broken", "stopped", "expired", "withheld", "abandoned",
}

// String returns the kebab-case name that logs show.
func (result AttemptResult) String() string {
	if int(result) < len(attemptResultNames) {
		return attemptResultNames[result]
	}
	return "unknown"
}

// Attempt asks the shell to send a request straight to an upstream. The shell
// reports AttemptEnded with the same number.
type Attempt struct {
	ID       message.RequestID
	Number   int
	Upstream string
	Address  string
	Domain   string
	Tier     int
	// Deadline is the uptime at which the request's time is up.
	Deadline time.Duration
	// Load is what decided for the upstream, for the log.
	Load LoadSnapshot
}

// LoadSnapshot is what an entry believed of an upstream when it chose it, by all
// entries' last reports, in requests and tokens.
type LoadSnapshot struct {
	Running        int
	PrefillTokens  int
	UncachedTokens int
	Dedicated      bool
	// Peers is the number of other entries whose reports are in it.
	Peers int
	// QueuedTokens counts the prompt tokens that wait for room at this entry.
	QueuedTokens int
}

// Fields returns the view as fields of a log line.
func (view LoadSnapshot) Fields() map[string]any {
	return map[string]any{
		"running": view.Running, "reading": view.PrefillTokens, "unread": view.UncachedTokens, "apart": view.Dedicated, "entries-heard": view.Peers,
		"waiting": view.QueuedTokens,
	}
}

// StateChanged reports a change of what the core believes about its surroundings,
// for the log.
type StateChanged struct {
	State   State
	Source  Source
	Name    string
	Address string
	Version uint64
}

// Source says whose word changed a belief.
type Source uint8

// The sources of a belief.
const (
	// OwnRequests are what became of the entry's own requests.
	OwnRequests Source = iota
	// PublishedRow is a row of the published list, and RowRemoved its removal.
	PublishedRow
	RowRemoved
	// FullList is the published list as a whole: the row is in it, or missing.
	FullList
	// PeerEntry is what another entry told.
	PeerEntry
	// OtherUpstream is the upstream that answers at the address now.
	OtherUpstream
)

var sourceNames = [...]string{"own-requests", "published-row", "row-removed", "whole-list", "other-entry", "other-upstream"}

// String returns the kebab-case name that logs show.
func (source Source) String() string {
	if int(source) < len(sourceNames) {
		return sourceNames[source]
	}
	return "unknown"
}

// State is what is believed of an upstream or of a request.
type State uint8

// The beliefs.
const (
	// Usable means that it may be sent new work.
	Usable State = iota + 1
	// Leaving means that it is leaving or gone. Version is the revision of its row.
	Leaving
	// Unresponsive means that it has work and sends nothing. Version is for how long,
	// in milliseconds. Connections to it that stand idle may be as silent.
	Unresponsive
	// Suspected means that an upstream may have crashed by the request with the
	// fingerprint in Name. Version counts such upstreams.
	Suspected
	// SuspicionCleared means that it did not, or that the request turned out well.
	SuspicionCleared
)

func (UpstreamUpdated) input()   {}
func (UpstreamRemoved) input()   {}
func (UpstreamListRead) input()  {}
func (StoreUnreachable) input()  {}
func (StoreReachable) input()    {}
func (PeerDiscovered) input()    {}
func (CacheReported) input()     {}
func (AttemptFirstByte) input()  {}
func (AttemptEnded) input()      {}
func (AttemptProgressed) input() {}

func (Attempt) output()      {}
func (QueryCache) output()   {}
func (StateChanged) output() {}
