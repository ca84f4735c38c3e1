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
	"endivepost/internal/policy/tiered"
	"endivepost/internal/wire/message"
)

// brief returns a request with the long prefix, and a last part of its own.
func (bench *bench) brief(prefix uint64) event.Input {
	bench.sequence++
	return event.Submitted{Request: event.Request{
		ID: message.NewRequestID(2, bench.sequence), Class: readClass, Tier: 1, Fingerprint: bench.sequence, Timeout: 2 * time.Second,
		Prompt: event.Prompt{Tokens: 16_000, Parts: []event.PromptPart{{ID: prefix, Tokens: 13_000}, {ID: 1<<20 + bench.sequence, Tokens: 3000}}},
	}}
}

// sent returns the messages of one type among the outputs.
func sent[M message.Message](outputs []event.Output) []M {
	var found []M
	for _, output := range outputs {
		send, _ := output.(event.Send)
		if body, ok := send.Message.(M); ok {
			found = append(found, body)
		}
	}
	return found
}

var peer = mesh.AcceptedKey("other")

// TestNewPrefixesAreSpread: prefixes that nobody has read go to the engines that
// have least to read, one each, and not to a home that chance gives several.
func TestNewPrefixesAreSpread(t *testing.T) {
	const engines = 12
	bench := newBench(t, engines, manyRetries)
	given := make(map[string]int)
	for prefix := range uint64(engines) {
		given[only[event.Attempt](t, bench.step(bench.brief(prefix+1))).Upstream]++
	}
	if len(given) != engines {
		t.Errorf("%d engines read %d new prefixes: %v", len(given), engines, given)
	}
}

// TestPlacementsAreTold: an entry tells the others of a prefix once, and sends
// requests to where another entry had their prefix read.
func TestPlacementsAreTold(t *testing.T) {
	bench := newBench(t, 6, manyRetries)
	bench.step(event.LinkOpened{Peer: peer, Link: 1})
	outputs := bench.step(bench.brief(1))
	chosen := only[event.Attempt](t, outputs).Upstream
	told := sent[message.Placements](outputs)
	if len(told) != 1 || told[0].Placements[0].Upstream != chosen || told[0].Placements[0].Parts[0].ID != 1 {
		t.Fatalf("told %+v, want the first part at %s", told, chosen)
	}
	if again := sent[message.Placements](bench.step(bench.brief(1))); len(again) != 0 {
		t.Errorf("told again: %+v", again)
	}
	for prefix, name := range map[uint64]string{7: "u-2", 8: "u-5", 9: "u-0"} {
		news := message.Placements{Placements: []message.Placement{{Upstream: name, Parts: []message.PromptPart{{ID: prefix, Tokens: 13_000}}}}}
		bench.step(event.Received{Peer: peer, Link: 1, Message: news})
		if got := only[event.Attempt](t, bench.step(bench.brief(prefix))); got.Upstream != name || got.Load.UncachedTokens != 3000 {
			t.Errorf("sent to %s with %d tokens to read, want %s and 3000", got.Upstream, got.Load.UncachedTokens, name)
		}
	}
}

// TestPlacementsOfUnknownUpstreams are left alone.
func TestPlacementsOfUnknownUpstreams(t *testing.T) {
	bench := newBench(t, 1, manyRetries)
	bench.step(event.LinkOpened{Peer: peer, Link: 1})
	known := bench.dispatcher.KnownUpstreams()
	news := message.Placements{Placements: []message.Placement{{Upstream: "nowhere", Parts: []message.PromptPart{{ID: 1, Tokens: 13_000}}}}}
	bench.step(event.Received{Peer: peer, Link: 1, Message: news})
	if got := bench.dispatcher.KnownUpstreams(); got != known {
		t.Errorf("%d upstreams are known, want %d", got, known)
	}
}

// TestStartedEntryAsks: an entry that starts anew asks one peer for all that is
// kept, and a peer answers.
func TestStartedEntryAsks(t *testing.T) {
	veteran := newBench(t, 6, manyRetries)
	chosen := only[event.Attempt](t, veteran.step(veteran.brief(1))).Upstream
	starter := newBench(t, 6, manyRetries)
	asked := sent[message.PlacementsPull](starter.step(event.LinkOpened{Peer: peer, Link: 1}))
	if again := sent[message.PlacementsPull](starter.step(event.LinkOpened{Peer: mesh.AcceptedKey("third"), Link: 1})); len(asked) != 1 || len(again) != 0 {
		t.Fatalf("asked %d and then %d peers, want one", len(asked), len(again))
	}
	veteran.step(event.LinkOpened{Peer: peer, Link: 1})
	answer := sent[message.Placements](veteran.step(event.Received{Peer: peer, Link: 1, Message: asked[0]}))
	if len(answer) != 1 {
		t.Fatalf("%d answers", len(answer))
	}
	starter.step(event.Received{Peer: peer, Link: 1, Message: answer[0]})
	if got := only[event.Attempt](t, starter.step(starter.brief(1))).Upstream; got != chosen {
		t.Errorf("sent to %s, want %s", got, chosen)
	}
}

// TestRestartedUpstreamKeepsNothing: an upstream that left and came back under
// its name has lost what it had read.
func TestRestartedUpstreamKeepsNothing(t *testing.T) {
	bench := newBench(t, 1, manyRetries)
	bench.end(only[event.Attempt](t, bench.step(bench.brief(1))), event.Completed)
	bench.step(event.UpstreamRemoved{Name: "u-0", Revision: 5})
	bench.step(event.UpstreamUpdated{Upstream: event.Upstream{Name: "u-0", Pool: "pool", Address: "u-0", Domain: "a", Revision: 6}})
	if got := only[event.Attempt](t, bench.step(bench.brief(1))); got.Load.UncachedTokens < 15_000 {
		t.Errorf("%d tokens to read, want at least 15000 of 16000", got.Load.UncachedTokens)
	}
}

var draftClass = document.Class{
	Name: "draft", Tier: 3, FirstToken: document.Duration(1500 * time.Millisecond), TimeLimit: document.Duration(8 * time.Second),
	Streamed: true, Resumable: true, MaxAttempts: 2, Split: []document.Share{{Pool: "engines", Weight: 1}},
}

// newEngineBench returns a bench with model engines e-0, e-1 and so on.
func newEngineBench(t *testing.T, engines int) *bench {
	t.Helper()
	bench := newBench(t, 0, manyRetries)
	raw, err := json.Marshal(document.Document{
		Version: 2, SelfRegistration: true, Classes: []document.Class{draftClass},
		Pools: []document.Pool{{Name: "engines", Engine: document.Engine{Batch: 64, CacheTokens: 200_000}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	inputs := []event.Input{event.DocumentRead{Raw: raw}}
	for i := range engines {
		name := fmt.Sprintf("e-%d", i)
		inputs = append(inputs, event.UpstreamUpdated{Upstream: event.Upstream{Name: name, Pool: "engines", Address: name, Domain: "a", Revision: 2}})
	}
	bench.step(inputs...)
	return bench
}

// draft returns a request for a long answer to a prompt of a new prefix.
func (bench *bench) draft() event.Input {
	bench.sequence++
	return event.Submitted{Request: event.Request{
		ID: message.NewRequestID(3, bench.sequence), Class: draftClass, Tier: draftClass.Tier, Fingerprint: bench.sequence,
		Prompt: event.Prompt{Tokens: 16_000, Parts: []event.PromptPart{{ID: bench.sequence, Tokens: 13_000}, {ID: 1<<20 + bench.sequence, Tokens: 3000}}},
	}}
}

// TestEnginesAreNotOverfilled: a long prompt waits while other entries have given
// the engine as much to read as it may have ahead, and goes out once that is read.
func TestEnginesAreNotOverfilled(t *testing.T) {
	bench := newEngineBench(t, 1)
	bench.step(event.LinkOpened{Peer: peer, Link: 1})
	busy := message.EntryHeartbeat{Loads: []message.UpstreamLoad{{Upstream: "e-0", Running: 2, PrefillTokens: 20_000}}}
	bench.step(event.Received{Peer: peer, Link: 1, Message: busy})
	for _, output := range bench.step(bench.draft()) {
		if attempt, early := output.(event.Attempt); early {
			t.Fatalf("sent to an engine that has %d tokens to read", attempt.Load.PrefillTokens)
		}
	}
	bench.now += 100 * time.Millisecond
	only[event.Attempt](t, bench.step(event.Received{Peer: peer, Link: 1, Message: message.EntryHeartbeat{}}))
}

// TestEngineMemoryIsNotOverfilled: slow engines begin answers and do not end them.
// No more long prompts are sent there than their memory holds, and those that wait
// go out when others end.
func TestEngineMemoryIsNotOverfilled(t *testing.T) {
	bench := newEngineBench(t, 1)
	var running []event.Attempt
	for range 20 {
		bench.now += 50 * time.Millisecond
		for _, output := range bench.step(bench.draft()) {
			if attempt, ok := output.(event.Attempt); ok {
				running = append(running, attempt)
				bench.step(event.AttemptFirstByte{ID: attempt.ID, Number: attempt.Number})
			}
		}
	}
	if tokens := len(running) * 16_000; tokens > 200_000 || tokens < 100_000 {
		t.Fatalf("%d tokens were sent to a memory of 200000", tokens)
	}
	bench.now += 50 * time.Millisecond
	only[event.Attempt](t, bench.end(running[0], event.Completed))
}

// TestStartedEntryAsksInTime: an entry that has connections before it has read
// the list of upstreams asks once it knows them, or it could not use the answer.
func TestStartedEntryAsksInTime(t *testing.T) {
	bench := newBench(t, 0, manyRetries)
	fresh := dispatch.New(dispatch.Settings{
		Domain: "a", Random: rand.New(rand.NewPCG(1, 1)), Queue: tiered.New[message.RequestID](tiered.Floor{}), HeartbeatInterval: 200 * time.Millisecond,
		UpstreamWait: 400 * time.Millisecond, Retries: manyRetries,
		Mesh: mesh.Settings{Self: "self", Fanout: 4, HeartbeatTimeout: time.Hour, RedialDelay: time.Second, Random: rand.New(rand.NewPCG(1, 1))},
	})
	bench.dispatcher = fresh
	if early := sent[message.PlacementsPull](bench.step(event.LinkOpened{Peer: peer, Link: 1})); len(early) != 0 {
		t.Error("asked before any upstream was known")
	}
	bench.now += 50 * time.Millisecond
	list := event.UpstreamListRead{Upstreams: []event.Upstream{{Name: "u-0", Pool: "pool", Address: "u-0", Domain: "a", Revision: 1}}, Revision: 1}
	if asked := sent[message.PlacementsPull](bench.step(list)); len(asked) != 1 {
		t.Errorf("asked %d times once the upstreams were known", len(asked))
	}
}

// asked returns the names of the engines that are to tell what they keep.
func asked(outputs []event.Output) []string {
	var names []string
	for _, output := range outputs {
		if ask, ok := output.(event.QueryCache); ok {
			names = append(names, ask.Upstream)
		}
	}
	return names
}

// TestEnginesAreAsked: after an outage that ended all entries nobody knows what
// the engines keep. Each engine is asked once, by one of the entries; what it says
// decides, and goes to the others.
func TestEnginesAreAsked(t *testing.T) {
	const engines = 12
	one, other := newEngineBench(t, engines), newEngineBench(t, engines)
	one.step(event.LinkOpened{Peer: mesh.AcceptedKey("zebra"), Link: 1})
	if early := asked(one.step()); len(early) != 0 {
		t.Errorf("asked %v before other entries could tell", early)
	}
	one.now += 500 * time.Millisecond
	other.now += 500 * time.Millisecond
	share := asked(one.step())
	if all := asked(other.step()); len(all) != engines || len(share) == 0 || len(share) == engines {
		t.Fatalf("alone %d engines were asked, with another entry %d of %d", len(all), len(share), engines)
	}
	one.now += time.Minute
	if again := asked(one.step()); len(again) != 0 {
		t.Errorf("asked again: %v", again)
	}
	told := sent[message.Placements](one.step(event.CacheReported{Upstream: "e-7", Parts: []message.PromptPart{{ID: 900, Tokens: 13_000}, {ID: 901, Tokens: 90}}}))
	if len(told) != 1 || told[0].Placements[0].Upstream != "e-7" || len(told[0].Placements[0].Parts) != 1 {
		t.Errorf("told %+v, want the long part at e-7", told)
	}
	one.sequence = 899
	if got := only[event.Attempt](t, one.step(one.draft())); got.Upstream != "e-7" || got.Load.UncachedTokens != 3000 {
		t.Errorf("sent to %s with %d tokens to read, want e-7 and 3000", got.Upstream, got.Load.UncachedTokens)
	}
}

// TestEnginesAreNotAsked: plain services keep nothing, and an entry that has run
// for a while tells one that starts.
func TestEnginesAreNotAsked(t *testing.T) {
	plain := newBench(t, 3, manyRetries)
	plain.now += time.Second
	if got := asked(plain.step()); len(got) != 0 {
		t.Errorf("plain services were asked: %v", got)
	}
	starter := newEngineBench(t, 3)
	starter.step(event.LinkOpened{Peer: peer, Link: 1})
	starter.step(event.Received{Peer: peer, Link: 1, Message: message.Placements{Complete: true}})
	starter.now += time.Second
	if got := asked(starter.step()); len(got) != 0 {
		t.Errorf("asked %v although another entry told", got)
	}
}

// TestRestartedUpstreamIsNoticed: an upstream whose process started anew under
// its name and address, without having left, has lost what it had read.
func TestRestartedUpstreamIsNoticed(t *testing.T) {
	bench := newBench(t, 0, manyRetries)
	row := event.Upstream{Name: "u-0", Pool: "pool", Address: "u-0", Domain: "a", Revision: 2, Started: 1000}
	bench.step(event.UpstreamUpdated{Upstream: row})
	bench.end(only[event.Attempt](t, bench.step(bench.brief(1))), event.Completed)
	row.Revision = 3
	bench.step(event.UpstreamUpdated{Upstream: row})
	if got := only[event.Attempt](t, bench.step(bench.brief(1))); got.Load.UncachedTokens != 3000 {
		t.Errorf("%d tokens to read after a heartbeat, want 3000", got.Load.UncachedTokens)
	}
	row.Revision = 4
	row.Started = 9000
	bench.step(event.UpstreamUpdated{Upstream: row})
	if got := only[event.Attempt](t, bench.step(bench.brief(1))); got.Load.UncachedTokens < 15_000 {
		t.Errorf("%d tokens to read after a restart, want at least 15000 of 16000", got.Load.UncachedTokens)
	}
}

// TestPlacementsOfLeftUpstreams: late word of what an upstream keeps that has
// left does not outlive it: if it comes back under its name, it has read nothing.
func TestPlacementsOfLeftUpstreams(t *testing.T) {
	bench := newBench(t, 1, manyRetries)
	bench.step(event.LinkOpened{Peer: peer, Link: 1}, event.UpstreamRemoved{Name: "u-0", Revision: 5})
	late := message.Placements{Placements: []message.Placement{{Upstream: "u-0", Parts: []message.PromptPart{{ID: 1, Tokens: 13_000}}}}}
	bench.step(event.Received{Peer: peer, Link: 1, Message: late})
	bench.step(event.UpstreamUpdated{Upstream: event.Upstream{Name: "u-0", Pool: "pool", Address: "u-0", Domain: "a", Revision: 6}})
	if got := only[event.Attempt](t, bench.step(bench.brief(1))); got.Load.UncachedTokens < 15_000 {
		t.Errorf("%d tokens to read, want at least 15000 of 16000", got.Load.UncachedTokens)
	}
}
