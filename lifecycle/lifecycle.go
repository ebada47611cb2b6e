// Package lifecycle runs the components of a host and stops them together.
package lifecycle

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
)

// Process is a set of tasks and HTTP servers that run and stop together.
type Process struct {
	// Tasks run until their context ends.
	Tasks []func(context.Context) error
	// Servers are the HTTP servers. Each serves the listener at the same index of Listeners.
	Servers   []*http.Server
	Listeners []net.Listener
	// ShutDown finishes the requests in flight, while tasks and servers still run. They are stopped when it returns.
	// Its context ends early if a task or server stops by itself.
	ShutDown func(context.Context)
}

// Run runs the tasks and servers until the context ends, calls ShutDown, stops them, and returns when all have stopped.
// If a task or server stops by itself, Run stops the others without calling ShutDown and returns the error of the
// first.
func (pr Process) Run(ctx context.Context) error {
	// Tasks don't inherit the end of ctx, because they must run until ShutDown has returned.
	backgroundCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	for _, task := range pr.Tasks {
		taskCtx, cancel := context.WithCancel(backgroundCtx)
		group.Add(func() error { return task(taskCtx) }, func(error) { cancel() })
	}
	for index, server := range pr.Servers {
		listener := pr.Listeners[index]
		group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	}
	shutdownCtx, cancel := context.WithCancel(backgroundCtx)
	group.Add(func() error {
		select {
		case <-ctx.Done():
			pr.ShutDown(shutdownCtx)
		case <-shutdownCtx.Done():
		}
		return nil
	}, func(error) { cancel() })
	if err := group.Run(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
