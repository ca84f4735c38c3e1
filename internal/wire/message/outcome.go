package message

import "fmt"

// Outcome is the typed end of a request, as callers see it.
type Outcome uint8

// The outcomes of a request.
const (
	// Complete means that the whole answer was delivered.
	Complete Outcome = iota + 1
	// NotRun means that the request was not run and will not be.
	NotRun
	// Unknown means that the request may have run and will not be run again.
	Unknown
	// Failed means that the request ran and the upstream refused it.
	Failed
	// Incomplete means that the answer was cut off.
	Incomplete
)

var outcomeNames = [...]string{"", "complete", "not-run", "unknown", "failed", "incomplete"}

// String returns the kebab-case name that callers and logs see.
func (outcome Outcome) String() string {
	if int(outcome) < len(outcomeNames) {
		return outcomeNames[outcome]
	}
	return fmt.Sprintf("outcome-%d", uint8(outcome))
}

// Reason says why a request was refused or ended early.
type Reason uint8

// The reasons for a refusal or an early end.
const (
	// NoReason is the zero value: nothing to explain.
	NoReason Reason = iota
	// QueueFull means that no queue had room.
	QueueFull
	// Withdrawn means that the entry took the request back before it ran.
	Withdrawn
	// LeaseExpired means that a grant or push was older than its lease.
	LeaseExpired
	// DeadlinePassed means that the request waited longer than its class allows.
	DeadlinePassed
	// Draining means that the process is shutting down or its upstream leaves.
	Draining
	// NoUpstream means that no upstream of the role is reachable.
	NoUpstream
	// UpstreamDown means that the upstream failed or cut the answer off.
	UpstreamDown
	// KeyConflict means that the key was used with another body.
	KeyConflict
	// KeyUnprovable means that nobody can tell whether the key ran before.
	KeyUnprovable
	// KeyTableFull means that no further keys can be remembered.
	KeyTableFull
	// WrongHome means that another upstream is the home of the key.
	WrongHome
	// Suspect means that the request crashed upstreams.
	Suspect
	// NotReady means that the process has no configuration yet.
	NotReady
	// Cancelled means that the caller hung up.
	Cancelled
	// Lost means that the connection was lost after the request was sent.
	Lost
	// Gap means that part of the answer is no longer kept.
	Gap
	// Overload means that the class would miss its target.
	Overload
)

var reasonNames = [...]string{
	"", "queue-full", "withdrawn", "lease-expired", "deadline-passed", "draining", "no-upstream", "upstream-down",
	"key-conflict", "key-unprovable", "key-table-full", "wrong-home", "suspect", "not-ready", "cancelled", "lost", "gap",
	"overload",
}

// String returns the kebab-case name that callers and logs see.
func (reason Reason) String() string {
	if int(reason) < len(reasonNames) {
		return reasonNames[reason]
	}
	return fmt.Sprintf("reason-%d", uint8(reason))
}
