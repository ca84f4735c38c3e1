package direct

import (
	"io"

	"endivepost/internal/core/event"
	"endivepost/internal/node/exchange"
)

// The purposes of bytes in metrics. Requests and responses are those of upstreams, without
// headers; peer messages are without the headers of the WebSocket.
const (
	purposeRequest  = "request"
	purposeResponse = "response"
	purposeSent     = "peer-sent"
	purposeReceived = "peer-received"
)

// countBytes counts bytes by purpose, and by whether they were exchanged with another failure
// domain: operators may pay for these.
func (entry *Entry) countBytes(purpose, domain string, count int) {
	entry.telemetry.Metrics.Tagged(map[string]string{"purpose": purpose, "domain": domain}).Counter("bytes").Inc(int64(count))
}

// countPeerBytes counts the bytes of messages between entries, whose domains are not known.
func (entry *Entry) countPeerBytes(sent, received int) {
	if sent > 0 {
		entry.countBytes(purposeSent, "any", sent)
	}
	if received > 0 {
		entry.countBytes(purposeReceived, "any", received)
	}
}

// domainOf returns which failure domain the upstream of an attempt is in, own or other.
func (entry *Entry) domainOf(attempt event.Attempt) string {
	if attempt.Domain == entry.settings.Domain {
		return "own"
	}
	return "other"
}

// countedBody counts the bytes of a response that are read.
type countedBody struct {
	io.ReadCloser
	count int
}

// Read implements io.Reader.
func (body *countedBody) Read(buffer []byte) (int, error) {
	read, err := body.ReadCloser.Read(buffer)
	body.count += read
	return read, err
}

// countAnswer counts the request of an attempt that was answered, and has the function that
// it returns count the part of the response that was read by then.
func (entry *Entry) countAnswer(attempt event.Attempt, requestBytes int, answer *exchange.Answer) func() {
	domain := entry.domainOf(attempt)
	entry.countBytes(purposeRequest, domain, requestBytes)
	counted := &countedBody{ReadCloser: answer.Body}
	answer.Body = counted
	return func() { entry.countBytes(purposeResponse, domain, counted.count) }
}
