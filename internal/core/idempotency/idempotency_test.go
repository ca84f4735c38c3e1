package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/idempotency"
	"endivepost/internal/policy/rendezvous"
	"endivepost/internal/wire/message"
)

const window = 10 * time.Minute

var boot = time.Unix(1_800_000_000, 0)

func published(version uint64, names ...string) document.Document {
	written := document.Document{
		Version: version, RepeatWindow: document.Duration(window),
		Classes: []document.Class{{Name: "hold", Service: "booking"}},
	}
	for _, name := range names {
		written.Upstreams = append(written.Upstreams, document.Upstream{Name: name, Service: "booking"})
	}
	return written
}

func newTable(names ...string) *idempotency.Table {
	table := idempotency.New(idempotency.Settings{Name: "a", BootTime: boot, ClockSkew: time.Second, Capacity: 3})
	table.SetDocument(0, published(1, names...))
	return table
}

func query(key byte, body byte, createdAt time.Time) idempotency.Query {
	return idempotency.Query{Class: "hold", Key: message.Digest{key}, BodyDigest: message.Digest{body}, KeyCreatedAt: createdAt}
}

// TestAdmit guards against a second run of a key, and against refusing keys without
// need. The cases run in order on one table, so later ones find earlier keys.
func TestAdmit(t *testing.T) {
	none := time.Time{}
	cases := []struct {
		name  string
		at    time.Duration
		query idempotency.Query
		want  idempotency.Decision
	}{
		{"a key without a time, right after the boot", time.Minute, query(1, 1, none), idempotency.Unverifiable},
		{"a key created before the boot", time.Minute, query(1, 1, boot.Add(-time.Second)), idempotency.Unverifiable},
		{"a key created within the clock skew after the boot", time.Minute, query(1, 1, boot.Add(time.Second)), idempotency.Unverifiable},
		{"a key created after the boot", time.Minute, query(1, 1, boot.Add(30*time.Second)), idempotency.Admit},
		{"the same key again", time.Minute, query(1, 1, boot.Add(30*time.Second)), idempotency.Duplicate},
		{"the same key with another body", time.Minute, query(1, 2, boot.Add(30*time.Second)), idempotency.Conflict},
		{"a key without a time, a window after the boot", window, query(2, 1, none), idempotency.Admit},
		{"a key older than the window", 3 * window, query(3, 1, boot.Add(window)), idempotency.Unverifiable},
		{"a third key", 3 * window, query(4, 1, none), idempotency.Admit},
		{"a fourth key in a table of three", 3 * window, query(5, 1, none), idempotency.TableFull},
		{"a stored key while the table is full", 3 * window, query(4, 1, none), idempotency.Duplicate},
	}
	table := newTable("a")
	for _, row := range cases {
		if got, _ := table.Admit(row.at, row.query); got != row.want {
			t.Errorf("%s: decision %d, want %d", row.name, got, row.want)
		}
	}
}

// TestKeysExpireAfterTheRepeatWindow: a key that expires while it runs, or before
// the repeat window after its run has passed, could run twice.
func TestKeysExpireAfterTheRepeatWindow(t *testing.T) {
	table := newTable("a")
	asked := query(1, 1, time.Time{})
	table.Admit(window, asked)
	if got, _ := table.Admit(9*window, asked); got != idempotency.Duplicate {
		t.Fatalf("key of a run in flight: decision %d, want %d", got, idempotency.Duplicate)
	}
	table.RunEnded(9*window, asked.Key)
	if got, _ := table.Admit(10*window-1, asked); got != idempotency.Duplicate {
		t.Fatalf("key just before the end of its repeat window: decision %d, want %d", got, idempotency.Duplicate)
	}
	if got, _ := table.Admit(10*window, asked); got != idempotency.Admit {
		t.Fatalf("key after its repeat window: decision %d, want %d", got, idempotency.Admit)
	}
}

// TestOwnerChanges: when the published upstreams change, keys get other owners. A
// key that moves to this upstream may have run at its previous owner, so it must be
// unverifiable for a repeat window. Keys of other upstreams must be refused, and
// keys that stay must be admitted.
func TestOwnerChanges(t *testing.T) {
	table := newTable("a", "b")
	table.SetDocument(2*window, published(2, "a", "b", "c"))
	table.SetDocument(4*window, published(3, "a", "c"))
	counts := make(map[idempotency.Decision]int)
	for key := range byte(200) {
		asked := query(key, 1, time.Time{})
		before := rendezvous.Top(asked.Key[:], []string{"a", "b", "c"})
		now := rendezvous.Top(asked.Key[:], []string{"a", "c"})
		want := idempotency.Admit
		if now != "a" {
			want = idempotency.NotOwner
		} else if before != "a" {
			want = idempotency.Unverifiable
		}
		got, _ := table.Admit(4*window+time.Minute, asked)
		if got != want {
			t.Errorf("key %d with owner %s, then %s: decision %d, want %d", key, before, now, got, want)
		}
		table.Release(asked.Key)
		counts[got]++
	}
	if counts[idempotency.Admit] == 0 || counts[idempotency.Unverifiable] == 0 || counts[idempotency.NotOwner] == 0 {
		t.Errorf("decisions by count %v, want each of Admit, Unverifiable and NotOwner", counts)
	}
}

func ExampleTable_VerifiableIn() {
	table := newTable("a")
	fmt.Println(table.VerifiableIn(9*time.Minute, query(1, 1, time.Time{})))
	// Output: 1m0s
}
