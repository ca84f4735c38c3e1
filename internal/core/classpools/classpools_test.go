package classpools_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/classpools"
)

const retention = 30 * time.Second

// class is a class that is served by the shares.
func class(shares ...document.Share) document.Class {
	return document.Class{Name: "chat", Split: shares}
}

func ExampleHistory() {
	history := classpools.New(retention)
	before := class(document.Share{Pool: "old", Weight: 1})
	after := class(document.Share{Pool: "new", Weight: 1})
	history.Observe(0, []document.Class{before})
	history.Observe(time.Minute, []document.Class{after})
	const stream = 7
	fmt.Println(history.Candidates(time.Minute, after, stream))
	fmt.Println(history.Candidates(2*time.Minute, after, stream))
	// Output:
	// [new old]
	// [new]
}

// TestCandidates guards against a pool that is taken for the one that began a stream although
// another one may have.
func TestCandidates(t *testing.T) {
	const now, stream = time.Hour, 7
	even := class(document.Share{Pool: "a", Weight: 1}, document.Share{Pool: "b", Weight: 1})
	uneven := class(document.Share{Pool: "a", Weight: 9}, document.Share{Pool: "b", Weight: 1})
	onlyA := class(document.Share{Pool: "a", Weight: 1}, document.Share{Pool: "unused"})
	onlyC := class(document.Share{Pool: "c", Weight: 1})
	type change struct {
		before  time.Duration
		classes []document.Class
	}
	cases := []struct {
		name    string
		changes []change
		class   document.Class
		stream  uint64
		want    int
	}{
		{"unchanged", []change{{time.Minute, []document.Class{even}}}, even, stream, 1},
		{"the first document", []change{{time.Second, []document.Class{even}}}, even, stream, 1},
		{"the same again", []change{{time.Minute, []document.Class{even}}, {time.Second, []document.Class{even}}}, even, stream, 1},
		{"unnamed stream", []change{{time.Minute, []document.Class{even}}}, even, 0, 2},
		{"unnamed stream of one pool", []change{{time.Minute, []document.Class{onlyA}}}, onlyA, 0, 1},
		{"other weights", []change{{time.Minute, []document.Class{even}}, {time.Second, []document.Class{uneven}}}, uneven, stream, 2},
		{"other weights long ago", []change{{time.Hour, []document.Class{even}}, {time.Minute, []document.Class{uneven}}}, uneven, stream, 1},
		{"moved", []change{{time.Minute, []document.Class{onlyA}}, {time.Second, []document.Class{onlyC}}}, onlyC, stream, 2},
		{"moved twice", []change{{time.Minute, []document.Class{even}}, {2 * time.Second, []document.Class{onlyA}}, {time.Second, []document.Class{onlyC}}},
			onlyC, stream, 3},
		{"removed and added", []change{{time.Minute, []document.Class{onlyA}}, {2 * time.Second, nil}, {time.Second, []document.Class{onlyC}}}, onlyC, stream, 2},
		{"removed long ago", []change{{time.Hour, []document.Class{onlyA}}, {2 * time.Minute, nil}, {time.Second, []document.Class{onlyC}}}, onlyC, stream, 1},
	}
	for _, row := range cases {
		history := classpools.New(retention)
		for _, change := range row.changes {
			history.Observe(now-change.before, change.classes)
		}
		got := history.Candidates(now, row.class, row.stream)
		if len(got) != row.want || slices.Contains(got, "unused") {
			t.Errorf("%s: got %v, want %d pools that serve", row.name, got, row.want)
		}
	}
}
