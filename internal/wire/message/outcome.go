package message

import "fmt"

// Outcome is the final outcome of a request as reported to its caller.
type Outcome uint8

// The outcomes of a request.
const (
	// Complete means that the whole response was delivered.
	Complete Outcome = iota + 1
	// NotRun means that the request is guaranteed not to have run.
	NotRun
	// Unknown means that the request may have run; it will not be run again.
	Unknown
	// Failed means that the upstream ran the request and responded with an error.
	Failed
	// Incomplete means that the response was truncated.
	Incomplete
)

var outcomeNames = [...]string{"", "complete", "not-run", "unknown", "failed", "incomplete"}

// String returns the kebab-case name used in responses and logs.
func (outcome Outcome) String() string {
	if int(outcome) < len(outcomeNames) {
		return outcomeNames[outcome]
	}
	return fmt.Sprintf("outcome-%d", uint8(outcome))
}

// Reason is why a request was refused or ended early.
type Reason uint8

// The reasons for a refusal or an early end.
const (
	// NoReason is the zero value: the request was not refused and did not end early.
	NoReason Reason = iota
	// QueueFull means that the queue was at its capacity, or that an upstream without a
	// sidecar declined the request.
	QueueFull
	// Withdrawn means that the entry cancelled the reservation before the request ran.
	Withdrawn
	// LeaseExpired means that a claim, grant or push was older than its lease.
	LeaseExpired
	// DeadlinePassed means that the request took longer than its class or caller
	// allows.
	DeadlinePassed
	// Draining means that the process is shutting down or its upstream is leaving.
	Draining
	// NoUpstream means that no upstream that serves the request is reachable, or none
	// besides those already tried.
	NoUpstream
	// UpstreamDown means that the upstream is down or truncated the response.
	UpstreamDown
	// KeyConflict means that the idempotency key was used with another method, path or
	// body.
	KeyConflict
	// KeyUnverifiable means that no process can verify whether the idempotency key
	// ran before.
	KeyUnverifiable
	// KeyTableFull means that the idempotency table is at its capacity.
	KeyTableFull
	// NotKeyOwner means that another upstream is the owner of the idempotency key.
	NotKeyOwner
	// Suspect means that the request is suspected of crashing upstreams.
	Suspect
	// NotReady means that the process has no configuration yet.
	NotReady
	// Cancelled means that the caller disconnected.
	Cancelled
	// Lost means that the link between entry and sidecar was lost while the request was
	// at the sidecar, or that the sidecar has no record of the request.
	Lost
	// Gap means that part of the response is no longer in the replay buffer, or that the
	// response to an earlier request with the same key is no longer stored.
	Gap
	// Overload means that the request was shed because it would miss its class's latency
	// target or its deadline.
	Overload
	// NoBuild means that the build of the upstream that began the stream is not known, or
	// that no usable upstream has it.
	NoBuild
	// Evacuated means that all upstreams that serve the request are in evacuated domains.
	Evacuated
	// TooLarge means that the process has no memory for more of the response.
	TooLarge
	// UploadCutOff means that the upstream broke the connection while the request was still
	// being sent, so that the response may lack its end.
	UploadCutOff
	// MalformedResponse means that the upstream sent something that is no response.
	MalformedResponse
)

var reasonNames = [...]string{
	"", "queue-full", "withdrawn", "lease-expired", "deadline-passed", "draining", "no-upstream", "upstream-down",
	"key-conflict", "key-unprovable", "key-table-full", "wrong-home", "suspect", "not-ready", "cancelled", "lost", "gap",
	"overload", "no-build", "evacuated", "too-large", "upload-cut-off",
	"malformed-response",
}

// String returns the kebab-case name used in responses and logs.
func (reason Reason) String() string {
	if int(reason) < len(reasonNames) {
		return reasonNames[reason]
	}
	return fmt.Sprintf("reason-%d", uint8(reason))
}
