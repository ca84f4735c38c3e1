package direct

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"endivepost/internal/node/exchange"
)

// bufferedResponse is an upstream's complete response that is not streamed.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// write sends the response to the caller.
func (buffered *bufferedResponse) write(inflight *inflight) error {
	header := inflight.writer.Header()
	for name, values := range inflight.entry.settings.Dialect.CallerHeader(buffered.header) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(buffered.body)))
	inflight.writer.WriteHeader(buffered.status)
	if _, err := inflight.writer.Write(buffered.body); err != nil {
		return errors.Join(errCallerDisconnected, err)
	}
	return nil
}

// readResponse reads a response of at most limit bytes into memory. The error is
// errTooLarge if more follow; the response then has the first limit + 1 bytes.
func readResponse(answer *exchange.Answer, limit int64) (*bufferedResponse, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, limit+1))
	if err != nil {
		return nil, err
	}
	buffered := &bufferedResponse{status: answer.StatusCode, header: answer.Header, body: body}
	if int64(len(body)) > limit {
		return buffered, errTooLarge
	}
	return buffered, nil
}
