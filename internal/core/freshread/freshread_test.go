package freshread_test

import (
	"fmt"
	"testing"
	"time"

	"endivepost/internal/core/freshread"
)

func ExampleReads() {
	const arrived, until = time.Second, 1400 * time.Millisecond
	reads := freshread.Reads{}.WithNeed(arrived, until)
	due, needed := reads.Due(arrived, 3)
	fmt.Println(due, needed)
	reads = reads.WithAsked(due)
	fmt.Println(reads.Since(arrived))
	reads = reads.WithAnswer(due)
	fmt.Println(reads.Since(arrived))
	// Output:
	// 1s true
	// false
	// true
}

// TestReadsArePaced guards against a read for each event, which callers could cause without end,
// and against events that no read follows.
func TestReadsArePaced(t *testing.T) {
	const now, second, minute = time.Minute, time.Second, time.Minute
	asked := freshread.Reads{}.WithNeed(now, now+second).WithAsked(now)
	cases := []struct {
		name    string
		reads   freshread.Reads
		entries int
		due     time.Duration
		needed  bool
	}{
		{"nothing needed", freshread.Reads{}, 3, 0, false},
		{"not answered yet", asked, 3, now + 100*time.Millisecond, true},
		{"large fleet", asked, 949, now + 949*time.Millisecond, true},
		{"answered", asked.WithAnswer(now), 3, 0, false},
		{"answer to a read of before", asked.WithAnswer(now - second), 3, now + 100*time.Millisecond, true},
		{"list read unasked", asked.WithAnswer(0), 3, now + 100*time.Millisecond, true},
		{"event after the answer", asked.WithAnswer(now).WithNeed(now+1, now+second), 3, now + 100*time.Millisecond, true},
		{"too late", freshread.Reads{}.WithNeed(now-minute, now-second), 3, 0, false},
	}
	for _, row := range cases {
		if due, needed := row.reads.Due(now, row.entries); due != row.due || needed != row.needed {
			t.Errorf("%s: got %s, %v, want %s, %v", row.name, due, needed, row.due, row.needed)
		}
	}
}
