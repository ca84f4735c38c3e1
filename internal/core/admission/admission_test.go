package admission

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/fixed"
	"endivepost/internal/policy/tiered"
	"endivepost/internal/wire/message"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const peer = "entry-1/1"

func newGate(slots, bound int) *Controller {
	gate := New(Settings{
		Name: "up-1", Order: tiered.New[message.RequestID](tiered.Floor{Wait: 2 * time.Second, Every: 4}), Limit: fixed.Limit(slots),
		QueueCapacity: bound, ClaimLease: 300 * time.Millisecond, PushLease: time.Second, HeartbeatInterval: time.Hour,
		HeartbeatTimeout: 2 * time.Hour, ReattachTimeout: 5 * time.Second, ReplayBytes: 100,
	})
	gate.Step(0, []event.Input{event.LinkOpened{Peer: peer, Link: 1, Boot: 1}})
	return gate
}

func from(body message.Message) event.Input {
	return event.Received{Peer: peer, Link: 1, Message: body}
}

func pushed(sequence uint64, tier int, now time.Duration) message.Reserve {
	return message.Reserve{
		ID: message.NewRequestID(1, sequence), Class: fmt.Sprintf("class-%d", tier), Tier: tier, Timeout: time.Hour, Echo: now,
		Payload: &message.Payload{},
	}
}

// sent returns the messages of one type among the outputs.
func sent[M message.Message](outputs []event.Output) []M {
	var found []M
	for _, output := range outputs {
		if send, ok := output.(event.Send); ok {
			if body, ok := send.Message.(M); ok {
				found = append(found, body)
			}
		}
	}
	return found
}

func started(outputs []event.Output) []event.StartRun {
	var found []event.StartRun
	for _, output := range outputs {
		if start, ok := output.(event.StartRun); ok {
			found = append(found, start)
		}
	}
	return found
}

// TestHigherTierIsNeverShedForLower fills small queues with all tiers while
// slots come free and the floor is active. Whenever a request is given up for
// want of room, no class of a lower tier holds more than its one floor place;
// and nothing that runs is ever stopped.
func TestHigherTierIsNeverShedForLower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gate := newGate(2, rapid.IntRange(1, 6).Draw(t, "bound"))
		tiers := make(map[message.RequestID]int)
		var running []message.RequestID
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now := time.Duration(step) * 200 * time.Millisecond
			var inputs []event.Input
			if rapid.Bool().Draw(t, "end") && len(running) > 0 {
				inputs = append(inputs, event.RunEnded{ID: running[0], Outcome: message.Complete})
				running = running[1:]
			}
			tier := rapid.IntRange(1, 4).Draw(t, "tier")
			reserve := pushed(uint64(step+1), tier, now)
			tiers[reserve.ID] = tier
			outputs := gate.Step(now, append(inputs, from(reserve)))
			for _, start := range started(outputs) {
				running = append(running, start.ID)
			}
			for _, refused := range sent[message.Refused](outputs) {
				checkShed(t, gate, tiers[refused.ID], tiers)
			}
			for _, output := range outputs {
				if stop, ok := output.(event.StopRun); ok {
					t.Fatalf("%v was stopped", stop.ID)
				}
			}
		}
	})
}

func checkShed(t *rapid.T, gate *Controller, shed int, tiers map[message.RequestID]int) {
	lower := make(map[int]int)
	for _, id := range gate.reservations.Keys() {
		if tiers[id] > shed {
			lower[tiers[id]]++
		}
	}
	for tier, waiting := range lower {
		if waiting > 1 {
			t.Fatalf("tier %d was shed while %d of tier %d wait", shed, waiting, tier)
		}
	}
}

// TestLowestClassRuns floods tier 1 for ever at one slot. The bound for the
// lowest class: the floor's wait, then Every runs for each waiting class.
func TestLowestClassRuns(t *testing.T) {
	t.Parallel()
	const service = 100 * time.Millisecond
	const bound = 2*time.Second + 4*2*service + service
	gate := newGate(1, 16)
	latest := time.Duration(0)
	sequence := uint64(0)
	var running message.RequestID
	for step := range 2000 {
		now := time.Duration(step) * service
		sequence += 3
		inputs := []event.Input{
			event.RunEnded{ID: running, Outcome: message.Complete},
			from(pushed(sequence, 1, now)), from(pushed(sequence+1, 1, now)), from(pushed(sequence+2, 6, now)),
		}
		for _, start := range started(gate.Step(now, inputs)) {
			running = start.ID
			if start.Tier == 6 {
				latest = now
			}
		}
		if now-latest > bound {
			t.Fatalf("the lowest class has not run for %v", now-latest)
		}
	}
}

// TestLateFrames gives the gate what lay in a buffer during a pause. Nothing of
// it may run, and the refusals are true.
func TestLateFrames(t *testing.T) {
	id := message.NewRequestID(1, 7)
	reserve := message.Reserve{ID: id, Class: "c", Tier: 1, Timeout: time.Minute}
	cases := []struct {
		name   string
		before []event.Input
		late   event.Input
		after  time.Duration
	}{
		{"a push older than its lease", nil, from(pushed(7, 1, 0)), 2 * time.Second},
		{"a grant after the claim's lease", []event.Input{from(reserve)}, from(message.Grant{ID: id}), time.Second},
		{"a grant without a claim", nil, from(message.Grant{ID: id}), time.Millisecond},
		{"a grant of an older link", []event.Input{from(reserve), event.LinkOpened{Peer: peer, Link: 2, Boot: 1}},
			from(message.Grant{ID: id}), 10 * time.Millisecond},
		{"a grant after it was withdrawn", []event.Input{from(reserve), from(message.Withdraw{ID: id})}, from(message.Grant{ID: id}),
			10 * time.Millisecond},
	}
	for _, row := range cases {
		t.Run(row.name, func(t *testing.T) {
			gate := newGate(1, 4)
			gate.Step(0, row.before)
			outputs := gate.Step(row.after, []event.Input{row.late})
			if starts := started(outputs); len(starts) > 0 {
				t.Fatalf("it ran: %+v", starts)
			}
			again := gate.Step(row.after+time.Millisecond, []event.Input{row.late})
			if starts := started(again); len(starts) > 0 {
				t.Fatalf("it ran at the second time: %+v", starts)
			}
		})
	}
}

// TestRefusalIsRepeated: a request met again after its refusal gets the refusal
// again and never silence, or its entry would wait for ever.
func TestRefusalIsRepeated(t *testing.T) {
	gate := newGate(1, 4)
	stale := pushed(7, 1, -2*time.Second)
	for range 2 {
		if refused := sent[message.Refused](gate.Step(0, []event.Input{from(stale)})); len(refused) != 1 {
			t.Fatalf("%d refusals", len(refused))
		}
	}
}

// TestAttachAfterLoss asks about a request that never arrived. Only while every
// run since then would still have its row is the answer not-run.
func TestAttachAfterLoss(t *testing.T) {
	id := message.NewRequestID(1, 7)
	gate := newGate(1, 4)
	young := gate.Step(time.Minute, []event.Input{from(message.Attach{ID: id, Since: time.Minute - time.Second})})
	if refused := sent[message.Refused](young); len(refused) != 1 {
		t.Errorf("lost on its way: %+v", young)
	}
	other := message.NewRequestID(1, 8)
	old := gate.Step(time.Minute, []event.Input{from(message.Attach{ID: other, Since: time.Second})})
	if ends := sent[message.End](old); len(ends) != 1 || ends[0].Outcome != message.Unknown {
		t.Errorf("too old to tell: %+v", old)
	}
}

// TestReplayAfterTheTailIsGone: parts that are not kept any more end the answer
// as incomplete, never as complete.
func TestReplayAfterTheTailIsGone(t *testing.T) {
	gate := newGate(1, 4)
	reserve := pushed(7, 1, 0)
	gate.Step(0, []event.Input{from(reserve)})
	for range 10 {
		gate.Step(0, []event.Input{event.ResponseChunk{ID: reserve.ID, Data: make([]byte, 50)}})
	}
	gate.Step(0, []event.Input{event.RunEnded{ID: reserve.ID, Outcome: message.Complete}})
	outputs := gate.Step(0, []event.Input{from(message.Attach{ID: reserve.ID, Next: 2})})
	if ends := sent[message.End](outputs); len(ends) != 1 || ends[0].Outcome != message.Incomplete || ends[0].Reason != message.Gap {
		t.Fatalf("%+v", outputs)
	}
	outputs = gate.Step(0, []event.Input{from(message.Attach{ID: reserve.ID, Next: 9})})
	if chunks := sent[message.Chunk](outputs); len(chunks) != 1 || chunks[0].Index != 9 {
		t.Fatalf("%+v", outputs)
	}
}
