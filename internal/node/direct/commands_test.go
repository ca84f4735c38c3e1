package direct

import (
	"context"
	"testing"
)

// TestStopHitsNextAttempt guards against a stop that arrives after its attempt has ended and
// cancels the next one, and against one that is lost because it arrives before its attempt.
func TestStopHitsNextAttempt(t *testing.T) {
	cases := []struct {
		name    string
		stopped int
		want    bool
	}{{"of the attempt that has ended", 1, false}, {"of the next attempt", 2, true}}
	for _, row := range cases {
		commands := &commands{}
		_, cancelFirst := context.WithCancelCause(t.Context())
		commands.begin(1, cancelFirst)
		commands.end()
		commands.stop(row.stopped)
		second, cancelSecond := context.WithCancelCause(t.Context())
		commands.begin(2, cancelSecond)
		if stopped := second.Err() != nil; stopped != row.want {
			t.Errorf("stop %s: got the next attempt stopped %v, want %v", row.name, stopped, row.want)
		}
	}
}
