// Package engine is an HTTP client for model engines.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/coordination/modelcall"
	"github.com/hibiscuslever/hibiscuslever/coordination/placement"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/coordination/shard"
	"github.com/hibiscuslever/hibiscuslever/protocol/engine"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/fetch"
	"github.com/hibiscuslever/hibiscuslever/transport/httpresponse"
)

const (
	dialTimeout        = time.Second
	maxIdleConnections = 64
	// maxRefusalBytes limits how much of the body of a refusal is read.
	maxRefusalBytes  = 4096
	maxResponseBytes = 4 << 20
	// maxLoadReportBytes limits a report of an engine's load. Reports of many engines are fetched at the same time.
	maxLoadReportBytes = 128 << 10
	// maxHealthProbes limits the probes of one ProbeHealth call. initialHealthPause is the pause after the first probe; it
	// doubles with each probe.
	maxHealthProbes    = 4
	initialHealthPause = 20 * time.Millisecond
)

// Client calls engines by their addresses. It is safe for concurrent use.
type Client struct {
	httpClient *http.Client
	clock      timer.Clock
}

// NewClient returns a client whose HTTP transport is wrapped by a function, which may add tracing.
func NewClient(clock timer.Clock, wrap func(http.RoundTripper) http.RoundTripper) *Client {
	transport := httpresponse.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: fetch.MaxHeadBytes,
	})
	return &Client{httpClient: &http.Client{Transport: wrap(transport)}, clock: clock}
}

// Open starts an attempt on an engine and opens its stream of frames.
func (cl *Client) Open(ctx context.Context, stream modelcall.StreamRequest) modelcall.OpenResult {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+stream.Address+engine.AttemptsPath, bytes.NewReader(stream.Body))
	if err != nil {
		return modelcall.OpenResult{FailureCause: retry.NotSent}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(engine.ModelHeader, string(stream.Model))
	request.Header.Set(engine.PriorityHeader, strconv.FormatInt(int64(stream.Priority), 10))
	request.Header.Set(engine.PartHeader, strconv.FormatInt(int64(stream.PartTokens), 10))
	request.Header.Set(engine.PrefixHeader, formatPrefixHashes(stream.PrefixHashes))
	if stream.Follower {
		request.Header.Set(engine.FollowerHeader, "true")
	}
	return cl.openStream(request, stream)
}

// Resume opens the stream of an attempt that an engine already runs, from the first token that the request names.
func (cl *Client) Resume(ctx context.Context, stream modelcall.StreamRequest) modelcall.OpenResult {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, attemptURL(stream.Address, stream.Attempt), nil)
	if err != nil {
		return modelcall.OpenResult{FailureCause: retry.NotSent}
	}
	return cl.openStream(request, stream)
}

// attemptURL returns the URL of an attempt. Slashes in the attempt's name are escaped.
func attemptURL(address string, attempt id.Attempt) string {
	return "http://" + address + engine.AttemptsPath + "/" + strings.ReplaceAll(string(attempt), "/", "%2F")
}

// formatPrefixHashes returns hexadecimal hashes, separated by commas.
func formatPrefixHashes(hashes []uint64) string {
	texts := make([]string, len(hashes))
	for index, hash := range hashes {
		texts[index] = strconv.FormatUint(hash, 16)
	}
	return strings.Join(texts, ",")
}

// openStream sends a request that opens a stream. Only status 503 with a reason in the body proves that the engine did
// not run the attempt; after any other error response it may have run. The request gets a connection of its own, because
// a refusal does not name its attempt: on a kept connection, the engine could send it once more to another attempt.
func (cl *Client) openStream(request *http.Request, stream modelcall.StreamRequest) modelcall.OpenResult {
	request.Close = true
	request.Header.Set(engine.AttemptHeader, string(stream.Attempt))
	request.Header.Set(engine.ResumeHeader, strconv.Itoa(stream.FirstTokenIndex))
	response, err := cl.httpClient.Do(request)
	if err != nil {
		return modelcall.OpenResult{FailureCause: failureCause(err)}
	}
	if response.StatusCode == http.StatusOK {
		return modelcall.OpenResult{Stream: newFrameStream(response.Body)}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusServiceUnavailable {
		return modelcall.OpenResult{FailureCause: retry.Interrupted}
	}
	var refusal engine.Refusal
	if json.NewDecoder(io.LimitReader(response.Body, maxRefusalBytes)).Decode(&refusal) != nil || refusal.Reason == "" {
		return modelcall.OpenResult{FailureCause: retry.Interrupted}
	}
	return modelcall.OpenResult{FailureCause: retry.BackendRefused, Draining: refusal.Reason == engine.Draining}
}

// failureCause returns retry.NotSent if no connection could be opened, and retry.Interrupted if the request may have
// reached the engine.
func failureCause(err error) retry.Cause {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return retry.NotSent
	}
	return retry.Interrupted
}

// ProbeHealth checks whether an engine answers. It returns Unreachable if opening a connection fails for a reason other
// than a timeout, and Unresponsive after a timeout or if all probes fail. A process that is exiting may still accept a
// connection and then close it, so an engine that closes connections is probed again.
func (cl *Client) ProbeHealth(ctx context.Context, address string) modelcall.Health {
	for probe := range maxHealthProbes {
		_, err := cl.FetchLoad(ctx, address)
		switch {
		case err == nil:
			return modelcall.Healthy
		case isTimeout(err) || ctx.Err() != nil:
			return modelcall.Unresponsive
		case failureCause(err) == retry.NotSent:
			return modelcall.Unreachable
		}
		timer.Sleep(ctx, cl.clock, initialHealthPause<<probe)
	}
	return modelcall.Unresponsive
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// CancelAttempt ends an attempt on an engine and releases its memory.
func (cl *Client) CancelAttempt(ctx context.Context, address string, attempt id.Attempt) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, attemptURL(address, attempt), nil)
	if err != nil {
		return errors.Wrap(err, "cancel attempt")
	}
	response, err := cl.httpClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "cancel attempt")
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("engine %s responded to a cancellation with status %d", address, response.StatusCode)
	}
	return nil
}

// FetchLoad returns an engine's report of its load. The report may be some time old; its ReportedAt is computed from
// the age that the engine states.
func (cl *Client) FetchLoad(ctx context.Context, address string) (shard.EngineReport, error) {
	var load engine.LoadReport
	if err := fetch.JSON(ctx, cl.httpClient, "http://"+address+engine.LoadPath, maxLoadReportBytes, &load); err != nil {
		return shard.EngineReport{}, err
	}
	return shard.EngineReport{
		ReportedAt:     cl.clock.Now().Add(-time.Duration(load.AgeMillis) * time.Millisecond),
		Incarnation:    load.Incarnation,
		CapacityTokens: load.Capacity,
		PendingTokens:  load.Pending,
		Models:         load.Models,
		Leaving:        load.Draining,
	}, nil
}

// ListAttempts returns the attempts that occupy memory of an engine.
func (cl *Client) ListAttempts(ctx context.Context, address string) ([]dispatch.AttemptMemory, error) {
	var list engine.AttemptList
	if err := cl.getJSON(ctx, "http://"+address+engine.AttemptsPath, &list); err != nil {
		return nil, err
	}
	attempts := make([]dispatch.AttemptMemory, 0, len(list.Attempts))
	for _, holder := range list.Attempts {
		attempts = append(attempts, dispatch.AttemptMemory{Attempt: holder.Attempt, Tokens: holder.Tokens})
	}
	return attempts, nil
}

// CacheEvents returns the changes of an engine's prefix cache from a sequence number on, and the number from which to
// continue. On an error, the number is the one passed in.
func (cl *Client) CacheEvents(ctx context.Context, address string, from int64) ([]shard.CacheEvent, int64, error) {
	var events engine.CacheEvents
	if err := cl.getJSON(ctx, "http://"+address+engine.CachePath+"?from="+strconv.FormatInt(from, 10), &events); err != nil {
		return nil, from, err
	}
	changes := make([]shard.CacheEvent, 0, len(events.Events))
	for _, event := range events.Events {
		changes = append(changes, shard.CacheEvent{Block: event.Block, Evicted: event.Evicted})
	}
	return changes, events.Next, nil
}

func (cl *Client) getJSON(ctx context.Context, url string, response any) error {
	return fetch.JSON(ctx, cl.httpClient, url, maxResponseBytes, response)
}

// FetchModels returns the models that an engine has loaded, and the number of models that fit into it.
func (cl *Client) FetchModels(ctx context.Context, address string) ([]id.Model, int, error) {
	var load engine.LoadReport
	if err := fetch.JSON(ctx, cl.httpClient, "http://"+address+engine.LoadPath, maxLoadReportBytes, &load); err != nil {
		return nil, 0, err
	}
	return load.Models, load.ModelSlots, nil
}

// SendOrder tells an engine to load or unload a model. It returns false if the engine rejected the fencing token as
// outdated.
func (cl *Client) SendOrder(ctx context.Context, order placement.Order, fencing id.Offset) (bool, error) {
	kind := engine.LoadModel
	if order.Kind == placement.UnloadModel {
		kind = engine.UnloadModel
	}
	body, err := json.Marshal(engine.Order{Kind: kind, Model: order.Model, FencingToken: fencing})
	if err != nil {
		return false, errors.Wrap(err, "encode order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Address+engine.OrdersPath, bytes.NewReader(body))
	if err != nil {
		return false, errors.Wrap(err, "send order")
	}
	response, err := cl.httpClient.Do(request)
	if err != nil {
		return false, errors.Wrap(err, "send order")
	}
	_ = response.Body.Close()
	switch response.StatusCode {
	case http.StatusNoContent:
		return true, nil
	case http.StatusConflict:
		return false, nil
	default:
		return false, fmt.Errorf("engine %s responded to an order with status %d", order.Engine, response.StatusCode)
	}
}

// Close closes idle connections.
func (cl *Client) Close() {
	cl.httpClient.CloseIdleConnections()
}
