package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/hibiscuslever/hibiscuslever/command"
	"github.com/hibiscuslever/hibiscuslever/demo"
	"github.com/hibiscuslever/hibiscuslever/settings"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
)

func demoCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a small fleet with stand-ins in this process and send it a few requests",
		Args:  command.NoArgs,
	}
	serve := cmd.Flags().Bool("serve", false, "print where the fleet serves and stay up until interrupted")
	platform := cmd.Flags().Bool("platform", false, "run it on a stand-in of the users' platform")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if *platform {
			return demo.RunPlatform(cmd.Context(), cmd.OutOrStdout())
		}
		if *serve {
			// The demo continues to serve when the readers of its output have gone or have stopped reading.
			signal.Ignore(syscall.SIGPIPE)
			logs := settings.Default().Logs
			logWriter := telemetry.NewLogWriter(os.Stderr, telemetry.LogLimits{MaxBytesPerSecond: logs.MaxBytesPerSecond, MaxPendingBytes: logs.MaxPendingBytes}, logs.Format)
			defer logWriter.Close()
			slog.SetDefault(telemetry.NewLogger(logWriter, logs.Format, logs.Level))
			ctx := cmd.Context()
			if !signal.Ignored(syscall.SIGHUP) {
				// A demo whose terminal has been closed stops.
				var stop context.CancelFunc
				ctx, stop = signal.NotifyContext(ctx, syscall.SIGHUP)
				defer stop()
			}
			return demo.Serve(ctx, cmd.OutOrStdout())
		}
		return demo.Run(cmd.Context(), cmd.OutOrStdout())
	}
	return cmd
}
