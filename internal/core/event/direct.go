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
	Tokens     int
	MostOutput int
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

// UpstreamListed is a row of the published list as it was written.
type UpstreamListed struct{ Upstream Upstream }

// UpstreamGone reports that the row of an upstream was removed.
type UpstreamGone struct {
	Name     string
	Revision uint64
}

// UpstreamsRead is the whole published list; what is not in it was gone at the
// revision at which its first page was read.
type UpstreamsRead struct {
	Upstreams []Upstream
	Revision  uint64
}

// StoreLost reports that the configuration service stopped answering, and
// StoreRegained that it answers again.
type StoreLost struct{}

// StoreRegained is the first answer after StoreLost.
type StoreRegained struct{}

// AskKept asks the shell to have an engine tell which prompt parts it keeps. The
// shell reports KeptRead if it does.
type AskKept struct {
	Upstream string
	Address  string
}

// KeptRead holds the prompt parts that an engine says it keeps.
type KeptRead struct {
	Upstream string
	Parts    []PromptPart
}

// PeerFound names another entry by the address that it is reached at.
type PeerFound struct{ Address string }

// AttemptAnswered reports the first byte of an answer to an attempt, or for a
// stream its first event.
type AttemptAnswered struct {
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
	// Whole means that the whole answer was delivered.
	Whole AttemptResult = iota + 1
	// Unreached means that no connection could be made: nothing was sent.
	Unreached
	// Declined means that the upstream says that it did not run the request.
	Declined
	// Mistaken means that another upstream has the address; it ran nothing.
	Mistaken
	// Erred means that the upstream answered with a failure of its own, which
	// is held back until the core decides.
	Erred
	// Broken means that the answer ended early: the request may have run.
	Broken
	// Stopped means that the core stopped the attempt: the request may have run.
	Stopped
	// Expired means that the time of the request was up: it may have run.
	Expired
	// Withheld means that nothing was sent since the time was up.
	Withheld
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
	// Until is the uptime at which the request's time is up.
	Until time.Duration
	// View is what decided for the upstream, for the log.
	View View
}

// View is what an entry believed of an upstream when it chose it, by all
// entries' last reports, in requests and tokens.
type View struct {
	Running int
	Reading int
	Unread  int
	Apart   bool
	// Entries is the number of other entries whose reports are in it.
	Entries int
	// Waiting counts the prompt tokens that wait for room at this entry.
	Waiting int
}

// Fields returns the view as fields of a log line.
func (view View) Fields() map[string]any {
	return map[string]any{
		"running": view.Running, "reading": view.Reading, "unread": view.Unread, "apart": view.Apart, "entries-heard": view.Entries,
		"waiting": view.Waiting,
	}
}

// Believed reports a change of what the core believes about its surroundings,
// for the log.
type Believed struct {
	Belief  Belief
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
	// WholeList is the published list as a whole: the row is in it, or missing.
	WholeList
	// OtherEntry is what another entry told.
	OtherEntry
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

// Belief is what is believed of an upstream or of a request.
type Belief uint8

// The beliefs.
const (
	// Usable means that it may be sent new work.
	Usable Belief = iota + 1
	// Left means that it is leaving or gone. Version is the revision of its row.
	Left
	// Silent means that it has work and sends nothing. Version is for how long,
	// in milliseconds. Connections to it that stand idle may be as silent.
	Silent
	// Suspected means that an upstream may have crashed by the request with the
	// fingerprint in Name. Version counts such upstreams.
	Suspected
	// Cleared means that it did not, or that the request turned out well.
	Cleared
)

func (UpstreamListed) input()    {}
func (UpstreamGone) input()      {}
func (UpstreamsRead) input()     {}
func (StoreLost) input()         {}
func (StoreRegained) input()     {}
func (PeerFound) input()         {}
func (KeptRead) input()          {}
func (AttemptAnswered) input()   {}
func (AttemptEnded) input()      {}
func (AttemptProgressed) input() {}

func (Attempt) output()  {}
func (AskKept) output()  {}
func (Believed) output() {}
