package dispatch_test

import (
	"testing"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// interruptRequest submits a request with fingerprint 666 and interrupts its response.
// If alive is set, the upstream sends data for another request after the pause.
// interruptRequest returns false if the request was rejected as a suspect.
func (harness *harness) interruptRequest(pause time.Duration, alive bool) bool {
	harness.sequence++
	fingerprint := 1000 + harness.sequence
	var other event.Attempt
	outputs := harness.submit(nonIdempotentClass, 666)
	for _, output := range outputs {
		if finish, finished := output.(event.Finish); finished && finish.Reason == message.Suspect {
			return false
		}
	}
	lost := onlyOutput[event.Attempt](harness.t, outputs)
	for other.Upstream != lost.Upstream {
		other = onlyOutput[event.Attempt](harness.t, harness.submit(nonIdempotentClass, fingerprint))
	}
	harness.end(lost, event.Interrupted)
	harness.now += pause
	if alive {
		harness.step(event.AttemptFirstByte{ID: other.ID, Number: other.Number})
	}
	return true
}

// TestLostResponsesAreNotCrashes guards against rejecting a request whose responses
// were lost with their connections, while the upstreams kept running. Data from the
// upstream within lateDataWindow may have been sent before a crash, and data after
// minRestartTime may come from a restarted process: neither clears the request.
func TestLostResponsesAreNotCrashes(t *testing.T) {
	cases := []struct {
		name     string
		pause    time.Duration
		alive    bool
		rejected bool
	}{
		{"alive", 200 * time.Millisecond, true, false},
		{"no more data", 200 * time.Millisecond, false, true},
		{"data sent before the interruption", 0, true, true},
		{"data after a restart", 3 * time.Second, true, true},
	}
	for _, row := range cases {
		harness := newHarness(t, 2, ampleRetries)
		rejected := false
		for range 5 {
			rejected = rejected || !harness.interruptRequest(row.pause, row.alive)
		}
		if rejected != row.rejected {
			t.Errorf("%s: rejected %v, want %v", row.name, rejected, row.rejected)
		}
	}
}

// TestClearedSuspicions guards against requests that stay rejected at other
// entries: an entry reports a cleared suspicion to its peers, and a peer's report
// clears the suspicion here.
func TestClearedSuspicions(t *testing.T) {
	harness := newHarness(t, 2, ampleRetries)
	harness.step(event.LinkOpened{Peer: peer, Link: 1})
	harness.interruptRequest(150*time.Millisecond, true)
	harness.now += time.Second
	heartbeats := sentMessages[message.EntryHeartbeat](harness.step())
	if len(heartbeats) != 1 || len(heartbeats[0].Cleared) != 1 || heartbeats[0].Cleared[0] != 666 || len(heartbeats[0].Suspicions) != 0 {
		t.Errorf("got heartbeats %+v, want one that clears fingerprint 666", heartbeats)
	}
	deliver := func(heartbeat message.EntryHeartbeat) {
		harness.step(event.Received{Peer: peer, Link: 1, Message: heartbeat})
	}
	deliver(message.EntryHeartbeat{Suspicions: []message.Suspicion{{Fingerprint: 667, Crashes: 3, Remaining: time.Minute}}})
	if finish := onlyOutput[event.Finish](t, harness.submit(idempotentClass, 667)); finish.Reason != message.Suspect {
		t.Fatalf("got reason %v for a suspect, want %v", finish.Reason, message.Suspect)
	}
	deliver(message.EntryHeartbeat{Cleared: []uint64{667}})
	onlyOutput[event.Attempt](t, harness.submit(idempotentClass, 667))
}
