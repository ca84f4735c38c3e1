package exchange

import (
	"errors"

	"endivepost/internal/wire/message"
	"endivepost/internal/wire/responsehead"
)

// Reason returns the reason that a caller is told for the error of a request that may have run,
// or of reading the body of its response.
func Reason(err error) message.Reason {
	switch {
	case errors.Is(err, ErrRequestCutOff):
		return message.UploadCutOff
	case errors.Is(err, responsehead.ErrMalformed):
		return message.MalformedResponse
	}
	return message.UpstreamDown
}
