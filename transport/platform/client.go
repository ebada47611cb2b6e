// Package platform speaks to the platform's log and host list over HTTP.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/protocol/platform"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/transport/fetch"
)

const (
	dialTimeout    = time.Second
	maxAnswerBytes = 256 << 20
)

// Client speaks to the platform at one address.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the platform at a URL such as http://127.0.0.1:7000.
func NewClient(base string, wrap func(http.RoundTripper) http.RoundTripper) *Client {
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: time.Minute,
	}
	return &Client{base: base, http: &http.Client{Transport: wrap(transport)}}
}

// AppendResult says what became of an append.
type AppendResult int

// Results of appends.
const (
	// Stored means that the record is in the log.
	Stored AppendResult = iota + 1
	// NotStored means that the log refused the record.
	NotStored
	// MaybeStored means that the answer was lost.
	MaybeStored
)

// Append adds a record to a stream.
func (cl *Client) Append(ctx context.Context, stream platform.Stream, body []byte) (id.Offset, AppendResult) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.base+platform.LogPath+string(stream), bytes.NewReader(body))
	if err != nil {
		return id.NoOffset, NotStored
	}
	answer, err := cl.http.Do(rq)
	if err != nil {
		return id.NoOffset, resultOf(err)
	}
	defer func() { _ = answer.Body.Close() }()
	switch {
	case answer.StatusCode == http.StatusTooManyRequests || answer.StatusCode == http.StatusServiceUnavailable:
		return id.NoOffset, NotStored
	case answer.StatusCode != http.StatusOK:
		return id.NoOffset, MaybeStored
	}
	var appended platform.AppendResponse
	if json.NewDecoder(answer.Body).Decode(&appended) != nil {
		return id.NoOffset, MaybeStored
	}
	return appended.Offset, Stored
}

func resultOf(err error) AppendResult {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotStored
	}
	return MaybeStored
}

// Read returns records of a stream from an offset on.
func (cl *Client) Read(ctx context.Context, stream platform.Stream, from id.Offset) (platform.ReadResponse, error) {
	var records platform.ReadResponse
	url := cl.base + platform.LogPath + string(stream) + "?from=" + strconv.FormatInt(int64(max(0, from)), 10)
	err := cl.get(ctx, url, &records)
	return records, err
}

// Hosts returns the platform's list of hosts.
func (cl *Client) Hosts(ctx context.Context) ([]platform.Host, error) {
	var hosts platform.HostList
	err := cl.get(ctx, cl.base+platform.HostsPath, &hosts)
	return hosts.Hosts, err
}

func (cl *Client) get(ctx context.Context, url string, answer any) error {
	return fetch.JSON(ctx, cl.http, url, maxAnswerBytes, answer)
}

// Close releases idle connections.
func (cl *Client) Close() {
	cl.http.CloseIdleConnections()
}
