package dispatch_test

import (
	"testing"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// breakOff has an answer to the request 666 lost at an upstream that goes on to
// answer another request after the pause, if it is alive. It returns false if the
// request was refused.
func (bench *bench) breakOff(pause time.Duration, alive bool) bool {
	bench.sequence++
	fingerprint := 1000 + bench.sequence
	var beside event.Attempt
	outputs := bench.submit(holdClass, 666)
	for _, output := range outputs {
		if finish, refused := output.(event.Finish); refused && finish.Reason == message.Suspect {
			return false
		}
	}
	lost := only[event.Attempt](bench.t, outputs)
	for beside.Upstream != lost.Upstream {
		beside = only[event.Attempt](bench.t, bench.submit(holdClass, fingerprint))
	}
	bench.end(lost, event.Interrupted)
	bench.now += pause
	if alive {
		bench.step(event.AttemptFirstByte{ID: beside.ID, Number: beside.Number})
	}
	return true
}

// TestLostAnswersAreNoCrashes: answers that were lost on the way, at upstreams
// that go on to answer others, do not make a request one that crashes upstreams.
// What an upstream sent before it crashed, or sends after it was started anew,
// does not speak for the request.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	cases := []struct {
		name    string
		pause   time.Duration
		alive   bool
		refused bool
	}{
		{"the upstreams go on", 200 * time.Millisecond, true, false},
		{"they send nothing more", 200 * time.Millisecond, false, true},
		{"they had sent it before", 0, true, true},
		{"they are back after some seconds", 3 * time.Second, true, true},
	}
	for _, row := range cases {
		bench := newBench(t, 2, manyRetries)
		refused := false
		for range 5 {
			refused = refused || !bench.breakOff(row.pause, row.alive)
		}
		if refused != row.refused {
			t.Errorf("%s: refused %v", row.name, refused)
		}
	}
}

// TestClearedSuspicions: an entry tells the others when a request that it or they
// suspected turns out well, and they believe it.
func TestClearedSuspicions(t *testing.T) {
	bench := newBench(t, 2, manyRetries)
	bench.step(event.LinkOpened{Peer: peer, Link: 1})
	bench.breakOff(150*time.Millisecond, true)
	bench.now += time.Second
	beats := sent[message.EntryHeartbeat](bench.step())
	if len(beats) != 1 || len(beats[0].Cleared) != 1 || beats[0].Cleared[0] != 666 || len(beats[0].Suspicions) != 0 {
		t.Errorf("told %+v, want that 666 is cleared", beats)
	}
	tell := func(beat message.EntryHeartbeat) {
		bench.step(event.Received{Peer: peer, Link: 1, Message: beat})
	}
	tell(message.EntryHeartbeat{Suspicions: []message.Suspicion{{Fingerprint: 667, Crashes: 3, Remaining: time.Minute}}})
	if refused := only[event.Finish](t, bench.submit(readClass, 667)); refused.Reason != message.Suspect {
		t.Fatalf("a suspect ended with %v", refused.Reason)
	}
	tell(message.EntryHeartbeat{Cleared: []uint64{667}})
	only[event.Attempt](t, bench.submit(readClass, 667))
}
