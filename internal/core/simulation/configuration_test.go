package simulation

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"endivepost/internal/config/document"
	"endivepost/internal/core/admission"
	"endivepost/internal/core/router"
)

// inForceWithin is the aim's bound on a change of configuration.
const inForceWithin = 17 * time.Second

// TestConfigurationSpreads lets one entry alone reach the configuration service
// and publishes changes; the others must hear of them through the sidecars.
func TestConfigurationSpreads(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(rapid.Uint64().Draw(t, "seed"), 6, 6, published(1, 6))
		for _, entry := range world.entries[1:] {
			entry.offline = true
		}
		world.advance(5 * time.Second)
		for version := uint64(2); version < 5; version++ {
			world.document = published(version, 6)
			world.advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond)
		}
		if rapid.Bool().Draw(t, "restart") {
			world.restart(world.entries[3])
			world.restart(world.sidecars[2])
		}
		world.advance(inForceWithin)
		for _, node := range append(world.entries, world.sidecars...) {
			if node.version != 4 {
				t.Errorf("%s has version %d in force", node.name, node.version)
			}
		}
		for _, failure := range world.failures {
			t.Error(failure)
		}
	})
}

// TestBootingEntryDoesNotServeAnOlderVersion gives a booting entry a stale
// service: it must not serve before it has what its sidecars have in force.
func TestBootingEntryDoesNotServeAnOlderVersion(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(rapid.Uint64().Draw(t, "seed"), 2, 4, published(7, 4))
		world.advance(5 * time.Second)
		world.document = published(3, 4)
		world.restart(world.entries[0])
		for range 100 {
			world.advance(50 * time.Millisecond)
			if entry := world.entries[0]; entry.ready && entry.version < 7 {
				t.Fatalf("the entry serves with version %d at %v", entry.version, world.now)
			}
		}
		if !world.entries[0].ready {
			t.Fatal("the entry never became ready")
		}
	})
}

// TestFaultyDocumentChangesNothing publishes documents that are no good.
func TestFaultyDocumentChangesNothing(t *testing.T) {
	t.Parallel()
	world := newWorld(1, 2, 2, published(7, 2))
	world.advance(5 * time.Second)
	for _, raw := range []string{"", "{", `{"version": 9}`, `{"version": 9, "classes": "none"}`, `[]`, string(published(9, 0))} {
		world.document = []byte(raw)
		world.advance(3 * time.Second)
		for _, node := range append(world.entries, world.sidecars...) {
			if node.version != 7 {
				t.Errorf("%q: %s has version %d in force", raw, node.name, node.version)
			}
		}
	}
	if _, err := document.Parse([]byte(`{"version": 9}`)); err == nil {
		t.Error("a document without classes was accepted")
	}
}

var (
	_ core = (*router.Router)(nil)
	_ core = (*admission.Controller)(nil)
)
