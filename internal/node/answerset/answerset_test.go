package answerset_test

import (
	"context"
	"testing"

	"endivepost/internal/core/event"
	"endivepost/internal/node/answerset"
	"endivepost/internal/wire/message"
)

const (
	unbounded = 1 << 30
	maxBytes  = 1 << 20
)

func chunk(id message.RequestID, size int) event.Deliver {
	return event.Deliver{ID: id, Chunk: message.Chunk{ID: id, Data: make([]byte, size)}}
}

// TestEndlessResponseIsCut guards against a response without end that takes the memory of the
// process, and against one that is cut in its place.
func TestEndlessResponseIsCut(t *testing.T) {
	set := answerset.New(maxBytes)
	sound, endless := message.NewRequestID(1, 1), message.NewRequestID(1, 2)
	soundQueue, endlessQueue := set.Add(sound, unbounded), set.Add(endless, unbounded)
	set.Deliver(chunk(sound, maxBytes/4))
	var ended []message.RequestID
	for range 100 {
		ended = append(ended, set.Deliver(chunk(endless, maxBytes/10))...)
	}
	if len(ended) == 0 || ended[0] != endless {
		t.Fatalf("got the requests %v ended, want that with the endless response", ended)
	}
	if held := soundQueue.Held() + endlessQueue.Held(); held > maxBytes {
		t.Errorf("%d bytes are held, want at most %d", held, maxBytes)
	}
	if _, finish, _ := endlessQueue.Next(context.Background()); finish == nil || finish.Outcome != message.Incomplete {
		t.Errorf("got the outcome %v of the endless response, want incomplete", finish)
	}
	if len(set.Deliver(chunk(sound, maxBytes/4))) > 0 {
		t.Error("a sound response is cut, want it to go on")
	}
	set.Finish(event.Finish{ID: sound, Outcome: message.Complete})
	if chunks, _, _ := soundQueue.Next(context.Background()); len(chunks) != 2 {
		t.Errorf("got %d chunks of the sound response, want 2", len(chunks))
	}
}

// TestMemoryIsFreed guards against responses that count although they are written or over.
func TestMemoryIsFreed(t *testing.T) {
	set := answerset.New(maxBytes)
	streamed, over := message.NewRequestID(1, 1), message.NewRequestID(1, 2)
	queue := set.Add(streamed, unbounded)
	for range 100 {
		if ended := set.Deliver(chunk(streamed, maxBytes/4)); len(ended) > 0 {
			t.Fatalf("got the requests %v ended, want none: what was read is free", ended)
		}
		_, _, _ = queue.Next(context.Background())
		queue.FreeRead()
	}
	for range 100 {
		set.Add(over, unbounded)
		if ended := set.Deliver(chunk(over, maxBytes/2)); len(ended) > 0 {
			t.Fatalf("got the requests %v ended, want none: the others are over", ended)
		}
		set.Remove(over)
	}
}

// TestSlowCallerIsEnded guards against chunks without end for a caller that does not read.
func TestSlowCallerIsEnded(t *testing.T) {
	const capacity = 1000
	set := answerset.New(0)
	id := message.NewRequestID(1, 1)
	set.Add(id, capacity)
	if ended := set.Deliver(chunk(id, capacity)); len(ended) > 0 {
		t.Errorf("got the requests %v ended, want none", ended)
	}
	if ended := set.Deliver(chunk(id, 1)); len(ended) != 1 || ended[0] != id {
		t.Errorf("got the requests %v ended, want that of the slow caller", ended)
	}
}
