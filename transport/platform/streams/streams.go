// Package streams adapts the streams of the platform's log, and its list of hosts, to the interfaces of those that
// follow them.
package streams

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/claim"
	"github.com/hibiscuslever/hibiscuslever/coordination/configuration"
	"github.com/hibiscuslever/hibiscuslever/coordination/conviction"
	"github.com/hibiscuslever/hibiscuslever/coordination/placer"
	protocol "github.com/hibiscuslever/hibiscuslever/protocol/platform"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/transport/platform"
)

// Configuration is the configuration stream of the platform's log.
type Configuration struct {
	client *platform.Client
}

// NewConfiguration returns the stream of a platform.
func NewConfiguration(client *platform.Client) Configuration { return Configuration{client: client} }

// Append adds a record.
func (lg Configuration) Append(ctx context.Context, body []byte) {
	lg.client.Append(ctx, protocol.Configuration, body)
}

// Read returns the records from an offset on.
func (lg Configuration) Read(ctx context.Context, from id.Offset) (configuration.Batch, error) {
	read, err := lg.client.Read(ctx, protocol.Configuration, from)
	if err != nil {
		return configuration.Batch{}, err
	}
	records := configuration.Batch{FirstOffset: read.Start, Next: read.Next}
	for _, rec := range read.Records {
		records.Records = append(records.Records, configuration.Record{Offset: rec.Offset, Body: rec.Body})
	}
	return records, nil
}

// Claims is the stream of claims of the platform's log.
type Claims struct {
	client *platform.Client
}

// NewClaims returns the stream of a platform.
func NewClaims(client *platform.Client) Claims { return Claims{client: client} }

// Append adds a record.
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
	read, err := lg.client.Read(ctx, protocol.Claims, from)
	if err != nil {
		return claim.ReadEnded{Failed: true}
	}
	ended := claim.ReadEnded{LogStart: read.Start, LogEnd: read.Next}
	for _, rec := range read.Records {
		ended.Records = append(ended.Records, claim.LogRecord{Offset: rec.Offset, Body: rec.Body})
	}
	return ended
}

// Leases is the stream of leases of the platform's log.
type Leases struct {
	client *platform.Client
}

// NewLeases returns the stream of a platform.
func NewLeases(client *platform.Client) Leases { return Leases{client: client} }

// Append adds a record.
func (lg Leases) Append(ctx context.Context, body []byte) {
	lg.client.Append(ctx, protocol.Leases, body)
}

// Read returns the records from an offset on.
func (lg Leases) Read(ctx context.Context, from id.Offset) ([]placer.LogRecord, id.Offset, error) {
	read, err := lg.client.Read(ctx, protocol.Leases, from)
	if err != nil {
		return nil, id.NoOffset, err
	}
	var records []placer.LogRecord
	for _, rec := range read.Records {
		records = append(records, placer.LogRecord{Offset: rec.Offset, Body: rec.Body})
	}
	return records, read.Start, nil
}

// Quarantine is the stream of convictions of the platform's log.
type Quarantine struct {
	client *platform.Client
}

// NewQuarantine returns the stream of a platform.
func NewQuarantine(client *platform.Client) Quarantine { return Quarantine{client: client} }

// Append adds records.
func (lg Quarantine) Append(ctx context.Context, records []conviction.Record) error {
	for _, rec := range records {
		body, err := conviction.Encode(rec)
		if err != nil {
			return errors.Wrap(err, "encode evidence")
		}
		if _, result := lg.client.Append(ctx, protocol.Quarantine, body); result != platform.Stored {
			return errNotStored
		}
	}
	return nil
}

// errNotStored says that the log did not take a record, or did not say so.
var errNotStored = errors.New("the log did not take a record")

// Read returns the records from an offset on. It does not wait.
func (lg Quarantine) Read(ctx context.Context, from id.Offset, _ time.Duration) ([][]byte, id.Offset, error) {
	next := max(from, 0)
	read, err := lg.client.Read(ctx, protocol.Quarantine, next)
	if err != nil {
		return nil, from, err
	}
	var bodies [][]byte
	for _, rec := range read.Records {
		bodies = append(bodies, rec.Body)
		next = rec.Offset + 1
	}
	return bodies, next, nil
}

// Drop does nothing: the log forgets old records by itself.
func (lg Quarantine) Drop(context.Context, []conviction.Record) error { return nil }
