// Package attainment counts what became of the requests of each class.
package attainment

import (
	"sort"
	"sync"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/wire/message"
)

// Counts holds one row for each class since the process booted.
type Counts struct {
	mutex sync.Mutex
	rows  map[string]Row
}

// Row sums up one class. Tokens counts the parts of answers; Wasted those that
// were discarded, cut off or made twice.
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

// Sample is one finished request. Gaps counts the tokens, Slow those that came
// later than the class's target between tokens.
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

// slowShare is the share of tokens that may come late: the target is stated for
// 95 in 100.
const slowShare = 0.05

// New returns an empty board.
func New() *Counts {
	return &Counts{rows: make(map[string]Row)}
}

// Met says whether the request was answered whole and within its targets.
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
	return sample.Class.BetweenTokens == 0 || float64(sample.LateTokens) <= slowShare*float64(sample.Tokens)+1
}

// Add counts one finished request. A caller who hung up before any answer is
// counted under its outcome, but not against the target.
func (board *Counts) Add(sample Sample) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	row := board.row(sample.Class)
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
	board.rows[row.Class] = row
}

func (board *Counts) row(class document.Class) Row {
	row, ok := board.rows[class.Name]
	if !ok {
		row = Row{Class: class.Name, Outcomes: make(map[string]int), Refusals: make(map[string]int)}
	}
	row.Tier = class.Tier
	row.Target = TargetText(class)
	return row
}

// Rows returns a copy of all rows by tier and name.
func (board *Counts) Rows() []Row {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	return Sum(nil, values(board.rows))
}

func values(rows map[string]Row) []Row {
	listed := make([]Row, 0, len(rows))
	for _, row := range rows {
		listed = append(listed, row)
	}
	return listed
}

// Sum adds up the rows of several processes by class.
func Sum(boards ...[]Row) []Row {
	sums := make(map[string]Row)
	for _, rows := range boards {
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

// TargetText returns the class's targets in a few words.
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
