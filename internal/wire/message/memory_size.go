package message

// messageOverhead is about the memory in bytes that a message takes without its data.
const messageOverhead = 256

// MemorySize returns about how many bytes of memory the message takes.
func MemorySize(message Message) int {
	switch message := message.(type) {
	case Chunk:
		return messageOverhead + len(message.Data)
	case Grant:
		return messageOverhead + len(message.Payload.Body)
	case Reserve:
		if message.Payload != nil {
			return messageOverhead + len(message.Payload.Body)
		}
	case Config:
		size := messageOverhead + len(message.Raw)
		for _, patch := range message.Patches {
			size += len(patch)
		}
		return size
	}
	return messageOverhead
}
