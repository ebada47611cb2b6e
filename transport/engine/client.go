// Package engine speaks to model engines over HTTP.
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
	"github.com/hibiscuslever/hibiscuslever/coordination/placement"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/coordination/serve"
	"github.com/hibiscuslever/hibiscuslever/coordination/shard"
	"github.com/hibiscuslever/hibiscuslever/protocol/engine"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/fetch"
)

const (
	dialTimeout     = time.Second
	maxIdlePerHost  = 64
	maxRefusalBytes = 4096
	maxAnswerBytes  = 4 << 20
	// healthTries bounds how often an engine that breaks connections is asked, and healthPause is the first pause.
	healthTries = 4
	healthPause = 20 * time.Millisecond
)

// Client speaks to any engine by its address.
type Client struct {
	http  *http.Client
	clock timer.Service
}

// NewClient returns a client. The wrap function adds tracing to its HTTP transport.
func NewClient(clock timer.Service, wrap func(http.RoundTripper) http.RoundTripper) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{http: &http.Client{Transport: wrap(transport)}, clock: clock}
}

// Open starts an attempt.
func (cl *Client) Open(ctx context.Context, st serve.StreamRequest) serve.OpenResult {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+st.Address+engine.AttemptsPath, bytes.NewReader(st.Body))
	if err != nil {
		return serve.OpenResult{FailureCause: retry.NotSent}
	}
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set(engine.ModelHeader, string(st.Model))
	rq.Header.Set(engine.PriorityHeader, strconv.FormatInt(int64(st.Priority), 10))
	rq.Header.Set(engine.PartHeader, strconv.FormatInt(int64(st.PartTokens), 10))
	rq.Header.Set(engine.PrefixHeader, formatPrefix(st.PrefixHashes))
	if st.Follower {
		rq.Header.Set(engine.FollowerHeader, "true")
	}
	return cl.open(rq, st)
}

// Resume opens the stream of an attempt that runs again.
func (cl *Client) Resume(ctx context.Context, st serve.StreamRequest) serve.OpenResult {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, attemptURL(st.Address, st.Attempt), nil)
	if err != nil {
		return serve.OpenResult{FailureCause: retry.NotSent}
	}
	return cl.open(rq, st)
}

func attemptURL(address string, att id.Attempt) string {
	return "http://" + address + engine.AttemptsPath + "/" + strings.ReplaceAll(string(att), "/", "%2F")
}

func formatPrefix(prefix []uint64) string {
	parts := make([]string, len(prefix))
	for ix, block := range prefix {
		parts[ix] = strconv.FormatUint(block, 16)
	}
	return strings.Join(parts, ",")
}

func (cl *Client) open(rq *http.Request, st serve.StreamRequest) serve.OpenResult {
	rq.Header.Set(engine.AttemptHeader, string(st.Attempt))
	rq.Header.Set(engine.ResumeHeader, strconv.Itoa(st.FirstToken))
	answer, err := cl.http.Do(rq)
	if err != nil {
		return serve.OpenResult{FailureCause: causeOf(err)}
	}
	if answer.StatusCode == http.StatusOK {
		return serve.OpenResult{Stream: newStream(answer.Body)}
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusServiceUnavailable {
		return serve.OpenResult{FailureCause: retry.Interrupted}
	}
	var refusal engine.Refusal
	if json.NewDecoder(io.LimitReader(answer.Body, maxRefusalBytes)).Decode(&refusal) != nil || refusal.Reason == "" {
		return serve.OpenResult{FailureCause: retry.Interrupted}
	}
	return serve.OpenResult{FailureCause: retry.BackendRefused, Draining: refusal.Reason == engine.Draining}
}

// causeOf tells whether a failed request may have reached the engine.
func causeOf(err error) retry.Cause {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return retry.NotSent
	}
	return retry.Interrupted
}

// ProbeHealth asks an engine whether it answers. A process that is ending may still take a connection and break it;
// such an engine is asked again.
func (cl *Client) ProbeHealth(ctx context.Context, address string) serve.Health {
	for try := range healthTries {
		_, err := cl.FetchLoad(ctx, address)
		switch {
		case err == nil:
			return serve.Healthy
		case isTimeout(err) || ctx.Err() != nil:
			return serve.Unresponsive
		case causeOf(err) == retry.NotSent:
			return serve.Unreachable
		}
		timer.Sleep(ctx, cl.clock, healthPause<<try)
	}
	return serve.Unresponsive
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// CancelAttempt frees what an attempt holds.
func (cl *Client) CancelAttempt(ctx context.Context, address string, att id.Attempt) error {
	rq, err := http.NewRequestWithContext(ctx, http.MethodDelete, attemptURL(address, att), nil)
	if err != nil {
		return errors.Wrap(err, "cancel attempt")
	}
	answer, err := cl.http.Do(rq)
	if err != nil {
		return errors.Wrap(err, "cancel attempt")
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusNoContent {
		return fmt.Errorf("engine %s answered status %d to a cancellation", address, answer.StatusCode)
	}
	return nil
}

// FetchLoad returns an engine's report of its load.
func (cl *Client) FetchLoad(ctx context.Context, address string) (shard.EngineReport, error) {
	var load engine.LoadReport
	if err := cl.get(ctx, "http://"+address+engine.LoadPath, &load); err != nil {
		return shard.EngineReport{}, err
	}
	return shard.EngineReport{
		ReportedAt:     cl.clock.Now().Add(-time.Duration(load.AgeMillis) * time.Millisecond),
		Incarnation:    load.Incarnation,
		CapacityTokens: load.Capacity,
		PendingTokens:  load.Pending,
		Models:         load.Models,
		Leaving:       load.Draining,
	}, nil
}

// ListAttempts returns the attempts that hold memory of an engine.
func (cl *Client) ListAttempts(ctx context.Context, address string) ([]dispatch.AttemptMemory, error) {
	var attempts engine.AttemptList
	if err := cl.get(ctx, "http://"+address+engine.AttemptsPath, &attempts); err != nil {
		return nil, err
	}
	holdings := make([]dispatch.AttemptMemory, 0, len(attempts.Attempts))
	for _, hd := range attempts.Attempts {
		holdings = append(holdings, dispatch.AttemptMemory{Attempt: hd.Attempt, Tokens: hd.Tokens})
	}
	return holdings, nil
}

// CacheEvents returns changes of an engine's prefix cache.
func (cl *Client) CacheEvents(ctx context.Context, address string, from int64) ([]shard.CacheEvent, int64, error) {
	var events engine.CacheEvents
	if err := cl.get(ctx, "http://"+address+engine.CachePath+"?from="+strconv.FormatInt(from, 10), &events); err != nil {
		return nil, from, err
	}
	changes := make([]shard.CacheEvent, 0, len(events.Events))
	for _, ev := range events.Events {
		changes = append(changes, shard.CacheEvent{Block: ev.Block, Evicted: ev.Evicted})
	}
	return changes, events.Next, nil
}

func (cl *Client) get(ctx context.Context, url string, answer any) error {
	return fetch.JSON(ctx, cl.http, url, maxAnswerBytes, answer)
}

// Report returns what an engine has loaded and how many models fit.
func (cl *Client) Report(ctx context.Context, address string) ([]id.Model, int, error) {
	var load engine.LoadReport
	if err := cl.get(ctx, "http://"+address+engine.LoadPath, &load); err != nil {
		return nil, 0, err
	}
	return load.Models, load.ModelSlots, nil
}

// SendOrder sends an order to an engine. It reports false when the engine refused its fencing token.
func (cl *Client) SendOrder(ctx context.Context, order placement.Order, fencing id.Offset) (bool, error) {
	kind := engine.LoadModel
	if order.Kind == placement.UnloadModel {
		kind = engine.UnloadModel
	}
	body, err := json.Marshal(engine.Order{Kind: kind, Model: order.Model, FencingToken: fencing})
	if err != nil {
		return false, errors.Wrap(err, "encode order")
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Address+engine.OrdersPath, bytes.NewReader(body))
	if err != nil {
		return false, errors.Wrap(err, "send order")
	}
	answer, err := cl.http.Do(rq)
	if err != nil {
		return false, errors.Wrap(err, "send order")
	}
	_ = answer.Body.Close()
	switch answer.StatusCode {
	case http.StatusNoContent:
		return true, nil
	case http.StatusConflict:
		return false, nil
	default:
		return false, fmt.Errorf("engine %s answered status %d to an order", order.Engine, answer.StatusCode)
	}
}

// Close releases idle connections.
func (cl *Client) Close() {
	cl.http.CloseIdleConnections()
}
