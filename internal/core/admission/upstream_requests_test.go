package admission

import (
	"testing"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// claimed reserves and returns the claimed request.
func claimed(t *testing.T, controller *Controller, sequence uint64, now time.Duration) message.RequestID {
	t.Helper()
	reserve := pushed(sequence, 1, now)
	reserve.Payload = nil
	claims := sent[message.Claim](controller.Step(now, []event.Input{from(reserve)}))
	if len(claims) != 1 {
		t.Fatalf("got %d claims, want 1", len(claims))
	}
	return reserve.ID
}

// checkRefused checks that the outputs refuse one request with the reason and start none.
func checkRefused(t *testing.T, outputs []event.Output, reason message.Reason) message.Refused {
	t.Helper()
	refused := sent[message.Refused](outputs)
	if len(started(outputs)) > 0 || len(refused) != 1 || refused[0].Reason != reason {
		t.Fatalf("got %+v and %d starts, want one refusal for %s and no start", refused, len(started(outputs)), reason)
	}
	return refused[0]
}

// TestLeavingUpstreamIsSentMore guards against requests to an upstream that announced in a
// response that it leaves, be they new, claimed or queued, against ending those that run,
// and against losing the process that is started in its place.
func TestLeavingUpstreamIsSentMore(t *testing.T) {
	controller := newController(2, 8)
	running := pushed(1, 1, 0)
	controller.Step(0, []event.Input{from(running)})
	granted := claimed(t, controller, 2, 0)
	controller.Step(0, []event.Input{from(pushed(3, 1, 0))})
	outputs := controller.Step(time.Second/10, []event.Input{event.LeavingAnnounced{}})
	checkRefused(t, outputs, message.Draining)
	if heartbeats := sent[message.Heartbeat](outputs); len(heartbeats) != 1 || heartbeats[0].Load.Limit != 0 {
		t.Errorf("got heartbeats %+v, want one at once with limit 0", heartbeats)
	}
	checkRefused(t, controller.Step(time.Second/10, []event.Input{from(message.Grant{ID: granted})}), message.Draining)
	checkRefused(t, controller.Step(time.Second, []event.Input{event.UpstreamChecked{Up: true}, from(pushed(4, 1, time.Second))}), message.Draining)
	ends := sent[message.End](controller.Step(time.Second, []event.Input{event.RunEnded{ID: running.ID, Outcome: message.Complete}}))
	if len(ends) != 1 || ends[0].Outcome != message.Complete {
		t.Errorf("got %+v, want the run to end complete", ends)
	}
	controller.Step(2*time.Second, []event.Input{event.UpstreamChecked{Up: false}})
	outputs = controller.Step(3*time.Second, []event.Input{event.UpstreamChecked{Up: true}, from(pushed(5, 1, 3*time.Second))})
	if len(started(outputs)) != 1 {
		t.Error("a request to the upstream that was started again was not sent, want it to be")
	}
}

// TestUpstreamIsSentMoreInBackoff guards against requests to an upstream in the time for which
// it asked to be sent none, against a shorter time that shortens it, and against a storm at
// its end.
func TestUpstreamIsSentMoreInBackoff(t *testing.T) {
	controller := newController(4, 8)
	granted := claimed(t, controller, 1, 0)
	outputs := controller.Step(0, []event.Input{event.BackoffRequested{For: 2 * time.Second}, event.BackoffRequested{For: time.Second}})
	if heartbeats := sent[message.Heartbeat](outputs); len(heartbeats) != 1 || heartbeats[0].Load.Limit != 0 || heartbeats[0].Load.Wait != 2*time.Second {
		t.Errorf("got heartbeats %+v, want one at once with limit 0 and a wait of 2 s", heartbeats)
	}
	checkRefused(t, controller.Step(0, []event.Input{from(message.Grant{ID: granted})}), message.QueueFull)
	const within = 1900 * time.Millisecond
	refused := checkRefused(t, controller.Step(within, []event.Input{from(pushed(2, 1, within))}), message.QueueFull)
	if refused.RetryAfter < 2*time.Second-within {
		t.Errorf("got Retry-After %s, want at least %s", refused.RetryAfter, 2*time.Second-within)
	}
	if due := controller.NextDue(); due != 2*time.Second {
		t.Errorf("got the next step due at %s, want 2 s", due)
	}
	const end = 2 * time.Second
	outputs = controller.Step(end, []event.Input{from(pushed(3, 1, end)), from(pushed(4, 1, end)), from(pushed(5, 1, end))})
	if starts := started(outputs); len(starts) != 1 {
		t.Fatalf("got %d requests right after the backoff, want 1", len(starts))
	}
	outputs = controller.Step(end+time.Millisecond, []event.Input{event.ResponseChunk{ID: started(outputs)[0].ID, Status: 200}})
	if starts := started(outputs); len(starts) != 2 {
		t.Errorf("got %d requests after the first response, want 2", len(starts))
	}
}
