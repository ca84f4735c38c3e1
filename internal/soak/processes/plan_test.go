package processes

import (
	"fmt"
	"math/rand/v2"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// route is one of the routes that all configurations have.
type route string

const (
	// resumable streams may run again after the last event, single ones may not.
	resumable route = "stream"
	single    route = "once"
	unsafe    route = "hold"
	safe      route = "look"
)

func (route route) streamed() bool   { return route == resumable || route == single }
func (route route) idempotent() bool { return route == resumable || route == safe }

// routeTimeout is the routes' timeout in all configurations.
const routeTimeout = 12 * time.Second

// plan is what a caller sends and how its upstream answers.
type plan struct {
	dialect  dialect
	id       string
	route    route
	deadline time.Duration
	// body is the length of the request's body, spread over bodyTime.
	body     int
	chunked  bool
	bodyTime time.Duration
	// readTime is for how long the caller delays the reading of the answer.
	readTime time.Duration
	// work is the time before the answer; events and gap make a stream, answer is the
	// length of any other body. With breakAt the first run breaks off behind that event.
	work    time.Duration
	events  int
	gap     time.Duration
	answer  int
	breakAt int
}

// newPlan draws a plan for a caller of the kind.
func newPlan(random *rand.Rand, speaks dialect, id string, kind callerKind) plan {
	drawn := plan{dialect: speaks, id: id, route: []route{resumable, resumable, single, single, unsafe, safe}[random.IntN(6)]}
	drawn.work = between(random, 5*time.Millisecond, 60*time.Millisecond)
	drawn.deadline = between(random, 8*time.Second, 11*time.Second)
	drawn.body = random.IntN(2000)
	drawn.chunked = random.IntN(4) == 0
	if drawn.route.streamed() {
		drawn.events = 2 + random.IntN(40)
		drawn.gap = between(random, 10*time.Millisecond, 70*time.Millisecond)
		if random.IntN(40) == 0 {
			drawn.breakAt = 1 + random.IntN(drawn.events)
		}
	} else {
		drawn.answer = 1 + random.IntN(3000)
		if random.IntN(3) == 0 {
			drawn.work = between(random, 200*time.Millisecond, 2500*time.Millisecond)
		}
	}
	switch kind {
	case slowSender:
		drawn.bodyTime = between(random, 300*time.Millisecond, 4*time.Second)
		drawn.body += 200
		drawn.chunked = random.IntN(2) == 0
	case slowReader:
		drawn.readTime = between(random, 300*time.Millisecond, 2500*time.Millisecond)
		if !drawn.route.streamed() {
			drawn.answer = 50_000 + random.IntN(400_000)
		}
	}
	return drawn
}

// between draws a duration from low up to high.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)+1))
}

// readPlan returns the plan in a request's target.
func readPlan(speaks dialect, id string, target *url.URL) plan {
	query := target.Query()
	number := func(name string) int {
		value, _ := strconv.Atoi(query.Get(name))
		return value
	}
	return plan{
		dialect: speaks, id: id, route: route(query.Get("route")), body: number("body"), work: time.Duration(number("work")) * time.Millisecond,
		events: number("events"), gap: time.Duration(number("gap")) * time.Millisecond, answer: number("answer"), breakAt: number("break"),
	}
}

// requestBody returns the request's body, which the ID determines.
func (plan plan) requestBody() string {
	return plan.dialect.body(plan, fill("body "+plan.id, plan.body))
}

// head returns the request line and header.
func (plan plan) head() string {
	framing := fmt.Sprintf("Content-Length: %d", len(plan.requestBody()))
	if plan.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	lines := append([]string{
		"POST " + plan.dialect.path(plan) + " HTTP/1.1", "Host: " + hostName, "X-Attempt-Id: " + plan.id, framing,
	}, plan.dialect.fields(plan)...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// eventText returns an event of the stream. It is the same from each upstream.
func (plan plan) eventText(id int) string {
	return fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", id, id, plan.id)
}

// answerBody returns the body of a run that is not streamed.
func (plan plan) answerBody(seal string) string {
	return fill("answer "+plan.id+" "+seal, plan.answer)
}

// streamBody returns a whole stream.
func (plan plan) streamBody() string {
	var text strings.Builder
	for id := 1; id <= plan.events; id++ {
		text.WriteString(plan.eventText(id))
	}
	return text.String() + plan.dialect.streamEnd()
}

// fill repeats the text with a running number up to the length.
func fill(text string, length int) string {
	var filled strings.Builder
	for number := 0; filled.Len() < length; number++ {
		fmt.Fprintf(&filled, "%s %d\n", text, number)
	}
	return filled.String()[:length]
}
