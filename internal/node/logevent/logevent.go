// Package logevent is the catalogue of the log lines of an entry that reaches
// upstreams without sidecars.
package logevent

import "fmt"

// Name is the value of the field event in a log line.
type Name string

// The events, by what they are about.
const (
	Started           Name = "started"
	ServerFailed      Name = "server-failed"
	Ready             Name = "ready"
	Reloaded          Name = "reloaded"
	ReloadFailed      Name = "reload-failed"
	Draining          Name = "draining"
	Drained           Name = "drained"
	ShutdownCutOff    Name = "shutdown-cut-off"
	Stopped           Name = "stopped"
	ConfigAccepted    Name = "config-accepted"
	ConfigRejected    Name = "config-rejected"
	StoreLost         Name = "store-lost"
	StoreRegained     Name = "store-regained"
	StoreHistoryGone  Name = "store-history-gone"
	StoreItemRejected Name = "store-item-rejected"
	UpstreamUsable    Name = "upstream-usable"
	UpstreamLeft      Name = "upstream-left"
	UpstreamSilent    Name = "upstream-silent"
	CacheReported     Name = "kept-read"
	RequestSuspected  Name = "request-suspected"
	RequestCleared    Name = "request-cleared"
	LinkOpened        Name = "link-opened"
	LinkClosed        Name = "link-closed"
	LinkRefused       Name = "link-refused"
	DialFailed        Name = "dial-failed"
	RequestRefused    Name = "request-refused"
	FieldIgnored      Name = "request-field-ignored"
	AttemptFailed     Name = "attempt-failed"
	AttemptEnded      Name = "attempt-ended"
	RequestFinished   Name = "request-finished"
	LinesLeftOut      Name = "lines-left-out"
	LinesDropped      Name = "log-lines-dropped"
	Span              Name = "span"
)

// Entry describes one event for operators.
type Entry struct {
	Name Name
	// When says when the line is written.
	When string
	// Fields names the fields beside time, level, event and process.
	Fields string
}

// Catalogue lists every event, in the order in which a process meets them.
var Catalogue = []Entry{
	{Started, "the process listens", "domain, listen, peers"},
	{ServerFailed, "a listener ended by itself; nobody is served at its address any more", "error"},
	{Ready, "it has a configuration and a list of upstreams, and takes callers", ""},
	{Reloaded, "SIGHUP, and the settings file was read", "peers"},
	{ReloadFailed, "SIGHUP, and the settings file is faulty; nothing changed", "error"},
	{Draining, "SIGTERM", "in-progress"},
	{Drained, "nothing is in progress any more", ""},
	{ShutdownCutOff, "the grace ended with requests in progress", "error, in-progress"},
	{Stopped, "the process ends", ""},
	{ConfigAccepted, "a newer configuration is in force", "version, classes, accounts"},
	{ConfigRejected, "a configuration is faulty; the last one stays in force", "error"},
	{StoreLost, "the store gave no answer; further failures in a row are not logged", "prefix, error"},
	{StoreRegained, "the store answers again", "prefix, failures"},
	{StoreHistoryGone, "the store forgot what changed; all is read again", "prefix, error"},
	{StoreItemRejected, "an item of the store cannot be read", "key, revision, error"},
	{UpstreamUsable, "an upstream may be sent work; source is whose word it was, version that of its row", "name, source, version"},
	{UpstreamLeft, "an upstream may be sent nothing more", "name, source, version"},
	{UpstreamSilent, "an upstream has work and sends nothing; version is for how long, in ms", "name, source, version"},
	{CacheReported, "an engine was asked which prompt parts it keeps, since no entry could tell", "name, parts, error"},
	{
		RequestSuspected, "an upstream broke off while it ran a request; name is the request's fingerprint, version counts such upstreams",
		"name, source, version",
	},
	{RequestCleared, "the upstream lives, or the request ended well after all", "name, source, version"},
	{LinkOpened, "a connection to another entry stands", "peer"},
	{LinkClosed, "a connection to another entry ended", "peer, error"},
	{LinkRefused, "a process without the shared secret or of another version called", "error"},
	{DialFailed, "another entry cannot be reached", "peer, error"},
	{RequestRefused, "a request went nowhere", "request, code, status, version, detail"},
	{FieldIgnored, "a field that helps to place a request cannot be read; the request goes on without it", "request, detail"},
	{AttemptFailed, "an attempt ended without an answer", "request, attempt, upstream, fingerprint, cause"},
	{
		AttemptEnded, "an attempt did not end a request, or ended one after others",
		"request, attempt, upstream, result, status, after-ms, running, reading, unread, apart, entries-heard, waiting",
	},
	{
		RequestFinished, "a request has its final answer",
		"request, class, account, tier, outcome, reason, status, upstream, attempts, events, first-ms, took-ms, version, " +
			"retry-after-ms, running, reading, unread, apart, entries-heard, waiting",
	},
	{LinesLeftOut, "lines of requests that went well were left out in the last second", "count"},
	{LinesDropped, "nobody read the log fast enough", "count"},
	{Span, "a traced request (name entry) or one of its attempts (name attempt) ended", "name, trace, span, parent, took, request, class, upstream, result"},
}

// Row returns the event as a row of the table in docs/OPERATIONS.md.
func (entry Entry) Row() string {
	return fmt.Sprintf("| %s | %s | %s |", entry.Name, entry.When, entry.Fields)
}
