// Package service is an HTTP client for the backend servers of plain services.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/servicecall"
	"github.com/hibiscuslever/hibiscuslever/protocol/engine"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/backend"
	"github.com/hibiscuslever/hibiscuslever/transport/fetch"
	"github.com/hibiscuslever/hibiscuslever/transport/httpresponse"
)

const (
	dialTimeout      = time.Second
	maxResponseBytes = 16 << 20
	// maxRefusalBytes limits how much of the body of a refusal is read.
	maxRefusalBytes = 4096
)

// Client calls backend servers by their addresses. It is safe for concurrent use.
type Client struct {
	clock        timer.Clock
	dialer       *net.Dialer
	pooledClient *http.Client
	// singleUseClient opens a new connection for each request.
	singleUseClient *http.Client
}

// NewClient returns a client whose HTTP transports are wrapped by a function, which may add tracing.
func NewClient(clock timer.Clock, wrap func(http.RoundTripper) http.RoundTripper) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	newTransport := func(disableKeepAlives bool) http.RoundTripper {
		return wrap(httpresponse.NewTransport(&http.Transport{
			DialContext:            dialer.DialContext,
			IdleConnTimeout:        time.Minute,
			DisableKeepAlives:      disableKeepAlives,
			MaxResponseHeaderBytes: fetch.MaxHeadBytes,
		}))
	}
	return &Client{
		clock:        clock,
		dialer:       dialer,
		pooledClient: newHTTPClient(newTransport(false)),
		// net/http resends a request with an Idempotency-Key header if a reused connection is lost. Requests that must
		// be sent at most once therefore get a new connection.
		singleUseClient: newHTTPClient(newTransport(true)),
	}
}

// newHTTPClient returns a client that does not follow redirects, because they are passed on to the caller.
func newHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Send sends a request to the server at an address. The result says whether the server answered, did not run the
// request, or may have run it.
func (cl *Client) Send(ctx context.Context, address string, request servicecall.Request) (servicecall.Response, servicecall.SendResult) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return servicecall.Response{}, servicecall.NotSent
	}
	httpRequest.Header = request.Header
	client := cl.pooledClient
	if request.AtMostOnce {
		client = cl.singleUseClient
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return servicecall.Response{}, failureResult(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusServiceUnavailable && isRefusal(response.Body) {
		return servicecall.Response{}, servicecall.ServerRefused
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil || len(body) > maxResponseBytes {
		return servicecall.Response{}, servicecall.MayHaveRun
	}
	if endsWithConnection(response) && response.StatusCode < http.StatusMultipleChoices && !cl.runs(ctx, address) {
		return servicecall.Response{}, servicecall.MayHaveRun
	}
	return servicecall.Response{Status: response.StatusCode, Header: response.Header, Body: body}, servicecall.Answered
}

// endsWithConnection reports whether the end of the connection is the only mark of the end of a response's body. A body that
// was compressed has an end of its own.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !response.Uncompressed && response.Request.Method != http.MethodHead
}

// runs reports whether the server at an address still runs, that is accepts a connection. The connection of a process that
// crashes ends like the one of a server that closes it.
func (cl *Client) runs(ctx context.Context, address string) bool {
	connection, err := backend.DialRunning(ctx, cl.clock, func(dialCtx context.Context) (net.Conn, error) {
		return cl.dialer.DialContext(dialCtx, "tcp", address)
	})
	if err != nil {
		return errors.Is(err, syscall.ECONNRESET)
	}
	// The connection has served its purpose.
	_ = connection.Close()
	return true
}

// isRefusal reports whether the body of a response with status 503 says that the server is draining and did not run the
// request.
func isRefusal(body io.Reader) bool {
	var refusal engine.Refusal
	return json.NewDecoder(io.LimitReader(body, maxRefusalBytes)).Decode(&refusal) == nil && refusal.Reason == engine.Draining
}

// failureResult returns servicecall.NotSent if no connection could be opened, and servicecall.MayHaveRun for any other
// error.
func failureResult(err error) servicecall.SendResult {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return servicecall.NotSent
	}
	return servicecall.MayHaveRun
}

// Close closes idle connections.
func (cl *Client) Close() {
	cl.pooledClient.CloseIdleConnections()
}
