// Package report aggregates the results of a load's calls by class.
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

// Report aggregates samples. It is safe for concurrent use.
type Report struct {
	mutex   sync.Mutex
	classes map[string]*classStats
}

// Sample is the result of one call. Outcome is "no-answer" for a call without a response.
// Gaps are the times between tokens, Tokens the length of the response. WrongContent
// means that the response was complete but not the one expected for the call. Retried
// marks a call that repeats a refused one after its Retry-After.
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

// Row is the result of one class. Met counts the calls that met their targets and
// Goodput the tokens of their responses, Tokens those of all complete responses. Latency
// percentiles are those of complete calls, in milliseconds; RefusalP99 is that of all
// other calls.
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

// Summary is the result of a load. Wasted is the share of generated tokens that were
// not part of a complete response.
type Summary struct {
	Scenario        string  `json:"scenario"`
	Seed            uint64  `json:"seed"`
	Rows            []Row   `json:"classes"`
	TokensGenerated int     `json:"tokens-made"`
	Wasted          float64 `json:"wasted-share"`
}

// classStats is the row of a class with the histograms of its latencies, in microseconds.
// RefusalLatency has the calls that were not complete.
type classStats struct {
	row              Row
	timeToFirstToken *hdrhistogram.Histogram
	gap              *hdrhistogram.Histogram
	totalLatency     *hdrhistogram.Histogram
	refusalLatency   *hdrhistogram.Histogram
}

const (
	// maxMicros is the largest latency recorded, 10 minutes.
	maxMicros         = 10 * 60 * 1000 * 1000
	significantDigits = 3
	complete          = "complete"
	// lateGapShare is the share of a response's gaps that may miss their target.
	lateGapShare = 0.05
	percent      = 100
)

// New returns an empty report.
func New() *Report {
	return &Report{classes: make(map[string]*classStats)}
}

// Add adds a sample to its class.
func (report *Report) Add(sample Sample) {
	report.mutex.Lock()
	defer report.mutex.Unlock()
	stats := report.classStats(sample.Flow.Class)
	stats.row.Calls++
	stats.row.Outcomes[sample.Outcome]++
	if sample.Retried {
		stats.row.Retried++
	}
	if sample.Outcome != complete {
		record(stats.refusalLatency, sample.TotalLatency)
		return
	}
	if sample.Retried {
		stats.row.RetriedComplete++
	}
	record(stats.timeToFirstToken, sample.TimeToFirstToken)
	record(stats.totalLatency, sample.TotalLatency)
	for _, gap := range sample.Gaps {
		record(stats.gap, gap)
	}
	stats.row.Tokens += sample.Tokens
	switch {
	case sample.WrongContent:
		stats.row.WrongContent++
	case sample.met():
		stats.row.Met++
		stats.row.Goodput += sample.Tokens
	}
}

func (report *Report) classStats(name string) *classStats {
	if stats, ok := report.classes[name]; ok {
		return stats
	}
	added := &classStats{
		row:              Row{Class: name, Outcomes: make(map[string]int)},
		timeToFirstToken: newHistogram(), gap: newHistogram(), totalLatency: newHistogram(), refusalLatency: newHistogram(),
	}
	report.classes[name] = added
	return added
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, significantDigits)
}

func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(max(duration.Microseconds(), 1))
}

// met reports whether the call met its flow's targets. Up to 5% of the gaps and one
// more may be above the target between tokens, so that one is allowed in a short
// response.
func (sample Sample) met() bool {
	flow := sample.Flow
	lateGaps := 0
	for _, gap := range sample.Gaps {
		if flow.BetweenTokens > 0 && gap > time.Duration(flow.BetweenTokens) {
			lateGaps++
		}
	}
	firstMet := flow.FirstToken == 0 || sample.TimeToFirstToken <= time.Duration(flow.FirstToken)
	wholeMet := flow.WholeAnswer == 0 || sample.TotalLatency <= time.Duration(flow.WholeAnswer)
	return firstMet && wholeMet && float64(lateGaps) <= lateGapShare*float64(len(sample.Gaps))+1
}

// Summary returns the result. Generated is the number of tokens that the engines
// generated: those that callers did not get in complete responses are wasted.
func (report *Report) Summary(name string, seed uint64, generated int) Summary {
	report.mutex.Lock()
	defer report.mutex.Unlock()
	summary := Summary{Scenario: name, Seed: seed, TokensGenerated: generated}
	delivered := 0
	for _, stats := range report.classes {
		summary.Rows = append(summary.Rows, stats.finish())
		delivered += stats.row.Tokens
	}
	sort.Slice(summary.Rows, func(i, j int) bool { return summary.Rows[i].Class < summary.Rows[j].Class })
	if generated > 0 {
		summary.Wasted = float64(generated-delivered) / float64(generated)
	}
	return summary
}

func (stats *classStats) finish() Row {
	row := stats.row
	row.FirstP50 = millis(stats.timeToFirstToken, 50)
	row.FirstP95 = millis(stats.timeToFirstToken, 95)
	row.FirstP99 = millis(stats.timeToFirstToken, 99)
	row.GapP95 = millis(stats.gap, 95)
	row.WholeP95 = millis(stats.totalLatency, 95)
	row.RefusalP99 = millis(stats.refusalLatency, 99)
	return row
}

func millis(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtPercentile(percentile)) / 1000
}

// Write writes the result as a table.
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

// AllComplete reports whether every call got a complete response with its own content.
func (summary Summary) AllComplete() bool {
	for _, row := range summary.Rows {
		if row.WrongContent > 0 || row.Outcomes[complete] != row.Calls {
			return false
		}
	}
	return true
}
