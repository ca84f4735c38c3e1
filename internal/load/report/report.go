// Package report sums up what callers got under a load.
package report

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"endivepost/internal/load/scenario"
)

// Report gathers samples; it may be used by many goroutines.
type Report struct {
	mutex   sync.Mutex
	classes map[string]*class
}

// Sample is what one call got. Mixed means that the answer was complete but not
// the call's own whole answer.
type Sample struct {
	Flow             scenario.Flow
	Outcome          string
	TimeToFirstToken time.Duration
	TotalLatency     time.Duration
	Gaps             []time.Duration
	Tokens           int
	WrongContent     bool
	Retried          bool
}

// Row is the result of one class.
type Row struct {
	Class           string         `json:"class"`
	Calls           int            `json:"calls"`
	Met             int            `json:"met"`
	Goodput         int            `json:"goodput-tokens"`
	Tokens          int            `json:"tokens"`
	Outcomes        map[string]int `json:"outcomes"`
	WrongContent    int            `json:"mixed-up"`
	FirstP50        float64        `json:"first-p50-ms"`
	FirstP95        float64        `json:"first-p95-ms"`
	FirstP99        float64        `json:"first-p99-ms"`
	GapP95          float64        `json:"gap-p95-ms"`
	WholeP95        float64        `json:"whole-p95-ms"`
	RefusalP99      float64        `json:"refusal-p99-ms"`
	Retried         int            `json:"returned"`
	RetriedComplete int            `json:"returned-and-complete"`
}

// Summary is the whole result.
type Summary struct {
	Scenario        string  `json:"scenario"`
	Seed            uint64  `json:"seed"`
	Rows            []Row   `json:"classes"`
	TokensGenerated int     `json:"tokens-made"`
	Wasted          float64 `json:"wasted-share"`
}

type class struct {
	row      Row
	first    *hdrhistogram.Histogram
	gap      *hdrhistogram.Histogram
	whole    *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
}

const (
	longestMicros = 10 * 60 * 1000 * 1000
	precision     = 3
	complete      = "complete"
	slowShare     = 0.05
	percent       = 100
)

// New returns an empty report.
func New() *Report {
	return &Report{classes: make(map[string]*class)}
}

// Add takes one sample in.
func (report *Report) Add(sample Sample) {
	report.mutex.Lock()
	defer report.mutex.Unlock()
	found := report.class(sample.Flow.Class)
	found.row.Calls++
	found.row.Outcomes[sample.Outcome]++
	if sample.Retried {
		found.row.Retried++
	}
	if sample.Outcome != complete {
		record(found.refusals, sample.TotalLatency)
		return
	}
	if sample.Retried {
		found.row.RetriedComplete++
	}
	record(found.first, sample.TimeToFirstToken)
	record(found.whole, sample.TotalLatency)
	for _, gap := range sample.Gaps {
		record(found.gap, gap)
	}
	found.row.Tokens += sample.Tokens
	switch {
	case sample.WrongContent:
		found.row.WrongContent++
	case sample.met():
		found.row.Met++
		found.row.Goodput += sample.Tokens
	}
}

func (report *Report) class(name string) *class {
	if found, ok := report.classes[name]; ok {
		return found
	}
	added := &class{
		row:   Row{Class: name, Outcomes: make(map[string]int)},
		first: newHistogram(), gap: newHistogram(), whole: newHistogram(), refusals: newHistogram(),
	}
	report.classes[name] = added
	return added
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestMicros, precision)
}

func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(max(duration.Microseconds(), 1))
}

// met says whether the call was answered within its flow's targets.
func (sample Sample) met() bool {
	flow := sample.Flow
	slow := 0
	for _, gap := range sample.Gaps {
		if flow.BetweenTokens > 0 && gap > time.Duration(flow.BetweenTokens) {
			slow++
		}
	}
	firstMet := flow.FirstToken == 0 || sample.TimeToFirstToken <= time.Duration(flow.FirstToken)
	wholeMet := flow.WholeAnswer == 0 || sample.TotalLatency <= time.Duration(flow.WholeAnswer)
	return firstMet && wholeMet && float64(slow) <= slowShare*float64(len(sample.Gaps))+1
}

// Summary returns the result. Made is the number of tokens that the engines
// made: what callers did not get whole of them is wasted.
func (report *Report) Summary(name string, seed uint64, made int) Summary {
	report.mutex.Lock()
	defer report.mutex.Unlock()
	summary := Summary{Scenario: name, Seed: seed, TokensGenerated: made}
	delivered := 0
	for _, found := range report.classes {
		summary.Rows = append(summary.Rows, found.finish())
		delivered += found.row.Tokens
	}
	sort.Slice(summary.Rows, func(i, j int) bool { return summary.Rows[i].Class < summary.Rows[j].Class })
	if made > 0 {
		summary.Wasted = float64(made-delivered) / float64(made)
	}
	return summary
}

func (found *class) finish() Row {
	row := found.row
	row.FirstP50 = millis(found.first, 50)
	row.FirstP95 = millis(found.first, 95)
	row.FirstP99 = millis(found.first, 99)
	row.GapP95 = millis(found.gap, 95)
	row.WholeP95 = millis(found.whole, 95)
	row.RefusalP99 = millis(found.refusals, 99)
	return row
}

func millis(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtPercentile(percentile)) / 1000
}

// Write prints the result as a table.
func (summary Summary) Write(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "CLASS\tCALLS\tATTAINED\tGOODPUT\tFIRST P50/P95/P99 ms\tGAP P95 ms\tWHOLE P95 ms\tREFUSED P99 ms\tMIXED\tOUTCOMES")
	for _, row := range summary.Rows {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%.1f%%\t%d\t%.0f/%.0f/%.0f\t%.1f\t%.0f\t%.1f\t%d\t%v\n", row.Class, row.Calls,
			percent*float64(row.Met)/float64(max(row.Calls, 1)), row.Goodput, row.FirstP50, row.FirstP95, row.FirstP99, row.GapP95,
			row.WholeP95, row.RefusalP99, row.WrongContent, row.Outcomes)
	}
	_, _ = fmt.Fprintf(table, "wasted %.2f%% of %d tokens made\n", percent*summary.Wasted, summary.TokensGenerated)
	return table.Flush()
}

// AllComplete says whether no call got another's answer, or a part as the whole, and
// every call was complete.
func (summary Summary) AllComplete() bool {
	for _, row := range summary.Rows {
		if row.WrongContent > 0 || row.Outcomes[complete] != row.Calls {
			return false
		}
	}
	return true
}
