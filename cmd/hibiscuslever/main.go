// Command hibiscuslever is the operators' client: it publishes the lists of plans and organisations, shows the state of
// the fleet, explains requests from log files, and runs experiments and a demo.
package main

import (
	"os"

	"github.com/hibiscuslever/hibiscuslever/command"
)

func main() {
	root := command.NewRoot("hibiscuslever",
		"Show and publish the two lists, and show the state of the fleet",
		"Show and publish the two lists: the plans and what each may use (Plans), and the organisations and\n"+
			"the plan that each holds (Organisations). This program does not start or stop hosts.")
	root.AddCommand(
		experimentCommand(), explainCommand(),
		showCommand(), checkCommand(), publishCommand(), historyCommand(), statusCommand(), evacuateCommand(),
		demoCommand(),
	)
	os.Exit(command.Execute(root, os.Stderr))
}
