package simulation

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endivepost/internal/config/document"
	"endivepost/internal/wire/message"
)

// TestMain fixes the seed, so that a run gives the same verdict every time. To
// search further, give another: go test ./internal/core/proof -rapid.seed=7.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "150")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func classes() []document.Class {
	second := document.Duration(time.Second)
	return []document.Class{
		{Name: "chat", Tier: 1, Model: "m", FirstToken: second, GiveUpAfter: 4 * second},
		{Name: "draft", Tier: 3, Model: "m", WholeAnswer: 20 * second, GiveUpAfter: 20 * second},
		{Name: "hold", Tier: 2, Model: "m", WholeAnswer: 4 * second, GiveUpAfter: 4 * second, NonIdempotent: true},
	}
}

func published(version uint64, upstreams int) []byte {
	written := document.Document{Version: version, RepeatWindow: document.Duration(20 * time.Second), Classes: classes()}
	for i := range upstreams {
		written.Upstreams = append(written.Upstreams, document.Upstream{Name: fmt.Sprintf("up-%d", i+1), Model: "m"})
	}
	raw, _ := json.Marshal(written)
	return raw
}

// act does one thing of the brief's list of what fails, or sends a request.
func act(t *rapid.T, world *world, version *uint64) {
	entry := world.entries[rapid.IntRange(0, len(world.entries)-1).Draw(t, "entry")]
	sidecar := world.sidecars[rapid.IntRange(0, len(world.sidecars)-1).Draw(t, "sidecar")]
	kind := rapid.SampledFrom(actions).Draw(t, "action")
	class := classes()[rapid.IntRange(0, 2).Draw(t, "class")]
	pause := time.Duration(rapid.IntRange(50, 6000).Draw(t, "pause")) * time.Millisecond
	world.note("action %s %s %s %v", kind, entry.name, sidecar.name, pause)
	switch kind {
	case "submit":
		body := fmt.Sprintf("body-%d", len(world.ledger.order))
		key := ""
		if class.NonIdempotent && rapid.Bool().Draw(t, "keyed") {
			key = fmt.Sprintf("key-%d", len(world.ledger.order))
		}
		world.submit(entry, class, body, key, rapid.Bool().Draw(t, "stream"))
	case "send again":
		world.sendAgain(entry, rapid.IntRange(0, 200).Draw(t, "which"))
	case "pause entry":
		world.pause(entry, pause)
	case "pause sidecar":
		world.pause(sidecar, pause)
	case "restart entry":
		world.restart(entry)
	case "restart sidecar":
		world.restart(sidecar)
	case "kill sidecar silently":
		world.kill(sidecar, true)
	case "cut":
		if wire, ok := world.wires[pair(entry.name, sidecar.name)]; ok {
			world.cut(wire)
		}
	case "silence":
		if wire, ok := world.wires[pair(entry.name, sidecar.name)]; ok {
			wire.silent = true
		}
	case "partition":
		world.cutOff[pair(entry.name, sidecar.name)] = true
		if wire, ok := world.wires[pair(entry.name, sidecar.name)]; ok {
			wire.silent = true
		}
	case "crash upstream":
		if sidecar.alive {
			world.crashUpstream(sidecar)
		}
	case "outage":
		world.service = false
	case "publish":
		*version++
		world.document = published(*version, len(world.sidecars))
	case "publish stale":
		world.document = published(max(*version, 2)-1, len(world.sidecars))
	case "heal":
		world.heal()
	}
}

var actions = []string{
	"submit", "submit", "submit", "submit", "submit", "submit", "submit", "submit", "send again", "send again", "send again",
	"pause entry", "pause sidecar", "restart entry", "restart sidecar", "kill sidecar silently", "cut", "cut", "silence",
	"partition", "crash upstream", "outage", "publish", "publish stale", "heal",
}

// sendAgain repeats a guarded request with its key, as its caller would.
func (world *world) sendAgain(entry *node, which int) {
	if len(world.ledger.order) == 0 {
		return
	}
	sent := world.ledger.sent[world.ledger.order[which%len(world.ledger.order)]]
	if sent.request.Key == (message.Digest{}) || !entry.alive {
		return
	}
	key := string(sent.request.Key[:])
	world.ledger.births[key] = sent.request.KeyCreatedAt
	world.submit(entry, sent.request.Class, sent.body, key, sent.request.Payload.Stream)
}

// TestPromisesUnderFaults drives entries and sidecars through random faults.
// Whatever happens: a guarded body is handed over at most once; what was said
// not-run never ran; each complete answer is whole, in order and its own; no
// process goes back to an older configuration; and once the faults end, every
// request in a living entry gets its final word.
func TestPromisesUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		version := uint64(1)
		sidecars := rapid.IntRange(1, 4).Draw(t, "sidecars")
		world := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "entries"), sidecars, published(1, sidecars))
		world.advance(3 * time.Second)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			act(t, world, &version)
			world.advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait")) * time.Millisecond)
		}
		world.heal()
		world.advance(90 * time.Second)
		for _, fault := range world.faults() {
			t.Error(fault)
			t.Log(strings.Join(world.trace, "\n"))
		}
	})
}

func (world *world) faults() []string {
	faults := slices.Concat(world.failures, world.ledger.check())
	for _, id := range world.ledger.order {
		sent := world.ledger.sent[id]
		if sent.request.Class.NonIdempotent && world.ledger.handOver["body "+sent.body] > 1 {
			faults = append(faults, fmt.Sprintf("guarded %s ran %d times", sent.body, world.ledger.handOver["body "+sent.body]))
		}
		if sent.finish == nil && world.bootedSince(id) {
			faults = append(faults, fmt.Sprintf("%s of class %s sent at %v got no final word", sent.body, sent.request.Class.Name, sent.submitted))
		}
	}
	return faults
}

// bootedSince says whether the entry that took the request still lives.
func (world *world) bootedSince(id message.RequestID) bool {
	for _, entry := range world.entries {
		if message.NewRequestID(entry.boot, 0).String()[:16] == id.String()[:16] {
			return true
		}
	}
	return false
}
