// Command hibiscusleverd is the daemon of an entry host.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"github.com/hibiscuslever/hibiscuslever"
	"github.com/hibiscuslever/hibiscuslever/command"
	"github.com/hibiscuslever/hibiscuslever/lifecycle/hangup"
	"github.com/hibiscuslever/hibiscuslever/settings"
	"github.com/hibiscuslever/hibiscuslever/site"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
)

// settingsVariable names the environment variable with the path of the settings file.
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
	var check bool
	root.Flags().StringVar(&path, "settings", os.Getenv(settingsVariable), "`FILE` with the host's settings; the default is the value of "+settingsVariable)
	root.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	root.Args = command.NoArgs
	root.RunE = func(cmd *cobra.Command, _ []string) error { return start(cmd, path, check) }
	return root
}

func start(cmd *cobra.Command, path string, check bool) error {
	if path == "" {
		return command.NewUsageError(fmt.Errorf("the flag --settings is missing and %s is not set; see --help", settingsVariable))
	}
	st, err := settings.Read(path)
	if err != nil {
		return command.NewUsageError(err)
	}
	if check {
		_, err := fmt.Fprintf(cmd.OutOrStdout(), "settings %s are valid\n", path)
		return err
	}
	if st.Platform.Kind == settings.KindStore {
		return serveSite(cmd.Context(), path, st)
	}
	return serve(cmd.Context(), path, st)
}

// serveSite runs a host on the users' platform.
func serveSite(ctx context.Context, path string, st settings.Settings) error {
	bounds := telemetry.LogLimits{BytesPerSecond: st.Logs.MaxBytesPerSecond, PendingBytes: st.Logs.MaxPendingBytes}
	lines := telemetry.NewLogWriter(os.Stdout, bounds, st.Logs.Format, "host", string(st.Host.Name))
	defer lines.Close()
	logger := telemetry.NewLogger(lines, st.Logs.Format, st.Logs.Level).With("host", string(st.Host.Name))
	options := []site.Option{site.WithSettings(st), site.WithLogger(logger)}
	if st.Traces.Export != "None" {
		traces, err := telemetry.NewTraces(ctx, string(st.Host.Name), st.Traces.Export, st.Traces.File, st.Traces.Endpoint)
		if err != nil {
			return command.NewUsageError(fmt.Errorf("settings %s: section Traces: %w", path, err))
		}
		defer func() { _ = traces.Close(context.Background()) }()
		options = append(options, site.WithTraces(traces))
	}
	host, err := site.New(options...)
	if err != nil {
		return command.NewUsageError(fmt.Errorf("settings %s: %w", path, err))
	}
	go func() {
		for range hangup.Signals() {
			reload(host, logger, path)
		}
	}()
	return host.Run(ctx)
}

// reload reads the settings again; the old ones stay in force if the new ones are wrong.
func reload(host *site.Host, logger *slog.Logger, path string) {
	st, err := settings.Read(path)
	if err != nil {
		logger.Error("settings not reloaded", "path", path, "error", err.Error())
		return
	}
	host.Reload(st)
}

func serve(ctx context.Context, path string, st settings.Settings) error {
	traces, err := telemetry.NewTraces(ctx, string(st.Host.Name), st.Traces.Export, st.Traces.File, st.Traces.Endpoint)
	if err != nil {
		return command.NewUsageError(fmt.Errorf("settings %s: section Traces: %w", path, err))
	}
	defer func() { _ = traces.Close(context.Background()) }()
	host, err := hibiscuslever.New(
		hibiscuslever.WithSettings(st),
		hibiscuslever.WithLogger(telemetry.NewLogger(os.Stderr, st.Logs.Format, st.Logs.Level)),
		hibiscuslever.WithTraces(traces),
	)
	if err != nil {
		return command.NewUsageError(fmt.Errorf("settings %s: %w", path, err))
	}
	return host.Run(ctx)
}
