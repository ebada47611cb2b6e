package command

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hibiscuslever/hibiscuslever/tasks"
)

// StopSignal is the cause of a command's context that has ended because of a signal.
type StopSignal struct{ Signal syscall.Signal }

// Error returns the name of the signal, for example SIGTERM.
func (ss StopSignal) Error() string { return unix.SignalName(ss.Signal) }

// maxPendingSignals is the number of signals that wait until they are handled. Further ones are dropped.
const maxPendingSignals = 16

// stopOnSignals returns a context that ends with a StopSignal as its cause on the first SIGINT or SIGTERM. The signals
// don't get their default action back, because one that arrived last would end the process in the middle of its exit.
func stopOnSignals(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	signals := make(chan os.Signal, maxPendingSignals)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	tasks.Go(func() {
		cancel(StopSignal{signalNumber(<-signals)})
		for sig := range signals {
			if sig == syscall.SIGINT && inForeground() {
				signal.Reset(syscall.SIGINT)
				_ = syscall.Kill(os.Getpid(), syscall.SIGINT)
			}
		}
	})
	return ctx
}

// signalNumber returns the number of a signal, 0 if it has none.
func signalNumber(sig os.Signal) syscall.Signal {
	number, _ := sig.(syscall.Signal)
	return number
}

// inForeground reports whether the process is in the foreground of a terminal, so that a user can have sent it a signal
// with the keyboard.
func inForeground() bool {
	terminal, err := os.Open("/dev/tty")
	if err != nil {
		return false
	}
	defer func() { _ = terminal.Close() }()
	foregroundGroup, err := unix.IoctlGetInt(int(terminal.Fd()), unix.TIOCGPGRP)
	return err == nil && foregroundGroup == unix.Getpgrp()
}

// LogIgnoredSignals logs each SIGINT and SIGTERM after the first one of a command that is stopping, and the other signals
// given, which have no effect. It logs a line a second for each signal at most, with the number of those since the last
// line. It returns immediately and logs until the process ends.
func LogIgnoredSignals(ctx context.Context, logger *slog.Logger, others ...os.Signal) {
	const linePeriod = time.Second
	signals := make(chan os.Signal, maxPendingSignals)
	signal.Notify(signals, append(others, syscall.SIGINT, syscall.SIGTERM)...)
	stopping := ctx.Err() != nil
	tasks.Go(func() {
		counts, loggedAt := map[os.Signal]int{}, map[os.Signal]time.Time{}
		for sig := range signals {
			if isStopSignal := sig == syscall.SIGINT || sig == syscall.SIGTERM; isStopSignal && !stopping {
				stopping = true
				continue
			}
			counts[sig]++
			if time.Since(loggedAt[sig]) >= linePeriod {
				logger.Warn("signal ignored", "signal", StopSignal{signalNumber(sig)}.Error(), "count", counts[sig], "stopping", stopping)
				counts[sig], loggedAt[sig] = 0, time.Now()
			}
		}
	})
}
