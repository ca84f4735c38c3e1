package router_test

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/event"
	"endivepost/internal/core/router"
	"endivepost/internal/policy/latebinding"
	"endivepost/internal/policy/tiered"
	"endivepost/internal/wire/message"
)

var guide = document.Class{Name: "guide", Tier: 1, Model: "m", FirstToken: document.Duration(time.Second), GiveUpAfter: document.Duration(time.Minute)}

// now is past the ReadyGrace of newBound, so that the router is ready.
const now = 2 * time.Second

// newBound returns a router with one request granted to its only sidecar, and the
// ID of the attempt. The sidecar's slot is occupied at first, so the request is reserved
// and not pushed.
func newBound(t *testing.T) (*router.Router, message.RequestID) {
	t.Helper()
	entry := router.New(router.Settings{
		Name: "entry-1", Placement: latebinding.New(2), Queue: tiered.New[message.RequestID](tiered.Floor{}),
		Random: rand.New(rand.NewPCG(1, 1)), QueueCapacity: 8, SubsetSize: 8, PushLease: time.Second, HeartbeatInterval: time.Hour,
		HeartbeatTimeout: 2 * time.Hour, ReattachTimeout: time.Second, ReadyGrace: time.Second, RedialDelay: time.Second,
	})
	raw, _ := json.Marshal(document.Document{
		Version: 1, Classes: []document.Class{guide}, Upstreams: []document.Upstream{{Name: "up-1", Model: "m"}},
	})
	entry.Step(0, []event.Input{
		event.DocumentRead{Raw: raw}, event.MembersRead{Members: []event.Member{{Name: "up-1", Address: "a", Role: "sidecar"}}},
	})
	entry.Step(0, []event.Input{event.LinkOpened{Peer: "up-1", Link: 1, Boot: 1}})
	entry.Step(now, []event.Input{from(message.Heartbeat{Uptime: 1, ConfigVersion: 1, Load: message.Load{Limit: 1, Running: 1}})})
	id := message.NewRequestID(1, 1)
	submitted := event.Submitted{Request: event.Request{ID: id, Class: guide, Payload: message.Payload{Stream: true}}}
	attemptID := id.WithAttempt(1)
	entry.Step(now, []event.Input{submitted})
	entry.Step(now, []event.Input{from(message.Claim{ID: attemptID})})
	return entry, attemptID
}

func from(body message.Message) event.Input {
	return event.Received{Peer: "up-1", Link: 1, Message: body}
}

func count[O any](outputs []event.Output, matches func(O) bool) int {
	found := 0
	for _, output := range outputs {
		if typed, ok := output.(O); ok && matches(typed) {
			found++
		}
	}
	return found
}

func isAttach(sent event.Send) bool {
	_, ok := sent.Message.(message.Attach)
	return ok
}

func anyOutput[O any](O) bool { return true }

// TestEndWithMissingChunks: if the end message counts more chunks than arrived, the
// response must not be reported as complete. The missing chunks are requested.
func TestEndWithMissingChunks(t *testing.T) {
	entry, attemptID := newBound(t)
	outputs := entry.Step(now, []event.Input{
		from(message.Chunk{ID: attemptID}), from(message.End{ID: attemptID, Chunks: 3, Outcome: message.Complete}),
	})
	if count(outputs, anyOutput[event.Finish]) != 0 || count(outputs, isAttach) != 1 {
		t.Fatalf("end with 1 of 3 chunks: outputs %+v, want no finish and one attach", outputs)
	}
	outputs = entry.Step(now, []event.Input{
		from(message.Chunk{ID: attemptID, Index: 1}), from(message.Chunk{ID: attemptID, Index: 2}),
		from(message.End{ID: attemptID, Chunks: 3, Outcome: message.Complete}),
	})
	finished := func(finish event.Finish) bool { return finish.Outcome == message.Complete }
	if count(outputs, finished) != 1 || count(outputs, anyOutput[event.Deliver]) != 2 {
		t.Fatalf("missing chunks and end: outputs %+v, want two deliveries and one complete finish", outputs)
	}
}

// TestMalformedResponsesEndRequest: an idempotent request is sent once more after a malformed
// response, and not until the retries of all requests are used up.
func TestMalformedResponsesEndRequest(t *testing.T) {
	entry, attemptID := newBound(t)
	for attempt := 1; attempt <= 2; attempt++ {
		outputs := entry.Step(now, []event.Input{from(message.End{ID: attemptID, Outcome: message.Incomplete, Reason: message.MalformedResponse})})
		finished := count(outputs, func(finish event.Finish) bool { return finish.Reason == message.MalformedResponse })
		if finished != attempt-1 {
			t.Fatalf("malformed response %d: outputs %+v, want a finish after the second", attempt, outputs)
		}
		attemptID = attemptID.WithAttempt(attempt + 1)
		entry.Step(now, []event.Input{from(message.Heartbeat{Uptime: 2, ConfigVersion: 1, Load: message.Load{Limit: 1}}), from(message.Claim{ID: attemptID})})
	}
}

// TestGapIsRequestedOnce: chunks after a gap must not be delivered, and the missing
// chunks must be requested once and not for each chunk that arrives.
func TestGapIsRequestedOnce(t *testing.T) {
	entry, attemptID := newBound(t)
	outputs := entry.Step(now, []event.Input{
		from(message.Chunk{ID: attemptID}), from(message.Chunk{ID: attemptID, Index: 2}), from(message.Chunk{ID: attemptID, Index: 3}),
	})
	if count(outputs, anyOutput[event.Deliver]) != 1 || count(outputs, isAttach) != 1 {
		t.Fatalf("chunks 0, 2 and 3: outputs %+v, want one delivery and one attach", outputs)
	}
}

// TestUnknownMessagesAreIgnored: late or misrouted messages of other requests,
// attempts, links and peers must not change the response of a request.
func TestUnknownMessagesAreIgnored(t *testing.T) {
	entry, attemptID := newBound(t)
	other := message.NewRequestID(9, 9).WithAttempt(1)
	for name, input := range map[string]event.Input{
		"an unknown request":  from(message.Chunk{ID: other}),
		"an earlier attempt":  from(message.End{ID: attemptID.WithAttempt(0), Outcome: message.Complete}),
		"a later attempt":     from(message.Refused{ID: attemptID.WithAttempt(2)}),
		"another link":        event.Received{Peer: "up-1", Link: 2, Message: message.Chunk{ID: attemptID}},
		"an unknown peer":     event.Received{Peer: "up-9", Link: 1, Message: message.Chunk{ID: attemptID}},
		"an unknown caller":   event.CallerDisconnected{ID: other},
		"an older connection": event.LinkClosed{Peer: "up-1", Link: 0},
	} {
		outputs := entry.Step(now, []event.Input{input})
		if count(outputs, anyOutput[event.Deliver])+count(outputs, anyOutput[event.Finish]) != 0 {
			t.Errorf("%s: outputs %+v, want no delivery and no finish", name, outputs)
		}
	}
}

// newPair returns a router with a stream bound to the first of two sidecars, with one chunk of
// data delivered.
func newPair(builds ...string) *router.Router {
	entry := router.New(router.Settings{
		Name: "entry-1", Placement: latebinding.New(2), Queue: tiered.New[message.RequestID](tiered.Floor{}),
		Random: rand.New(rand.NewPCG(1, 1)), QueueCapacity: 8, SubsetSize: 8, PushLease: time.Second, HeartbeatInterval: time.Hour,
		HeartbeatTimeout: 2 * time.Hour, ReattachTimeout: time.Second, ReadyGrace: time.Second, RedialDelay: time.Second,
	})
	class := guide
	class.Streamed, class.Resumable = true, true
	published := document.Document{Version: 1, Classes: []document.Class{class}}
	var members []event.Member
	for i, build := range builds {
		name := pairNames[i]
		published.Upstreams = append(published.Upstreams, document.Upstream{Name: name, Model: "m", Build: build})
		members = append(members, event.Member{Name: name, Address: name, Role: "sidecar"})
	}
	raw, _ := json.Marshal(published)
	entry.Step(0, []event.Input{event.DocumentRead{Raw: raw}, event.MembersRead{Members: members}})
	heartbeat := message.Heartbeat{Uptime: 1, ConfigVersion: 1, Load: message.Load{Limit: 1, Running: 1}}
	for _, name := range pairNames {
		entry.Step(0, []event.Input{event.LinkOpened{Peer: name, Link: 1, Boot: 1}})
		entry.Step(now, []event.Input{event.Received{Peer: name, Link: 1, Message: heartbeat}})
	}
	id := message.NewRequestID(1, 1)
	entry.Step(now, []event.Input{event.Submitted{Request: event.Request{ID: id, Class: class, Payload: message.Payload{Stream: true}}}})
	attempt := id.WithAttempt(1)
	entry.Step(now, []event.Input{from(message.Claim{ID: attempt}), from(message.Chunk{ID: attempt}), from(message.Chunk{ID: attempt, Index: 1})})
	return entry
}

var pairNames = [...]string{"up-1", "up-2"}

// TestStreamResumesAtItsBuild guards against a response of chunks that two builds wrote: after
// the sidecar was lost, the rest comes from one beside an upstream of the same build or not at
// all.
func TestStreamResumesAtItsBuild(t *testing.T) {
	for _, row := range []struct {
		builds  []string
		resumed int
	}{{[]string{"v1", "v1"}, 1}, {[]string{"v1", "v2"}, 0}, {[]string{"", ""}, 1}} {
		entry := newPair(row.builds...)
		outputs := entry.Step(now, []event.Input{event.LinkClosed{Peer: "up-1", Link: 1}})
		outputs = append(outputs, entry.Step(now+2*time.Second, nil)...)
		resumed := count(outputs, func(sent event.Send) bool {
			reserve, ok := sent.Message.(message.Reserve)
			return ok && sent.Peer == "up-2" && reserve.ResumeFrom == 1
		})
		if resumed != row.resumed {
			t.Errorf("builds %q: got %d reservations for the rest of the stream, want %d; outputs %+v", row.builds, resumed, row.resumed, outputs)
		}
	}
}

// TestStreamWithoutDataStartsOver guards against the head of one response over the body of
// another: a caller who has no data of a stream yet gets the second response from its head on.
func TestStreamWithoutDataStartsOver(t *testing.T) {
	for _, status := range []int{200, 500} {
		entry := newPair("v1", "v1")
		class := guide
		class.Streamed, class.Resumable = true, true
		id := message.NewRequestID(1, 2)
		entry.Step(now, []event.Input{event.Submitted{Request: event.Request{ID: id, Class: class, Payload: message.Payload{Stream: true}}}})
		first, second := id.WithAttempt(1), id.WithAttempt(2)
		step := func(peer string, messages ...message.Message) (outputs []event.Output) {
			for _, body := range messages {
				outputs = append(outputs, entry.Step(now, []event.Input{event.Received{Peer: peer, Link: 1, Message: body}})...)
			}
			return outputs
		}
		step("up-1", message.Claim{ID: first}, message.Chunk{ID: first, Status: 200}, message.End{ID: first, Chunks: 1, Outcome: message.Incomplete})
		outputs := step("up-2", message.Claim{ID: second}, message.Chunk{ID: second, Status: status}, message.Chunk{ID: second, Index: 1},
			message.End{ID: second, Chunks: 2, Outcome: message.Complete})
		heads := count(outputs, func(deliver event.Deliver) bool { return deliver.Chunk.Index == 0 && deliver.Chunk.Status == status })
		ends := count(outputs, func(finish event.Finish) bool { return finish.Outcome == message.Complete })
		if heads != 1 || count(outputs, anyOutput[event.Deliver]) != 2 || ends != 1 {
			t.Errorf("status %d: got outputs %+v, want the head, one chunk and a complete end", status, outputs)
		}
	}
}
