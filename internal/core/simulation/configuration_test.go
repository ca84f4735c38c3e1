package simulation

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"endivepost/internal/config/document"
	"endivepost/internal/core/admission"
	"endivepost/internal/core/router"
)

// distributionLimit is the longest time that a published document may take to become
// active in all processes.
const distributionLimit = 17 * time.Second

// TestConfigurationReachesAllProcesses guards against processes that keep an old
// configuration. Only one entry can reach the configuration service. All others must
// get its changes through the sidecars.
func TestConfigurationReachesAllProcesses(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), 6, 6, published(1, 6))
		for _, entry := range simulation.entries[1:] {
			entry.offline = true
		}
		simulation.advance(5 * time.Second)
		for version := uint64(2); version < 5; version++ {
			simulation.document = published(version, 6)
			simulation.advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond)
		}
		if rapid.Bool().Draw(t, "restart") {
			simulation.restart(simulation.entries[3])
			simulation.restart(simulation.sidecars[2])
		}
		simulation.advance(distributionLimit)
		for _, process := range append(simulation.entries, simulation.sidecars...) {
			if process.version != 4 {
				t.Errorf("%s: active version %d, want 4", process.name, process.version)
			}
		}
		for _, failure := range simulation.failures {
			t.Error(failure)
		}
	})
}

// TestStartingEntryDoesNotServeStaleVersion: the configuration service returns a
// stale document to a starting entry. The entry must not become ready before it has
// the newer version that is active in its sidecars.
func TestStartingEntryDoesNotServeStaleVersion(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), 2, 4, published(7, 4))
		simulation.advance(5 * time.Second)
		simulation.document = published(3, 4)
		simulation.restart(simulation.entries[0])
		for range 100 {
			simulation.advance(50 * time.Millisecond)
			if entry := simulation.entries[0]; entry.ready && entry.version < 7 {
				t.Fatalf("entry ready with version %d at %v, want version 7", entry.version, simulation.now)
			}
		}
		if !simulation.entries[0].ready {
			t.Fatal("entry not ready 5s after its restart, want ready")
		}
	})
}

// TestInvalidDocumentIsRejected: an invalid document must not replace the active one
// in any process.
func TestInvalidDocumentIsRejected(t *testing.T) {
	t.Parallel()
	simulation := newSimulation(1, 2, 2, published(7, 2))
	simulation.advance(5 * time.Second)
	for _, raw := range []string{"", "{", `{"version": 9}`, `{"version": 9, "classes": "none"}`, `[]`, string(published(9, 0))} {
		simulation.document = []byte(raw)
		simulation.advance(3 * time.Second)
		for _, process := range append(simulation.entries, simulation.sidecars...) {
			if process.version != 7 {
				t.Errorf("document %q: %s has active version %d, want 7", raw, process.name, process.version)
			}
		}
	}
	if _, err := document.Parse([]byte(`{"version": 9}`)); err == nil {
		t.Error("document without classes: got no error, want one")
	}
}

var (
	_ core = (*router.Router)(nil)
	_ core = (*admission.Controller)(nil)
)
