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

	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Task is a part of a process that runs until its context ends.
type Task struct {
	// Name is for the log.
	Name string
	Run  func(context.Context) error
}

// Process is a set of tasks and HTTP servers that run and stop together.
type Process struct {
	Tasks []Task
	// Servers are the HTTP servers. Each serves the listener at the same index of Listeners.
	Servers   []*http.Server
	Listeners []net.Listener
	// ShutDown finishes the requests in flight, while tasks and servers still run. The cause says why the process stops. It
	// returns how long the servers may then take to send what handlers have written; they accept no connections meanwhile.
	ShutDown func(ctx context.Context, cause error) time.Duration
	// CleanUp, if not nil, releases what the tasks and servers used, when they have ended.
	CleanUp func()
	// Grace bounds the stop of a process of which a part has failed.
	Grace Grace
	Clock timer.Clock
	// Logger logs what failed, and that connections are closed although the servers still answer on them.
	Logger *slog.Logger
}

// errEndedEarly is the failure of a task or server that returned no error.
var errEndedEarly = errors.New("ended before the process was stopped")

// Run runs the tasks and servers until the context ends or a part of the process fails, calls ShutDown, lets the servers
// send the ends of responses, stops all, and returns when all have stopped and CleanUp has returned.
// A part fails if a task or server stops by itself, or a function that runs through package tasks panics. Run logs it and
// returns the first failure. What has failed may keep the others from stopping, so Run then returns when the grace has
// passed since the stop began, even if they have not.
func (pr Process) Run(ctx context.Context) error {
	// Tasks don't inherit the end of ctx, because they must run until ShutDown has returned.
	backgroundCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	fs := newFailures(pr.Logger)
	defer tasks.NotifyPanics(func(pn *tasks.Panic) { fs.record("background work", pn) })()
	stopping, stopped := make(chan struct{}), make(chan struct{})
	tasks.Go(func() {
		defer close(stopped)
		pr.runUntilStopped(ctx, backgroundCtx, fs, stopping)
		if pr.CleanUp != nil {
			pr.CleanUp()
		}
	})
	<-stopping
	graceOver, subscription := timer.Wait(pr.Clock, pr.Grace.failureTime())
	defer subscription.Stop()
	select {
	case <-stopped:
		return fs.err()
	case <-graceOver:
	}
	select {
	case <-stopped:
	case <-fs.failed:
		pr.Logger.Error("host ends although parts of it have not stopped")
	}
	return fs.err()
}

// runUntilStopped runs the tasks and servers until ctx ends or a part of the process fails, stops them in order, and
// returns when all have ended. It closes stopping when the stop begins.
func (pr Process) runUntilStopped(ctx, backgroundCtx context.Context, fs *failures, stopping chan<- struct{}) {
	var group run.Group
	for _, task := range pr.Tasks {
		taskCtx, cancel := context.WithCancel(backgroundCtx)
		group.Add(func() error {
			pr.runPart(taskCtx, fs, "task "+task.Name, func() error { return task.Run(taskCtx) })
			return nil
		}, func(error) { cancel() })
	}
	conns := newConnections(ctx, pr.Clock, fs.failed)
	for index, server := range pr.Servers {
		listener := stoppingListener{pr.Listeners[index], conns, pr.Clock}
		conns.watch(server)
		serverCtx, cancel := context.WithCancel(backgroundCtx)
		group.Add(func() error {
			pr.runPart(serverCtx, fs, "server at "+listener.Addr().String(), func() error {
				err := serve(server, listener, conns)
				if errors.Is(err, http.ErrServerClosed) || conns.listenersClosed.Load() {
					<-serverCtx.Done()
				}
				return err
			})
			return nil
		}, func(error) {
			cancel()
			_ = server.Close()
		})
	}
	group.Add(func() error {
		var cause error
		select {
		case <-ctx.Done():
			cause = context.Cause(ctx)
		case <-fs.failed:
			cause = fs.err()
		}
		close(stopping)
		pr.finishResponses(backgroundCtx, conns, pr.finishRequests(backgroundCtx, cause, fs))
		return nil
	}, func(error) {})
	_ = group.Run()
}

// serve accepts connections until the listener is closed or fails.
func serve(server *http.Server, listener net.Listener, conns *connections) error {
	defer conns.acceptEnded()
	return server.Serve(listener)
}

// runPart runs a task or server and records its failure if it ends before its context or panics. It returns when the
// context has ended, because the group stops the others as soon as one of them returns.
func (pr Process) runPart(ctx context.Context, fs *failures, name string, runUntilEnd func() error) {
	err := tasks.Call(runUntilEnd)
	var pn *tasks.Panic
	switch {
	case errors.As(err, &pn), ctx.Err() == nil && err != nil:
		fs.record(name, err)
	case ctx.Err() == nil:
		fs.record(name, errEndedEarly)
	}
	<-ctx.Done()
}

// finishRequests calls ShutDown and returns how long the servers may send what handlers have written. If ShutDown panics,
// that is the rest of the grace, since handlers may still run.
func (pr Process) finishRequests(ctx context.Context, cause error, fs *failures) (timeout time.Duration) {
	startedAt := pr.Clock.Now()
	err := tasks.Call(func() error {
		timeout = pr.ShutDown(ctx, cause)
		return nil
	})
	if err != nil {
		fs.record("shutdown", err)
		timeout = pr.Grace.CloseTime() - pr.Clock.Now().Sub(startedAt)
	}
	return timeout
}

// finishResponses closes the listeners and the idle connections, and waits until no request is being answered on the
// others, nor about to arrive on a new one, and their clients have received the responses, at most until the timeout has
// passed or the context ends.
func (pr Process) finishResponses(ctx context.Context, conns *connections, timeout time.Duration) {
	defer close(conns.closing)
	conns.listenersClosed.Store(true)
	for index, server := range pr.Servers {
		_ = pr.Listeners[index].Close()
		server.SetKeepAlivesEnabled(false)
	}
	expired, subscription := timer.Wait(pr.Clock, timeout)
	defer subscription.Stop()
	newConnectionsOver, newSubscription := timer.Wait(pr.Clock, newConnectionTime)
	defer newSubscription.Stop()
	for !pr.hasFinishedResponses(ctx, conns) {
		select {
		case <-conns.changed:
		case <-newConnectionsOver:
			newConnectionsOver = nil
		case <-expired:
			pr.Logger.Warn("connections closed while responses were being sent", "connections", conns.activeCount())
			conns.resetUnfinished()
			return
		case <-ctx.Done():
			conns.resetUnfinished()
			return
		}
	}
}

// hasFinishedResponses reports whether no response is being sent and no request is about to arrive. If so, it has shut the
// servers down, which makes them drop requests that they have read.
func (pr Process) hasFinishedResponses(ctx context.Context, conns *connections) bool {
	if conns.activeCount() > 0 || conns.awaitsRequest() {
		return false
	}
	// Shutdown with a context that has ended does not wait.
	endedCtx, cancel := context.WithCancel(ctx)
	cancel()
	for _, server := range pr.Servers {
		_ = server.Shutdown(endedCtx)
	}
	// Connections that were idle may still have bytes to send.
	return conns.activeCount() == 0
}
