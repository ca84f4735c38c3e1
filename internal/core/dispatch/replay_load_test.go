package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"endivepost/internal/config/document"
)

// kind is a class of work in a replayed load.
type kind struct {
	class  document.Class
	rate   float64       // requests a second
	shared int           // tokens of the shared prefix
	things int           // different prefixes for each engine
	own    lengths       // tokens of the request's own part
	output lengths       // tokens of the answer
	within time.Duration // from the arrival to the end of the answer, for the caller
}

// lengths are drawn around a mean with a long tail, up to a bound.
type lengths struct {
	mean, spread, most float64
}

func (lengths lengths) draw(random *rand.Rand) int {
	drawn := lengths.mean * math.Exp(lengths.spread*random.NormFloat64()-lengths.spread*lengths.spread/2)
	return max(1, int(min(drawn, lengths.most)))
}

// The kinds of work of both firms.
func firmKinds(scale float64) []kind {
	target := func(first, between time.Duration) document.Class {
		return document.Class{
			Tier: 1, FirstToken: document.Duration(first), BetweenTokens: document.Duration(between), TimeLimit: document.Duration(8 * time.Second),
			Streamed: true, Resumable: true, MaxAttempts: 2, Split: []document.Share{{Pool: "engines", Weight: 1}},
		}
	}
	long := target(1500*time.Millisecond, 800*time.Millisecond)
	long.Name, long.Tier = "brief", 3
	reply := target(500*time.Millisecond, 300*time.Millisecond)
	reply.Name, reply.Tier = "reply", 2
	chat := target(300*time.Millisecond, 200*time.Millisecond)
	chat.Name = "chat"
	return []kind{
		{class: long, rate: 1.25 * scale, shared: 13_300, things: 9, own: lengths{3720, 1.1, 53_200}, output: lengths{120, 1.4, 480}, within: 8 * time.Second},
		{class: reply, rate: 0.97 * scale, shared: 6300, things: 7, own: lengths{2890, 1, 39_600}, output: lengths{52, 1.4, 210}, within: 5 * time.Second},
		{class: chat, rate: 2.25 * scale, shared: 350, things: 11, own: lengths{1110, 1, 3790}, output: lengths{172, 0.9, 600}, within: 10 * time.Second},
	}
}

// burst multiplies the rate of a class for a time.
type burst struct {
	class    string
	from, to time.Duration
	times    float64
}

// load is a replayed load on a site with so many engines and entries.
type load struct {
	engines int
	entries int
	kinds   []kind
	bursts  []burst
	lasts   time.Duration
	seed    uint64
	// hot is the share of the long briefs that have one prefix.
	hot float64
	// slow is the number of engines that take slowness times as long.
	slow int
}

const slowness = 6

// outcome is what callers of one class got.
type outcome struct {
	asked, inAim, late, refused, unfinished int
}

// tally is the outcome of a replayed load.
type tally struct {
	classes map[string]*outcome
	read    int
	asked   int
}

// share returns the part of a class's requests that was in aim.
func (tally tally) share(class string) float64 {
	found := tally.classes[class]
	return float64(found.inAim) / float64(found.asked)
}

// String is a line for each class.
func (tally tally) String() string {
	var text strings.Builder
	for _, class := range []string{"brief", "reply", "chat"} {
		found := tally.classes[class]
		fmt.Fprintf(&text, "%s: %d asked, %.3f in aim, %d late, %d refused, %d unfinished; ",
			class, found.asked, tally.share(class), found.late, found.refused, found.unfinished)
	}
	fmt.Fprintf(&text, "%.2f tokens read for each one asked", float64(tally.read)/float64(tally.asked))
	return text.String()
}
