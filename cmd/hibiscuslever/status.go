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
	host := addHostFlag(cmd)
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

// printStatus prints a status as tables. Shards that the host does not dispatch itself have no counts of requests.
func printStatus(out io.Writer, status protocol.Status) error {
	readiness := "ready"
	if status.NotReady != "" {
		readiness = "not ready: " + status.NotReady
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "Host %s in %s, %s, %d requests in flight\n", status.Host, status.AvailabilityZone, readiness, status.InFlight)
	for _, listRevision := range status.Revisions {
		_, _ = fmt.Fprintf(table, "List %s at revision %d\n", listRevision.List, listRevision.Revision)
	}
	if status.CutOff {
		_, _ = fmt.Fprintln(table, "The host is cut off from the backend servers")
	}
	if status.ThroughPeers > 0 {
		_, _ = fmt.Fprintf(table, "%d backend servers are reached through other hosts\n", status.ThroughPeers)
	}
	if status.InFlightForPeers > 0 {
		_, _ = fmt.Fprintf(table, "%d calls for other hosts in progress\n", status.InFlightForPeers)
	}
	for _, host := range status.CutOffHosts {
		_, _ = fmt.Fprintf(table, "Host %s is cut off from the backend servers\n", host)
	}
	if status.StoreAway {
		_, _ = fmt.Fprintln(table, "The platform can't be reached")
	}
	if status.ListAge > 0 {
		_, _ = fmt.Fprintf(table, "List of backend servers up to date %s ago\n", status.ListAge.Round(time.Millisecond))
	}
	for _, zone := range status.EvacuatedZones {
		_, _ = fmt.Fprintf(table, "Zone %s is evacuated\n", zone)
	}
	_, _ = fmt.Fprintln(table, "\nHOST\tZONE\tSTATUS\tCALLERS")
	for _, host := range status.Hosts {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", host.Name, host.AvailabilityZone, host.Status, host.CallerAddress)
	}
	_, _ = fmt.Fprintln(table, "\nSHARD\tDISPATCHER\tWAITING\tRUNNING")
	for _, shard := range status.Shards {
		waiting, running := "-", "-"
		if shard.Local {
			waiting = fmt.Sprint(shard.Waiting)
			running = fmt.Sprint(shard.Running)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", shard.Name, shard.Dispatcher, waiting, running)
	}
	_, _ = fmt.Fprintln(table, "\nENGINE\tSERVICE\tZONE\tSTATE\tHELD\tCAPACITY")
	for _, engine := range status.Engines {
		state := "live"
		if engine.Leaving {
			state = "leaving"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\n", engine.Name, engine.Service, engine.AvailabilityZone, state, engine.Held, engine.Capacity)
	}
	return table.Flush()
}
