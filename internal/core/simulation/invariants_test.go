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

// TestMain fixes the seed so that test runs are reproducible. To search further, set
// another seed: go test ./internal/core/simulation -rapid.seed=7.
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

// applyAction injects a random fault, submits a request, publishes a document or
// heals all faults.
func applyAction(t *rapid.T, simulation *simulation, version *uint64) {
	entry := simulation.entries[rapid.IntRange(0, len(simulation.entries)-1).Draw(t, "entry")]
	sidecar := simulation.sidecars[rapid.IntRange(0, len(simulation.sidecars)-1).Draw(t, "sidecar")]
	kind := rapid.SampledFrom(actions).Draw(t, "action")
	class := classes()[rapid.IntRange(0, 2).Draw(t, "class")]
	pause := time.Duration(rapid.IntRange(50, 6000).Draw(t, "pause")) * time.Millisecond
	simulation.logf("action %s %s %s %v", kind, entry.name, sidecar.name, pause)
	switch kind {
	case "submit":
		body := fmt.Sprintf("body-%d", len(simulation.recorder.order))
		key := ""
		if class.NonIdempotent && rapid.Bool().Draw(t, "keyed") {
			key = fmt.Sprintf("key-%d", len(simulation.recorder.order))
		}
		simulation.submit(entry, class, body, key, rapid.Bool().Draw(t, "stream"))
	case "resubmit":
		simulation.resubmit(entry, rapid.IntRange(0, 200).Draw(t, "which"))
	case "pause entry":
		simulation.pause(entry, pause)
	case "pause sidecar":
		simulation.pause(sidecar, pause)
	case "restart entry":
		simulation.restart(entry)
	case "restart sidecar":
		simulation.restart(sidecar)
	case "kill sidecar, keep connections":
		simulation.kill(sidecar, true)
	case "disconnect":
		if connection, ok := simulation.connections[linkKey(entry.name, sidecar.name)]; ok {
			simulation.disconnect(connection)
		}
	case "blackhole":
		if connection, ok := simulation.connections[linkKey(entry.name, sidecar.name)]; ok {
			connection.blackholed = true
		}
	case "partition":
		simulation.partitioned[linkKey(entry.name, sidecar.name)] = true
		if connection, ok := simulation.connections[linkKey(entry.name, sidecar.name)]; ok {
			connection.blackholed = true
		}
	case "crash upstream":
		if sidecar.alive {
			simulation.crashUpstream(sidecar)
		}
	case "configuration outage":
		simulation.serviceUp = false
	case "publish":
		*version++
		simulation.document = published(*version, len(simulation.sidecars))
	case "publish stale":
		simulation.document = published(max(*version, 2)-1, len(simulation.sidecars))
	case "heal":
		simulation.heal()
	}
}

var actions = []string{
	"submit", "submit", "submit", "submit", "submit", "submit", "submit", "submit", "resubmit", "resubmit", "resubmit",
	"pause entry", "pause sidecar", "restart entry", "restart sidecar", "kill sidecar, keep connections", "disconnect", "disconnect", "blackhole",
	"partition", "crash upstream", "configuration outage", "publish", "publish stale", "heal",
}

// resubmit submits a request with an idempotency key again, as its caller would.
func (simulation *simulation) resubmit(entry *process, which int) {
	if len(simulation.recorder.order) == 0 {
		return
	}
	sent := simulation.recorder.sent[simulation.recorder.order[which%len(simulation.recorder.order)]]
	if sent.request.Key == (message.Digest{}) || !entry.alive {
		return
	}
	key := string(sent.request.Key[:])
	simulation.recorder.keyTimes[key] = sent.request.KeyCreatedAt
	simulation.submit(entry, sent.request.Class, sent.body, key, sent.request.Payload.Stream)
}

// TestInvariantsUnderFaults runs entries and sidecars through random faults and
// checks the invariants: A non-idempotent request is sent to upstreams at most once.
// A request with outcome not-run never ran. A complete response has all of its own
// chunks in order. No process returns to an older configuration. After the faults
// have ended, each request gets its final outcome if its entry is still alive.
func TestInvariantsUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		version := uint64(1)
		sidecars := rapid.IntRange(1, 4).Draw(t, "sidecars")
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "entries"), sidecars, published(1, sidecars))
		simulation.advance(3 * time.Second)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			applyAction(t, simulation, &version)
			simulation.advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait")) * time.Millisecond)
		}
		simulation.heal()
		simulation.advance(90 * time.Second)
		for _, violation := range simulation.violations() {
			t.Error(violation)
			t.Log(strings.Join(simulation.trace, "\n"))
		}
	})
}

func (simulation *simulation) violations() []string {
	violations := slices.Concat(simulation.failures, simulation.recorder.check())
	for _, id := range simulation.recorder.order {
		sent := simulation.recorder.sent[id]
		if sent.request.Class.NonIdempotent && simulation.recorder.runCounts["body "+sent.body] > 1 {
			violations = append(violations,
				fmt.Sprintf("%s: non-idempotent request ran %d times, want at most 1", sent.body, simulation.recorder.runCounts["body "+sent.body]))
		}
		if sent.finish == nil && simulation.entryAlive(id) {
			violations = append(violations, fmt.Sprintf("%s of class %s, submitted at %v: got no final outcome", sent.body, sent.request.Class.Name, sent.submitted))
		}
	}
	return violations
}

// entryAlive reports whether the incarnation of the entry that accepted the request
// is still the current one. The first 16 digits of a request ID are the incarnation.
func (simulation *simulation) entryAlive(id message.RequestID) bool {
	for _, entry := range simulation.entries {
		if message.NewRequestID(entry.boot, 0).String()[:16] == id.String()[:16] {
			return true
		}
	}
	return false
}
