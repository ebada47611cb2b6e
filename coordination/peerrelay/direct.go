package peerrelay

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/reachability"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// minDialTime is how long opening a connection must have been tried to count as timed out. A shorter time says nothing,
// because the caller ended it.
const minDialTime = 150 * time.Millisecond

// directSender sends on the host's own connections and records what that says of its links.
type directSender struct {
	sender forward.Sender
	links  *Links
	clock  timer.Clock
}

// send sends the request of an attempt directly.
func (ds *directSender) send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	startedAt := ds.clock.Now()
	end := ds.links.beginExchange(attempt.Address)
	response, err := ds.sender.Send(ctx, attempt)
	if err != nil {
		end()
		if !attempt.KeptConnection {
			ds.recordError(ctx, attempt.Address, startedAt, err)
		}
		if !errors.Is(err, forward.ErrNotSent) && ctx.Err() == nil {
			ds.links.recordBreak()
		}
		return response, err
	}
	result := reachability.Answered
	if response.NewConnection {
		result = reachability.Connected
	}
	ds.links.recordDirect(attempt.Address, result)
	response.Body = &watchedBody{ReadCloser: response.Body, ctx: ctx, address: attempt.Address, links: ds.links, end: end}
	return response, nil
}

// recordError records a failure to connect. Other failures say nothing about the link, and neither does a dial that the
// caller ended early.
func (ds *directSender) recordError(ctx context.Context, address string, startedAt time.Time, err error) {
	switch {
	case !errors.Is(err, forward.ErrNotSent):
	case errors.Is(err, forward.ErrConnectionRefused):
		ds.links.recordDirect(address, reachability.ConnectionRefused)
	case ds.endedEarly(ctx, startedAt):
	default:
		ds.links.recordDirect(address, reachability.TimedOut)
	}
}

// endedEarly reports whether the caller ended a dial that began at startedAt too early for its failure to say anything.
func (ds *directSender) endedEarly(ctx context.Context, startedAt time.Time) bool {
	return errors.Is(ctx.Err(), context.Canceled) || ds.clock.Now().Sub(startedAt) < minDialTime && ctx.Err() != nil
}

// probeConnection opens a connection to the server at an address.
func (ds *directSender) probeConnection(ctx context.Context, address string) forward.ProbeResult {
	startedAt := ds.clock.Now()
	result := ds.sender.ProbeConnection(ctx, address)
	switch {
	case result == forward.Reachable:
		ds.links.recordDirect(address, reachability.Connected)
	case result == forward.ConnectionRefused:
		ds.links.recordDirect(address, reachability.ConnectionRefused)
	case ds.endedEarly(ctx, startedAt):
	default:
		ds.links.recordDirect(address, reachability.TimedOut)
	}
	return result
}

// probeHTTP sends an HTTP request to the engine at an address. Its failure does not say whether the link or the engine
// failed.
func (ds *directSender) probeHTTP(ctx context.Context, address string) forward.ProbeResult {
	result := ds.sender.ProbeHTTP(ctx, address)
	switch result {
	case forward.Reachable:
		ds.links.recordDirect(address, reachability.Answered)
	case forward.ConnectionRefused:
		ds.links.recordDirect(address, reachability.ConnectionRefused)
	}
	return result
}

// reserve reserves the memory of a part on its engine.
func (ds *directSender) reserve(ctx context.Context, part batch.Part, ttl time.Duration) (bool, error) {
	startedAt := ds.clock.Now()
	granted, err := ds.sender.Reserve(ctx, part, ttl)
	ds.recordOrder(ctx, part.Address, startedAt, err)
	return granted, err
}

// release releases the memory of a part on its engine.
func (ds *directSender) release(ctx context.Context, part batch.Part) error {
	startedAt := ds.clock.Now()
	err := ds.sender.Release(ctx, part)
	ds.recordOrder(ctx, part.Address, startedAt, err)
	return err
}

func (ds *directSender) recordOrder(ctx context.Context, address string, startedAt time.Time, err error) {
	if err != nil {
		ds.recordError(ctx, address, startedAt, err)
		return
	}
	ds.links.recordDirect(address, reachability.Answered)
}

// watchedBody is the body of a response that arrives directly.
type watchedBody struct {
	io.ReadCloser
	ctx     context.Context
	address string
	links   *Links
	// end ends the exchange.
	end func()
}

// Read reads the body and records that something arrived or that the connection broke.
func (wb *watchedBody) Read(buffer []byte) (int, error) {
	count, err := wb.ReadCloser.Read(buffer)
	if count > 0 {
		wb.links.recordSign(wb.address)
	}
	if err != nil && !errors.Is(err, io.EOF) && wb.ctx.Err() == nil {
		wb.links.recordBreak()
	}
	return count, err
}

// Close ends the exchange.
func (wb *watchedBody) Close() error {
	wb.end()
	return wb.ReadCloser.Close()
}

// connectsToAny reports whether one of the servers at some addresses accepts a connection now.
func (ds *directSender) connectsToAny(ctx context.Context, addresses []string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan forward.ProbeResult, len(addresses))
	for _, address := range addresses {
		tasks.Go(func() { results <- ds.probeConnection(ctx, address) })
	}
	for range addresses {
		if <-results == forward.Reachable {
			return true
		}
	}
	return false
}
