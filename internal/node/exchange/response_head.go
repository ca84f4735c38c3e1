package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"endivepost/internal/wire/responsehead"
)

// A faulty upstream may send bytes without end where a response is due. Until the head of
// the right response has been read, all reading is therefore bounded. Whoever reads the
// body bounds that.

const (
	// maxHeadBytes bounds the status line and header of a response.
	maxHeadBytes = 64 << 10
	// maxLateResponses and maxLateBytes bound the late responses to earlier requests that
	// are skipped before the response to a request, and the body of each.
	maxLateResponses = 2
	maxLateBytes     = 1 << 20
)

var (
	errTooManyInformational = errors.New("too many informational responses")
	errTooManyLate          = fmt.Errorf("%w: too many responses to earlier requests on the connection", ErrOtherAnswer)
	errUnidentified         = fmt.Errorf("%w: the response has no request ID and may belong to an earlier request", ErrOtherAnswer)
)

// read returns the head of the response to the request. It skips late responses to
// earlier requests.
func (connection *connection) read(request Request, reused bool) (*http.Response, error) {
	defer connection.bounded.AllowAll()
	for range maxLateResponses + 1 {
		response, err := connection.readHead(request.Method)
		if err != nil {
			return nil, err
		}
		switch match := request.Match(response); {
		case match == Matched, match == Unidentified && !reused:
			return response, nil
		case match == Unidentified:
			return nil, errUnidentified
		}
		connection.bounded.Allow(maxLateBytes)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
	return nil, errTooManyLate
}

// readHead returns the head of the next response that is not informational. Its error wraps
// responsehead.ErrMalformed if what follows the head may be anything.
func (connection *connection) readHead(method string) (*http.Response, error) {
	for range responsehead.MaxInformational + 1 {
		connection.bounded.Allow(maxHeadBytes)
		if err := connection.checkLines(); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(connection.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := responsehead.CheckStatus(response); err != nil {
			return nil, err
		}
		if !responsehead.IsInformational(response.StatusCode) {
			return response, nil
		}
	}
	return nil, errTooManyInformational
}
