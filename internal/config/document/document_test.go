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

// TestMain fixes rapid's seed, so that each run checks the same inputs.
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

// TestParseInvalid checks that each invalid document is rejected with an error on the
// invalid part. Each case replaces a part of a valid document.
func TestParseInvalid(t *testing.T) {
	cases := []struct{ from, to, want string }{
		{`"version": 2, `, ``, "version: is missing"},
		{`"version": 2`, `"version": -2`, "line 1"},
		{`"tier": 1`, `"tier": "high"`, "line 1"},
		{`"tier": 1`, `"weight": 1`, `unknown field "weight"`},
		{`900ms`, `900`, "is not a duration"},
		{`900ms`, `25h`, "first-token: 25h0m0s is out of range"},
		{`"model": "chat", "first`, `"model": "chat", "service": "s", "first`, `exactly one of model and service, has model "chat" and service "s"`},
		{`"model": "chat"}]}`, `"model": "other"}]}`, `no upstream has its model or service (model "chat", service "")`},
		{`{"name": "runner-1", "model": "chat"}`, `{"name": "a", "model": "chat"}, {"name": "a", "model": "chat"}`, "is used twice"},
		{`"accounts": []`, `"accounts": [{"name": "a", "key-sha256": "ab", "default-class": "guide"}]`, "not a SHA-256 sum: got 2 characters"},
		{`]}`, `]} {}`, "text follows"},
	}
	for _, row := range cases {
		changed := strings.Replace(valid, row.from, row.to, 1)
		if changed == valid {
			t.Fatalf("%q: not in the valid document", row.from)
		}
		if _, err := document.Parse([]byte(changed)); err == nil || !strings.Contains(err.Error(), row.want) {
			t.Errorf("%q instead of %q: got error %v, want %q", row.to, row.from, err, row.want)
		}
	}
	if _, err := document.Parse(make([]byte, document.MaxBytes+1)); err == nil || !strings.Contains(err.Error(), "service stores") {
		t.Errorf("document of MaxBytes+1 bytes: got error %v, want one on its size", err)
	}
	if _, err := document.ParseTranslated(make([]byte, document.MaxTranslatedBytes+1)); err == nil || !strings.Contains(err.Error(), "translated") {
		t.Errorf("document of MaxTranslatedBytes+1 bytes: got error %v, want one on its size", err)
	}
}

// drawDocument draws a valid document of the given version.
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

// withExtraUpstream returns the JSON of the document with one more upstream.
func withExtraUpstream(t *rapid.T, from document.Document) []byte {
	from.Upstreams = append([]document.Upstream{{Name: "extra", Model: "m"}}, from.Upstreams...)
	raw, err := json.Marshal(from)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestPatchLeadsToTheSameDocument guards against a patch that gives a peer another
// document than its sender has: the patch between two documents must turn the one
// into the other, and must be rejected after a change of its rows or by a document of
// another version or content.
func TestPatchLeadsToTheSameDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawDocument(t, 1), drawDocument(t, 2)
		applied, err := from.Apply(document.Diff(from, to))
		if err != nil {
			t.Fatal(err)
		}
		if patch := document.Diff(applied, to); !reflect.DeepEqual(patch.Classes, document.RowsDiff[document.Class]{}) ||
			len(patch.Accounts.Put)+len(patch.Accounts.Removed)+len(patch.Upstreams.Put)+len(patch.Upstreams.Removed) > 0 {
			t.Fatalf("patched document differs: got %+v, want an empty patch", patch)
		}
		if _, err := to.Apply(document.Diff(from, to)); !errors.Is(err, document.ErrPatchMismatch) {
			t.Fatalf("document of another version: got error %v, want ErrPatchMismatch", err)
		}
		extra := document.Diff(from, to)
		extra.Upstreams.Put = append(extra.Upstreams.Put, document.Upstream{Name: "extra", Model: "m"})
		other, err := document.Parse(withExtraUpstream(t, from))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := from.Apply(extra); !errors.Is(err, document.ErrPatchMismatch) {
			t.Fatalf("changed patch: got error %v, want ErrPatchMismatch", err)
		}
		if _, err := other.Apply(document.Diff(from, to)); !errors.Is(err, document.ErrPatchMismatch) {
			t.Fatalf("document with other rows: got error %v, want ErrPatchMismatch", err)
		}
	})
}
