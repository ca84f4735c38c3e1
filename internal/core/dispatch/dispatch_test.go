package dispatch_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/dispatch"
	"endivepost/internal/core/event"
	"endivepost/internal/core/mesh"
	"endivepost/internal/policy/retrywindow"
	"endivepost/internal/policy/tiered"
	"endivepost/internal/wire/message"
)

// bench is a dispatcher with a pool of upstreams and a clock.
type bench struct {
	t          *testing.T
	dispatcher *dispatch.Dispatcher
	now        time.Duration
	sequence   uint64
}

var (
	readClass = document.Class{
		Name: "look", Tier: 1, WholeAnswer: document.Duration(time.Second), TimeLimit: document.Duration(5 * time.Second),
		MaxAttempts: 3, Split: []document.Share{{Pool: "pool", Weight: 1}},
	}
	holdClass = document.Class{
		Name: "hold", Tier: 1, WholeAnswer: document.Duration(time.Second), TimeLimit: document.Duration(5 * time.Second),
		MaxAttempts: 3, NonIdempotent: true, Split: []document.Share{{Pool: "pool", Weight: 1}},
	}
)

func newBench(t *testing.T, upstreams int, retries retrywindow.Settings) *bench {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	// The process has run for a while: it has its whole part of the common bounds.
	made := &bench{t: t, now: time.Minute, dispatcher: dispatch.New(dispatch.Settings{
		Domain: "a", Random: random, Queue: tiered.New[message.RequestID](tiered.Floor{}), HeartbeatInterval: 200 * time.Millisecond,
		UpstreamWait: 400 * time.Millisecond, Retries: retries,
		Mesh: mesh.Settings{Self: "self", Fanout: 4, HeartbeatTimeout: time.Hour, RedialDelay: time.Second, Random: random},
	})}
	raw, err := json.Marshal(document.Document{
		Version: 1, SelfRegistration: true, Classes: []document.Class{readClass, holdClass}, Pools: []document.Pool{{Name: "pool"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	var listed []event.Upstream
	for i := range upstreams {
		name := fmt.Sprintf("u-%d", i)
		listed = append(listed, event.Upstream{Name: name, Pool: "pool", Address: name, Domain: "a", Revision: 1})
	}
	made.step(event.DocumentRead{Raw: raw}, event.UpstreamListRead{Upstreams: listed, Revision: 1})
	return made
}

var manyRetries = retrywindow.Settings{Ratio: 1, Slack: 1000, Span: 10 * time.Second}

func (bench *bench) step(inputs ...event.Input) []event.Output {
	return bench.dispatcher.Step(bench.now, inputs)
}

// submit sends a request and returns the outputs.
func (bench *bench) submit(class document.Class, fingerprint uint64) []event.Output {
	bench.sequence++
	return bench.step(event.Submitted{Request: event.Request{
		ID: message.NewRequestID(1, bench.sequence), Class: class, Tier: 1, Fingerprint: fingerprint, Timeout: 2 * time.Second,
	}})
}

// end ends the attempt and returns the outputs.
func (bench *bench) end(attempt event.Attempt, result event.AttemptResult) []event.Output {
	return bench.step(event.AttemptEnded{ID: attempt.ID, Number: attempt.Number, Result: result})
}

// only returns the one output of the type.
func only[O event.Output](t *testing.T, outputs []event.Output) O {
	t.Helper()
	var found []O
	for _, output := range outputs {
		if typed, ok := output.(O); ok {
			found = append(found, typed)
		}
	}
	if len(found) != 1 {
		t.Fatalf("%d outputs of type %T among %+v", len(found), *new(O), outputs)
	}
	return found[0]
}

// TestOutcomes is the table of what attempts come to. Results are those of the
// attempts in order; the request ends after the last.
func TestOutcomes(t *testing.T) {
	const whole, unreached, declined, mistaken, erred = event.Completed, event.ConnectFailed, event.Declined, event.Misdirected, event.UpstreamError
	const broken, expired, withheld = event.Interrupted, event.TimedOut, event.NotSent
	cases := []struct {
		class    document.Class
		results  []event.AttemptResult
		outcome  message.Outcome
		attempts int
	}{
		{holdClass, []event.AttemptResult{whole}, message.Complete, 1},
		{holdClass, []event.AttemptResult{unreached, whole}, message.Complete, 1},
		{holdClass, []event.AttemptResult{declined, mistaken, whole}, message.Complete, 3},
		{holdClass, []event.AttemptResult{declined, declined, declined}, message.NotRun, 3},
		{holdClass, []event.AttemptResult{declined, broken}, message.Unknown, 2},
		{holdClass, []event.AttemptResult{erred}, message.Failed, 1},
		{holdClass, []event.AttemptResult{expired}, message.Unknown, 1},
		{holdClass, []event.AttemptResult{withheld}, message.NotRun, 0},
		{readClass, []event.AttemptResult{broken, erred, whole}, message.Complete, 3},
		{readClass, []event.AttemptResult{broken, declined, declined}, message.Unknown, 3},
		{readClass, []event.AttemptResult{erred, erred, erred}, message.Failed, 3},
		{readClass, []event.AttemptResult{event.Abandoned}, message.Incomplete, 1},
		{holdClass, []event.AttemptResult{event.Abandoned}, message.Incomplete, 1},
		{readClass, []event.AttemptResult{unreached, unreached, unreached, unreached}, message.NotRun, 0},
	}
	for _, row := range cases {
		bench := newBench(t, 4, manyRetries)
		outputs := bench.submit(row.class, 7)
		for _, result := range row.results {
			outputs = bench.end(only[event.Attempt](t, outputs), result)
		}
		finish := only[event.Finish](t, outputs)
		if finish.Outcome != row.outcome || finish.Attempts != row.attempts {
			t.Errorf("%s %v: %v after %d attempts", row.class.Name, row.results, finish.Outcome, finish.Attempts)
		}
		if (finish.RetryAfter > 0) != (row.outcome == message.NotRun) {
			t.Errorf("%s %v: come back after %v", row.class.Name, row.results, finish.RetryAfter)
		}
	}
}

// TestRequestThatCrashesUpstreams: a request that breaks each upstream that runs
// it reaches three at most, however often it is sent, and others are served.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	bench := newBench(t, 8, manyRetries)
	crashes := 0
	for range 10 {
		bench.now += time.Second
		outputs := bench.submit(readClass, 666)
		for {
			finished := false
			for _, output := range outputs {
				_, last := output.(event.Finish)
				finished = finished || last
			}
			if finished {
				break
			}
			crashes++
			outputs = bench.end(only[event.Attempt](t, outputs), event.Interrupted)
		}
	}
	if crashes > 3 {
		t.Errorf("%d upstreams were crashed", crashes)
	}
	innocent := only[event.Attempt](t, bench.submit(readClass, 1))
	if finish := only[event.Finish](t, bench.end(innocent, event.Completed)); finish.Outcome != message.Complete {
		t.Errorf("another request ended as %v", finish.Outcome)
	}
}

// TestSilentUpstream: repeatable work leaves an upstream that sends nothing, what
// must not be repeated stays, and new work goes elsewhere.
func TestSilentUpstream(t *testing.T) {
	bench := newBench(t, 2, manyRetries)
	read := only[event.Attempt](t, bench.submit(readClass, 1))
	for sent := bench.now; bench.now < sent+600*time.Millisecond; {
		bench.now += 50 * time.Millisecond
		bench.step()
	}
	hold := only[event.Attempt](t, bench.submit(holdClass, 2))
	if hold.Upstream == read.Upstream {
		t.Fatal("both went to one upstream")
	}
	bench.now += 200 * time.Millisecond
	stopped := only[event.StopRun](t, bench.step())
	if stopped.ID != read.ID {
		t.Fatal("the wrong request was stopped")
	}
	if again := only[event.Attempt](t, bench.end(read, event.Stopped)); again.Upstream == read.Upstream {
		t.Error("sent to the silent upstream again")
	}
	bench.now += 600 * time.Millisecond
	for _, output := range bench.step() {
		if stop, ok := output.(event.StopRun); ok && stop.ID == hold.ID {
			t.Error("a request that must not be repeated was stopped")
		}
	}
}

// TestRetriesAreBounded: when every upstream fails, the retries of an entry stay
// within its share of the common bound.
func TestRetriesAreBounded(t *testing.T) {
	bench := newBench(t, 6, retrywindow.Settings{Ratio: 0.2, Slack: 20, Span: 10 * time.Second})
	const requests = 200
	retries := 0
	for i := range uint64(requests) {
		bench.now += 10 * time.Millisecond
		outputs := bench.submit(readClass, 1000+i)
		for retried := -1; ; retried++ {
			attempted := false
			for _, output := range outputs {
				if attempt, ok := output.(event.Attempt); ok {
					attempted = true
					outputs = bench.end(attempt, event.UpstreamError)
					break
				}
			}
			if !attempted {
				retries += retried
				break
			}
		}
	}
	if most := requests/5 + 20; retries > most {
		t.Errorf("%d retries for %d requests, more than %d", retries, requests, most)
	}
	if retries == 0 {
		t.Error("nothing was retried")
	}
}

// TestWaitsForAnUpstream: a request for which there is no upstream waits a moment
// for one, and is then turned away as not run.
func TestWaitsForAnUpstream(t *testing.T) {
	bench := newBench(t, 0, manyRetries)
	if outputs := bench.submit(holdClass, 1); len(outputs) > 0 {
		t.Fatalf("not waiting: %+v", outputs)
	}
	bench.now += 100 * time.Millisecond
	only[event.Attempt](t, bench.step(event.UpstreamUpdated{Upstream: event.Upstream{Name: "u-9", Pool: "pool", Address: "u-9", Revision: 2}}))
	bench = newBench(t, 0, manyRetries)
	bench.submit(holdClass, 1)
	bench.now += 500 * time.Millisecond
	if finish := only[event.Finish](t, bench.step()); finish.Outcome != message.NotRun || finish.RetryAfter == 0 {
		t.Errorf("%+v", finish)
	}
}

// TestReadingIsNotSilence: an engine that reads what other entries sent first is
// not taken for a silent one.
func TestReadingIsNotSilence(t *testing.T) {
	bench := newBench(t, 2, manyRetries)
	peer := mesh.AcceptedKey("other")
	beat := message.EntryHeartbeat{Loads: []message.UpstreamLoad{
		{Upstream: "u-0", Running: 6, PrefillTokens: 120_000}, {Upstream: "u-1", Running: 6, PrefillTokens: 120_000},
	}}
	bench.step(event.LinkOpened{Peer: peer, Link: 1}, event.Received{Peer: peer, Link: 1, Message: beat})
	only[event.Attempt](t, bench.submit(readClass, 1))
	for bench.now < 2*time.Second {
		bench.now += 50 * time.Millisecond
		for _, output := range bench.step() {
			if _, stopped := output.(event.StopRun); stopped {
				t.Fatalf("stopped after %v", bench.now)
			}
		}
	}
}

// TestGreyUpstream: an upstream that fails half of what it gets at once looks
// idle beside busy ones; few requests may go there all the same.
func TestGreyUpstream(t *testing.T) {
	bench := newBench(t, 4, manyRetries)
	const requests, service = 400, 40 * time.Millisecond
	type running struct {
		attempt event.Attempt
		ends    time.Duration
	}
	var busy []running
	grey, failed := 0, 0
	for sent := 0; sent < requests; bench.now += 5 * time.Millisecond {
		var left []running
		for _, held := range busy {
			if held.ends > bench.now {
				left = append(left, held)
				continue
			}
			bench.end(held.attempt, event.Completed)
		}
		busy = left
		sent++
		attempt := only[event.Attempt](t, bench.submit(holdClass, uint64(sent)))
		if attempt.Upstream != "u-0" {
			busy = append(busy, running{attempt, bench.now + service})
			continue
		}
		grey++
		if grey%2 == 0 {
			failed++
			bench.end(attempt, event.UpstreamError)
			continue
		}
		bench.end(attempt, event.Completed)
	}
	// A fourth of the requests is its part; a tenth is what finding out may cost.
	if grey > requests/10 {
		t.Errorf("%d of %d requests went to the grey upstream, %d failed", grey, requests, failed)
	}
}

// TestCrowd: in a fleet that an entry hears a small part of, beats say nothing of
// work in progress and come less often, and its part of the common bound on
// retries is that of one among all.
func TestCrowd(t *testing.T) {
	const entries = 100
	bench := newBench(t, 6, retrywindow.Settings{Ratio: 0, Slack: entries, Span: 10 * time.Second})
	peer := mesh.AcceptedKey("entry-1")
	beat := message.EntryHeartbeat{}
	for i := range entries - 1 {
		beat.Entries = append(beat.Entries, fmt.Sprintf("entry-%d", i+1))
	}
	bench.step(event.LinkOpened{Peer: peer, Link: 1}, event.Received{Peer: peer, Link: 1, Message: beat})
	attempt := only[event.Attempt](t, bench.submit(readClass, 1))
	beats := 0
	for bench.now < 10*time.Second {
		bench.now += 100 * time.Millisecond
		for _, output := range bench.step(event.AttemptProgressed{ID: attempt.ID, Number: attempt.Number}) {
			send, ok := output.(event.Send)
			if !ok {
				continue
			}
			beats++
			if sent, ok := send.Message.(message.EntryHeartbeat); ok && len(sent.Loads) > 0 {
				t.Fatalf("a beat among %d entries tells of %d uses", entries, len(sent.Loads))
			}
		}
	}
	if beats > 11 {
		t.Errorf("%d beats in ten seconds", beats)
	}
	retries := 0
	for i := range uint64(20) {
		outputs := bench.submit(readClass, 100+i)
		again := bench.end(only[event.Attempt](t, outputs), event.UpstreamError)
		if _, retried := again[len(again)-1].(event.Attempt); retried {
			retries++
		}
	}
	if retries > 1 {
		t.Errorf("%d retries of the %d that all %d entries have", retries, entries, entries)
	}
}

// TestResumedStreamIsNotHeld: a stream that the caller has part of goes on at
// another engine at once, however much that one has to read.
func TestResumedStreamIsNotHeld(t *testing.T) {
	bench := newBench(t, 2, manyRetries)
	class := document.Class{
		Name: "draft", Tier: 1, FirstToken: document.Duration(2 * time.Second), TimeLimit: document.Duration(8 * time.Second),
		Streamed: true, Resumable: true, MaxAttempts: 2, Split: []document.Share{{Pool: "engines", Weight: 1}},
	}
	raw, err := json.Marshal(document.Document{
		Version: 2, SelfRegistration: true, Classes: []document.Class{class}, Pools: []document.Pool{{Name: "engines", Engine: document.Engine{Batch: 64}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	engine := func(name string) event.Input {
		return event.UpstreamUpdated{Upstream: event.Upstream{Name: name, Pool: "engines", Address: name, Slots: 64, Revision: 5}}
	}
	bench.step(event.DocumentRead{Raw: raw}, engine("e-1"), engine("e-2"))
	draft := func(sequence uint64) []event.Output {
		return bench.step(event.Submitted{Request: event.Request{
			ID: message.NewRequestID(9, sequence), Class: class, Tier: 1, Fingerprint: sequence,
			Prompt: event.Prompt{Tokens: 20_000, Parts: []event.PromptPart{{ID: sequence, Tokens: 20_000}}},
		}})
	}
	first := only[event.Attempt](t, draft(1))
	bench.step(event.AttemptFirstByte{ID: first.ID, Number: first.Number})
	for sequence := uint64(2); sequence < 8; sequence++ {
		draft(sequence)
	}
	outputs := bench.step(event.AttemptEnded{ID: first.ID, Number: first.Number, Result: event.Interrupted, Delivered: true})
	for _, output := range outputs {
		if attempt, ok := output.(event.Attempt); ok && attempt.ID == first.ID {
			return
		}
	}
	t.Errorf("the stream waits: %+v", outputs)
}

// TestOneListAtATime: an entry without a list asks one of the entries that it
// hears from, and another one only after a while: lists of large pools are long.
func TestOneListAtATime(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	dispatcher := dispatch.New(dispatch.Settings{
		Domain: "a", Random: random, Queue: tiered.New[message.RequestID](tiered.Floor{}), HeartbeatInterval: 200 * time.Millisecond,
		Mesh: mesh.Settings{Self: "self", Fanout: 8, HeartbeatTimeout: time.Hour, RedialDelay: time.Second, Random: random},
	})
	pulls := 0
	for now := time.Duration(0); now < 3*time.Second; now += 100 * time.Millisecond {
		for i := range 8 {
			peer := mesh.AcceptedKey(fmt.Sprintf("entry-%d", i))
			inputs := []event.Input{event.Received{Peer: peer, Link: 1, Message: message.EntryHeartbeat{}}}
			if now == 0 {
				inputs = append([]event.Input{event.LinkOpened{Peer: peer, Link: 1}}, inputs...)
			}
			for _, output := range dispatcher.Step(now, inputs) {
				if send, ok := output.(event.Send); ok && isListPull(send.Message) {
					pulls++
				}
			}
		}
	}
	if pulls == 0 || pulls > 3 {
		t.Errorf("asked %d times in three seconds", pulls)
	}
}

func isListPull(body message.Message) bool {
	_, ok := body.(message.UpstreamListPull)
	return ok
}

// TestPromptWithoutSize: a prompt whose parts are told and whose size is not
// counts as nothing to read, not as less than nothing.
func TestPromptWithoutSize(t *testing.T) {
	bench := newBench(t, 1, manyRetries)
	prompt := event.Prompt{Parts: []event.PromptPart{{ID: 1, Tokens: 9000}, {ID: 2, Tokens: 500}}}
	for sequence := range uint64(3) {
		attempt := only[event.Attempt](t, bench.step(event.Submitted{Request: event.Request{
			ID: message.NewRequestID(8, sequence+1), Class: readClass, Tier: 1, Fingerprint: sequence, Timeout: time.Second, Prompt: prompt,
		}}))
		if attempt.Load.UncachedTokens < 0 || attempt.Load.PrefillTokens < 0 {
			t.Fatalf("unread %d, reading %d", attempt.Load.UncachedTokens, attempt.Load.PrefillTokens)
		}
	}
}

// TestGoneUpstreamsAreForgotten: what is known of upstreams that are gone does
// not stay, or an entry that runs for months would grow.
func TestGoneUpstreamsAreForgotten(t *testing.T) {
	bench := newBench(t, 0, manyRetries)
	const generations = 50
	for generation := range uint64(generations) {
		name := fmt.Sprintf("u-%d", generation)
		bench.step(event.UpstreamUpdated{Upstream: event.Upstream{Name: name, Pool: "pool", Address: name, Revision: 2*generation + 2}})
		bench.end(only[event.Attempt](t, bench.submit(readClass, generation)), event.Completed)
		bench.step(event.UpstreamRemoved{Name: name, Revision: 2*generation + 3})
		bench.now += time.Minute
		bench.step()
	}
	if known := bench.dispatcher.KnownUpstreams(); known > 5 {
		t.Errorf("%d of %d upstreams are known still", known, generations)
	}
}

// counting counts the draws from a source: each choice of an upstream is one.
type counting struct {
	rand.Source
	draws int
}

func (counting *counting) Uint64() uint64 {
	counting.draws++
	return counting.Source.Uint64()
}

// TestWaitingCostsLittle: hundreds of waiting requests with few prefixes are not
// placed again and again while engines are full. A choice takes some 15 us, and an
// entry may spend 0.03 of a core: 2,000 choices a second.
func TestWaitingCostsLittle(t *testing.T) {
	source := &counting{Source: rand.NewPCG(1, 1)}
	random := rand.New(source)
	dispatcher := dispatch.New(dispatch.Settings{
		Domain: "a", Random: random, HeartbeatInterval: 200 * time.Millisecond, UpstreamWait: time.Second,
		Queue:   tiered.New[message.RequestID](tiered.Floor{Wait: time.Second, Every: 6}),
		Mesh:    mesh.Settings{Self: "self", Fanout: 4, HeartbeatTimeout: time.Hour, RedialDelay: time.Second, Random: random},
		Retries: manyRetries,
	})
	class := document.Class{
		Name: "draft", Tier: 1, FirstToken: document.Duration(2 * time.Second), TimeLimit: document.Duration(8 * time.Second),
		Streamed: true, Resumable: true, Split: []document.Share{{Pool: "engines", Weight: 1}},
	}
	raw, err := json.Marshal(document.Document{
		Version: 2, SelfRegistration: true, Classes: []document.Class{class}, Pools: []document.Pool{{Name: "engines", Engine: document.Engine{Batch: 64}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	engine := event.UpstreamUpdated{Upstream: event.Upstream{Name: "e-1", Pool: "engines", Address: "e-1", Slots: 64, Revision: 5}}
	outputs := dispatcher.Step(0, []event.Input{event.DocumentRead{Raw: raw}, engine})
	for i := range uint64(400) {
		outputs = append(outputs, dispatcher.Step(0, []event.Input{event.Submitted{Request: event.Request{
			ID: message.NewRequestID(9, i+1), Class: class, Tier: 1, Fingerprint: i,
			Prompt: event.Prompt{Tokens: 17_000, Parts: []event.PromptPart{{ID: i % 5, Tokens: 13_000}, {ID: 1000 + i, Tokens: 4000}}},
		}}})...)
	}
	var first event.Attempt
	for _, output := range outputs {
		if attempt, ok := output.(event.Attempt); ok {
			first = attempt
		}
	}
	source.draws = 0
	for now := time.Duration(0); now < time.Second; now += time.Millisecond {
		beat := event.Received{Peer: mesh.AcceptedKey("other"), Link: 1, Message: message.EntryHeartbeat{}}
		dispatcher.Step(now, []event.Input{
			event.LinkOpened{Peer: mesh.AcceptedKey("other"), Link: 1}, beat, event.AttemptProgressed{ID: first.ID, Number: first.Number},
		})
	}
	if source.draws > 2000 {
		t.Errorf("%d choices in a second", source.draws)
	}
}

// TestHeardSuspicionsAreNotPassedOn: an entry tells others of suspicions that it
// saw itself. One that it only heard of would go round, and come back after the
// request has completed.
func TestHeardSuspicionsAreNotPassedOn(t *testing.T) {
	bench := newBench(t, 4, manyRetries)
	peer := mesh.AcceptedKey("other")
	const heard, seen = 77, 78
	bench.step(event.LinkOpened{Peer: peer, Link: 1}, event.Received{Peer: peer, Link: 1, Message: message.EntryHeartbeat{
		Suspicions: []message.Suspicion{
			{Fingerprint: heard, Crashes: 2, Remaining: time.Minute}, {Fingerprint: seen, Crashes: 2, Remaining: time.Minute},
		},
	}})
	bench.end(only[event.Attempt](t, bench.submit(holdClass, seen)), event.Interrupted)
	bench.now += time.Second
	beat, _ := only[event.Send](t, bench.step()).Message.(message.EntryHeartbeat)
	if len(beat.Suspicions) != 1 || beat.Suspicions[0].Fingerprint != seen || beat.Suspicions[0].Crashes != 3 {
		t.Errorf("told of %+v", beat.Suspicions)
	}
	if finish := only[event.Finish](t, bench.submit(readClass, seen)); finish.Reason != message.Suspect {
		t.Errorf("a request that crashed three upstreams ended with %v", finish.Reason)
	}
}
