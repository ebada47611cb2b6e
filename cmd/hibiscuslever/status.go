package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/hibiscuslever/hibiscuslever/command"
	protocol "github.com/hibiscuslever/hibiscuslever/protocol/operator"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
)

func statusCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Print hosts, shards, engines and list revisions as one host sees them",
		Args:  command.NoArgs,
	}
	host := hostFlag(cmd)
	asJSON := cmd.Flags().Bool("json", false, "print JSON")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		status, err := operator.NewClient(*host).Status(cmd.Context())
		if err != nil {
			return err
		}
		if *asJSON {
			encoder := json.NewEncoder(cmd.OutOrStdout())
			encoder.SetIndent("", "  ")
			return encoder.Encode(status)
		}
		return printStatus(cmd.OutOrStdout(), status)
	}
	return cmd
}

func printStatus(out io.Writer, status protocol.Status) error {
	ready := "ready"
	if status.NotReady != "" {
		ready = "not ready: " + status.NotReady
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "Host %s in %s, %s, %d requests in flight\n", status.Host, status.AvailabilityZone, ready, status.InFlight)
	for _, rv := range status.Revisions {
		_, _ = fmt.Fprintf(table, "List %s at revision %d\n", rv.List, rv.Revision)
	}
	if status.StoreAway {
		_, _ = fmt.Fprintln(table, "The platform can't be reached")
	}
	if status.ListAge > 0 {
		_, _ = fmt.Fprintf(table, "List of backend servers up to date %s ago\n", status.ListAge.Round(time.Millisecond))
	}
	_, _ = fmt.Fprintln(table, "\nHOST\tZONE\tSTATUS\tCALLERS")
	for _, ht := range status.Hosts {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", ht.Name, ht.AvailabilityZone, ht.Status, ht.CallerAddress)
	}
	_, _ = fmt.Fprintln(table, "\nSHARD\tDISPATCHER\tWAITING\tRUNNING")
	for _, sh := range status.Shards {
		waiting, running := "-", "-"
		if sh.Local {
			waiting = fmt.Sprint(sh.Waiting)
			running = fmt.Sprint(sh.Running)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", sh.Name, sh.Dispatcher, waiting, running)
	}
	_, _ = fmt.Fprintln(table, "\nENGINE\tSERVICE\tZONE\tSTATE\tHELD\tCAPACITY")
	for _, en := range status.Engines {
		state := "live"
		if en.Leaving {
			state = "leaving"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\n", en.Name, en.Service, en.AvailabilityZone, state, en.Held, en.Capacity)
	}
	return table.Flush()
}
