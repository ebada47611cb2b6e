// Package streams adapts the streams of the platform's log, and its list of hosts, to the interfaces of the packages
// that read them.
package streams

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/claim"
	"github.com/hibiscuslever/hibiscuslever/coordination/configuration"
	"github.com/hibiscuslever/hibiscuslever/coordination/crashlog"
	"github.com/hibiscuslever/hibiscuslever/coordination/placer"
	protocol "github.com/hibiscuslever/hibiscuslever/protocol/platform"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/transport/platform"
)

// Configuration is the configuration stream of the platform's log.
type Configuration struct {
	client *platform.Client
}

// NewConfiguration returns the stream of the platform that the client calls.
func NewConfiguration(client *platform.Client) Configuration { return Configuration{client: client} }

// Append adds a record. Whether it was stored is not reported: readers of the stream find out.
func (lg Configuration) Append(ctx context.Context, body []byte) {
	lg.client.Append(ctx, protocol.Configuration, body)
}

// Read returns the records from an offset on.
func (lg Configuration) Read(ctx context.Context, from id.Offset) (configuration.Batch, error) {
	response, err := lg.client.Read(ctx, protocol.Configuration, from)
	if err != nil {
		return configuration.Batch{}, err
	}
	batch := configuration.Batch{FirstOffset: response.Start, Next: response.Next}
	for _, record := range response.Records {
		batch.Records = append(batch.Records, configuration.Record{Offset: record.Offset, Body: record.Body})
	}
	return batch, nil
}

// Claims is the stream of claims of the platform's log.
type Claims struct {
	client *platform.Client
}

// NewClaims returns the stream of the platform that the client calls.
func NewClaims(client *platform.Client) Claims { return Claims{client: client} }

// Append adds a record and reports whether the log stored it.
func (lg Claims) Append(ctx context.Context, body []byte) claim.AppendResult {
	_, result := lg.client.Append(ctx, protocol.Claims, body)
	switch result {
	case platform.Stored:
		return claim.Stored
	case platform.NotStored:
		return claim.NotStored
	default:
		return claim.MaybeStored
	}
}

// Read returns the records from an offset on.
func (lg Claims) Read(ctx context.Context, from id.Offset) claim.ReadEnded {
	response, err := lg.client.Read(ctx, protocol.Claims, from)
	if err != nil {
		return claim.ReadEnded{Failed: true}
	}
	result := claim.ReadEnded{LogStart: response.Start, LogEnd: response.Next}
	for _, record := range response.Records {
		result.Records = append(result.Records, claim.LogRecord{Offset: record.Offset, Body: record.Body})
	}
	return result
}

// Leases is the stream of leases of the platform's log.
type Leases struct {
	client *platform.Client
}

// NewLeases returns the stream of the platform that the client calls.
func NewLeases(client *platform.Client) Leases { return Leases{client: client} }

// Append adds a record. Whether it was stored is not reported: readers of the stream find out.
func (lg Leases) Append(ctx context.Context, body []byte) {
	lg.client.Append(ctx, protocol.Leases, body)
}

// Read returns the records from an offset on, and the offset of the oldest record in the log.
func (lg Leases) Read(ctx context.Context, from id.Offset) ([]placer.LogRecord, id.Offset, error) {
	response, err := lg.client.Read(ctx, protocol.Leases, from)
	if err != nil {
		return nil, id.NoOffset, err
	}
	var records []placer.LogRecord
	for _, record := range response.Records {
		records = append(records, placer.LogRecord{Offset: record.Offset, Body: record.Body})
	}
	return records, response.Start, nil
}

// Quarantine is the stream of the platform's log with evidence about requests that crash engines.
type Quarantine struct {
	client *platform.Client
}

// NewQuarantine returns the stream of the platform that the client calls.
func NewQuarantine(client *platform.Client) Quarantine { return Quarantine{client: client} }

// Append adds records in order. It stops at the first one that is not known to be stored.
func (lg Quarantine) Append(ctx context.Context, records []crashlog.Record) error {
	for _, record := range records {
		body, err := crashlog.Encode(record)
		if err != nil {
			return errors.Wrap(err, "encode evidence")
		}
		if _, result := lg.client.Append(ctx, protocol.Quarantine, body); result != platform.Stored {
			return errNotStored
		}
	}
	return nil
}

// errNotStored is returned if the log rejected a record, or if it is unknown whether the log stored it.
var errNotStored = errors.New("the log did not confirm a record")

// Read returns the bodies of the records from an offset on, and the offset after the last of them. Unlike other
// implementations, it does not wait for records.
func (lg Quarantine) Read(ctx context.Context, from id.Offset, _ time.Duration) ([][]byte, id.Offset, error) {
	next := max(from, 0)
	response, err := lg.client.Read(ctx, protocol.Quarantine, next)
	if err != nil {
		return nil, from, err
	}
	var bodies [][]byte
	for _, record := range response.Records {
		bodies = append(bodies, record.Body)
		next = record.Offset + 1
	}
	return bodies, next, nil
}

// Drop does nothing, because the log deletes old records by itself.
func (lg Quarantine) Drop(context.Context, []crashlog.Record) error { return nil }
