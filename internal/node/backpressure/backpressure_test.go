package backpressure_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/node/backpressure"
	"endivepost/internal/wire/message"
)

// idleCore is a core that does nothing.
type idleCore struct{}

func (idleCore) Step(time.Duration, []event.Input) []event.Output { return nil }
func (idleCore) NextDue() time.Duration                           { return time.Hour }

const (
	maxUnhandled = 1 << 20
	// shortly is long enough to see that something waits.
	shortly = 50 * time.Millisecond
)

var run = message.NewRequestID(1, 1)

// admit admits the bytes in the background.
func admit(ctx context.Context, pressure *backpressure.Pressure, bytes int) <-chan error {
	admitted := make(chan error, 1)
	go func() { admitted <- pressure.Admit(ctx, run, bytes) }()
	return admitted
}

// TestReaderWaitsForCore guards against responses that are read faster than the core handles them.
func TestReaderWaitsForCore(t *testing.T) {
	pressure := backpressure.New()
	core := pressure.Core(idleCore{})
	if err := pressure.Admit(context.Background(), run, maxUnhandled); err != nil {
		t.Fatal(err)
	}
	next := admit(context.Background(), pressure, 1)
	select {
	case <-next:
		t.Fatal("a byte is admitted while the core has not handled those before, want it to wait")
	case <-time.After(shortly):
	}
	core.Step(0, []event.Input{event.ResponseChunk{ID: run, Data: make([]byte, maxUnhandled)}})
	if err := <-next; err != nil {
		t.Errorf("got error %v once the core has handled the rest, want none", err)
	}
}

// TestLargePartIsAdmitted guards against a part above the bound that waits for ever.
func TestLargePartIsAdmitted(t *testing.T) {
	if err := backpressure.New().Admit(context.Background(), run, 2*maxUnhandled); err != nil {
		t.Errorf("got error %v for a large part alone, want none", err)
	}
}

// TestStoppedRunEndsItsWait guards against runs that stay although they were stopped.
func TestStoppedRunEndsItsWait(t *testing.T) {
	pressure := backpressure.New()
	if err := pressure.Admit(context.Background(), run, maxUnhandled); err != nil {
		t.Fatal(err)
	}
	errStopped := errors.New("stopped")
	ctx, cancel := context.WithCancelCause(context.Background())
	next := admit(ctx, pressure, 1)
	time.Sleep(shortly)
	cancel(errStopped)
	if err := <-next; !errors.Is(err, errStopped) {
		t.Errorf("got error %v, want that of the stop", err)
	}
}
