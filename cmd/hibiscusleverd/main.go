// Command hibiscusleverd is the daemon of an entry host.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/hibiscuslever/hibiscuslever"
	"github.com/hibiscuslever/hibiscuslever/command"
	"github.com/hibiscuslever/hibiscuslever/settings"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
)

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
	root.Flags().StringVar(&path, "settings", "", "`FILE` with the host's settings (required)")
	root.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	root.Args = command.NoArgs
	root.RunE = func(cmd *cobra.Command, _ []string) error { return start(cmd, path, check) }
	return root
}

func start(cmd *cobra.Command, path string, check bool) error {
	if path == "" {
		return command.NewUsageError(fmt.Errorf("the flag --settings is missing; see --help"))
	}
	st, err := settings.Read(path)
	if err != nil {
		return command.NewUsageError(err)
	}
	if check {
		_, err := fmt.Fprintf(cmd.OutOrStdout(), "settings %s are valid\n", path)
		return err
	}
	return serve(cmd.Context(), path, st)
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
