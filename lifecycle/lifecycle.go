// Package lifecycle runs the parts of a host until they are to stop together.
package lifecycle

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
)

// Process is what runs together.
type Process struct {
	// Tasks run until their context ends.
	Tasks []func(context.Context) error
	// Servers serve at the listeners in the same places.
	Servers   []*http.Server
	Listeners []net.Listener
	// ShutDown ends what is in flight. All else stops when it returns.
	ShutDown func(context.Context)
}

// Run runs everything until the context ends, shuts down, and returns when all have stopped. When one of them ends by
// itself, the others are stopped and its error is returned.
func (ht Process) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	for _, part := range ht.Tasks {
		partCtx, cancel := context.WithCancel(background)
		group.Add(func() error { return part(partCtx) }, func(error) { cancel() })
	}
	for ix, server := range ht.Servers {
		listener := ht.Listeners[ix]
		group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	}
	shutdown, cancel := context.WithCancel(background)
	group.Add(func() error {
		select {
		case <-ctx.Done():
			ht.ShutDown(shutdown)
		case <-shutdown.Done():
		}
		return nil
	}, func(error) { cancel() })
	if err := group.Run(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
