// Package event defines what a core is told and what it asks of its shell.
// Cores and shells share nothing else, so any driver can run a core: sockets,
// or a test in virtual time.
package event

import (
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/wire/message"
)

// Input is anything that a core is told in a step.
type Input interface{ input() }

// Output is anything that a core asks of its shell.
type Output interface{ output() }

// LinkOpened reports an authenticated connection to a peer. Link numbers rise
// with each connection of the same peer; Boot is the peer's incarnation.
type LinkOpened struct {
	Peer string
	Link uint64
	Boot uint64
}

// LinkClosed reports the end of a connection or of an attempt to dial.
type LinkClosed struct {
	Peer string
	Link uint64
}

// Received is a message from a peer.
type Received struct {
	Peer    string
	Link    uint64
	Message message.Message
}

// DocumentRead is a class document as the configuration service gave it.
type DocumentRead struct{ Raw []byte }

// DocumentUnavailable reports that the configuration service gave no answer.
type DocumentUnavailable struct{}

// Member is one VM of the published list.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Role    string `json:"role"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving"`
}

// MembersRead is the published list of VMs, which may lag.
type MembersRead struct{ Members []Member }

// DrainBegun asks the core to take no new work and to end what it has.
type DrainBegun struct{}

// Submitted is a caller's request.
type Submitted struct{ Request Request }

// Request is a caller's request as the entry resolved it.
type Request struct {
	ID          message.RequestID
	Account     string
	Class       document.Class
	Payload     message.Payload
	Fingerprint uint64
	Key         message.Digest
	KeyBorn     time.Time
	BodySum     message.Digest
	// Tier is the tier that the request has after its account and class.
	Tier int
	// Budget is how long the caller waits from the arrival on; 0 is unbounded.
	Budget time.Duration
	Prompt Prompt
}

// Prompt describes the prompt of a request to a model engine. The zero value
// is that of a request to a plain service.
type Prompt struct {
	// Parts are in order; the last one is the request's own or its session's.
	Parts []PromptPart
	// Tokens counts the whole prompt, MostOutput bounds the answer.
	Tokens     int
	MostOutput int
}

// PromptPart is a run of tokens that prompts with the same ID have in common.
type PromptPart struct {
	ID     uint64
	Tokens int
}

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
	Name    string
	Version uint64
}

// Belief is what is believed of an upstream.
type Belief uint8

// The beliefs of an upstream.
const (
	// Usable means that it may be sent new work.
	Usable Belief = iota + 1
	// Left means that it is leaving or gone. Version is the revision of its row.
	Left
	// Silent means that it has work and sends nothing. Version is for how long,
	// in milliseconds.
	Silent
)

// CallerGone reports that the caller hung up or reads too slowly.
type CallerGone struct{ ID message.RequestID }

// UpstreamAnswered is one part of an answer from the upstream.
type UpstreamAnswered struct {
	ID     message.RequestID
	Data   []byte
	Status int
	Header []message.Header
}

// UpstreamEnded closes a run. Crashed means that the upstream's connection
// broke; NotStarted that the hand-over never took place.
type UpstreamEnded struct {
	ID         message.RequestID
	Outcome    message.Outcome
	Reason     message.Reason
	Crashed    bool
	NotStarted bool
}

// UpstreamChecked is the result of a health probe of the upstream.
type UpstreamChecked struct{ Up bool }

// Send asks the shell to write a message on a link.
type Send struct {
	Peer    string
	Link    uint64
	Message message.Message
}

// Dial asks for a new connection to a peer.
type Dial struct {
	Peer    string
	Address string
	Link    uint64
}

// Hangup asks the shell to close a link.
type Hangup struct {
	Peer string
	Link uint64
}

// Deliver gives one part of an answer to the caller, in order and once. A part
// with Index 0 restarts the answer of a request that is not streamed.
type Deliver struct {
	ID    message.RequestID
	Chunk message.Chunk
}

// Finish is the final word to the caller.
type Finish struct {
	ID         message.RequestID
	Outcome    message.Outcome
	Reason     message.Reason
	RetryAfter time.Duration
	Upstream   string
	Attempts   int
	Wasted     int
	// View is what an entry without sidecars last believed of the upstream that
	// it would choose.
	View View
}

// Start hands a request over to the upstream, unless the shell's clock is past
// NotAfter: then it must report UpstreamEnded with NotStarted.
type Start struct {
	ID         message.RequestID
	Payload    message.Payload
	ResumeFrom int
	Tier       int
	NotAfter   time.Duration
}

// Stop cancels a run.
type Stop struct{ ID message.RequestID }

// DocumentAccepted reports the class document that is now in force.
type DocumentAccepted struct{ Document document.Document }

// DocumentRejected reports a faulty document; the last accepted one stays.
type DocumentRejected struct{ Err error }

// WatchSet says whether this process is to watch the configuration service
// closely or to read it seldom.
type WatchSet struct{ Watching bool }

// Ready reports that the core serves from now on.
type Ready struct{}

// Drained reports that nothing is left in progress.
type Drained struct{}

func (LinkOpened) input()          {}
func (LinkClosed) input()          {}
func (Received) input()            {}
func (DocumentRead) input()        {}
func (DocumentUnavailable) input() {}
func (MembersRead) input()         {}
func (DrainBegun) input()          {}
func (Submitted) input()           {}
func (CallerGone) input()          {}
func (UpstreamAnswered) input()    {}
func (UpstreamEnded) input()       {}
func (UpstreamChecked) input()     {}
func (UpstreamListed) input()      {}
func (UpstreamGone) input()        {}
func (UpstreamsRead) input()       {}
func (StoreLost) input()           {}
func (StoreRegained) input()       {}
func (PeerFound) input()           {}
func (AttemptAnswered) input()     {}
func (AttemptEnded) input()        {}
func (AttemptProgressed) input()   {}

func (Send) output()             {}
func (Dial) output()             {}
func (Hangup) output()           {}
func (Deliver) output()          {}
func (Finish) output()           {}
func (Start) output()            {}
func (Stop) output()             {}
func (DocumentAccepted) output() {}
func (DocumentRejected) output() {}
func (Ready) output()            {}
func (WatchSet) output()         {}
func (Drained) output()          {}
func (Attempt) output()          {}
func (Believed) output()         {}

// PeerSummary is an entry's view of one sidecar, for operators.
type PeerSummary struct {
	Name          string        `json:"name"`
	Domain        string        `json:"domain"`
	State         string        `json:"state"`
	ConfigVersion uint64        `json:"config-version"`
	Limit         int           `json:"limit"`
	Running       int           `json:"running"`
	Queued        int           `json:"queued"`
	HeardAgo      time.Duration `json:"heard-ago"`
}
