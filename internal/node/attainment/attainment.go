// Package attainment counts, for each class, how many requests met their latency targets
// and how the others ended.
package attainment

import (
	"sort"
	"sync"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/wire/message"
)

// Counts holds one row per class, since the start of the process. It is safe for
// concurrent use.
type Counts struct {
	mutex sync.Mutex
	rows  map[string]Row
}

// Row is the sum over the requests of one class. Tier and Target, the text of TargetText,
// are those of the last request. Met and Late count the complete requests within and beyond
// their targets, Refusals all others by reason, and Outcomes all requests by outcome. Tokens
// counts the tokens of responses, GoodTokens those of requests that met their targets,
// Wasted those that were discarded, truncated or generated twice. WaitSeconds sums the
// times to first token.
type Row struct {
	Class       string         `json:"class"`
	Tier        int            `json:"tier"`
	Target      string         `json:"target"`
	Requests    int            `json:"requests"`
	Met         int            `json:"met"`
	Late        int            `json:"late"`
	Outcomes    map[string]int `json:"outcomes"`
	Refusals    map[string]int `json:"refusals"`
	Tokens      int            `json:"tokens"`
	GoodTokens  int            `json:"good-tokens"`
	Wasted      int            `json:"wasted-tokens"`
	WaitSeconds float64        `json:"wait-seconds"`
}

// Sample is one finished request. FirstToken is the time to first token, 0 without a token,
// and Total the total latency. LateTokens counts the tokens whose delay after the previous
// token exceeded the class's target between tokens.
type Sample struct {
	Class      document.Class
	Outcome    message.Outcome
	Reason     message.Reason
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
	LateTokens int
	Wasted     int
}

// maxLateShare is the share of tokens that may be late: the target between tokens is a
// 95th percentile.
const maxLateShare = 0.05

// New returns Counts without rows.
func New() *Counts {
	return &Counts{rows: make(map[string]Row)}
}

// Met reports whether the request completed within all targets of its class; a target of 0
// is none. One late token is allowed beyond maxLateShare, so that short responses can meet
// the target.
func (sample Sample) Met() bool {
	if sample.Outcome != message.Complete {
		return false
	}
	if target := time.Duration(sample.Class.FirstToken); target > 0 && sample.FirstToken > target {
		return false
	}
	if target := time.Duration(sample.Class.WholeAnswer); target > 0 && sample.Total > target {
		return false
	}
	return sample.Class.BetweenTokens == 0 || float64(sample.LateTokens) <= maxLateShare*float64(sample.Tokens)+1
}

// Add counts one finished request. A request that did not complete, for example because
// its caller disconnected, is counted by its reason and not as late.
func (counts *Counts) Add(sample Sample) {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	row := counts.row(sample.Class)
	row.Requests++
	row.Outcomes[sample.Outcome.String()]++
	row.Wasted += sample.Wasted
	row.WaitSeconds += sample.FirstToken.Seconds()
	switch {
	case sample.Met():
		row.Met++
		row.GoodTokens += sample.Tokens
	case sample.Outcome == message.Complete:
		row.Late++
	default:
		row.Refusals[sample.Reason.String()]++
	}
	row.Tokens += sample.Tokens
	counts.rows[row.Class] = row
}

func (counts *Counts) row(class document.Class) Row {
	row, ok := counts.rows[class.Name]
	if !ok {
		row = Row{Class: class.Name, Outcomes: make(map[string]int), Refusals: make(map[string]int)}
	}
	row.Tier = class.Tier
	row.Target = TargetText(class)
	return row
}

// Rows returns a copy of all rows, sorted by tier and class.
func (counts *Counts) Rows() []Row {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	return Sum(nil, values(counts.rows))
}

func values(rows map[string]Row) []Row {
	listed := make([]Row, 0, len(rows))
	for _, row := range rows {
		listed = append(listed, row)
	}
	return listed
}

// Sum adds up the rows of several processes by class, sorted by tier and class. The result
// shares no map with them.
func Sum(processes ...[]Row) []Row {
	sums := make(map[string]Row)
	for _, rows := range processes {
		for _, row := range rows {
			sums[row.Class] = sums[row.Class].plus(row)
		}
	}
	summed := values(sums)
	sort.Slice(summed, func(i, j int) bool {
		if summed[i].Tier != summed[j].Tier {
			return summed[i].Tier < summed[j].Tier
		}
		return summed[i].Class < summed[j].Class
	})
	return summed
}

func (row Row) plus(other Row) Row {
	row.Class, row.Tier, row.Target = other.Class, other.Tier, other.Target
	row.Requests += other.Requests
	row.Met += other.Met
	row.Late += other.Late
	row.Tokens += other.Tokens
	row.GoodTokens += other.GoodTokens
	row.Wasted += other.Wasted
	row.WaitSeconds += other.WaitSeconds
	row.Outcomes = plusCounts(row.Outcomes, other.Outcomes)
	row.Refusals = plusCounts(row.Refusals, other.Refusals)
	return row
}

func plusCounts(counts, others map[string]int) map[string]int {
	sums := make(map[string]int, len(others))
	for name, count := range counts {
		sums[name] += count
	}
	for name, count := range others {
		sums[name] += count
	}
	return sums
}

// TargetText returns the class's targets as shown to operators, such as
// "first 300ms gap 50ms", or "" without targets.
func TargetText(class document.Class) string {
	text := ""
	if class.FirstToken > 0 {
		text = "first " + time.Duration(class.FirstToken).String()
	}
	if class.BetweenTokens > 0 {
		text += " gap " + time.Duration(class.BetweenTokens).String()
	}
	if class.WholeAnswer > 0 {
		text += " whole " + time.Duration(class.WholeAnswer).String()
	}
	return text
}
