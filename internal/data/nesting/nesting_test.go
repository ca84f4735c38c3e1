package nesting_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"endivepost/internal/data/nesting"
)

func ExampleFlatten() {
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	flat, cut := nesting.Flatten([]byte(`{"deep": [1, {"further": ` + deep + `}]}`))
	fmt.Println(len(flat), cut, json.Valid(flat))
	// Output: 90 true true
}

// TestFlatten guards against a text whose deep values make the decoder fail, and against
// changing any other text.
func TestFlatten(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		leaf := rapid.SampledFrom([]string{`1`, `"a"`, `"]}\""`, `"\\"`, `"[{"`, `null`, `1e400`})
		value := func(levels int) string {
			open, end := "", ""
			for range levels {
				if rapid.Bool().Draw(t, "array") {
					open, end = open+`[`, `, 2]`+end
					continue
				}
				open, end = open+`{"]": `, `, "b\"": "\\"}`+end
			}
			return open + leaf.Draw(t, "leaf") + end
		}
		levels := rapid.IntRange(0, 2*nesting.MaxLevels).Draw(t, "levels")
		text := `{"before": ` + value(3) + `, "deep": ` + value(levels) + `, "after": [` + leaf.Draw(t, "last") + `]}`
		flat, cut := nesting.Flatten([]byte(text))
		if !json.Valid(flat) {
			t.Fatalf("got %s of %s, want JSON", flat, text)
		}
		if deep := levels+1 > nesting.MaxLevels; cut != deep || !deep && string(flat) != text {
			t.Fatalf("got cut %t and %s of %s, want cut %t", cut, flat, text, deep)
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(flat, &fields); err != nil || len(fields) != 3 || !strings.HasSuffix(text, string(fields["after"])+"}") {
			t.Fatalf("got fields %s, error %v, want the others of %s unchanged", fields, err, text)
		}
	})
}

// FuzzFlatten guards against a text that ends the process or makes it read on for ever.
func FuzzFlatten(f *testing.F) {
	deep := []string{strings.Repeat(`[`, 100_000), strings.Repeat(`{"a":`, 50_000), strings.Repeat(`]`, 100)}
	for _, text := range append(deep, ``, `"`, `"\`, `]`, `}]`, `[`, "\xff\x00{") {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		flat, cut := nesting.Flatten(text)
		if !cut && string(flat) != string(text) {
			t.Errorf("got %q of %q, want it unchanged", flat, text)
		}
	})
}
