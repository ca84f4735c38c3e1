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
	"endivepost/internal/data/revision"
	"endivepost/internal/policy/tiered"
	"endivepost/internal/wire/message"
)

// longPrefixRequest returns a request whose prompt has a shared prefix of 13000
// tokens with the given ID and a last part of its own.
func (harness *harness) longPrefixRequest(prefix uint64) event.Input {
	harness.sequence++
	return event.Submitted{Request: event.Request{
		ID: message.NewRequestID(2, harness.sequence), Class: idempotentClass, Tier: 1, Fingerprint: harness.sequence, Timeout: 2 * time.Second,
		Prompt: event.Prompt{Tokens: 16_000, Parts: []event.PromptPart{{ID: prefix, Tokens: 13_000}, {ID: 1<<20 + harness.sequence, Tokens: 3000}}},
	}}
}

// sentMessages returns the messages of one type among the outputs.
func sentMessages[M message.Message](outputs []event.Output) []M {
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

// TestNewPrefixesAreSpread guards against several new prefixes on one engine: each
// goes to the engine with the least pending prefill, although rendezvous hashing
// may prefer one engine for several of them.
func TestNewPrefixesAreSpread(t *testing.T) {
	const engines = 12
	harness := newHarness(t, engines, ampleRetries)
	counts := make(map[string]int)
	for prefix := range uint64(engines) {
		counts[onlyOutput[event.Attempt](t, harness.step(harness.longPrefixRequest(prefix+1))).Upstream]++
	}
	if len(counts) != engines {
		t.Errorf("%d new prefixes went to %d engines, want one each: %v", engines, len(counts), counts)
	}
}

// TestPlacementsAreAnnounced guards against prefilling a prefix on several engines:
// an entry announces a placement once, and sends requests to the upstream that a
// peer announced for their prefix.
func TestPlacementsAreAnnounced(t *testing.T) {
	harness := newHarness(t, 6, ampleRetries)
	harness.step(event.LinkOpened{Peer: peer, Link: 1})
	outputs := harness.step(harness.longPrefixRequest(1))
	chosen := onlyOutput[event.Attempt](t, outputs).Upstream
	announced := sentMessages[message.Placements](outputs)
	if len(announced) != 1 || announced[0].Placements[0].Upstream != chosen || announced[0].Placements[0].Parts[0].ID != 1 {
		t.Fatalf("announced %+v, want part 1 at %s", announced, chosen)
	}
	if again := sentMessages[message.Placements](harness.step(harness.longPrefixRequest(1))); len(again) != 0 {
		t.Errorf("announced again: %+v, want nothing", again)
	}
	for prefix, name := range map[uint64]string{7: "u-2", 8: "u-5", 9: "u-0"} {
		placements := message.Placements{Placements: []message.Placement{{Upstream: name, Parts: []message.PromptPart{{ID: prefix, Tokens: 13_000}}}}}
		harness.step(event.Received{Peer: peer, Link: 1, Message: placements})
		if got := onlyOutput[event.Attempt](t, harness.step(harness.longPrefixRequest(prefix))); got.Upstream != name || got.Load.UncachedTokens != 3000 {
			t.Errorf("sent to %s with %d uncached tokens, want %s and 3000", got.Upstream, got.Load.UncachedTokens, name)
		}
	}
}

// TestPlacementsOfUnknownUpstreams guards against state for upstreams that are not
// in the upstream list: their placements are ignored.
func TestPlacementsOfUnknownUpstreams(t *testing.T) {
	harness := newHarness(t, 1, ampleRetries)
	harness.step(event.LinkOpened{Peer: peer, Link: 1})
	known := harness.dispatcher.KnownUpstreams()
	placements := message.Placements{Placements: []message.Placement{{Upstream: "nowhere", Parts: []message.PromptPart{{ID: 1, Tokens: 13_000}}}}}
	harness.step(event.Received{Peer: peer, Link: 1, Message: placements})
	if got := harness.dispatcher.KnownUpstreams(); got != known {
		t.Errorf("got %d known upstreams, want %d", got, known)
	}
}

// TestStartedEntryPullsPlacements guards against an entry that starts without
// placements and has all prefixes prefilled again: it pulls them from one peer, and
// the peer sends all that it knows.
func TestStartedEntryPullsPlacements(t *testing.T) {
	running := newHarness(t, 6, ampleRetries)
	chosen := onlyOutput[event.Attempt](t, running.step(running.longPrefixRequest(1))).Upstream
	starting := newHarness(t, 6, ampleRetries)
	pulls := sentMessages[message.PlacementsPull](starting.step(event.LinkOpened{Peer: peer, Link: 1}))
	if more := sentMessages[message.PlacementsPull](starting.step(event.LinkOpened{Peer: mesh.AcceptedKey("third"), Link: 1})); len(pulls) != 1 || len(more) != 0 {
		t.Fatalf("sent %d and then %d pulls, want 1 and then 0", len(pulls), len(more))
	}
	running.step(event.LinkOpened{Peer: peer, Link: 1})
	responses := sentMessages[message.Placements](running.step(event.Received{Peer: peer, Link: 1, Message: pulls[0]}))
	if len(responses) != 1 {
		t.Fatalf("got %d responses to a pull, want 1", len(responses))
	}
	starting.step(event.Received{Peer: peer, Link: 1, Message: responses[0]})
	if got := onlyOutput[event.Attempt](t, starting.step(starting.longPrefixRequest(1))).Upstream; got != chosen {
		t.Errorf("sent to %s, want %s", got, chosen)
	}
}

// TestReturnedUpstreamHasEmptyCache guards against counting on cached prefixes of
// an upstream that left and returned under its name.
func TestReturnedUpstreamHasEmptyCache(t *testing.T) {
	harness := newHarness(t, 1, ampleRetries)
	harness.end(onlyOutput[event.Attempt](t, harness.step(harness.longPrefixRequest(1))), event.Completed)
	harness.step(event.UpstreamRemoved{Name: "u-0", Revision: revision.New(0, 5)})
	harness.step(event.UpstreamUpdated{Upstream: event.Upstream{Name: "u-0", Pool: "pool", Address: "u-0", Domain: "a", Revision: 6}})
	if got := onlyOutput[event.Attempt](t, harness.step(harness.longPrefixRequest(1))); got.Load.UncachedTokens < 15_000 {
		t.Errorf("got %d uncached tokens, want at least 15000 of 16000", got.Load.UncachedTokens)
	}
}

var draftClass = document.Class{
	Name: "draft", Tier: 3, FirstToken: document.Duration(1500 * time.Millisecond), TimeLimit: document.Duration(8 * time.Second),
	Streamed: true, Resumable: true, MaxAttempts: 2, Split: []document.Share{{Pool: "engines", Weight: 1}},
}

// newEngineHarness returns a harness with model engines e-0, e-1 and so on.
func newEngineHarness(t *testing.T, engines int) *harness {
	t.Helper()
	harness := newHarness(t, 0, ampleRetries)
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
	harness.step(inputs...)
	return harness
}

// uniquePrefixRequest returns a request of draftClass whose prompt has a new
// prefix.
func (harness *harness) uniquePrefixRequest() event.Input {
	harness.sequence++
	return event.Submitted{Request: event.Request{
		ID: message.NewRequestID(3, harness.sequence), Class: draftClass, Tier: draftClass.Tier, Fingerprint: harness.sequence,
		Prompt: event.Prompt{Tokens: 16_000, Parts: []event.PromptPart{{ID: harness.sequence, Tokens: 13_000}, {ID: 1<<20 + harness.sequence, Tokens: 3000}}},
	}}
}

// TestPendingPrefillIsBounded guards against sending an engine more prefill than
// all entries together may have pending there: a long prompt is queued while a peer
// reports 20000 tokens, and sent once that is done.
func TestPendingPrefillIsBounded(t *testing.T) {
	harness := newEngineHarness(t, 1)
	harness.step(event.LinkOpened{Peer: peer, Link: 1})
	busy := message.EntryHeartbeat{Loads: []message.UpstreamLoad{{Upstream: "e-0", Running: 2, PrefillTokens: 20_000}}}
	harness.step(event.Received{Peer: peer, Link: 1, Message: busy})
	for _, output := range harness.step(harness.uniquePrefixRequest()) {
		if attempt, ok := output.(event.Attempt); ok {
			t.Fatalf("sent to an engine with %d pending prefill tokens, want the request queued", attempt.Load.PrefillTokens)
		}
	}
	harness.now += 100 * time.Millisecond
	onlyOutput[event.Attempt](t, harness.step(event.Received{Peer: peer, Link: 1, Message: message.EntryHeartbeat{}}))
}

// TestKVCacheIsNotOverfilled guards against sending more long prompts to an engine
// than its KV cache holds, when responses start and do not finish. Queued requests
// are sent when others end.
func TestKVCacheIsNotOverfilled(t *testing.T) {
	harness := newEngineHarness(t, 1)
	var running []event.Attempt
	for range 20 {
		harness.now += 50 * time.Millisecond
		for _, output := range harness.step(harness.uniquePrefixRequest()) {
			if attempt, ok := output.(event.Attempt); ok {
				running = append(running, attempt)
				harness.step(event.AttemptFirstByte{ID: attempt.ID, Number: attempt.Number})
			}
		}
	}
	if tokens := len(running) * 16_000; tokens > 200_000 || tokens < 100_000 {
		t.Fatalf("sent %d tokens to a KV cache of 200000, want 100000 to 200000", tokens)
	}
	harness.now += 50 * time.Millisecond
	onlyOutput[event.Attempt](t, harness.end(running[0], event.Completed))
}

// TestPlacementsArePulledAfterUpstreamList guards against a pull whose response
// could not be applied: an entry that is connected before it has read the upstream
// list pulls placements only after that.
func TestPlacementsArePulledAfterUpstreamList(t *testing.T) {
	harness := newHarness(t, 0, ampleRetries)
	fresh := dispatch.New(dispatch.Settings{
		Domain: "a", Random: rand.New(rand.NewPCG(1, 1)), Queue: tiered.New[message.RequestID](tiered.Floor{}), HeartbeatInterval: 200 * time.Millisecond,
		UpstreamWait: 400 * time.Millisecond, Retries: ampleRetries,
		Mesh: mesh.Settings{Self: "self", Fanout: 4, HeartbeatTimeout: time.Hour, RedialDelay: time.Second, Random: rand.New(rand.NewPCG(1, 1))},
	})
	// The dispatcher of newHarness has already read an upstream list.
	harness.dispatcher = fresh
	if early := sentMessages[message.PlacementsPull](harness.step(event.LinkOpened{Peer: peer, Link: 1})); len(early) != 0 {
		t.Errorf("sent %d pulls before the upstream list was known, want 0", len(early))
	}
	harness.now += 50 * time.Millisecond
	list := event.UpstreamListRead{
		Upstreams: []event.Upstream{{Name: "u-0", Pool: "pool", Address: "u-0", Domain: "a", Revision: 1}}, Revision: revision.New(0, 1),
	}
	if pulls := sentMessages[message.PlacementsPull](harness.step(list)); len(pulls) != 1 {
		t.Errorf("sent %d pulls once the upstream list was known, want 1", len(pulls))
	}
}

// queriedEngines returns the names of the engines whose caches are queried.
func queriedEngines(outputs []event.Output) []string {
	var names []string
	for _, output := range outputs {
		if query, ok := output.(event.QueryCache); ok {
			names = append(names, query.Upstream)
		}
	}
	return names
}

// TestCachesAreQueried guards against losing the placements in an outage that stops
// all entries: one of the entries queries each engine once for its cached prefixes,
// uses the report and sends it to its peers.
func TestCachesAreQueried(t *testing.T) {
	const engines = 12
	one, other := newEngineHarness(t, engines), newEngineHarness(t, engines)
	one.step(event.LinkOpened{Peer: mesh.AcceptedKey("zebra"), Link: 1})
	if early := queriedEngines(one.step()); len(early) != 0 {
		t.Errorf("queried %v before peers could send placements, want no query yet", early)
	}
	one.now += 500 * time.Millisecond
	other.now += 500 * time.Millisecond
	share := queriedEngines(one.step())
	if all := queriedEngines(other.step()); len(all) != engines || len(share) == 0 || len(share) == engines {
		t.Fatalf("queried %d of %d engines as the only entry and %d as one of two, want all and a part", len(all), engines, len(share))
	}
	one.now += time.Minute
	if again := queriedEngines(one.step()); len(again) != 0 {
		t.Errorf("queried %v again, want each engine queried once", again)
	}
	announced := sentMessages[message.Placements](one.step(event.CacheReported{
		Upstream: "e-7", Parts: []message.PromptPart{{ID: 900, Tokens: 13_000}, {ID: 901, Tokens: 90}},
	}))
	if len(announced) != 1 || announced[0].Placements[0].Upstream != "e-7" || len(announced[0].Placements[0].Parts) != 1 {
		t.Errorf("announced %+v, want the part of 13000 tokens at e-7", announced)
	}
	// The prefix of the next request has ID 900, as in the report.
	one.sequence = 899
	if got := onlyOutput[event.Attempt](t, one.step(one.uniquePrefixRequest())); got.Upstream != "e-7" || got.Load.UncachedTokens != 3000 {
		t.Errorf("sent to %s with %d uncached tokens, want e-7 and 3000", got.Upstream, got.Load.UncachedTokens)
	}
}

// TestCachesAreNotQueried guards against queries to upstreams that are no engines,
// and against queries by an entry to which a peer has sent complete placements.
func TestCachesAreNotQueried(t *testing.T) {
	plain := newHarness(t, 3, ampleRetries)
	plain.now += time.Second
	if got := queriedEngines(plain.step()); len(got) != 0 {
		t.Errorf("queried %v, want no query to plain services", got)
	}
	starting := newEngineHarness(t, 3)
	starting.step(event.LinkOpened{Peer: peer, Link: 1})
	starting.step(event.Received{Peer: peer, Link: 1, Message: message.Placements{Complete: true}})
	starting.now += time.Second
	if got := queriedEngines(starting.step()); len(got) != 0 {
		t.Errorf("queried %v after a peer sent complete placements, want no query", got)
	}
}

// TestRestartedUpstreamHasEmptyCache guards against counting on cached prefixes of
// an upstream that restarted under its name and address without having left the
// list. A new revision with the same start time must not discard them.
func TestRestartedUpstreamHasEmptyCache(t *testing.T) {
	harness := newHarness(t, 0, ampleRetries)
	row := event.Upstream{Name: "u-0", Pool: "pool", Address: "u-0", Domain: "a", Revision: 2, Started: 1000}
	harness.step(event.UpstreamUpdated{Upstream: row})
	harness.end(onlyOutput[event.Attempt](t, harness.step(harness.longPrefixRequest(1))), event.Completed)
	row.Revision = 3
	harness.step(event.UpstreamUpdated{Upstream: row})
	if got := onlyOutput[event.Attempt](t, harness.step(harness.longPrefixRequest(1))); got.Load.UncachedTokens != 3000 {
		t.Errorf("got %d uncached tokens after a new revision, want 3000", got.Load.UncachedTokens)
	}
	row.Revision = 4
	row.Started = 9000
	harness.step(event.UpstreamUpdated{Upstream: row})
	if got := onlyOutput[event.Attempt](t, harness.step(harness.longPrefixRequest(1))); got.Load.UncachedTokens < 15_000 {
		t.Errorf("got %d uncached tokens after a restart, want at least 15000 of 16000", got.Load.UncachedTokens)
	}
}

// TestPlacementsOfRemovedUpstreams guards against placements that arrive after
// their upstream has left: if it returns under its name, its cache is empty.
func TestPlacementsOfRemovedUpstreams(t *testing.T) {
	harness := newHarness(t, 1, ampleRetries)
	harness.step(event.LinkOpened{Peer: peer, Link: 1}, event.UpstreamRemoved{Name: "u-0", Revision: revision.New(0, 5)})
	late := message.Placements{Placements: []message.Placement{{Upstream: "u-0", Parts: []message.PromptPart{{ID: 1, Tokens: 13_000}}}}}
	harness.step(event.Received{Peer: peer, Link: 1, Message: late})
	harness.step(event.UpstreamUpdated{Upstream: event.Upstream{Name: "u-0", Pool: "pool", Address: "u-0", Domain: "a", Revision: 6}})
	if got := onlyOutput[event.Attempt](t, harness.step(harness.longPrefixRequest(1))); got.Load.UncachedTokens < 15_000 {
		t.Errorf("got %d uncached tokens, want at least 15000 of 16000", got.Load.UncachedTokens)
	}
}
