package httpresponse

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/go-faster/errors"
)

// Transport is an http.RoundTripper that rejects broken responses.
type Transport struct{ next *http.Transport }

// NewTransport returns a transport that sends requests with next and whose connections are of type Conn. It changes
// next.DialContext, which must be set.
func NewTransport(next *http.Transport) *Transport {
	dial := next.DialContext
	next.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(connection), nil
	}
	return &Transport{next: next}
}

// RoundTrip sends a request. A response that CheckHead rejects is an error, and its connection of HTTP/1 is closed: where the
// response ends is not certain, so that what follows it may be a part of it.
func (tr *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var connection net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { connection = info.Conn }}
	response, err := tr.next.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	response.Request = request
	if err := CheckHead(response.StatusCode, response.Header); err != nil {
		_ = response.Body.Close()
		if response.ProtoMajor == 1 && connection != nil {
			_ = connection.Close()
		}
		return nil, errors.Wrap(err, "read response")
	}
	return response, nil
}

// CloseIdleConnections closes idle connections.
func (tr *Transport) CloseIdleConnections() { tr.next.CloseIdleConnections() }
