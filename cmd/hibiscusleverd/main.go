// Command hibiscusleverd is the daemon that runs an entry host.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/hibiscuslever/hibiscuslever"
	"github.com/hibiscuslever/hibiscuslever/command"
	"github.com/hibiscuslever/hibiscuslever/lifecycle"
	_ "github.com/hibiscuslever/hibiscuslever/lifecycle/brokenpipe" // log lines are dropped, not fatal, when their reader has gone
	"github.com/hibiscuslever/hibiscuslever/lifecycle/hangup"
	"github.com/hibiscuslever/hibiscuslever/settings"
	"github.com/hibiscuslever/hibiscuslever/site"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// settingsVariable is the name of the environment variable that holds the path of the settings file.
const settingsVariable = "HIBISCUSLEVER_NODE_FILE"

func main() {
	os.Exit(command.Execute(newCommand(), os.Stderr))
}

func newCommand() *cobra.Command {
	root := command.NewRoot("hibiscusleverd",
		"Run an entry host",
		"Run an entry host: it answers callers, dispatches their requests to engines and plain services,\n"+
			"and works with the other entry hosts. SIGTERM shuts it down gracefully: it leaves the advertised\n"+
			"addresses, serves callers that still hold them, finishes every request in flight and exits.")
	var path string
	var checkOnly bool
	root.Flags().StringVar(&path, "settings", os.Getenv(settingsVariable), "`FILE` with the host's settings; the default is the value of "+settingsVariable)
	root.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	root.Args = command.NoArgs
	root.RunE = func(cmd *cobra.Command, _ []string) error { return checkOrRun(cmd, path, checkOnly) }
	return root
}

// checkOrRun reads the settings file at path and runs a host on the platform that it names. If checkOnly is set, it
// only prints that the settings are valid.
func checkOrRun(cmd *cobra.Command, path string, checkOnly bool) error {
	if path == "" {
		return command.NewUsageError(fmt.Errorf("the flag --settings is missing and %s is not set; see --help", settingsVariable))
	}
	hostSettings, err := readSettings(cmd.Context(), path)
	if cmd.Context().Err() != nil {
		if checkOnly {
			return fmt.Errorf("settings %s have not been checked: %w", path, context.Cause(cmd.Context()))
		}
		return nil
	}
	if err != nil {
		return command.NewUsageError(err)
	}
	if checkOnly {
		_, err := fmt.Fprintf(cmd.OutOrStdout(), "settings %s are valid\n", path)
		return err
	}
	if hostSettings.Platform.Kind == settings.KindStore {
		return runOnUsersPlatform(cmd.Context(), path, hostSettings)
	}
	return runOnLogService(cmd.Context(), path, hostSettings)
}

// readSettings reads a settings file until the context ends, because reading a file can block.
func readSettings(ctx context.Context, path string) (settings.Settings, error) {
	var hostSettings settings.Settings
	result := make(chan error, 1)
	tasks.Go(func() {
		var err error
		hostSettings, err = settings.Read(path)
		result <- err
	})
	select {
	case err := <-result:
		return hostSettings, err
	case <-ctx.Done():
		return settings.Settings{}, context.Cause(ctx)
	}
}

// runOnUsersPlatform runs a host on the users' platform until the context ends. Log lines go to standard output; they
// are dropped if nobody reads them. SIGHUP makes the host read its settings again.
func runOnUsersPlatform(ctx context.Context, path string, hostSettings settings.Settings) error {
	stopClock := newStopClock(ctx, hostSettings)
	logWriter := newLogWriter(os.Stdout, hostSettings)
	defer logWriter.Close()
	logger := newLogger(logWriter, hostSettings).With("host", string(hostSettings.Host.Name))
	options := []site.Option{site.WithSettings(hostSettings), site.WithLogger(logger), site.WithLogWriter(logWriter)}
	if hostSettings.Traces.Export != "None" {
		traces, err := telemetry.NewTraces(ctx, string(hostSettings.Host.Name), hostSettings.Traces.Export, hostSettings.Traces.File, hostSettings.Traces.Endpoint)
		if err != nil {
			return command.NewUsageError(fmt.Errorf("settings %s: section Traces: %w", path, err))
		}
		defer closeTraces(traces, stopClock)
		options = append(options, site.WithTraces(traces))
	}
	host, err := site.New(options...)
	if err != nil {
		return command.NewUsageError(fmt.Errorf("settings %s: %w", path, err))
	}
	command.LogIgnoredSignals(ctx, logger, syscall.SIGUSR1, syscall.SIGUSR2)
	tasks.Go(func() {
		for range hangup.Signals() {
			reloadSettings(host, logger, path)
		}
	})
	return host.Run(ctx)
}

// newLogWriter returns a writer of log lines to out that drops them if nobody reads them.
func newLogWriter(out io.Writer, hostSettings settings.Settings) *telemetry.LogWriter {
	limits := telemetry.LogLimits{MaxBytesPerSecond: hostSettings.Logs.MaxBytesPerSecond, MaxPendingBytes: hostSettings.Logs.MaxPendingBytes}
	return telemetry.NewLogWriter(out, limits, hostSettings.Logs.Format, "host", string(hostSettings.Host.Name))
}

// newLogger returns a logger that writes to a LogWriter. It becomes the default logger, because libraries would otherwise
// write to standard error and block if nobody reads it.
func newLogger(logWriter *telemetry.LogWriter, hostSettings settings.Settings) *slog.Logger {
	logger := telemetry.NewLogger(logWriter, hostSettings.Logs.Format, hostSettings.Logs.Level)
	slog.SetDefault(logger)
	return logger
}

// reloadSettings reads the settings file again and passes the settings to the host. If they are wrong, it logs the
// error and the old settings stay in force.
func reloadSettings(host *site.Host, logger *slog.Logger, path string) {
	hostSettings, err := settings.Read(path)
	if err != nil {
		logger.Error("settings not reloaded", "path", path, "error", err.Error())
		return
	}
	host.Reload(hostSettings)
}

// runOnLogService runs a host on the product's own log service until the context ends. Log lines go to standard error;
// they are dropped if nobody reads them.
func runOnLogService(ctx context.Context, path string, hostSettings settings.Settings) error {
	stopClock := newStopClock(ctx, hostSettings)
	traces, err := telemetry.NewTraces(ctx, string(hostSettings.Host.Name), hostSettings.Traces.Export, hostSettings.Traces.File, hostSettings.Traces.Endpoint)
	if err != nil {
		return command.NewUsageError(fmt.Errorf("settings %s: section Traces: %w", path, err))
	}
	logWriter := newLogWriter(os.Stderr, hostSettings)
	defer logWriter.Close()
	defer closeTraces(traces, stopClock)
	logger := newLogger(logWriter, hostSettings)
	command.LogIgnoredSignals(ctx, logger.With("host", string(hostSettings.Host.Name)), syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2)
	host, err := hibiscuslever.New(
		hibiscuslever.WithSettings(hostSettings),
		hibiscuslever.WithLogger(logger),
		hibiscuslever.WithLogWriter(logWriter),
		hibiscuslever.WithTraces(traces),
	)
	if err != nil {
		return command.NewUsageError(fmt.Errorf("settings %s: %w", path, err))
	}
	return host.Run(ctx)
}

func newStopClock(ctx context.Context, hostSettings settings.Settings) *lifecycle.StopClock {
	return lifecycle.NewStopClock(ctx, timer.NewSystem(), lifecycle.Grace(hostSettings.Operators.ShutdownTimeout))
}

// closeTraces exports the last spans in the time that the process has left. The collector may not answer.
func closeTraces(traces *telemetry.Traces, stopClock *lifecycle.StopClock) {
	ctx, cancel := stopClock.CloseContext()
	defer cancel()
	_ = traces.Close(ctx)
}
