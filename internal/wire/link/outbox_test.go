package link

import (
	"context"
	"testing"
	"time"

	"endivepost/internal/wire/message"
)

// TestAwaitEnds guards against a wait for the outbox that outlasts its cause.
func TestAwaitEnds(t *testing.T) {
	const capacity, shortly = 1 << 20, 50 * time.Millisecond
	body := message.Chunk{Data: make([]byte, capacity/2)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cases := []struct {
		name string
		end  func(outbox *outbox)
	}{
		{"written", func(outbox *outbox) { outbox.written(outbox.take()[0]) }},
		{"closed", func(outbox *outbox) { outbox.close() }},
		{"context done", func(*outbox) { cancel() }},
	}
	for _, row := range cases {
		outbox := newOutbox(capacity)
		outbox.push(body)
		done := make(chan struct{})
		go func() {
			outbox.await(ctx, 1)
			close(done)
		}()
		select {
		case <-done:
			t.Fatalf("%s: the wait ends while the message is queued", row.name)
		case <-time.After(shortly):
		}
		row.end(outbox)
		select {
		case <-done:
		case <-time.After(time.Second):
			t.Fatalf("%s: the wait does not end", row.name)
		}
	}
}
