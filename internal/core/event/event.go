// Package event defines the inputs and outputs of the cores.
//
// A core is a deterministic state machine without I/O: it handles inputs and
// emits outputs. A shell is the process around it, with sockets and clocks.
// Cores and shells share nothing but these types, so a core runs behind sockets
// as well as in a test in virtual time.
package event

import (
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/wire/message"
)

// Input is an event that a core handles in a step.
type Input interface{ input() }

// Output is an action that a core requests from its shell, or a report to it.
type Output interface{ output() }

// LinkOpened reports an authenticated connection to a peer. Each new connection
// of a peer has a higher Link number. Boot is the peer's incarnation, the random
// number drawn at its process start. At an entry, Peer is a sidecar's name or, for a
// link to another entry, the mesh's key of the link. At a sidecar, it is the entry's
// name and incarnation, so that a restarted entry is another peer.
type LinkOpened struct {
	Peer string
	Link uint64
	Boot uint64
}

// LinkClosed reports that a connection ended or that a dial failed. TimedOut is set if the
// peer sent nothing: it may be paused, whereas one that refuses a dial is gone.
type LinkClosed struct {
	Peer     string
	Link     uint64
	TimedOut bool
}

// Received is a message from a peer on the given link.
type Received struct {
	Peer    string
	Link    uint64
	Message message.Message
}

// DocumentRead is a class document from the configuration service, not yet
// parsed or validated.
type DocumentRead struct{ Raw []byte }

// DocumentUnavailable reports that the configuration service did not respond.
type DocumentUnavailable struct{}

// Member is one VM of the published list. Role is "entry" or "sidecar", Domain the
// VM's failure domain.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Role    string `json:"role"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving"`
}

// MembersRead is the published list of VMs, which may be out of date.
type MembersRead struct{ Members []Member }

// DrainStarted makes the core finish the work in flight and then emit Drained. With
// sidecars, entries and sidecars refuse new requests meanwhile; an entry without
// sidecars still serves them.
type DrainStarted struct {
	// ExitIn is the time left until the process exits, 0 if it waits for all work.
	ExitIn time.Duration
	// ReleasedIn is the time left until the load balancer sends no more requests, if another
	// process can take them.
	ReleasedIn time.Duration
}

// Submitted hands a caller's request to the entry's core.
type Submitted struct{ Request Request }

// Request is a caller's request with its account and class resolved. Fingerprint
// is a hash that identifies the request in crash suspicions. Key is zero for a
// request without an idempotency key, and KeyCreatedAt for a key without a
// creation time. Entries that reach upstreams through sidecars set Payload and the
// key's fields, entries without sidecars Tier, Timeout and Prompt.
type Request struct {
	ID           message.RequestID
	Account      string
	Class        document.Class
	Payload      message.Payload
	Fingerprint  uint64
	Key          message.Digest
	KeyCreatedAt time.Time
	BodyDigest   message.Digest
	// Tier is the account's tier if it has one, else the class's.
	Tier int
	// Timeout is the caller's timeout, counted from the arrival; 0 means none.
	Timeout time.Duration
	Prompt  Prompt
	// Stream identifies the stream across the caller's attempts: it is a hash of the ID of
	// the attempt that brought its first event, 0 if that is unknown. TakenUp is set if the caller has events of it.
	Stream  uint64
	TakenUp bool
}

// CallerDisconnected reports that the caller closed its connection or reads its
// response too slowly.
type CallerDisconnected struct{ ID message.RequestID }

// ResponseChunk is one chunk of the upstream's response. Status and Header are
// set in the first.
type ResponseChunk struct {
	ID     message.RequestID
	Data   []byte
	Status int
	Header []message.Header
}

// RunEnded reports the end of a run. Crashed means that the connection to the
// upstream broke, NotStarted that the request was never sent to it.
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

// Dial asks the shell to open a connection to a peer. The shell reports
// LinkOpened or LinkClosed with the same Link.
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

// Deliver asks the shell to pass one chunk of the response to the caller. Each
// chunk is delivered in order and once; a chunk with Index 0 restarts the
// response of a request that is not streamed.
type Deliver struct {
	ID    message.RequestID
	Chunk message.Chunk
}

// Finish is the final outcome of a request. RetryAfter is the delay to suggest to
// the caller, 0 for none. Upstream is the upstream of the last attempt, empty if that
// attempt was not sent to one. Attempts is the number of attempts, at an entry with
// sidecars including one that was not sent. WastedTokens counts the tokens of attempts
// that failed; each response chunk counts as one token.
type Finish struct {
	ID           message.RequestID
	Outcome      message.Outcome
	Reason       message.Reason
	RetryAfter   time.Duration
	Upstream     string
	Attempts     int
	WastedTokens int
	// Load is, at an entry without sidecars, the load of the upstream that it
	// chose or would have chosen.
	Load LoadSnapshot
}

// StartRun asks the shell to send a request to the upstream. If the shell's clock
// is past NotAfter, an uptime, it must not send it, and reports RunEnded with
// NotStarted. ResumeFrom is the number of data chunks that the caller already has and
// that a resumed stream skips; 0 starts the response from the beginning.
type StartRun struct {
	ID         message.RequestID
	Payload    message.Payload
	ResumeFrom int
	Tier       int
	NotAfter   time.Duration
}

// StopRun asks the shell to cancel a run. Without sidecars Number is that of the attempt:
// one that has ended meanwhile must not stop the next.
type StopRun struct {
	ID     message.RequestID
	Number int
}

// DocumentAccepted reports the class document that is now active.
type DocumentAccepted struct{ Document document.Document }

// DocumentRejected reports an invalid class document. The last accepted document
// stays active.
type DocumentRejected struct{ Err error }

// SetWatch asks the shell to watch the configuration service, or to poll it at a
// long interval.
type SetWatch struct{ Watching bool }

// Ready reports that the core accepts requests from now on.
type Ready struct{}

// Drained reports that a draining core has no work left in flight.
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

// PeerSummary is one sidecar's state as its entry sees it, for operators. Limit is 0
// while the upstream is down. HeardAgo is the time since the last message; JSON has it
// in nanoseconds.
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
