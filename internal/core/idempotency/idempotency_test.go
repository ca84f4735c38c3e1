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

func newRing(names ...string) *idempotency.Table {
	ring := idempotency.New(idempotency.Settings{Name: "a", BootTime: boot, ClockSkew: time.Second, Capacity: 3})
	ring.SetDocument(0, published(1, names...))
	return ring
}

func query(key byte, body byte, born time.Time) idempotency.Query {
	return idempotency.Query{Class: "hold", Key: message.Digest{key}, BodyDigest: message.Digest{body}, KeyCreatedAt: born}
}

// TestAdmit is the table of a repeated key at one upstream.
func TestAdmit(t *testing.T) {
	none := time.Time{}
	cases := []struct {
		name  string
		at    time.Duration
		query idempotency.Query
		want  idempotency.Decision
	}{
		{"a key without a time, right after the boot", time.Minute, query(1, 1, none), idempotency.Unverifiable},
		{"a key born before the boot", time.Minute, query(1, 1, boot.Add(-time.Second)), idempotency.Unverifiable},
		{"a key born within the skew of the boot", time.Minute, query(1, 1, boot.Add(time.Second)), idempotency.Unverifiable},
		{"a key born after the boot", time.Minute, query(1, 1, boot.Add(30*time.Second)), idempotency.Admit},
		{"the same again", time.Minute, query(1, 1, boot.Add(30*time.Second)), idempotency.Duplicate},
		{"the same with another body", time.Minute, query(1, 2, boot.Add(30*time.Second)), idempotency.Conflict},
		{"a key without a time, a window after the boot", window, query(2, 1, none), idempotency.Admit},
		{"a key older than the window", 3 * window, query(3, 1, boot.Add(window)), idempotency.Unverifiable},
		{"a third key", 3 * window, query(4, 1, none), idempotency.Admit},
		{"a fourth key in a table of three", 3 * window, query(5, 1, none), idempotency.TableFull},
		{"a young key while the table is full", 3 * window, query(4, 1, none), idempotency.Duplicate},
	}
	ring := newRing("a")
	for _, row := range cases {
		if got, _ := ring.Admit(row.at, row.query); got != row.want {
			t.Errorf("%s: verdict %d, want %d", row.name, got, row.want)
		}
	}
}

// TestEndedKeysAreForgottenAfterTheWindow: not before, and not while they run.
func TestEndedKeysAreForgottenAfterTheWindow(t *testing.T) {
	ring := newRing("a")
	asked := query(1, 1, time.Time{})
	ring.Admit(window, asked)
	if got, _ := ring.Admit(9*window, asked); got != idempotency.Duplicate {
		t.Fatalf("a running key was forgotten: verdict %d", got)
	}
	ring.RunEnded(9*window, asked.Key)
	if got, _ := ring.Admit(10*window-1, asked); got != idempotency.Duplicate {
		t.Fatalf("a young key was forgotten: verdict %d", got)
	}
	if got, _ := ring.Admit(10*window, asked); got != idempotency.Admit {
		t.Fatalf("an old key was kept: verdict %d", got)
	}
}

// TestHomeMoves changes the published set: keys that move here are unprovable
// for a window, keys of others are refused, and keys that stay are admitted.
func TestHomeMoves(t *testing.T) {
	ring := newRing("a", "b")
	ring.SetDocument(2*window, published(2, "a", "b", "c"))
	ring.SetDocument(4*window, published(3, "a", "c"))
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
		got, _ := ring.Admit(4*window+time.Minute, asked)
		if got != want {
			t.Errorf("key %d with home %s, then %s: verdict %d, want %d", key, before, now, got, want)
		}
		ring.Release(asked.Key)
		counts[got]++
	}
	if counts[idempotency.Admit] == 0 || counts[idempotency.Unverifiable] == 0 || counts[idempotency.NotOwner] == 0 {
		t.Errorf("not all verdicts were met: %v", counts)
	}
}

func ExampleTable_VerifiableIn() {
	ring := newRing("a")
	fmt.Println(ring.VerifiableIn(9*time.Minute, query(1, 1, time.Time{})))
	// Output: 1m0s
}
