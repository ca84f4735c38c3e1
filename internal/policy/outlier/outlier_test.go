package outlier_test

import (
	"fmt"
	"testing"
	"time"

	"endivepost/internal/policy/outlier"
)

func Example() {
	rates := outlier.New()
	for i := range 8 {
		rates.Observe(0, "grey", i%2 == 0)
		rates.Observe(0, "sound", false)
		rates.Observe(0, "usual", i == 3)
	}
	names := []string{"grey", "sound", "usual"}
	fmt.Println(rates.Outliers(0, names), rates.Outliers(20*time.Second, names))
	// Output: map[grey:true] map[]
}

// TestAllFail: when all fail alike none is an outlier, and never more than half.
func TestAllFail(t *testing.T) {
	rates := outlier.New()
	names := []string{"a", "b", "c", "d"}
	for i := range 10 {
		for _, name := range names {
			rates.Observe(0, name, i%2 == 0)
		}
	}
	if got := rates.Outliers(0, names); len(got) > 0 {
		t.Errorf("%v are outliers among equals", got)
	}
	for range 40 {
		rates.Observe(0, "d", false)
	}
	if got := rates.Outliers(0, names); len(got) > 2 {
		t.Errorf("%v are outliers", got)
	}
}
