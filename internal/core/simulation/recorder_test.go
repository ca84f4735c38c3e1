package simulation

import (
	"fmt"
	"strings"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// recorder records what callers send and receive and what upstreams run. Each body
// is unique and its response contains it, so a response to another request is
// detected. The map runCounts counts the runs by submission ID, as submissionOf returns
// it, and by body, with the key "body " followed by the body. The map crashes counts the
// upstream crashes by sidecar.
type recorder struct {
	sent       map[message.RequestID]*sentRequest
	order      []message.RequestID
	runCounts  map[string]int
	crashes    map[string]int
	keyTimes   map[string]time.Time
	violations []string
}

type sentRequest struct {
	request    event.Request
	body       string
	submitted  time.Duration
	chunks     []message.Chunk
	finish     *event.Finish
	finishedAt time.Duration
}

// upstreamRun is a request in flight at a simulated upstream.
type upstreamRun struct {
	start event.StartRun
	body  string
	next  int
	total int
	// delay delays the next token.
	delay time.Duration
}

// responseTokens is the number of tokens of each response. Chunk 0 has the status, and
// each further chunk one token.
const responseTokens = 6

func newRecorder() *recorder {
	return &recorder{sent: make(map[message.RequestID]*sentRequest), runCounts: make(map[string]int), crashes: make(map[string]int),
		keyTimes: make(map[string]time.Time)}
}

// submissionOf returns the ID of a submission, which the test puts into TraceParent. A
// request that is submitted again with its key has the same body and another ID.
func submissionOf(payload message.Payload) string {
	return payload.TraceParent
}

func (recorder *recorder) recordDelivery(delivered event.Deliver) {
	sent := recorder.sent[delivered.ID]
	if sent.finish != nil {
		recorder.fail("%s: got chunk %d after the final outcome", sent.body, delivered.Chunk.Index)
	}
	if delivered.Chunk.Index == 0 {
		// The head alone is not written to the caller before the first data.
		if sent.request.Payload.Stream && len(sent.chunks) > 1 {
			recorder.fail("%s: stream started again after %d chunks", sent.body, len(sent.chunks))
		}
		sent.chunks = nil
	}
	if delivered.Chunk.Index == 1 && len(sent.chunks) == 1 && delivered.Chunk.ID != sent.chunks[0].ID {
		recorder.fail("%s: got the head of one response over the data of another", sent.body)
	}
	if delivered.Chunk.Index != len(sent.chunks) {
		recorder.fail("%s: got chunk %d, want chunk %d", sent.body, delivered.Chunk.Index, len(sent.chunks))
	}
	sent.chunks = append(sent.chunks, delivered.Chunk)
}

func (recorder *recorder) recordFinish(now time.Duration, finish event.Finish) {
	sent := recorder.sent[finish.ID]
	if sent.finish != nil {
		recorder.fail("%s: got a second final outcome", sent.body)
	}
	sent.finish = &finish
	sent.finishedAt = now
}

func (recorder *recorder) fail(format string, arguments ...any) {
	recorder.violations = append(recorder.violations, fmt.Sprintf(format, arguments...))
}

// check compares the responses that callers received with the runs of the upstreams
// and returns all violations.
func (recorder *recorder) check() []string {
	for _, id := range recorder.order {
		sent := recorder.sent[id]
		if sent.finish == nil {
			continue
		}
		switch sent.finish.Outcome {
		case message.Complete:
			recorder.checkComplete(sent)
		case message.NotRun:
			if runs := recorder.runCounts[submissionOf(sent.request.Payload)]; runs > 0 {
				recorder.fail("%s: outcome not-run with reason %s, but it ran %d times", sent.body, sent.finish.Reason, runs)
			}
		}
	}
	return recorder.violations
}

func (recorder *recorder) checkComplete(sent *sentRequest) {
	if len(sent.chunks) != responseTokens+1 {
		recorder.fail("%s: outcome complete with %d chunks, want %d", sent.body, len(sent.chunks), responseTokens+1)
		return
	}
	for i, chunk := range sent.chunks {
		if i > 0 && string(chunk.Data) != token(sent.body, i) {
			recorder.fail("%s: chunk %d is %q, want %q", sent.body, i, chunk.Data, token(sent.body, i))
		}
	}
}

func token(body string, index int) string {
	return fmt.Sprintf("%s:%d", body, index)
}

// submit sends a request to an entry. An empty key means no idempotency key.
func (simulation *simulation) submit(entry *process, class document.Class, body, key string, stream bool) *sentRequest {
	simulation.sequence++
	id := message.NewRequestID(entry.boot, simulation.sequence)
	request := event.Request{ID: id, Account: "account", Class: class, Fingerprint: hashOf(body)}
	request.Payload = message.Payload{Method: "POST", Path: "/", Body: []byte(body), Stream: stream, TraceParent: id.String(), NonIdempotent: class.NonIdempotent}
	copy(request.BodyDigest[:], body)
	if first, _, found := strings.Cut(body, partSeparator); found {
		request.Prompt.Parts = []message.PromptPart{{ID: hashOf(first)}, {ID: hashOf(body)}}
	}
	if key != "" {
		copy(request.Key[:], key)
		request.KeyCreatedAt = simulation.recorder.keyTime(simulation.now, key)
	}
	simulation.recorder.sent[id] = &sentRequest{request: request, body: body, submitted: simulation.now}
	simulation.recorder.order = append(simulation.recorder.order, id)
	simulation.deliver(entry, event.Submitted{Request: request})
	return simulation.recorder.sent[id]
}

// keyTime returns the creation time of a key. The callers' clocks have no skew.
func (recorder *recorder) keyTime(now time.Duration, key string) time.Time {
	if _, ok := recorder.keyTimes[key]; !ok {
		recorder.keyTimes[key] = wallStart.Add(now)
	}
	return recorder.keyTimes[key]
}

// hashOf returns the FNV-1a hash of the body.
func hashOf(body string) uint64 {
	sum := uint64(14695981039346656037)
	for _, letter := range []byte(body) {
		sum = (sum ^ uint64(letter)) * 1099511628211
	}
	return sum
}

// start sends a request to the upstream after a delay. As in the real shell, the
// lease is checked right before sending.
func (simulation *simulation) start(process *process, start event.StartRun) {
	boot := process.boot
	simulation.after(simulation.jitter(20), func() { simulation.sendToUpstream(process, boot, start) })
}

func (simulation *simulation) sendToUpstream(process *process, boot uint64, start event.StartRun) {
	if !process.alive || process.boot != boot {
		return
	}
	if simulation.now < process.pausedUntil {
		simulation.after(process.pausedUntil-simulation.now, func() { simulation.sendToUpstream(process, boot, start) })
		return
	}
	if simulation.now-process.bootedAt > start.NotAfter || simulation.now < process.upstreamDownUntil {
		simulation.deliver(process, event.RunEnded{ID: start.ID, NotStarted: true, Outcome: message.NotRun})
		return
	}
	body := string(start.Payload.Body)
	process.lastRunAt = simulation.now
	simulation.recorder.runCounts[submissionOf(start.Payload)]++
	simulation.recorder.runCounts["body "+body]++
	run := &upstreamRun{start: start, body: body, next: start.ResumeFrom + 1, total: responseTokens}
	process.runs[start.ID] = run
	if body == crashingBody || strings.HasPrefix(body, crashingBody+partSeparator) {
		simulation.recorder.crashes[process.name]++
		simulation.crashUpstream(process)
		return
	}
	simulation.deliver(process, event.ResponseChunk{ID: start.ID, Status: 200})
	simulation.produce(process, boot, run)
}

// crashingBody is the body of a request that crashes each upstream that runs it.
const crashingBody = "poison"

// partSeparator separates the first part of a prompt from the rest of the body. A request
// whose first part is crashingBody crashes its upstream too.
const partSeparator = "/"

func (simulation *simulation) produce(process *process, boot uint64, run *upstreamRun) {
	delay := run.delay + simulation.jitter(200)
	run.delay = 0
	simulation.after(delay, func() {
		if !process.alive || process.boot != boot || process.runs[run.start.ID] != run {
			return
		}
		if run.next > run.total {
			delete(process.runs, run.start.ID)
			simulation.deliver(process, event.RunEnded{ID: run.start.ID, Outcome: message.Complete})
			return
		}
		simulation.deliver(process, event.ResponseChunk{ID: run.start.ID, Data: []byte(token(run.body, run.next))})
		run.next++
		simulation.produce(process, boot, run)
	})
}

func (simulation *simulation) stop(process *process, id message.RequestID) {
	if _, ok := process.runs[id]; !ok {
		return
	}
	delete(process.runs, id)
	simulation.deliver(process, event.RunEnded{ID: id, Outcome: message.Incomplete, Reason: message.Cancelled})
}

// crashUpstream ends all runs of a sidecar's upstream. The upstream restarts after
// one second.
func (simulation *simulation) crashUpstream(process *process) {
	interrupted := simulation.recorder.runsInOrder(process)
	process.runs = make(map[message.RequestID]*upstreamRun)
	process.upstreamDownUntil = simulation.now + time.Second
	for _, id := range interrupted {
		simulation.deliver(process, event.RunEnded{ID: id, Outcome: message.Incomplete, Reason: message.UpstreamDown, Crashed: true})
	}
	simulation.deliver(process, event.UpstreamChecked{Up: false})
	boot := process.boot
	simulation.after(time.Second, func() {
		if process.boot == boot {
			simulation.deliver(process, event.UpstreamChecked{Up: true})
		}
	})
}

// runsInOrder returns the runs of a process in a deterministic order. It looks at
// attempts below 64, far more than a request makes in these tests.
func (recorder *recorder) runsInOrder(process *process) []message.RequestID {
	var ids []message.RequestID
	for _, id := range recorder.order {
		for attempt := range 64 {
			if _, ok := process.runs[id.WithAttempt(attempt)]; ok {
				ids = append(ids, id.WithAttempt(attempt))
			}
		}
	}
	return ids
}
