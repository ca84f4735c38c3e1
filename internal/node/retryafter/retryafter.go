// Package retryafter parses the Retry-After field of an upstream's response.
package retryafter

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Longest bounds the time that Parse returns.
const Longest = time.Hour

// Parse returns for how long an upstream that answered with status 503 wants nothing, 0 if the
// response does not say so. A date counts from the date of the response, since the clocks of
// the upstream and of this process may differ. The error says why the field is invalid.
func Parse(response *http.Response) (time.Duration, error) {
	text := response.Header.Get("Retry-After")
	if response.StatusCode != http.StatusServiceUnavailable || text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if errors.Is(err, strconv.ErrSyntax) {
		seconds, err = secondsUntil(text, response.Header.Get("Date"))
	}
	if seconds < 0 || math.IsNaN(seconds) || err != nil && !math.IsInf(seconds, 0) {
		return 0, fmt.Errorf("Retry-After: got %q, want a number of seconds such as 2.5, or a date", text)
	}
	return time.Duration(min(seconds, Longest.Seconds()) * float64(time.Second)), nil
}

// secondsUntil returns the seconds from one HTTP date to another, at least 0.
func secondsUntil(text, from string) (float64, error) {
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, err
	}
	sent, err := http.ParseTime(from)
	if err != nil {
		return 0, err
	}
	return max(until.Sub(sent).Seconds(), 0), nil
}
