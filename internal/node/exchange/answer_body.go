package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"syscall"

	"endivepost/internal/wire/responsehead"
)

// answerBody is the body of an answer. It tells its end from that of a connection which broke.
type answerBody struct {
	io.ReadCloser
	answer *Answer
}

// Read implements io.Reader. The error is io.EOF only at the end of a complete body, and comes
// without data: what has arrived must not wait until the request is written.
func (body answerBody) Read(data []byte) (int, error) {
	count, err := body.ReadCloser.Read(data)
	if err == nil || count > 0 && errors.Is(err, io.EOF) {
		return count, nil
	}
	err = body.answer.checkEnd(err)
	body.answer.client.dropIfReset(body.answer.address, err)
	return count, err
}

// checkEnd returns the error of a read, or another one if it is io.EOF and the response is not
// complete.
func (answer *Answer) checkEnd(err error) error {
	var invalid textproto.ProtocolError
	switch {
	case errors.As(err, &invalid):
		return fmt.Errorf("%w: trailer: %w", responsehead.ErrMalformed, err)
	case errors.Is(err, io.EOF) && answer.Framed():
		if malformed := responsehead.CheckNames(answer.Trailer); malformed != nil {
			return malformed
		}
	case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET):
		return answer.checkWritten(err)
	}
	return err
}

// checkWritten returns the error of a read, or ErrRequestCutOff if the connection broke while
// the request was being written. A socket reports a reset once. If the write got it, the read
// sees an orderly end, so without a length or chunks the response is complete only if the
// request was written completely.
func (answer *Answer) checkWritten(err error) error {
	result := answer.connection.written.await()
	if result.err == nil {
		return err
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%w: %w: %w", ErrRequestCutOff, err, result.err)
}
