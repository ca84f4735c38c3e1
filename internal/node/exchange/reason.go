package exchange

import (
	"errors"

	"endivepost/internal/wire/message"
)

// Reason returns the reason that a caller is told for the error of a request that may have run,
// or of reading the body of its response.
func Reason(err error) message.Reason {
	if errors.Is(err, ErrRequestCutOff) {
		return message.UploadCutOff
	}
	return message.UpstreamDown
}
