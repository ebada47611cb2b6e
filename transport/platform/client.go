// Package platform is an HTTP client for the platform's log and its list of entry hosts, engines and other backend
// servers.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/protocol/platform"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/transport/fetch"
	"github.com/hibiscuslever/hibiscuslever/transport/httpresponse"
)

const (
	dialTimeout      = time.Second
	maxResponseBytes = 256 << 20
	// maxAppendResponseBytes limits the response to an append, which holds one offset.
	maxAppendResponseBytes = 4096
)

// Client calls the platform at one URL. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client for the platform at a URL such as http://127.0.0.1:7000. The HTTP transport is wrapped by
// a function, which may add tracing.
func NewClient(baseURL string, wrap func(http.RoundTripper) http.RoundTripper) *Client {
	transport := httpresponse.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: fetch.MaxHeadBytes,
	})
	return &Client{baseURL: baseURL, httpClient: &http.Client{Transport: wrap(transport)}}
}

// AppendResult says whether an append reached the log.
type AppendResult int

// Results of appends.
const (
	// Stored means that the record is in the log.
	Stored AppendResult = iota + 1
	// NotStored means that the log rejected the record or could not be reached.
	NotStored
	// MaybeStored means that the response was lost or can't be interpreted.
	MaybeStored
)

// Append adds a record to a stream. It returns the offset of the record, or id.NoOffset unless the result is Stored.
func (cl *Client) Append(ctx context.Context, stream platform.Stream, body []byte) (id.Offset, AppendResult) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.baseURL+platform.LogPath+string(stream), bytes.NewReader(body))
	if err != nil {
		return id.NoOffset, NotStored
	}
	response, err := cl.httpClient.Do(request)
	if err != nil {
		return id.NoOffset, failureResult(err)
	}
	defer func() { _ = response.Body.Close() }()
	switch {
	case response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable:
		return id.NoOffset, NotStored
	case response.StatusCode != http.StatusOK:
		return id.NoOffset, MaybeStored
	}
	var appended platform.AppendResponse
	if json.NewDecoder(io.LimitReader(response.Body, maxAppendResponseBytes)).Decode(&appended) != nil {
		return id.NoOffset, MaybeStored
	}
	return appended.Offset, Stored
}

// failureResult returns NotStored if no connection could be opened, and MaybeStored for any other error.
func failureResult(err error) AppendResult {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return NotStored
	}
	return MaybeStored
}

// Read returns records of a stream from an offset on. A negative offset means the beginning of the stream.
func (cl *Client) Read(ctx context.Context, stream platform.Stream, from id.Offset) (platform.ReadResponse, error) {
	var response platform.ReadResponse
	url := cl.baseURL + platform.LogPath + string(stream) + "?from=" + strconv.FormatInt(int64(max(0, from)), 10)
	err := cl.getJSON(ctx, url, &response)
	return response, err
}

// Hosts returns the platform's list of hosts.
func (cl *Client) Hosts(ctx context.Context) ([]platform.Host, error) {
	var response platform.HostList
	err := cl.getJSON(ctx, cl.baseURL+platform.HostsPath, &response)
	return response.Hosts, err
}

func (cl *Client) getJSON(ctx context.Context, url string, response any) error {
	return fetch.JSON(ctx, cl.httpClient, url, maxResponseBytes, response)
}

// Close closes idle connections.
func (cl *Client) Close() {
	cl.httpClient.CloseIdleConnections()
}
