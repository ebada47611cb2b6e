package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"github.com/hibiscuslever/hibiscuslever/command"
	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/experiment"
	"github.com/hibiscuslever/hibiscuslever/experiment/chart"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
)

// experimentFlags are the values of the flags of the command experiment.
type experimentFlags struct {
	// pattern is the path of the pattern file.
	pattern string
	// policy is the name of the only policy to replay; empty for all of them.
	policy string
	// plot is the path of the chart to write; empty for none.
	plot  string
	seeds int
	// logs are the paths of log files. If there are any, their prompts are replayed instead of the pattern's.
	logs []string
}

func experimentCommand() *cobra.Command {
	var flags experimentFlags
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Replay a pattern of load with policies that place requests, on virtual time",
		Long: "Replays a pattern of load with policies that place requests on engines, on virtual time, and prints a row for each\n" +
			"of them. The row \"bound\" is a benefit that no policy can exceed. With --logs it replays the prompts of recorded days\n" +
			"instead, and compares the times to the first event.",
		Args: command.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			pattern, policies, err := flags.load()
			if err != nil {
				return command.NewUsageError(err)
			}
			if len(flags.logs) > 0 {
				return compareRecordedDays(cmd, pattern, flags.logs)
			}
			return comparePolicies(cmd, flags, pattern, policies)
		},
	}
	cmd.Flags().StringVar(&flags.pattern, "pattern", "", "`FILE` with the pattern (required); see experiment/testdata")
	cmd.Flags().StringVar(&flags.policy, "policy", "", "`NAME` of the only policy to replay; without it, all of them")
	cmd.Flags().StringVar(&flags.plot, "plot", "", "`FILE` for a chart of the first seed, ending in .svg or .png")
	cmd.Flags().IntVar(&flags.seeds, "seeds", 5, "`NUMBER` of seeds")
	cmd.Flags().StringSliceVar(&flags.logs, "logs", nil, "`FILES` with the hosts' log lines, one for each recorded day")
	return cmd
}

// load checks the flags, reads the pattern, and returns it with the policies that the flags select.
func (ef experimentFlags) load() (experiment.Pattern, []experiment.Policy, error) {
	if ef.pattern == "" || ef.seeds < 1 {
		return experiment.Pattern{}, nil, fmt.Errorf("the flag --pattern is missing, or --seeds is below 1; see --help")
	}
	if ef.plot != "" {
		if err := chart.CheckFileName(ef.plot); err != nil {
			return experiment.Pattern{}, nil, err
		}
	}
	var policies []experiment.Policy
	for _, policy := range experiment.Policies() {
		if ef.policy == "" || ef.policy == policy.Name {
			policies = append(policies, policy)
		}
	}
	if len(policies) == 0 {
		return experiment.Pattern{}, nil, fmt.Errorf("policy %q does not exist", ef.policy)
	}
	pattern, err := experiment.ReadPattern(ef.pattern)
	return pattern, policies, err
}

// comparePolicies replays the pattern with each policy and all seeds. It prints a table with a row of means for each
// policy and one for the bound that no policy can exceed, and writes the chart if the flags ask for one.
func comparePolicies(cmd *cobra.Command, flags experimentFlags, pattern experiment.Pattern, policies []experiment.Policy) error {
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(table, "Policy\tWorth\tWorst 2 s\tZone\tOrganisation\tSlowdown p95")
	for _, kind := range pattern.Kinds {
		_, _ = fmt.Fprintf(table, "\t%s\tLargest\tServed\tFirst p95", kind.Name)
	}
	_, _ = fmt.Fprintln(table)
	progressBar := newProgressBar(cmd, (len(policies)+1)*flags.seeds)
	var series []chart.Series
	for _, policy := range policies {
		summary := experiment.RunSeeds(pattern, policy.Config, flags.seeds, func() { _ = progressBar.Add(1) })
		series = append(series, chart.Series{Name: policy.Name, Requests: summary.FirstResult.Requests})
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f", policy.Name, summary.EarnedShare, summary.WorstWindowShare, summary.WorstZoneShare, summary.WorstOrganisationShare, summary.Slowdown)
		for _, kindSummary := range summary.Kinds {
			_, _ = fmt.Fprintf(table, "\t%.3f\t%.3f\t%.3f\t%s", kindSummary.EarnedShare, kindSummary.LargestTenthShare, kindSummary.ServedShare, kindSummary.FirstEventP95.Round(time.Millisecond))
		}
		_, _ = fmt.Fprintln(table)
	}
	var meanBound float64
	for seed := range flags.seeds {
		meanBound += experiment.UpperBound(pattern, uint64(seed)) / float64(flags.seeds)
		_ = progressBar.Add(1)
	}
	_ = progressBar.Finish()
	_, _ = fmt.Fprintf(table, "bound\t%.3f\n", meanBound)
	if err := table.Flush(); err != nil {
		return err
	}
	if flags.plot == "" {
		return nil
	}
	return chart.Write(flags.plot, flags.pattern, series)
}

// newProgressBar returns a progress bar on standard error. It prints nothing unless standard error is a terminal.
func newProgressBar(cmd *cobra.Command, steps int) *progressbar.ProgressBar {
	isTerminal := isatty.IsTerminal(os.Stderr.Fd())
	return progressbar.NewOptions(steps, progressbar.OptionSetWriter(cmd.ErrOrStderr()), progressbar.OptionSetVisibility(isTerminal),
		progressbar.OptionClearOnFinish(), progressbar.OptionSetDescription("replaying"))
}

// compareRecordedDays replays the prompts of log files, each of which holds one recorded day. For each kind of request
// it prints the recorded times to the first event, those of the model, and by how many percent they differ.
func compareRecordedDays(cmd *cobra.Command, pattern experiment.Pattern, paths []string) error {
	comparisons := make([]experiment.FirstEventComparison, len(pattern.Kinds))
	for _, path := range paths {
		lines, err := readLogFile(cmd, path)
		if err != nil {
			return err
		}
		for index, comparison := range experiment.ReplayDay(pattern, batch.DefaultConfig(), experiment.NewRecordedDay(pattern, lines)) {
			comparisons[index].Add(comparison)
		}
	}
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "Kind\tRequests\tRecorded p50\tModel p50\tOff\tRecorded p95\tModel p95\tOff")
	for index, comparison := range comparisons {
		_, _ = fmt.Fprintf(table, "%s\t%d", pattern.Kinds[index].Name, len(comparison.Recorded))
		for _, percentile := range []float64{0.5, 0.95} {
			recorded, model := comparison.Percentiles(percentile)
			_, _ = fmt.Fprintf(table, "\t%s\t%s\t%+.1f%%", recorded.Round(time.Millisecond), model.Round(time.Millisecond), 100*(model.Seconds()/max(recorded.Seconds(), time.Millisecond.Seconds())-1))
		}
		_, _ = fmt.Fprintln(table)
	}
	return table.Flush()
}

// readLogFile returns the log lines of a file. It reports on standard error how many lines it skipped because they are
// not log lines.
func readLogFile(cmd *cobra.Command, path string) ([]telemetry.LogLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, command.NewUsageError(fmt.Errorf("log file: %w", err))
	}
	lines, skippedLines, err := telemetry.ReadLogLines(file)
	_ = file.Close()
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	if skippedLines > 0 {
		_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "%s: %d lines are not log lines\n", path, skippedLines)
	}
	return lines, nil
}
