package main

import (
	"github.com/spf13/cobra"

	"github.com/hibiscuslever/hibiscuslever/command"
	"github.com/hibiscuslever/hibiscuslever/demo"
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
			return demo.Serve(cmd.Context(), cmd.OutOrStdout())
		}
		return demo.Run(cmd.Context(), cmd.OutOrStdout())
	}
	return cmd
}
