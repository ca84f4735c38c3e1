package dispatch_test

import (
	"encoding/json"
	"testing"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/event"
	"endivepost/internal/data/revision"
	"endivepost/internal/policy/retrywindow"
	"endivepost/internal/wire/message"
)

var streamClass = document.Class{
	Name: "stream", Streamed: true, Resumable: true, MaxAttempts: 3, Split: []document.Share{{Pool: "pool", Weight: 1}},
}

// beginStreams submits streams and reports the first event of each.
func (harness *harness) beginStreams(count int) []event.Attempt {
	attempts := make([]event.Attempt, count)
	for i := range attempts {
		harness.sequence++
		attempts[i] = onlyOutput[event.Attempt](harness.t, harness.step(event.Submitted{Request: event.Request{
			ID: message.NewRequestID(1, harness.sequence), Class: streamClass, Tier: 1, Fingerprint: harness.sequence, Timeout: 20 * time.Second,
		}}))
		harness.step(event.AttemptFirstByte{ID: attempts[i].ID, Number: attempts[i].Number})
	}
	return attempts
}

// silenceDriver steps a dispatcher with streams in flight and plays the shell.
type silenceDriver struct {
	*harness
	attempts []event.Attempt
	// reachable is whether a new connection to a silent upstream can be opened.
	reachable bool
	pending   []event.Input
	outcomes  []message.Outcome
	silent    int
	stops     int
}

func newSilenceDriver(t *testing.T, streams int, retries retrywindow.Settings) *silenceDriver {
	driver := &silenceDriver{harness: newHarness(t, 3, retries)}
	driver.attempts = driver.beginStreams(streams)
	return driver
}

// advance steps the dispatcher once. Stopped attempts end, and silent upstreams are probed.
func (driver *silenceDriver) advance(inputs ...event.Input) {
	inputs = append(driver.pending, inputs...)
	driver.pending = nil
	for _, output := range driver.step(inputs...) {
		switch output := output.(type) {
		case event.Attempt:
			driver.replaceAttempt(output)
		case event.StopRun:
			driver.stops++
			driver.endAttempt(output.ID)
		case event.Finish:
			driver.outcomes = append(driver.outcomes, output.Outcome)
		case event.UpstreamSilent:
			driver.silent++
			driver.pending = append(driver.pending, event.UpstreamProbed{Name: output.Name, Reachable: driver.reachable})
		}
	}
}

func (driver *silenceDriver) replaceAttempt(attempt event.Attempt) {
	for i := range driver.attempts {
		if driver.attempts[i].ID == attempt.ID {
			driver.attempts[i] = attempt
		}
	}
}

func (driver *silenceDriver) endAttempt(id message.RequestID) {
	for _, attempt := range driver.attempts {
		if attempt.ID == id {
			driver.pending = append(driver.pending, event.AttemptEnded{ID: id, Number: attempt.Number, Result: event.Stopped, Delivered: true})
		}
	}
}

// run steps the dispatcher for the given time. The active upstreams send events meanwhile.
func (driver *silenceDriver) run(span time.Duration, active map[string]bool) {
	for until := driver.now + span; driver.now < until; driver.now += 20 * time.Millisecond {
		driver.advance(driver.progress(active)...)
	}
}

// progress returns an event of each stream at the active upstreams.
func (driver *silenceDriver) progress(active map[string]bool) []event.Input {
	var inputs []event.Input
	for _, attempt := range driver.attempts {
		if active[attempt.Upstream] {
			inputs = append(inputs, event.AttemptProgressed{ID: attempt.ID, Number: attempt.Number, Events: 1})
		}
	}
	return inputs
}

// TestOwnPauseIsTakenForSilence guards against an entry that was itself paused and takes
// its upstreams for silent before it has read what they sent meanwhile.
func TestOwnPauseIsTakenForSilence(t *testing.T) {
	for _, pause := range []time.Duration{
		500 * time.Millisecond, 900 * time.Millisecond, 1300 * time.Millisecond, 1900 * time.Millisecond, 4 * time.Second,
	} {
		driver := newSilenceDriver(t, 12, ampleRetries)
		driver.run(500*time.Millisecond, nil)
		driver.now += pause
		driver.advance()
		if driver.silent > 0 || driver.stops > 0 {
			t.Errorf("after an own pause of %v: %d upstreams taken for silent and %d attempts stopped, want none", pause, driver.silent, driver.stops)
		}
	}
}

// TestCutStreamHasNowhereToGo guards against stopping the attempt of a stream that cannot go
// on elsewhere: all upstreams are silent, or no retry is left.
func TestCutStreamHasNowhereToGo(t *testing.T) {
	cases := []struct {
		name    string
		retries retrywindow.Settings
		active  map[string]bool
	}{
		{"all are silent", ampleRetries, nil},
		{"few retries are left", retrywindow.Settings{Ratio: 0.01, Slack: 1, Span: 10 * time.Second}, map[string]bool{"u-1": true, "u-2": true}},
	}
	for _, row := range cases {
		for _, reachable := range []bool{true, false} {
			driver := newSilenceDriver(t, 30, row.retries)
			driver.reachable = reachable
			driver.run(4*time.Second, row.active)
			if len(driver.outcomes) > 0 {
				t.Errorf("%s, reachable %v: %d streams ended, the first with %v, want all to go on", row.name, reachable, len(driver.outcomes), driver.outcomes[0])
			}
		}
	}
}

// TestDarkUpstreamIsLeft guards against streams that stay at an upstream that has gone dark:
// it sends nothing, and no connection to it can be opened.
func TestDarkUpstreamIsLeft(t *testing.T) {
	const leftWithin = 1200 * time.Millisecond
	driver := newSilenceDriver(t, 30, ampleRetries)
	driver.run(leftWithin, map[string]bool{"u-1": true, "u-2": true})
	for _, attempt := range driver.attempts {
		if attempt.Upstream == "u-0" {
			t.Fatalf("request %v is at the dark upstream after %v, want it at another", attempt.ID, leftWithin)
		}
	}
}

// TestBrokenStreamIsMovedWhileItWaits guards against moving a stream that goes on at another
// upstream as if its caller had nothing of it yet, and against spending the last attempt of a
// request because its upstream, which can be reached, is silent.
func TestBrokenStreamIsMovedWhileItWaits(t *testing.T) {
	cases := []struct {
		name     string
		attempts int
		begun    bool
	}{
		{"a stream that broke off once", 4, true},
		{"a request that waits", 4, false},
		{"a request with one attempt left", 2, false},
	}
	for _, row := range cases {
		driver := &silenceDriver{harness: newHarness(t, 4, ampleRetries), reachable: true}
		class := streamClass
		class.MaxAttempts = row.attempts
		driver.sequence++
		first := onlyOutput[event.Attempt](t, driver.step(event.Submitted{Request: event.Request{
			ID: message.NewRequestID(1, driver.sequence), Class: class, Tier: 1, Fingerprint: 7, Timeout: 20 * time.Second,
		}}))
		driver.attempts = []event.Attempt{first}
		if row.begun {
			driver.advance(event.AttemptFirstByte{ID: first.ID, Number: first.Number})
			driver.advance(event.AttemptEnded{ID: first.ID, Number: first.Number, Result: event.Interrupted, Delivered: true})
		}
		driver.run(2*time.Second, nil)
		if driver.silent == 0 || driver.stops > 0 {
			t.Errorf("%s: %d upstreams taken for silent and %d attempts stopped, want 1 or more and none", row.name, driver.silent, driver.stops)
		}
	}
}

// TestDarkUpstreamIsNotFoundBySlowProcess guards against an entry all of whose steps are late
// and that so never counts any time as silence.
func TestDarkUpstreamIsNotFoundBySlowProcess(t *testing.T) {
	driver := newSilenceDriver(t, 30, ampleRetries)
	for range 15 {
		driver.now += 210 * time.Millisecond
		driver.advance(driver.progress(map[string]bool{"u-1": true, "u-2": true})...)
	}
	if driver.silent == 0 {
		t.Error("the dark upstream was not found within 15 steps of 0.21 s, want it to be found")
	}
}

// TestUpstreamIsAvoidedAfterItsPause guards against keeping new requests from an upstream that
// was silent and sends again.
func TestUpstreamIsAvoidedAfterItsPause(t *testing.T) {
	all := map[string]bool{"u-0": true, "u-1": true, "u-2": true}
	driver := newSilenceDriver(t, 12, ampleRetries)
	driver.reachable = true
	driver.run(500*time.Millisecond, all)
	driver.run(2*time.Second, map[string]bool{"u-1": true, "u-2": true})
	driver.run(100*time.Millisecond, all)
	for fingerprint := range uint64(30) {
		if onlyOutput[event.Attempt](t, driver.submit(idempotentClass, 1000+fingerprint)).Upstream == "u-0" {
			return
		}
	}
	t.Error("none of 30 requests went to the upstream that sends again, want some")
}

// TestMovedStreamIsTurnedAway guards against losing a stream that left an upstream that
// stalls, if the only other one does not take it.
func TestMovedStreamIsTurnedAway(t *testing.T) {
	for _, result := range []event.AttemptResult{event.Declined, event.ConnectFailed, event.UpstreamError, event.Misdirected} {
		driver := newSilenceDriver(t, 6, ampleRetries)
		driver.reachable = true
		driver.step(event.UpstreamRemoved{Name: "u-2", Revision: revision.New(0, 2)})
		driver.run(6*time.Second, map[string]bool{"u-1": true, "u-2": true})
		moved := 0
		for _, attempt := range driver.attempts {
			if attempt.Number > 1 {
				moved++
				driver.advance(event.AttemptEnded{ID: attempt.ID, Number: attempt.Number, Result: result, Status: 503, Delivered: true})
			}
		}
		driver.run(100*time.Millisecond, nil)
		if moved == 0 || len(driver.outcomes) > 0 {
			t.Errorf("%v: %d streams were moved and %d ended, want some to be moved and none to end", result, moved, len(driver.outcomes))
		}
	}
}

// TestRequestsAreStoppedForOnePlace guards against stopping the attempts of all requests at a
// silent engine for the same free place at another.
func TestRequestsAreStoppedForOnePlace(t *testing.T) {
	const batch = 8
	driver := &silenceDriver{harness: newHarness(t, 1, ampleRetries), reachable: true}
	raw, err := json.Marshal(document.Document{
		Version: 2, SelfRegistration: true, Classes: []document.Class{idempotentClass, nonIdempotentClass},
		Pools: []document.Pool{{Name: "pool", Engine: document.Engine{Batch: batch, CacheTokens: 1 << 20}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	onlyOutput[event.DocumentAccepted](t, driver.step(event.DocumentRead{Raw: raw}))
	class := streamClass
	class.FirstToken = document.Duration(5 * time.Second)
	submit := func() event.Attempt {
		driver.sequence++
		return onlyOutput[event.Attempt](t, driver.step(event.Submitted{Request: event.Request{
			ID: message.NewRequestID(1, driver.sequence), Class: class, Tier: 1, Fingerprint: driver.sequence, Timeout: 10 * time.Second,
			Prompt: event.Prompt{Tokens: 10, MaxOutputTokens: 10},
		}}))
	}
	for range batch {
		driver.attempts = append(driver.attempts, submit())
	}
	driver.step(event.UpstreamUpdated{Upstream: event.Upstream{Name: "u-1", Pool: "pool", Address: "u-1", Domain: "a", Revision: 2}})
	for range batch - 1 {
		attempt := submit()
		driver.attempts = append(driver.attempts, attempt)
		driver.step(event.AttemptFirstByte{ID: attempt.ID, Number: attempt.Number})
	}
	for driver.stops == 0 && driver.now < 2*time.Minute {
		driver.run(20*time.Millisecond, map[string]bool{"u-1": true})
	}
	if driver.stops != 1 {
		t.Errorf("%d attempts were stopped for one free place, want 1", driver.stops)
	}
}
