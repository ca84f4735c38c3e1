// Package responsehead checks the heads of HTTP responses where net/http accepts ones that no
// sound server sends. What stands behind such a head may be anything, so that nothing of it must
// be taken for a response.
package responsehead

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformed is wrapped by all errors of this package.
var ErrMalformed = errors.New("malformed head of a response")

// lastStatus is the highest status of a response (RFC 9110, section 15).
const lastStatus = 599

// known are the informational responses that may precede a response to a request which asks for
// none. Behind others, protocols that were not asked for or content may follow.
var known = map[int]bool{http.StatusContinue: true, http.StatusProcessing: true, http.StatusEarlyHints: true}

// IsInformational reports whether another response follows the one with the status.
func IsInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK
}

// Check returns an error unless CheckNames and CheckStatus accept the response.
func Check(response *http.Response) error {
	if err := CheckNames(response.Header); err != nil {
		return err
	}
	return CheckStatus(response)
}

// CheckStatus returns an error unless the response has the status of a final response, or is an
// informational one that may be skipped.
func CheckStatus(response *http.Response) error {
	if IsInformational(response.StatusCode) {
		return checkInformational(response)
	}
	if response.StatusCode < http.StatusOK || response.StatusCode > lastStatus {
		return fmt.Errorf("%w: got status %03d, want %d to %d", ErrMalformed, response.StatusCode, http.StatusContinue, lastStatus)
	}
	return nil
}

// checkInformational returns an error for an informational response that is not known, or that
// has a body: the body could hold what looks like a response.
func checkInformational(response *http.Response) error {
	if !known[response.StatusCode] {
		return fmt.Errorf("%w: got informational status %d, want 100, 102 or 103", ErrMalformed, response.StatusCode)
	}
	if length := response.Header.Get("Content-Length"); length != "" && length != "0" || len(response.TransferEncoding) > 0 {
		return fmt.Errorf("%w: got informational status %d with a body, want none", ErrMalformed, response.StatusCode)
	}
	return nil
}
