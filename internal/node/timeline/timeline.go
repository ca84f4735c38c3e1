// Package story tells what became of one request, from the logs of entries.
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

// Line is one log line, by its fields.
type Line struct {
	At     time.Time
	Fields map[string]string
}

// lineBytes bounds a log line.
const lineBytes = 1 << 20

// Read returns the lines of a log that are about the request, and those on what
// its process came to believe: they may be its cause. Lines in other formats are
// passed over.
func Read(log io.Reader, request string) (lines []Line, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read log: %w", err)
		}
	}()
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, lineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if ok && (line.Fields["request"] == request || line.isBelief()) {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// beliefs are the events that may explain a request without naming it.
var beliefs = []logevent.Name{
	logevent.ConfigAccepted, logevent.ConfigRejected, logevent.StoreLost, logevent.StoreRegained, logevent.UpstreamLeft,
	logevent.UpstreamSilent, logevent.Draining, logevent.Started, logevent.Ready, logevent.StoreHistoryGone,
}

func (line Line) isBelief() bool {
	return slices.Contains(beliefs, logevent.Name(line.Fields["event"]))
}

// parse reads key=value pairs; a value may be quoted. What stands before the
// first pair, such as the prefix of a log collector, is passed over.
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
		fields[name], text = value(rest)
	}
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	return Line{At: at, Fields: fields}, err == nil
}

func value(text string) (string, string) {
	if !strings.HasPrefix(text, `"`) {
		held, rest, _ := strings.Cut(text, " ")
		return held, rest
	}
	for end := 1; end < len(text); end++ {
		if text[end] == '"' && text[end-1] != '\\' {
			return text[1:end], text[end+1:]
		}
	}
	return text, ""
}

const (
	// beliefsBefore is how long before a request beliefs may explain it.
	beliefsBefore = 3 * time.Second
	clockFormat   = "15:04:05.000"
)

// Describe returns the story of the request in plain words, a line each, in order of
// time. It is empty if no line names the request.
func Describe(lines []Line, request string) []string {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
	var own []Line
	for _, line := range lines {
		if line.Fields["request"] == request {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return nil
	}
	process := own[0].Fields["process"]
	from, to := own[0].At.Add(-beliefsBefore), own[len(own)-1].At
	var told []string
	for _, line := range lines {
		mine := line.Fields["request"] == request
		near := line.Fields["process"] == process && line.At.After(from) && !line.At.After(to)
		if mine || near {
			told = append(told, fmt.Sprintf("%s %s: %s", line.At.Format(clockFormat), line.Fields["process"], line.words()))
		}
	}
	return told
}

// words says in a sentence what the line says in fields.
func (line Line) words() string {
	fields := line.Fields
	switch logevent.Name(fields["event"]) {
	case logevent.RequestRefused:
		return fmt.Sprintf("refused with %s (%s: %s) under configuration %s", fields["status"], fields["code"], fields["detail"], fields["version"])
	case logevent.AttemptFailed:
		return fmt.Sprintf("attempt %s at %s got no answer: %s", fields["attempt"], fields["upstream"], fields["cause"])
	case logevent.AttemptEnded:
		return fmt.Sprintf("attempt %s at %s ended after %s ms: %s, status %s; it had %s running and %s tokens to read, by %s other entries",
			fields["attempt"], fields["upstream"], fields["after-ms"], fields["result"], fields["status"], fields["running"], fields["reading"],
			fields["entries-heard"])
	case logevent.RequestFinished:
		return line.finishedWords()
	}
	return fields["event"] + line.rest()
}

func (line Line) finishedWords() string {
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
		text += fmt.Sprintf("; %s tokens waited, the best upstream had %s running and %s to read, by %s other entries",
			fields["waiting"], fields["running"], fields["reading"], fields["entries-heard"])
	}
	if fields["retry-after-ms"] != "0" && fields["retry-after-ms"] != "" {
		text += fmt.Sprintf("; told to come back after %s ms", fields["retry-after-ms"])
	}
	return text + "; configuration " + fields["version"]
}

// rest returns the fields that a line on a belief has beside its own name.
func (line Line) rest() string {
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
