package entry

import (
	"sync/atomic"
	"testing"

	"endivepost/internal/node/answer"
	"endivepost/internal/node/caller"
	"endivepost/internal/wire/message"
)

// TestBufferedAnswerOverflowsQueue guards against a sound caller that counts as disconnected
// because the answer that the entry buffers arrives faster than it is moved to the buffer.
func TestBufferedAnswerOverflowsQueue(t *testing.T) {
	const chunkBytes = 32 << 10
	for stream, wanted := range map[bool]int{true: maxUnreadBytes, false: caller.MaxAnswerBytes} {
		queue, held := answer.New(queueCapacity(stream), new(atomic.Int64)), 0
		for queue.Push(message.Chunk{Data: make([]byte, chunkBytes)}) {
			held += chunkBytes
		}
		if held != wanted {
			t.Errorf("streamed %t: the queue holds %d bytes, want %d", stream, held, wanted)
		}
	}
}
