package event

import (
	"time"

	"endivepost/internal/wire/message"
)

// Attempt asks the shell to send a request directly to an upstream. The shell
// reports AttemptEnded with the same Number.
type Attempt struct {
	ID       message.RequestID
	Number   int
	Upstream string
	Address  string
	Domain   string
	// Started is the start time of the upstream's process as published.
	Started int64
	Tier    int
	// Deadline is the request's deadline as uptime of the process.
	Deadline time.Duration
	// ChosenAt is the uptime at which the upstream was chosen.
	ChosenAt time.Duration
	// SendBy is the uptime up to which the request may be written, 0 without such a time. Later
	// the attempt is withdrawn.
	SendBy time.Duration
	// SameProcess is set if the request must not be written once the idle connections to the
	// upstream are found closed. The attempt then ends as Unconfirmed.
	SameProcess bool
	// Load is the load on which the choice was made, for the log.
	Load LoadSnapshot
}

// LoadSnapshot is the load of an upstream at the time when an entry chose it, as
// the sum of all entries' last reports.
type LoadSnapshot struct {
	// Running counts requests in flight.
	Running int
	// PrefillTokens counts prompt tokens sent to the engine and not processed yet.
	PrefillTokens int
	// UncachedTokens counts the tokens of this request's prompt that the engine has
	// not cached.
	UncachedTokens int
	// Dedicated is set if the engine is dedicated to latency-sensitive streams: other
	// requests go there only when the other engines are full.
	Dedicated bool
	// Peers is the number of other entries whose reports are included.
	Peers int
	// QueuedTokens counts the prompt tokens queued at this entry for lack of capacity.
	QueuedTokens int
}

// Fields returns the snapshot as fields of a log line. Their names differ from those
// of the struct: "reading" is PrefillTokens, "unread" UncachedTokens, "apart"
// Dedicated, "entries-heard" Peers and "waiting" QueuedTokens. Tools that read logs
// match them.
func (snapshot LoadSnapshot) Fields() map[string]any {
	return map[string]any{
		"running": snapshot.Running, "reading": snapshot.PrefillTokens, "unread": snapshot.UncachedTokens, "apart": snapshot.Dedicated,
		"entries-heard": snapshot.Peers, "waiting": snapshot.QueuedTokens,
	}
}

// AttemptFirstByte reports the first byte of the response to an attempt, or the
// first event of a stream.
type AttemptFirstByte struct {
	ID     message.RequestID
	Number int
}

// AttemptProgressed reports that more of the response has arrived. The shell may
// omit reports that follow each other closely.
type AttemptProgressed struct {
	ID     message.RequestID
	Number int
	// Events is the number of events since the first one or the last report.
	Events int
	// MedianGap is the median time between two of them, 0 if unknown.
	MedianGap time.Duration
}

// AttemptActive reports a sign of life of an attempt other than its first data and progress:
// bytes of a response that is no stream, or data that waits for a slow caller. Begun means
// that the caller is about to get a part of the response.
type AttemptActive struct {
	ID     message.RequestID
	Number int
	Begun  bool
}

// AttemptEnded reports how an attempt ended.
type AttemptEnded struct {
	ID     message.RequestID
	Number int
	Result AttemptResult
	// Delivered is set if part of the response was sent to the caller.
	Delivered bool
	// Status is the HTTP status code of the response, 0 without a response.
	Status int
	// NoBreak is set if the failure is no sign that the upstream's process has ended: opening a
	// connection took too long, or the upstream sent something invalid.
	NoBreak bool
	// Reason is why there is no complete response, if Result is Interrupted or Unusable.
	Reason message.Reason
}

// AttemptResult is how an attempt ended.
type AttemptResult uint8

// The results of an attempt.
const (
	// Completed means that the whole response was delivered.
	Completed AttemptResult = iota + 1
	// ConnectFailed means that no connection could be opened: nothing was sent.
	ConnectFailed
	// Declined means that the upstream reported that it did not run the request.
	Declined
	// Misdirected means that another upstream now has the address. It did not run
	// the request.
	Misdirected
	// UpstreamError means that the upstream responded with a server error. The shell
	// holds the response back until the core decides whether to retry.
	UpstreamError
	// Interrupted means that the response ended early: the request may have run.
	Interrupted
	// Stopped means that the core stopped the attempt: the request may have run.
	Stopped
	// TimedOut means that the deadline passed after sending: the request may have run.
	TimedOut
	// NotSent means that the deadline passed before anything was sent.
	NotSent
	// Abandoned means that the caller disconnected: the request may have run.
	Abandoned
	// Withdrawn means that the upstream was found not to take requests any more before
	// anything was sent.
	Withdrawn
	// Unusable means that the upstream sent something that is no answer to the request,
	// such as the response to an earlier one: the request may have run.
	Unusable
	// Unconfirmed means that the idle connections to the upstream were found closed before
	// anything was sent: it may have restarted.
	Unconfirmed
)

// attemptResultNames are the results in logs, in the order of the constants. Some
// differ from the constants' names: tools that read logs match the names here.
var attemptResultNames = [...]string{
	"", "whole", "unreached", "declined", "mistaken", "erred", "broken", "stopped", "expired", "withheld", "abandoned", "withdrawn", "unusable",
	"unconfirmed",
}

// String returns the kebab-case name used in logs.
func (result AttemptResult) String() string {
	if int(result) < len(attemptResultNames) {
		return attemptResultNames[result]
	}
	return "unknown"
}

func (Attempt) output()          {}
func (AttemptFirstByte) input()  {}
func (AttemptProgressed) input() {}
func (AttemptActive) input()     {}
func (AttemptEnded) input()      {}
