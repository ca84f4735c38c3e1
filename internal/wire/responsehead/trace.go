package responsehead

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// MaxInformational bounds the informational responses before a response.
const MaxInformational = 16

// WithTrace returns a context for one request of net/http, which skips informational responses
// by itself. The request fails at one that must not be skipped, or at one too many.
func WithTrace(ctx context.Context) context.Context {
	received := 0
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			received++
			if received > MaxInformational {
				return fmt.Errorf("%w: got %d informational responses, want at most %d", ErrMalformed, received, MaxInformational)
			}
			return Check(&http.Response{StatusCode: status, Header: http.Header(header)})
		},
	})
}
