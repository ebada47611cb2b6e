package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/hibiscuslever/hibiscuslever/command"
	"github.com/hibiscuslever/hibiscuslever/experiment"
)

func experimentCommand() *cobra.Command {
	var pattern, policy string
	var seeds int
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Replay a pattern of load against ways to place requests, on virtual time",
		Args:  command.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if pattern == "" || seeds < 1 {
				return command.NewUsageError(fmt.Errorf("the flag --pattern is missing, or --seeds is below 1; see --help"))
			}
			pt, err := experiment.Read(pattern)
			if err != nil {
				return command.NewUsageError(err)
			}
			return compare(cmd, pt, policy, seeds)
		},
	}
	cmd.Flags().StringVar(&pattern, "pattern", "", "`FILE` with the pattern (required); see experiment/testdata")
	cmd.Flags().StringVar(&policy, "policy", "", "`NAME` of the only way to replay; all of them without it")
	cmd.Flags().IntVar(&seeds, "seeds", 5, "`NUMBER` of seeds")
	return cmd
}

// compare prints a table with a row for each way to place requests.
func compare(cmd *cobra.Command, pt experiment.Pattern, policy string, seeds int) error {
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(table, "Policy\tWorth\tWorst")
	for _, kind := range pt.Kinds {
		_, _ = fmt.Fprintf(table, "\t%s\tServed\tFirst p95", kind.Name)
	}
	_, _ = fmt.Fprintln(table)
	found := false
	for _, pl := range experiment.Policies() {
		if policy != "" && policy != pl.Name {
			continue
		}
		found = true
		sm := experiment.Compare(pt, pl.Config, seeds)
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.3f", pl.Name, sm.Worth, sm.Worst)
		for ix := range pt.Kinds {
			_, _ = fmt.Fprintf(table, "\t%.3f\t%.3f\t%s", sm.Kinds[ix], sm.Served[ix], sm.First[ix].Round(time.Millisecond))
		}
		_, _ = fmt.Fprintln(table)
	}
	if !found {
		return command.NewUsageError(fmt.Errorf("policy %q does not exist", policy))
	}
	return table.Flush()
}
