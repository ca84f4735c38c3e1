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

// TestMain fixes the seed so that test runs are reproducible.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const peer = "entry-1/1"

func newController(slots, queueCapacity int) *Controller {
	controller := New(Settings{
		Name: "up-1", Order: tiered.New[message.RequestID](tiered.Floor{Wait: 2 * time.Second, Every: 4}), Limit: fixed.Limit(slots),
		QueueCapacity: queueCapacity, ClaimLease: 300 * time.Millisecond, PushLease: time.Second, HeartbeatInterval: time.Hour,
		HeartbeatTimeout: 2 * time.Hour, ReattachTimeout: 5 * time.Second, ReplayBytes: 100,
	})
	controller.Step(0, []event.Input{event.LinkOpened{Peer: peer, Link: 1, Boot: 1}})
	return controller
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

// TestHigherTierIsNeverShedForLower guards against shedding a request while a
// lower tier has queued requests. It fills small queues with all tiers while slots
// become free and the anti-starvation floor is active. When a request is shed, no
// class of a lower tier may have more than its one reserved queue slot. Requests
// in flight must never be stopped.
func TestHigherTierIsNeverShedForLower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller := newController(2, rapid.IntRange(1, 6).Draw(t, "bound"))
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
			outputs := controller.Step(now, append(inputs, from(reserve)))
			for _, start := range started(outputs) {
				running = append(running, start.ID)
			}
			for _, refused := range sent[message.Refused](outputs) {
				checkShed(t, controller, tiers[refused.ID], tiers)
			}
			for _, output := range outputs {
				if stop, ok := output.(event.StopRun); ok {
					t.Fatalf("request %v in flight was stopped, want no stop", stop.ID)
				}
			}
		}
	})
}

func checkShed(t *rapid.T, controller *Controller, shed int, tiers map[message.RequestID]int) {
	lower := make(map[int]int)
	for _, id := range controller.reservations.Keys() {
		if tiers[id] > shed {
			lower[tiers[id]]++
		}
	}
	for tier, waiting := range lower {
		if waiting > 1 {
			t.Fatalf("tier %d was shed while %d requests of tier %d were queued, want at most 1", shed, waiting, tier)
		}
	}
}

// TestLowestClassRuns guards against starvation of the lowest class. Tier 1 always
// has more requests than the single slot can run. The lowest class must run within
// the floor's wait plus Every runs for each of the two queued classes, plus the run
// that is in flight.
func TestLowestClassRuns(t *testing.T) {
	t.Parallel()
	const service = 100 * time.Millisecond
	const maxWait = 2*time.Second + 4*2*service + service
	controller := newController(1, 16)
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
		for _, start := range started(controller.Step(now, inputs)) {
			running = start.ID
			if start.Tier == 6 {
				latest = now
			}
		}
		if now-latest > maxWait {
			t.Fatalf("the lowest class has not run for %v, want a run within %v", now-latest, maxWait)
		}
	}
}

// TestLateMessagesDoNotRun: after a pause of this process, pushes and grants that
// waited in a buffer arrive past their lease, their link or their withdrawal. The
// entry may have sent such a request elsewhere, so it must not run here, not even
// if the message arrives twice.
func TestLateMessagesDoNotRun(t *testing.T) {
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
		{"a grant from an older link", []event.Input{from(reserve), event.LinkOpened{Peer: peer, Link: 2, Boot: 1}},
			from(message.Grant{ID: id}), 10 * time.Millisecond},
		{"a grant after it was withdrawn", []event.Input{from(reserve), from(message.Withdraw{ID: id})}, from(message.Grant{ID: id}),
			10 * time.Millisecond},
	}
	for _, row := range cases {
		t.Run(row.name, func(t *testing.T) {
			controller := newController(1, 4)
			controller.Step(0, row.before)
			outputs := controller.Step(row.after, []event.Input{row.late})
			if starts := started(outputs); len(starts) > 0 {
				t.Fatalf("the request ran: %+v, want no run", starts)
			}
			again := controller.Step(row.after+time.Millisecond, []event.Input{row.late})
			if starts := started(again); len(starts) > 0 {
				t.Fatalf("the request ran when its message arrived again: %+v, want no run", starts)
			}
		})
	}
}

// TestRefusalIsRepeated: a request that arrives again after its refusal must be
// refused again. Without a reply its entry would wait for ever.
func TestRefusalIsRepeated(t *testing.T) {
	controller := newController(1, 4)
	stale := pushed(7, 1, -2*time.Second)
	for range 2 {
		if refused := sent[message.Refused](controller.Step(0, []event.Input{from(stale)})); len(refused) != 1 {
			t.Fatalf("push older than its lease: got %d refusals, want 1", len(refused))
		}
	}
}

// TestAttachAfterLoss: an entry attaches to a request that never arrived. The reply
// may be not-run only while a run since then would still be stored. For an older
// request it must be unknown, since its run may have been deleted.
func TestAttachAfterLoss(t *testing.T) {
	id := message.NewRequestID(1, 7)
	controller := newController(1, 4)
	young := controller.Step(time.Minute, []event.Input{from(message.Attach{ID: id, Since: time.Minute - time.Second})})
	if refused := sent[message.Refused](young); len(refused) != 1 {
		t.Errorf("request sent 1s ago: outputs %+v, want one refusal", young)
	}
	other := message.NewRequestID(1, 8)
	old := controller.Step(time.Minute, []event.Input{from(message.Attach{ID: other, Since: time.Second})})
	if ends := sent[message.End](old); len(ends) != 1 || ends[0].Outcome != message.Unknown {
		t.Errorf("request sent 59s ago: outputs %+v, want one end with outcome unknown", old)
	}
}

// TestReplayOfEvictedChunks: if an entry requests chunks that the replay buffer no
// longer has, the response must end as incomplete and not as complete.
func TestReplayOfEvictedChunks(t *testing.T) {
	controller := newController(1, 4)
	reserve := pushed(7, 1, 0)
	controller.Step(0, []event.Input{from(reserve)})
	for range 10 {
		controller.Step(0, []event.Input{event.ResponseChunk{ID: reserve.ID, Data: make([]byte, 50)}})
	}
	controller.Step(0, []event.Input{event.RunEnded{ID: reserve.ID, Outcome: message.Complete}})
	outputs := controller.Step(0, []event.Input{from(message.Attach{ID: reserve.ID, Next: 2})})
	if ends := sent[message.End](outputs); len(ends) != 1 || ends[0].Outcome != message.Incomplete || ends[0].Reason != message.Gap {
		t.Fatalf("attach at evicted chunk 2: outputs %+v, want one end, incomplete with reason gap", outputs)
	}
	outputs = controller.Step(0, []event.Input{from(message.Attach{ID: reserve.ID, Next: 9})})
	if chunks := sent[message.Chunk](outputs); len(chunks) != 1 || chunks[0].Index != 9 {
		t.Fatalf("attach at stored chunk 9: outputs %+v, want that chunk", outputs)
	}
}
