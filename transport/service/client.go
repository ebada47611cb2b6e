// Package service speaks to servers of plain services over HTTP.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/plain"
	"github.com/hibiscuslever/hibiscuslever/protocol/engine"
)

const (
	dialTimeout    = time.Second
	maxAnswerBytes = 16 << 20
	// maxRefusalBytes bounds the body of a refusal.
	maxRefusalBytes = 4096
)

// Client speaks to any server by its address.
type Client struct {
	http *http.Client
	once *http.Client
}

// NewClient returns a client. The wrap function adds tracing to its HTTP transports.
func NewClient(wrap func(http.RoundTripper) http.RoundTripper) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		http: newHTTP(wrap(&http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: time.Minute})),
		// net/http sends a request with an Idempotency-Key header again when a reused connection breaks.
		// Requests that must be sent once get a connection of their own.
		once: newHTTP(wrap(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true})),
	}
}

func newHTTP(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Send sends a request to the server at an address.
func (cl *Client) Send(ctx context.Context, address string, rq plain.Request) (plain.Response, plain.SendResult) {
	out, err := http.NewRequestWithContext(ctx, rq.Method, "http://"+address+rq.Path, bytes.NewReader(rq.Body))
	if err != nil {
		return plain.Response{}, plain.NotSent
	}
	out.Header = rq.Header
	client := cl.http
	if rq.AtMostOnce {
		client = cl.once
	}
	answer, err := client.Do(out)
	if err != nil {
		return plain.Response{}, resultOf(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode == http.StatusServiceUnavailable && refused(answer.Body) {
		return plain.Response{}, plain.ServerRefused
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		return plain.Response{}, plain.MayHaveRun
	}
	return plain.Response{Status: answer.StatusCode, Header: answer.Header, Body: body}, plain.Answered
}

// refused reports whether an answer with status 503 says that the server did not run the request.
func refused(body io.Reader) bool {
	var refusal engine.Refusal
	return json.NewDecoder(io.LimitReader(body, maxRefusalBytes)).Decode(&refusal) == nil && refusal.Reason == engine.Draining
}

func resultOf(err error) plain.SendResult {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return plain.NotSent
	}
	return plain.MayHaveRun
}

// Close releases idle connections.
func (cl *Client) Close() {
	cl.http.CloseIdleConnections()
}
