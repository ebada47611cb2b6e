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
		Short: "Print the lines of the hosts' log files about a request, or about all requests with one content, in order of time",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) < 2 {
				return command.NewUsageError(fmt.Errorf("want the id of a request or a fingerprint, and one log file or more"))
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error { return printExplanation(cmd, args[0], args[1:]) },
	}
}

// printExplanation prints the log lines that have a fingerprint or, if there are none, those that belong to a request.
// It reports on standard error which log is missing if a request's lines are incomplete. It fails if it finds no lines.
func printExplanation(cmd *cobra.Command, requestOrFingerprint string, paths []string) error {
	var lines []telemetry.LogLine
	hostNames := map[string]bool{}
	for _, path := range paths {
		fileLines, err := readLogFile(cmd, path)
		if err != nil {
			return err
		}
		for _, line := range fileLines {
			hostNames[line.Host] = true
		}
		lines = append(lines, fileLines...)
	}
	if contentLines := telemetry.ContentLines(lines, requestOrFingerprint); len(contentLines) > 0 {
		for _, line := range contentLines {
			_, _ = fmt.Fprintln(cmd.OutOrStdout(), line)
		}
		return nil
	}
	requestLines := telemetry.RequestLines(lines, requestOrFingerprint)
	for _, line := range requestLines {
		_, _ = fmt.Fprintln(cmd.OutOrStdout(), line)
	}
	missingHint := telemetry.MissingLinesHint(requestLines)
	if len(requestLines) == 0 {
		return fmt.Errorf("request %q in the logs of %d hosts: %s", requestOrFingerprint, len(hostNames), missingHint)
	}
	if missingHint != "" {
		_, _ = fmt.Fprintln(cmd.ErrOrStderr(), missingHint)
	}
	return nil
}
