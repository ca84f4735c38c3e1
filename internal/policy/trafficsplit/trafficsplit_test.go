package trafficsplit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"endivepost/internal/config/document"
	"endivepost/internal/policy/trafficsplit"
)

func ExampleSplit_DrawFor() {
	shares := []document.Share{{Pool: "old", Weight: 90}, {Pool: "new", Weight: 10}}
	here, elsewhere := trafficsplit.New(shares), trafficsplit.New(shares)
	const stream = 7
	fmt.Println(here.DrawFor(stream) == elsewhere.DrawFor(stream))
	// Output: true
}

// TestWeights guards against a pool that gets more or fewer streams than its weight says, and
// against one without weight that gets any.
func TestWeights(t *testing.T) {
	const streams, tolerance = 100_000, 0.01
	shares := []document.Share{{Pool: "first", Weight: 3}, {Pool: "unused"}, {Pool: "second", Weight: 1}}
	split := trafficsplit.New(shares)
	random := rand.New(rand.NewPCG(1, 1))
	for name, draw := range map[string]func(uint64) string{
		"by stream": split.DrawFor,
		"at random": func(uint64) string { return split.Draw(random) },
	} {
		counts := make(map[string]int)
		for stream := range uint64(streams) {
			counts[draw(stream)]++
		}
		for _, share := range shares {
			got, want := float64(counts[share.Pool])/streams, float64(share.Weight)/4
			if got < want-tolerance || got > want+tolerance || share.Weight == 0 && got > 0 {
				t.Errorf("%s: %s got %.3f of the streams, want %.3f", name, share.Pool, got, want)
			}
		}
	}
	if pool := trafficsplit.New([]document.Share{{Pool: "only"}}).Draw(random); pool != "only" {
		t.Errorf("got %q from a split without weight, want the first pool", pool)
	}
}
