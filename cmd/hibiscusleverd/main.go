// Command hibiscusleverd is the daemon that runs an entry host.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"github.com/hibiscuslever/hibiscuslever"
	"github.com/hibiscuslever/hibiscuslever/command"
	"github.com/hibiscuslever/hibiscuslever/lifecycle"
	"github.com/hibiscuslever/hibiscuslever/lifecycle/hangup"
	"github.com/hibiscuslever/hibiscuslever/settings"
	"github.com/hibiscuslever/hibiscuslever/site"
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
	hostSettings, err := settings.Read(path)
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

// runOnUsersPlatform runs a host on the users' platform until the context ends. Log lines go to standard output; they
// are dropped if nobody reads them. SIGHUP makes the host read its settings again.
func runOnUsersPlatform(ctx context.Context, path string, hostSettings settings.Settings) error {
	stopClock := newStopClock(ctx, hostSettings)
	limits := telemetry.LogLimits{MaxBytesPerSecond: hostSettings.Logs.MaxBytesPerSecond, MaxPendingBytes: hostSettings.Logs.MaxPendingBytes}
	logWriter := telemetry.NewLogWriter(os.Stdout, limits, hostSettings.Logs.Format, "host", string(hostSettings.Host.Name))
	defer logWriter.Close()
	logger := telemetry.NewLogger(logWriter, hostSettings.Logs.Format, hostSettings.Logs.Level).With("host", string(hostSettings.Host.Name))
	options := []site.Option{site.WithSettings(hostSettings), site.WithLogger(logger)}
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
	go func() {
		for range hangup.Signals() {
			reloadSettings(host, logger, path)
		}
	}()
	return host.Run(ctx)
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

// runOnLogService runs a host on the product's own log service until the context ends. Log lines go to standard error.
func runOnLogService(ctx context.Context, path string, hostSettings settings.Settings) error {
	stopClock := newStopClock(ctx, hostSettings)
	traces, err := telemetry.NewTraces(ctx, string(hostSettings.Host.Name), hostSettings.Traces.Export, hostSettings.Traces.File, hostSettings.Traces.Endpoint)
	if err != nil {
		return command.NewUsageError(fmt.Errorf("settings %s: section Traces: %w", path, err))
	}
	defer closeTraces(traces, stopClock)
	host, err := hibiscuslever.New(
		hibiscuslever.WithSettings(hostSettings),
		hibiscuslever.WithLogger(telemetry.NewLogger(os.Stderr, hostSettings.Logs.Format, hostSettings.Logs.Level)),
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
