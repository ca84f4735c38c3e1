package simulation

import (
	"fmt"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// ledger sees what callers send and get, and what upstreams run. The body of a
// request names it, so a mixed-up answer shows.
type ledger struct {
	sent     map[message.RequestID]*sentRequest
	order    []message.RequestID
	handOver map[string]int
	crashes  map[string]int
	births   map[string]time.Time
	faults   []string
}

type sentRequest struct {
	request    event.Request
	body       string
	submitted  time.Duration
	chunks     []message.Chunk
	finish     *event.Finish
	finishedAt time.Duration
}

// upstreamRun is a request that the fake upstream runs.
type upstreamRun struct {
	start event.StartRun
	body  string
	next  int
	total int
}

const answerTokens = 6

func newLedger() *ledger {
	return &ledger{sent: make(map[message.RequestID]*sentRequest), handOver: make(map[string]int), crashes: make(map[string]int),
		births: make(map[string]time.Time)}
}

// attempt names one submission: a key sent again has the body of the first, but
// is another submission.
func attemptOf(payload message.Payload) string {
	return payload.TraceParent
}

func (ledger *ledger) deliver(delivered event.Deliver) {
	sent := ledger.sent[delivered.ID]
	if sent.finish != nil {
		ledger.fail("%s got a part after its final word", sent.body)
	}
	if delivered.Chunk.Index == 0 {
		if sent.request.Payload.Stream && len(sent.chunks) > 0 {
			ledger.fail("stream %s began twice", sent.body)
		}
		sent.chunks = nil
	}
	if delivered.Chunk.Index != len(sent.chunks) {
		ledger.fail("%s got part %d in place of %d", sent.body, delivered.Chunk.Index, len(sent.chunks))
	}
	sent.chunks = append(sent.chunks, delivered.Chunk)
}

func (ledger *ledger) finish(now time.Duration, finish event.Finish) {
	sent := ledger.sent[finish.ID]
	if sent.finish != nil {
		ledger.fail("%s got two final words", sent.body)
	}
	sent.finish = &finish
	sent.finishedAt = now
}

func (ledger *ledger) fail(format string, arguments ...any) {
	ledger.faults = append(ledger.faults, fmt.Sprintf(format, arguments...))
}

// check holds what callers were told against what upstreams did.
func (ledger *ledger) check() []string {
	for _, id := range ledger.order {
		sent := ledger.sent[id]
		if sent.finish == nil {
			continue
		}
		switch sent.finish.Outcome {
		case message.Complete:
			ledger.checkWhole(sent)
		case message.NotRun:
			if runs := ledger.handOver[attemptOf(sent.request.Payload)]; runs > 0 {
				ledger.fail("%s was said not-run (%s) and ran %d times", sent.body, sent.finish.Reason, runs)
			}
		}
	}
	return ledger.faults
}

func (ledger *ledger) checkWhole(sent *sentRequest) {
	if len(sent.chunks) != answerTokens+1 {
		ledger.fail("%s was complete with %d parts", sent.body, len(sent.chunks))
		return
	}
	for i, chunk := range sent.chunks {
		if i > 0 && string(chunk.Data) != token(sent.body, i) {
			ledger.fail("%s got %q as part %d", sent.body, chunk.Data, i)
		}
	}
}

func token(body string, index int) string {
	return fmt.Sprintf("%s:%d", body, index)
}

// submit sends a request to an entry. A key of "" means none.
func (world *world) submit(entry *node, class document.Class, body, key string, stream bool) *sentRequest {
	world.serial++
	id := message.NewRequestID(entry.boot, world.serial)
	request := event.Request{ID: id, Account: "account", Class: class, Fingerprint: hashOf(body)}
	request.Payload = message.Payload{Method: "POST", Path: "/", Body: []byte(body), Stream: stream, TraceParent: id.String(), NonIdempotent: class.NonIdempotent}
	copy(request.BodyDigest[:], body)
	if key != "" {
		copy(request.Key[:], key)
		request.KeyCreatedAt = world.ledger.birthOf(world.now, key)
	}
	world.ledger.sent[id] = &sentRequest{request: request, body: body, submitted: world.now}
	world.ledger.order = append(world.ledger.order, id)
	world.tell(entry, event.Submitted{Request: request})
	return world.ledger.sent[id]
}

// birthOf returns the time in a key; callers' clocks are right here.
func (ledger *ledger) birthOf(now time.Duration, key string) time.Time {
	if _, ok := ledger.births[key]; !ok {
		ledger.births[key] = wallStart.Add(now)
	}
	return ledger.births[key]
}

func hashOf(body string) uint64 {
	sum := uint64(14695981039346656037)
	for _, letter := range []byte(body) {
		sum = (sum ^ uint64(letter)) * 1099511628211
	}
	return sum
}

// start hands a request over after a delay of the shell, which checks the lease
// right before, as the real shell does.
func (world *world) start(node *node, start event.StartRun) {
	boot := node.boot
	world.after(world.jitter(20), func() { world.handOver(node, boot, start) })
}

func (world *world) handOver(node *node, boot uint64, start event.StartRun) {
	if !node.alive || node.boot != boot {
		return
	}
	if world.now < node.paused {
		world.after(node.paused-world.now, func() { world.handOver(node, boot, start) })
		return
	}
	if world.now-node.bornAt > start.NotAfter || world.now < node.down {
		world.tell(node, event.RunEnded{ID: start.ID, NotStarted: true, Outcome: message.NotRun})
		return
	}
	body := string(start.Payload.Body)
	node.lastRun = world.now
	world.ledger.handOver[attemptOf(start.Payload)]++
	world.ledger.handOver["body "+body]++
	run := &upstreamRun{start: start, body: body, next: start.ResumeFrom + 1, total: answerTokens}
	node.runs[start.ID] = run
	if body == poison {
		world.ledger.crashes[node.name]++
		world.crashUpstream(node)
		return
	}
	world.tell(node, event.ResponseChunk{ID: start.ID, Status: 200})
	world.produce(node, boot, run)
}

const poison = "poison"

func (world *world) produce(node *node, boot uint64, run *upstreamRun) {
	world.after(world.jitter(200), func() {
		if !node.alive || node.boot != boot || node.runs[run.start.ID] != run {
			return
		}
		if run.next > run.total {
			delete(node.runs, run.start.ID)
			world.tell(node, event.RunEnded{ID: run.start.ID, Outcome: message.Complete})
			return
		}
		world.tell(node, event.ResponseChunk{ID: run.start.ID, Data: []byte(token(run.body, run.next))})
		run.next++
		world.produce(node, boot, run)
	})
}

func (world *world) stop(node *node, id message.RequestID) {
	if _, ok := node.runs[id]; !ok {
		return
	}
	delete(node.runs, id)
	world.tell(node, event.RunEnded{ID: id, Outcome: message.Incomplete, Reason: message.Cancelled})
}

// crashUpstream breaks all runs of a sidecar's upstream for a while.
func (world *world) crashUpstream(node *node) {
	broken := world.ledger.wireOrder(node)
	node.runs = make(map[message.RequestID]*upstreamRun)
	node.down = world.now + time.Second
	for _, id := range broken {
		world.tell(node, event.RunEnded{ID: id, Outcome: message.Incomplete, Reason: message.UpstreamDown, Crashed: true})
	}
	world.tell(node, event.UpstreamChecked{Up: false})
	boot := node.boot
	world.after(time.Second, func() {
		if node.boot == boot {
			world.tell(node, event.UpstreamChecked{Up: true})
		}
	})
}

// wireOrder returns a node's runs in a fixed order.
func (ledger *ledger) wireOrder(node *node) []message.RequestID {
	var ids []message.RequestID
	for _, id := range ledger.order {
		for attempt := range 64 {
			if _, ok := node.runs[id.WithAttempt(attempt)]; ok {
				ids = append(ids, id.WithAttempt(attempt))
			}
		}
	}
	return ids
}
