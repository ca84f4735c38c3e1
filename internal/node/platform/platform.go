// Package platform is a read-only client of the platform's configuration service, which
// publishes the class document and the list of VMs.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/event"
	"endivepost/internal/data/nesting"
	"endivepost/internal/wire/responsehead"
)

// Client reads from the configuration service over HTTP. The error of a failed request
// contains its path.
type Client struct {
	base string
	http *http.Client
}

const (
	// readTimeout bounds a request, for Watch in addition to its wait.
	readTimeout    = 3 * time.Second
	maxHeaderBytes = 64 << 10
	maxListBytes   = 16 << 20
)

// ErrNotModified is returned by Watch if no newer document was published in time.
var ErrNotModified = errors.New("no newer document")

// New returns a client of the service at the base URL, which must not end in a slash.
func New(base string) *Client {
	return &Client{base: base, http: &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: maxHeaderBytes}}}
}

// Document returns the published class document as JSON, at most document.MaxBytes.
func (client *Client) Document(ctx context.Context) (raw []byte, err error) {
	return client.get(ctx, "/v1/config", readTimeout, document.MaxBytes)
}

// Watch returns the class document once it is newer than the given version. After wait it
// returns ErrNotModified. It is a single long-polling request.
func (client *Client) Watch(ctx context.Context, after uint64, wait time.Duration) (raw []byte, err error) {
	path := "/v1/config?after=" + strconv.FormatUint(after, 10) + "&wait=" + wait.String()
	return client.get(ctx, path, wait+readTimeout, document.MaxBytes)
}

// Members returns the published list of VMs, which may be out of date. Entries that cannot be
// used are left out and returned as rejected.
func (client *Client) Members(ctx context.Context) (members []event.Member, rejected, err error) {
	raw, err := client.get(ctx, "/v1/vms", readTimeout, maxListBytes)
	if err != nil {
		return nil, nil, err
	}
	flat, _ := nesting.Flatten(raw)
	var entries []json.RawMessage
	if err := json.Unmarshal(flat, &entries); err != nil {
		return nil, nil, fmt.Errorf("list of VMs: %w", err)
	}
	for i, entry := range entries {
		member, err := parseMember(entry)
		if err != nil {
			rejected = errors.Join(rejected, fmt.Errorf("VM %d of the list: %w", i, err))
			continue
		}
		members = append(members, member)
	}
	return members, rejected, nil
}

// parseMember parses one entry of the list of VMs, which must have a name and an address.
func parseMember(raw []byte) (member event.Member, err error) {
	if err := json.Unmarshal(raw, &member); err != nil {
		return event.Member{}, err
	}
	host, port, err := net.SplitHostPort(member.Address)
	if err != nil {
		return event.Member{}, err
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 || host == "" || member.Name == "" {
		return event.Member{}, fmt.Errorf("got name %q and address %q, want a name and host:port", member.Name, member.Address)
	}
	return member, nil
}

func (client *Client) get(ctx context.Context, path string, timeout time.Duration, maxBytes int64) (raw []byte, err error) {
	defer func() {
		if err != nil && !errors.Is(err, ErrNotModified) {
			err = fmt.Errorf("read %s from the configuration service: %w", path, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(responsehead.WithTrace(ctx), http.MethodGet, client.base+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := responsehead.Check(response); err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusNotModified {
		return nil, ErrNotModified
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("got status %d, want 200 or 304", response.StatusCode)
	}
	raw, err = io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err == nil && int64(len(raw)) > maxBytes {
		err = fmt.Errorf("response is larger than %d bytes", maxBytes)
	}
	return raw, errors.Join(err, responsehead.CheckNames(response.Trailer))
}
