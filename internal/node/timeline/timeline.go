// Package timeline describes what happened to one request, from the logs of entries for
// upstreams without sidecars.
package timeline

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"endivepost/internal/node/logevent"
)

// Line is one parsed log line. At is its time field; Fields holds all fields by name.
type Line struct {
	At     time.Time
	Fields map[string]string
}

// maxLineBytes is the length from which a log line makes Read fail.
const maxLineBytes = 1 << 20

// Read returns the lines of a log that are about the request, and those on state changes of
// any process, which may explain what happened to it. Lines without a valid time field are
// skipped. The error is that of reading, or bufio.ErrTooLong.
func Read(log io.Reader, request string) (lines []Line, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read log: %w", err)
		}
	}()
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if ok && (line.Fields["request"] == request || line.isStateChange()) {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// stateEvents are the events that may explain what happened to a request although they do
// not contain its ID.
var stateEvents = []logevent.Name{
	logevent.ConfigAccepted, logevent.ConfigRejected, logevent.StoreLost, logevent.StoreRegained, logevent.UpstreamLeft,
	logevent.UpstreamAnnouncedLeaving, logevent.UpstreamBackoff, logevent.UpstreamBackoffEnded, logevent.UpstreamSilent,
	logevent.UpstreamUnreachable, logevent.Draining, logevent.Started, logevent.Ready, logevent.StoreHistoryGone,
	logevent.CrashCauseFound, logevent.CrashCauseCleared,
}

func (line Line) isStateChange() bool {
	return slices.Contains(stateEvents, logevent.Name(line.Fields["event"]))
}

// parse parses key=value pairs; a value may be quoted. It skips text before the first pair,
// such as the prefix of a log collector. It returns false for a line without a valid time.
func parse(text string) (Line, bool) {
	fields := make(map[string]string)
	for text != "" {
		name, rest, ok := strings.Cut(text, "=")
		if !ok {
			break
		}
		if space := strings.LastIndexByte(name, ' '); space >= 0 {
			name = name[space+1:]
		}
		fields[name], text = cutValue(rest)
	}
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	return Line{At: at, Fields: fields}, err == nil
}

// cutValue returns the value at the start of the text, without its quotes, and the rest.
func cutValue(text string) (string, string) {
	if !strings.HasPrefix(text, `"`) {
		word, rest, _ := strings.Cut(text, " ")
		return word, rest
	}
	for end := 1; end < len(text); end++ {
		if text[end] == '"' && text[end-1] != '\\' {
			return text[1:end], text[end+1:]
		}
	}
	return text, ""
}

const (
	// contextBefore is how far before a request's first line the state changes of its
	// process are included. They may explain what happened to the request.
	contextBefore = 3 * time.Second
	clockFormat   = "15:04:05.000"
)

// Describe returns the timeline of the request, one line of text per log line, in order of
// time. It includes the state changes of the process that logged the request's first line.
// It is empty if no line is about the request. It sorts lines in place.
func Describe(lines []Line, request string) []string {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
	var requestLines []Line
	for _, line := range lines {
		if line.Fields["request"] == request {
			requestLines = append(requestLines, line)
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	process := requestLines[0].Fields["process"]
	from, to := requestLines[0].At.Add(-contextBefore), requestLines[len(requestLines)-1].At
	var described []string
	for _, line := range lines {
		matches := line.Fields["request"] == request
		isContext := line.Fields["process"] == process && line.At.After(from) && !line.At.After(to)
		if matches || isContext {
			described = append(described, fmt.Sprintf("%s %s: %s", line.At.Format(clockFormat), line.Fields["process"], line.sentence()))
		}
	}
	return described
}

// sentence describes a log line in words.
func (line Line) sentence() string {
	fields := line.Fields
	switch logevent.Name(fields["event"]) {
	case logevent.RequestRefused:
		return fmt.Sprintf("refused with status %s (%s: %s), configuration %s", fields["status"], fields["code"], fields["detail"], fields["version"])
	case logevent.AttemptFailed:
		return fmt.Sprintf("attempt %s at %s failed: %s", fields["attempt"], fields["upstream"], fields["cause"])
	case logevent.AttemptEnded:
		return fmt.Sprintf(
			"attempt %s at %s ended after %s ms: %s, status %s; it had %s requests running and %s prefill tokens, by the reports of %s other entries",
			fields["attempt"], fields["upstream"], fields["after-ms"], fields["result"], fields["status"], fields["running"], fields["reading"],
			fields["entries-heard"])
	case logevent.RequestFinished:
		return line.finishedSentence()
	}
	return fields["event"] + line.otherFields()
}

func (line Line) finishedSentence() string {
	fields := line.Fields
	text := fmt.Sprintf("%s of account %s, tier %s, ended %s", fields["class"], fields["account"], fields["tier"], fields["outcome"])
	if fields["reason"] != "" {
		text += ", " + fields["reason"]
	}
	text += fmt.Sprintf(" with status %s after %s ms and %s attempts", fields["status"], fields["took-ms"], fields["attempts"])
	if fields["upstream"] != "" {
		text += ", the last at " + fields["upstream"]
	}
	if fields["attempts"] == "0" && fields["waiting"] != "0" {
		text += fmt.Sprintf("; %s prompt tokens were queued, the best upstream had %s requests running and %s prefill tokens, by the reports of %s other entries",
			fields["waiting"], fields["running"], fields["reading"], fields["entries-heard"])
	}
	if fields["retry-after-ms"] != "0" && fields["retry-after-ms"] != "" {
		text += fmt.Sprintf("; retry after %s ms", fields["retry-after-ms"])
	}
	return text + "; configuration " + fields["version"]
}

// otherFields returns the fields of a line, except those that every line has.
func (line Line) otherFields() string {
	var names []string
	for name := range line.Fields {
		if !slices.Contains([]string{"event", "time", "level", "process"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	text := ""
	for _, name := range names {
		text += " " + name + "=" + line.Fields[name]
	}
	return text
}
