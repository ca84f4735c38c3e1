package capacity

import (
	"runtime"
	"time"

	"endivepost/internal/wire/message"
)

type messageSize struct {
	name        string
	bytes       int
	description string
}

// frameHeaderBytes is the size of the WebSocket header of a short masked frame.
const frameHeaderBytes = 6

// messageSizes returns the encoded size of a message of each kind with typical values.
// IDs and versions are large, since CBOR needs more bytes for large numbers.
func messageSizes() []messageSize {
	id := message.NewRequestID(1<<62, 1<<30).WithAttempt(1)
	echo := 48 * time.Hour
	load := message.Load{Limit: 30, Running: 28, Queued: 12, Wait: time.Second}
	reserve := message.Reserve{
		ID: id, Class: "guide", Account: "dakar-desk", Tier: 1, Timeout: 3600 * time.Millisecond, Fingerprint: 1 << 62,
	}
	keyed := reserve
	keyed.Key, keyed.BodyDigest, keyed.KeyCreatedAt = message.Digest{1}, message.Digest{1}, time.Unix(1_800_000_000, 0)
	pushed := reserve
	pushed.Echo = echo
	pushed.Payload = &message.Payload{}
	samples := []struct {
		name string
		body message.Message
	}{
		{"heartbeat", message.Heartbeat{Uptime: echo, Echo: echo, ConfigVersion: 1 << 20, Load: load}},
		{"reserve", reserve},
		{"reserve with a key", keyed},
		{"reserve with a push, without the body", pushed},
		{"claim", message.Claim{ID: id}},
		{"grant, without the body", message.Grant{ID: id}},
		{"withdraw", message.Withdraw{ID: id}},
		{"refused", message.Refused{ID: id, Reason: message.QueueFull, RetryAfter: time.Second}},
		{"chunk, without its data", message.Chunk{ID: id, Index: 100}},
		{"end", message.End{ID: id, Chunks: 100, Outcome: message.Complete}},
	}
	var sizes []messageSize
	for _, sample := range samples {
		data, _ := message.Encode(sample.body)
		sizes = append(sizes, messageSize{name: sample.name, bytes: len(data) + frameHeaderBytes, description: "CBOR and WebSocket header"})
	}
	return sizes
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
