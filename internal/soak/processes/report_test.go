package processes

import (
	"bufio"
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// report prints what happened and fails the test for each violation.
func report(t *testing.T, seed uint64, of profile, fleet *fleet) {
	t.Helper()
	found := fleet.journal.check()
	t.Logf("seed %d, profile %q: %s", seed, of.name, fleet.journal.summary(found))
	if *showAllowed {
		reportAllowed(t, fleet, found)
	}
	shown := make(map[rule]int)
	for _, violation := range found.violations {
		shown[violation.rule]++
		if shown[violation.rule] <= maxHistories {
			t.Errorf("seed %d: %s", seed, fleet.journal.history(violation))
		} else {
			t.Errorf("seed %d: %s: %s", seed, violation.rule, violation.subject())
		}
	}
}

// reportAllowed prints what no rule forbids but a reader may want to trace.
func reportAllowed(t *testing.T, fleet *fleet, found verdict) {
	t.Helper()
	for _, made := range found.failures {
		t.Logf("allowed: %s", fleet.journal.history(violation{rule: "FAILED", detail: "failure without a cause", call: made}))
	}
	for _, made := range found.excused[wasFrozen] {
		t.Logf("allowed: %s", fleet.journal.history(violation{rule: lost, detail: string(wasFrozen), call: made}))
	}
}

// maxHistories is the number of violations of a rule that are told in full.
const maxHistories = 4

// subject names what broke the rule.
func (violation violation) subject() string {
	switch {
	case violation.call != nil:
		return violation.call.plan.id + " at " + violation.call.process.name() + " " + violation.detail
	case violation.process != nil:
		return violation.process.name() + " " + violation.detail
	}
	return violation.detail
}

// summary counts calls by how they ended.
func (journal *journal) summary(found verdict) string {
	endings, statuses, rules := map[string]int{}, map[string]int{}, map[string]int{}
	for _, made := range journal.calls {
		endings[string(made.ending)]++
		statuses[fmt.Sprint(made.status)]++
	}
	for _, violation := range found.violations {
		rules[string(violation.rule)]++
	}
	excused := map[string]int{}
	for why, calls := range found.excused {
		excused[string(why)] = len(calls)
	}
	stops := 0
	for _, process := range journal.processes {
		if !process.terminated.IsZero() {
			stops++
		}
	}
	return fmt.Sprintf("%d calls (%s; statuses %s), %d planned stops, %d declined; lost but excused: %s; failures without cause %d; violations: %s",
		len(journal.calls), counts(endings), counts(statuses), stops, journal.declined, counts(excused), len(found.failures), counts(rules))
}

func counts(of map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(of)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, of[name]))
	}
	return cmp.Or(strings.Join(parts, ", "), "none")
}

// history tells what led to a violation.
func (journal *journal) history(of violation) string {
	if of.call == nil && of.process == nil {
		return fmt.Sprintf("%s: %s", of.rule, of.detail)
	}
	if of.call == nil {
		return fmt.Sprintf("%s: %s %s\n%s", of.rule, of.process.name(), of.detail, journal.processLine(of.process))
	}
	made := of.call
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s: %s\n", of.rule, made.plan.id, of.detail)
	fmt.Fprintf(&text, "  call   /%s at %s (%s) deadline %s body %d chunked %t over %s, began %+.3f sent %+.3f ended %+.3f: %s, status %d, %d bytes, error %v\n",
		made.plan.route, made.process.name(), made.connection, made.plan.deadline, made.plan.body, made.plan.chunked, made.plan.bodyTime,
		journal.since(made.began), journal.since(made.sent), journal.since(made.ended), made.ending, made.status, len(made.body), made.err)
	for _, run := range journal.runs[made.plan.id] {
		fmt.Fprintf(&text, "  run    at %s began %+.3f ended %+.3f, events %d to %d of %d: %s\n",
			run.upstream, journal.since(run.began), journal.since(run.ended), run.first, run.last, made.plan.events, run.outcome)
	}
	text.WriteString(journal.processLine(made.process))
	for _, note := range journal.notes {
		if note.at.After(made.began.Add(-disruptionSpan)) && note.at.Before(made.ended) {
			fmt.Fprintf(&text, "  fault  %+.3f %s\n", journal.since(note.at), note.text)
		}
	}
	upstreams := ""
	for _, run := range journal.runs[made.plan.id] {
		upstreams += " " + run.upstream + " "
	}
	for _, line := range made.process.linesFor(made.plan.id, upstreams, made.began, made.ended) {
		fmt.Fprintf(&text, "  log    %s\n", line)
	}
	return text.String()
}

func (journal *journal) processLine(of *process) string {
	return fmt.Sprintf("  process %s (test starts at %s): started %+.3f, SIGTERM %+.3f, SIGKILL %+.3f, exit %+.3f %v, frozen %d times\n",
		of.name(), journal.start.UTC().Format("15:04:05.000"), journal.since(of.started), journal.since(of.terminated), journal.since(of.killed),
		journal.since(of.ended), of.err, len(of.frozen))
}

// tellingEvents are the log events of a process that may explain a lost answer.
var tellingEvents = []string{"event=shutdown-cut-off", "event=draining", "event=drained", "event=stopped", "event=upstream-silent", "panic", "DATA RACE"}

const maxLogLines = 10

// linesFor returns the log lines that name the request, and telling ones of the time. Of the
// silent upstreams these are the lines on the given ones.
func (process *process) linesFor(id, upstreams string, from, until time.Time) []string {
	file, err := os.Open(process.log)
	if err != nil {
		return nil
	}
	defer file.Close()
	var found []string
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() && len(found) < maxLogLines {
		line := scanner.Text()
		fields := strings.Fields(line)
		if slices.Contains(fields, "request="+id) || isTelling(line, fields, upstreams) && within(line, from, until.Add(100*time.Millisecond)) {
			found = append(found, shorten(fields))
		}
	}
	return found
}

func isTelling(line string, fields []string, upstreams string) bool {
	silent := slices.IndexFunc(fields, func(field string) bool { return strings.HasPrefix(field, "name=") })
	if strings.Contains(line, "event=upstream-silent") && silent >= 0 {
		return strings.Contains(upstreams, " "+strings.TrimPrefix(fields[silent], "name=")+" ")
	}
	return slices.ContainsFunc(tellingEvents, func(event string) bool { return strings.Contains(line, event) })
}

// noise are the fields that say nothing about a lost answer.
var noise = []string{
	"level=", "account=", "fingerprint=", "parts=", "process=", "reading=", "running=", "unread=", "apart=", "entries-heard=", "waiting=", "tier=",
}

// shorten leaves out the noise and the date.
func shorten(fields []string) string {
	kept := slices.DeleteFunc(slices.Clone(fields), func(field string) bool {
		return slices.ContainsFunc(noise, func(name string) bool { return strings.HasPrefix(field, name) })
	})
	if len(kept) > 0 {
		_, clock, found := strings.Cut(kept[0], "T")
		if found {
			kept[0] = strings.TrimSuffix(clock, "Z\"")
		}
	}
	return strings.Join(kept, " ")
}

// within reports whether the log line is of the time, or has none.
func within(line string, from, until time.Time) bool {
	parts := strings.SplitN(line, `"`, 3)
	if len(parts) < 3 || parts[0] != "time=" {
		return true
	}
	at, err := time.Parse(time.RFC3339Nano, parts[1])
	return err != nil || at.After(from) && at.Before(until)
}
