package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/hibiscuslever/hibiscuslever/command"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
)

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST|FINGERPRINT FILE...",
		Short: "Print a request's way, or what became of all requests with one content, through the hosts' log files in the order of time",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) < 2 {
				return command.NewUsageError(fmt.Errorf("want the id of a request or a fingerprint, and one log file or more"))
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error { return explain(cmd, args[0], args[1:]) },
	}
}

// explain prints the lines that tell of a request or of a content, and what is missing to tell more.
func explain(cmd *cobra.Command, request string, paths []string) error {
	var lines []telemetry.LogLine
	hosts := map[string]bool{}
	for _, path := range paths {
		read, err := readLog(cmd, path)
		if err != nil {
			return err
		}
		for _, line := range read {
			hosts[line.Host] = true
		}
		lines = append(lines, read...)
	}
	if ways := telemetry.ContentLines(lines, request); len(ways) > 0 {
		for _, line := range ways {
			_, _ = fmt.Fprintln(cmd.OutOrStdout(), line)
		}
		return nil
	}
	way := telemetry.RequestLines(lines, request)
	for _, line := range way {
		_, _ = fmt.Fprintln(cmd.OutOrStdout(), line)
	}
	missing := telemetry.MissingLinesHint(way)
	if len(way) == 0 {
		return fmt.Errorf("request %q in the logs of %d hosts: %s", request, len(hosts), missing)
	}
	if missing != "" {
		_, _ = fmt.Fprintln(cmd.ErrOrStderr(), missing)
	}
	return nil
}
