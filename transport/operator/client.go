package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/protocol/operator"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/transport/httpresponse"
)

const (
	callTimeout      = 10 * time.Second
	maxResponseBytes = 64 << 20
)

// formatConflict describes an edit that was based on an outdated revision.
func formatConflict(list lists.Name, currentRevision, baseRevision id.Offset) string {
	return fmt.Sprintf("list %s is at revision %d, the edit was made from revision %d", list, currentRevision, baseRevision)
}

// sharedTransport keeps the connections of all clients, as http.DefaultTransport does.
var sharedTransport = httpresponse.NewTransport(http.DefaultTransport.(*http.Transport).Clone())

// Client calls the operator interface of one host.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client for the host whose operator interface is at a URL.
func NewClient(baseURL string) *Client {
	return &Client{baseURL: baseURL, httpClient: &http.Client{Transport: sharedTransport, Timeout: callTimeout}}
}

// Show returns the content and the revision of a list.
func (cl *Client) Show(ctx context.Context, list lists.Name) (operator.List, error) {
	var response operator.List
	err := cl.call(ctx, http.MethodGet, operator.ListsPath+string(list), nil, &response)
	return response, err
}

// Publish replaces the content of a list, or only checks the new content if the request says so. A rejected edit is not
// an error; the response gives the reason.
func (cl *Client) Publish(ctx context.Context, list lists.Name, request operator.PublishRequest) (operator.PublishResponse, error) {
	var response operator.PublishResponse
	err := cl.call(ctx, http.MethodPost, operator.ListsPath+string(list), request, &response)
	return response, err
}

// Evacuate evacuates an availability zone, or ends that. A rejected request is not an error; the response gives the reason.
func (cl *Client) Evacuate(ctx context.Context, request operator.EvacuationRequest) (operator.EvacuationResponse, error) {
	var response operator.EvacuationResponse
	err := cl.call(ctx, http.MethodPost, operator.EvacuationsPath, request, &response)
	return response, err
}

// History returns the verdicts on the latest edits.
func (cl *Client) History(ctx context.Context) (operator.History, error) {
	var response operator.History
	err := cl.call(ctx, http.MethodGet, operator.HistoryPath, nil, &response)
	return response, err
}

// Status returns the state of the fleet as the host knows it.
func (cl *Client) Status(ctx context.Context) (operator.Status, error) {
	var response operator.Status
	err := cl.call(ctx, http.MethodGet, operator.StatusPath, nil, &response)
	return response, err
}

// NoResponseError means that a host may have received and executed a call whose response has not arrived.
type NoResponseError struct{ err error }

// Error returns the text of the cause.
func (ne NoResponseError) Error() string { return ne.err.Error() }

// Unwrap returns the cause.
func (ne NoResponseError) Unwrap() error { return ne.err }

// call sends a request as JSON and decodes the JSON response. A status other than 200 is an error that includes the
// body.
func (cl *Client) call(ctx context.Context, method, path string, request, response any) error {
	requestBody, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, cl.baseURL+path, bytes.NewReader(requestBody))
	if err != nil {
		return errors.Wrap(err, "call host")
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpResponse, err := cl.httpClient.Do(httpRequest)
	if err != nil {
		var networkError *net.OpError
		if errors.As(err, &networkError) && networkError.Op == "dial" {
			return errors.Wrap(err, "call host")
		}
		return NoResponseError{errors.Wrap(err, "call host")}
	}
	defer func() { _ = httpResponse.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return NoResponseError{errors.Wrap(err, "read response of host")}
	}
	if httpResponse.StatusCode != http.StatusOK {
		return fmt.Errorf("host %s responded with status %d: %s", cl.baseURL, httpResponse.StatusCode, bytes.TrimSpace(responseBody))
	}
	if err := json.Unmarshal(responseBody, response); err != nil {
		return errors.Wrap(err, "decode response of host")
	}
	return nil
}
