// Package configservice reads the documents that operators publish. It fetches
// them from the platform's configuration service over HTTP and decodes them.
package configservice

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"acaciavane/core"
)

const (
	// headerRevision is the response header that holds the revision of a value.
	headerRevision = "Platform-Revision"
	// responseGraceMillis is how long after the end of the requested wait a read times out.
	responseGraceMillis = 2 * core.Second
)

// Client reads values from the platform. A read is the request
//
//	GET /v1/values/KEY?after=REVISION&waitMillis=N
//
// The response holds the value, and its revision in the header Platform-Revision.
// If waitMillis is not zero, the service responds as soon as the revision differs
// from after, or with status 304 at the end of the wait.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client of the platform at an address in the form IP:PORT.
func New(address string, dialer *net.Dialer) *Client {
	return &Client{address: address, http: &http.Client{Transport: &http.Transport{
		DialContext:        dialer.DialContext,
		DisableCompression: true,
		// A second copy of a reply can't be told from the reply to the next read, so a connection
		// carries one read.
		DisableKeepAlives: true,

		MaxResponseHeaderBytes: core.MaxReplyHeadBytes,
	}}}
}

// Read implements core.Platform.
func (c *Client) Read(ctx context.Context, key string, after core.Revision, wait core.Millis) (core.PublishedValue, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + responseGraceMillis).Duration())
	defer cancel()
	response, err := c.get(ctx, key, uint64(after), wait)
	if err != nil {
		return core.PublishedValue{}, fmt.Errorf("%w: %w", core.ErrPlatformUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return core.PublishedValue{Revision: after}, nil
	}
	return readValue(response)
}

// get sends the request of a read.
func (c *Client) get(ctx context.Context, key string, after uint64, wait core.Millis) (*http.Response, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("waitMillis", strconv.FormatInt(int64(wait), 10))
	rawURL := "http://" + c.address + "/v1/values/" + url.PathEscape(key) + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, rawURL, nil)
	if err != nil {
		return nil, err
	}
	return c.http.Do(request)
}

// readValue returns the value and the revision in the response. It refuses values
// that are longer than core.MaxPublishedBytes.
func readValue(response *http.Response) (core.PublishedValue, error) {
	if response.StatusCode != http.StatusOK {
		return core.PublishedValue{}, fmt.Errorf("%w: status %d", core.ErrPlatformUnavailable, response.StatusCode)
	}
	revision, err := strconv.ParseUint(response.Header.Get(headerRevision), 10, 64)
	if err != nil {
		return core.PublishedValue{}, fmt.Errorf("%w: header %s: %w", core.ErrPlatformUnavailable, headerRevision, err)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, core.MaxPublishedBytes+1))
	if err != nil {
		return core.PublishedValue{}, fmt.Errorf("%w: %w", core.ErrPlatformUnavailable, err)
	}
	if len(raw) > core.MaxPublishedBytes {
		return core.PublishedValue{}, fmt.Errorf("%w: value over %d bytes", core.ErrPlatformUnavailable, core.MaxPublishedBytes)
	}
	return core.PublishedValue{Raw: raw, Revision: core.Revision(revision)}, nil
}
