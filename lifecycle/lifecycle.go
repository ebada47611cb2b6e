// Package lifecycle runs the components of a host and stops them together.
package lifecycle

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Process is a set of tasks and HTTP servers that run and stop together.
type Process struct {
	// Tasks run until their context ends.
	Tasks []func(context.Context) error
	// Servers are the HTTP servers. Each serves the listener at the same index of Listeners.
	Servers   []*http.Server
	Listeners []net.Listener
	// ShutDown finishes the requests in flight, while tasks and servers still run. It returns how long the servers may
	// then take to send what handlers have written; they accept no connections meanwhile. Its context ends early if a
	// task or server stops by itself.
	ShutDown func(context.Context) time.Duration
	Clock    timer.Clock
	// Logger logs that connections are closed although the servers still answer on them.
	Logger *slog.Logger
}

// Run runs the tasks and servers until the context ends, calls ShutDown, lets the servers send the ends of responses,
// stops all, and returns when all have stopped.
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
	conns := newConnections(ctx)
	for index, server := range pr.Servers {
		listener := stoppingListener{pr.Listeners[index], conns, pr.Clock}
		conns.watch(server)
		serverCtx, cancel := context.WithCancel(backgroundCtx)
		group.Add(func() error {
			err := server.Serve(listener)
			if errors.Is(err, http.ErrServerClosed) {
				// The server may still answer on open connections; the group must not stop because of its listener.
				<-serverCtx.Done()
			}
			return err
		}, func(error) {
			cancel()
			_ = server.Close()
		})
	}
	shutdownCtx, cancel := context.WithCancel(backgroundCtx)
	group.Add(func() error {
		select {
		case <-ctx.Done():
			pr.finishResponses(shutdownCtx, conns, pr.ShutDown(shutdownCtx))
		case <-shutdownCtx.Done():
		}
		return nil
	}, func(error) { cancel() })
	if err := group.Run(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// finishResponses closes the listeners and the idle connections, and waits until no request is being answered on the
// others and their clients have received the responses, at most until the timeout has passed or the context ends.
func (pr Process) finishResponses(ctx context.Context, conns *connections, timeout time.Duration) {
	defer close(conns.closing)
	// Shutdown with a context that has ended does not wait.
	endedCtx, cancel := context.WithCancel(ctx)
	cancel()
	closeIdle := func() {
		for _, server := range pr.Servers {
			_ = server.Shutdown(endedCtx)
		}
	}
	closeIdle()
	isFinished := func() bool {
		if conns.activeCount() == 0 {
			// Connections that have become idle meanwhile may still have bytes to send.
			closeIdle()
		}
		return conns.activeCount() == 0
	}
	expired, subscription := timer.Wait(pr.Clock, timeout)
	defer subscription.Stop()
	for !isFinished() {
		select {
		case <-conns.changed:
		case <-expired:
			pr.Logger.Warn("connections closed while responses were being sent", "connections", conns.activeCount())
			return
		case <-ctx.Done():
			return
		}
	}
}
