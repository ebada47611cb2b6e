package main

import (
	"fmt"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/hibiscuslever/hibiscuslever/command"
	protocol "github.com/hibiscuslever/hibiscuslever/protocol/operator"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
)

func evacuateCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "evacuate ZONE",
		Short: "Have nothing new sent to the engines and backend servers of an availability zone",
		Long: "Have nothing new sent to the engines and backend servers of an availability zone, until the command is\n" +
			"repeated with --end. Running answers end by themselves; the zone's hosts go on serving. On the users'\n" +
			"platform the platform's operator evacuates zones, and the hosts refuse this command.",
		Args: command.OneArg,
	}
	host := addHostFlag(cmd)
	end := cmd.Flags().Bool("end", false, "end the evacuation")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		response, err := operator.NewClient(*host).Evacuate(cmd.Context(), protocol.EvacuationRequest{Zone: id.AvailabilityZone(args[0]), End: *end, Operator: currentUserName()})
		var noResponse operator.NoResponseError
		switch {
		case errors.As(err, &noResponse):
			return fmt.Errorf("%w; the request may have been accepted: look at the status before repeating it", err)
		case err != nil:
			return err
		case !response.Accepted:
			return errors.New(response.Problem)
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "accepted at revision %d, evacuated zones: %v\n", response.Revision, response.EvacuatedZones)
		return err
	}
	return cmd
}
