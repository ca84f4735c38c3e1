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

// DrainStarted asks the core to take no new work and to end what it has.
type DrainStarted struct{}

// Submitted is a caller's request.
type Submitted struct{ Request Request }

// Request is a caller's request as the entry resolved it.
type Request struct {
	ID           message.RequestID
	Account      string
	Class        document.Class
	Payload      message.Payload
	Fingerprint  uint64
	Key          message.Digest
	KeyCreatedAt time.Time
	BodyDigest   message.Digest
	// Tier is the tier that the request has after its account and class.
	Tier int
	// Timeout is how long the caller waits from the arrival on; 0 is unbounded.
	Timeout time.Duration
	Prompt  Prompt
}

// CallerDisconnected reports that the caller hung up or reads too slowly.
type CallerDisconnected struct{ ID message.RequestID }

// ResponseChunk is one part of an answer from the upstream.
type ResponseChunk struct {
	ID     message.RequestID
	Data   []byte
	Status int
	Header []message.Header
}

// RunEnded closes a run. Crashed means that the upstream's connection
// broke; NotStarted that the hand-over never took place.
type RunEnded struct {
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

// CloseLink asks the shell to close a link.
type CloseLink struct {
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
	ID           message.RequestID
	Outcome      message.Outcome
	Reason       message.Reason
	RetryAfter   time.Duration
	Upstream     string
	Attempts     int
	WastedTokens int
	// Load is what an entry without sidecars last believed of the upstream that
	// it would choose.
	Load LoadSnapshot
}

// StartRun hands a request over to the upstream, unless the shell's clock is past
// NotAfter: then it must report UpstreamEnded with NotStarted.
type StartRun struct {
	ID         message.RequestID
	Payload    message.Payload
	ResumeFrom int
	Tier       int
	NotAfter   time.Duration
}

// StopRun cancels a run.
type StopRun struct{ ID message.RequestID }

// DocumentAccepted reports the class document that is now in force.
type DocumentAccepted struct{ Document document.Document }

// DocumentRejected reports a faulty document; the last accepted one stays.
type DocumentRejected struct{ Err error }

// SetWatch says whether this process is to watch the configuration service
// closely or to read it seldom.
type SetWatch struct{ Watching bool }

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
func (DrainStarted) input()        {}
func (Submitted) input()           {}
func (CallerDisconnected) input()  {}
func (ResponseChunk) input()       {}
func (RunEnded) input()            {}
func (UpstreamChecked) input()     {}

func (Send) output()             {}
func (Dial) output()             {}
func (CloseLink) output()        {}
func (Deliver) output()          {}
func (Finish) output()           {}
func (StartRun) output()         {}
func (StopRun) output()          {}
func (DocumentAccepted) output() {}
func (DocumentRejected) output() {}
func (Ready) output()            {}
func (SetWatch) output()         {}
func (Drained) output()          {}

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
