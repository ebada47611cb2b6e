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

// experimentFlags are the flags of the command experiment.
type experimentFlags struct {
	pattern string
	policy  string
	plot    string
	seeds   int
	logs    []string
}

func experimentCommand() *cobra.Command {
	var fl experimentFlags
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Replay a pattern of load against ways to place requests, on virtual time",
		Long: "Replays a pattern of load against ways to place requests on engines, on virtual time, and prints a row for each\n" +
			"of them. The row \"bound\" is a benefit that no way can exceed. With --logs it replays the prompts of recorded days\n" +
			"instead, and compares the times to the first event.",
		Args: command.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			pt, policies, err := fl.check()
			if err != nil {
				return command.NewUsageError(err)
			}
			if len(fl.logs) > 0 {
				return replay(cmd, pt, fl.logs)
			}
			return compare(cmd, fl, pt, policies)
		},
	}
	cmd.Flags().StringVar(&fl.pattern, "pattern", "", "`FILE` with the pattern (required); see experiment/testdata")
	cmd.Flags().StringVar(&fl.policy, "policy", "", "`NAME` of the only way to replay; all of them without it")
	cmd.Flags().StringVar(&fl.plot, "plot", "", "`FILE` for a chart of the first seed, ending in .svg or .png")
	cmd.Flags().IntVar(&fl.seeds, "seeds", 5, "`NUMBER` of seeds")
	cmd.Flags().StringSliceVar(&fl.logs, "logs", nil, "`FILES` with the hosts' log lines, one for each recorded day")
	return cmd
}

// check reads the pattern and finds the policies that the flags name.
func (fl experimentFlags) check() (experiment.Pattern, []experiment.Policy, error) {
	if fl.pattern == "" || fl.seeds < 1 {
		return experiment.Pattern{}, nil, fmt.Errorf("the flag --pattern is missing, or --seeds is below 1; see --help")
	}
	if fl.plot != "" {
		if err := chart.CheckFileName(fl.plot); err != nil {
			return experiment.Pattern{}, nil, err
		}
	}
	var policies []experiment.Policy
	for _, pl := range experiment.Policies() {
		if fl.policy == "" || fl.policy == pl.Name {
			policies = append(policies, pl)
		}
	}
	if len(policies) == 0 {
		return experiment.Pattern{}, nil, fmt.Errorf("policy %q does not exist", fl.policy)
	}
	pt, err := experiment.ReadPattern(fl.pattern)
	return pt, policies, err
}

// compare prints a table with a row for each way to place requests.
func compare(cmd *cobra.Command, fl experimentFlags, pt experiment.Pattern, policies []experiment.Policy) error {
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(table, "Policy\tWorth\tWorst 2 s\tZone\tOrganisation\tSlowdown p95")
	for _, kind := range pt.Kinds {
		_, _ = fmt.Fprintf(table, "\t%s\tLargest\tServed\tFirst p95", kind.Name)
	}
	_, _ = fmt.Fprintln(table)
	bar := progress(cmd, (len(policies)+1)*fl.seeds)
	var series []chart.Series
	for _, pl := range policies {
		sm := experiment.RunSeeds(pt, pl.Config, fl.seeds, func() { _ = bar.Add(1) })
		series = append(series, chart.Series{Name: pl.Name, Requests: sm.FirstResult.Requests})
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f", pl.Name, sm.EarnedShare, sm.WorstWindowShare, sm.WorstZoneShare, sm.WorstOrganisationShare, sm.Slowdown)
		for _, ks := range sm.Kinds {
			_, _ = fmt.Fprintf(table, "\t%.3f\t%.3f\t%.3f\t%s", ks.EarnedShare, ks.LargestTenthShare, ks.ServedShare, ks.FirstEventP95.Round(time.Millisecond))
		}
		_, _ = fmt.Fprintln(table)
	}
	var bound float64
	for seed := range fl.seeds {
		bound += experiment.UpperBound(pt, uint64(seed)) / float64(fl.seeds)
		_ = bar.Add(1)
	}
	_ = bar.Finish()
	_, _ = fmt.Fprintf(table, "bound\t%.3f\n", bound)
	if err := table.Flush(); err != nil {
		return err
	}
	if fl.plot == "" {
		return nil
	}
	return chart.Write(fl.plot, fl.pattern, series)
}

// progress returns a bar on standard error, which is silent unless that is a terminal.
func progress(cmd *cobra.Command, steps int) *progressbar.ProgressBar {
	visible := isatty.IsTerminal(os.Stderr.Fd())
	return progressbar.NewOptions(steps, progressbar.OptionSetWriter(cmd.ErrOrStderr()), progressbar.OptionSetVisibility(visible),
		progressbar.OptionClearOnFinish(), progressbar.OptionSetDescription("replaying"))
}

// replay compares the times to the first event on recorded days with those of the model, by kind of request.
func replay(cmd *cobra.Command, pt experiment.Pattern, paths []string) error {
	all := make([]experiment.FirstEventComparison, len(pt.Kinds))
	for _, path := range paths {
		lines, err := readLog(cmd, path)
		if err != nil {
			return err
		}
		for ix, df := range experiment.ReplayDay(pt, batch.DefaultConfig(), experiment.NewRecordedDay(pt, lines)) {
			all[ix].Add(df)
		}
	}
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "Kind\tRequests\tRecorded p50\tModel p50\tOff\tRecorded p95\tModel p95\tOff")
	for ix, df := range all {
		_, _ = fmt.Fprintf(table, "%s\t%d", pt.Kinds[ix].Name, len(df.Recorded))
		for _, part := range []float64{0.5, 0.95} {
			recorded, model := df.Percentiles(part)
			_, _ = fmt.Fprintf(table, "\t%s\t%s\t%+.1f%%", recorded.Round(time.Millisecond), model.Round(time.Millisecond), 100*(model.Seconds()/max(recorded.Seconds(), time.Millisecond.Seconds())-1))
		}
		_, _ = fmt.Fprintln(table)
	}
	return table.Flush()
}

// readLog reads a file of log lines and says how many lines are none.
func readLog(cmd *cobra.Command, path string) ([]telemetry.LogLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, command.NewUsageError(fmt.Errorf("log file: %w", err))
	}
	lines, skipped, err := telemetry.ReadLogLines(file)
	_ = file.Close()
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	if skipped > 0 {
		_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "%s: %d lines are no log lines\n", path, skipped)
	}
	return lines, nil
}
