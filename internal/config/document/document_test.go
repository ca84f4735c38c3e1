package document_test

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endivepost/internal/config/document"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const valid = `{"version": 2, "classes": [{"name": "guide", "tier": 1, "model": "chat", "first-token": "900ms"}],
 "accounts": [], "upstreams": [{"name": "runner-1", "model": "chat"}]}`

func ExampleParse() {
	parsed, err := document.Parse([]byte(valid))
	fmt.Println(parsed.Version, time.Duration(parsed.Classes[0].GiveUpAfter), err)
	_, err = document.Parse([]byte(strings.Replace(valid, `"tier": 1`, `"tier": 0`, 1)))
	fmt.Println(err)
	// Output:
	// 2 3.6s <nil>
	// class document: classes[0].tier: 0 is out of range: give 1 (highest) to 64
}

// TestFaults is the table of documents that are refused, with what is said.
func TestFaults(t *testing.T) {
	cases := []struct{ from, to, want string }{
		{`"version": 2, `, ``, "version: is missing"},
		{`"version": 2`, `"version": -2`, "line 1"},
		{`"tier": 1`, `"tier": "high"`, "line 1"},
		{`"tier": 1`, `"weight": 1`, `unknown field "weight"`},
		{`900ms`, `900`, "is no duration"},
		{`900ms`, `25h`, "is impossible"},
		{`"model": "chat", "first`, `"model": "chat", "service": "s", "first`, "exactly one of model and service"},
		{`"model": "chat"}]}`, `"model": "other"}]}`, "no upstream has its model"},
		{`{"name": "runner-1", "model": "chat"}`, `{"name": "a", "model": "chat"}, {"name": "a", "model": "chat"}`, "stands twice"},
		{`"accounts": []`, `"accounts": [{"name": "a", "key-sha256": "ab", "default-class": "guide"}]`, "no SHA-256 sum"},
		{`]}`, `]} {}`, "text follows"},
	}
	for _, row := range cases {
		changed := strings.Replace(valid, row.from, row.to, 1)
		if changed == valid {
			t.Fatalf("%q is not in the document", row.from)
		}
		if _, err := document.Parse([]byte(changed)); err == nil || !strings.Contains(err.Error(), row.want) {
			t.Errorf("%q for %q: %v, want %q", row.to, row.from, err, row.want)
		}
	}
	if _, err := document.Parse(make([]byte, document.MaxBytes+1)); err == nil || !strings.Contains(err.Error(), "service holds") {
		t.Errorf("too large: %v", err)
	}
}

func drawDocument(t *rapid.T, version uint64) document.Document {
	written := document.Document{Version: version, RepeatWindow: document.Duration(time.Minute)}
	for i := range rapid.IntRange(1, 5).Draw(t, "classes") {
		written.Classes = append(written.Classes, document.Class{
			Name: fmt.Sprint("class-", i), Tier: rapid.IntRange(1, 6).Draw(t, "tier"), Model: "m", FirstToken: document.Duration(time.Second),
		})
	}
	for _, i := range rapid.SliceOfDistinct(rapid.IntRange(0, 9), rapid.ID[int]).Draw(t, "upstreams") {
		written.Upstreams = append(written.Upstreams, document.Upstream{Name: fmt.Sprint("up-", i), Model: "m"})
	}
	written.Upstreams = append(written.Upstreams, document.Upstream{Name: "always", Model: "m"})
	for _, i := range rapid.SliceOfDistinct(rapid.IntRange(0, 9), rapid.ID[int]).Draw(t, "accounts") {
		written.Accounts = append(written.Accounts, document.Account{Name: fmt.Sprint("a", i), KeySHA256: fmt.Sprintf("%064x", i), DefaultClass: "class-0"})
	}
	raw, _ := json.Marshal(written)
	parsed, err := document.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// withStray returns the text of the document with one upstream more.
func withStray(t *rapid.T, from document.Document) []byte {
	from.Upstreams = append([]document.Upstream{{Name: "stray", Model: "m"}}, from.Upstreams...)
	raw, err := json.Marshal(from)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestPatchLeadsToTheSameDocument: from any document to any other; and it fits
// no document of another version or content.
func TestPatchLeadsToTheSameDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawDocument(t, 1), drawDocument(t, 2)
		applied, err := from.Apply(document.Diff(from, to))
		if err != nil {
			t.Fatal(err)
		}
		if patch := document.Diff(applied, to); !reflect.DeepEqual(patch.Classes, document.RowsDiff[document.Class]{}) ||
			len(patch.Accounts.Put)+len(patch.Accounts.Removed)+len(patch.Upstreams.Put)+len(patch.Upstreams.Removed) > 0 {
			t.Fatalf("left over: %+v", patch)
		}
		if _, err := to.Apply(document.Diff(from, to)); !errors.Is(err, document.ErrPatchMismatch) {
			t.Fatalf("it fits another version: %v", err)
		}
		stray := document.Diff(from, to)
		stray.Upstreams.Put = append(stray.Upstreams.Put, document.Upstream{Name: "stray", Model: "m"})
		other, err := document.Parse(withStray(t, from))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := from.Apply(stray); !errors.Is(err, document.ErrPatchMismatch) {
			t.Fatalf("a changed patch fits: %v", err)
		}
		if _, err := other.Apply(document.Diff(from, to)); !errors.Is(err, document.ErrPatchMismatch) {
			t.Fatalf("it fits another content: %v", err)
		}
	})
}
