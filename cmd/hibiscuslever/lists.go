package main

import (
	"fmt"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/hibiscuslever/hibiscuslever/command"
	protocol "github.com/hibiscuslever/hibiscuslever/protocol/operator"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
)

const (
	defaultHost      = "http://127.0.0.1:9100"
	allowedListNames = "Plans or Organisations"
	// revisionPrefix starts the first line of a printed list, which names its revision. The line is a comment of the
	// list's INI format.
	revisionPrefix = "; Revision = "
)

// addHostFlag adds the flag --host to a command. Its default is taken from the environment.
func addHostFlag(cmd *cobra.Command) *string {
	return cmd.Flags().String("host", envOrDefault("HIBISCUSLEVER_HOST", defaultHost), "`URL` of a host's operators' interface")
}

// envOrDefault returns the value of an environment variable, or defaultValue if it is unset or empty.
func envOrDefault(name, defaultValue string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return defaultValue
}

// parseListName returns the list that an argument names in upper or lower case.
func parseListName(value string) (lists.Name, error) {
	for _, name := range lists.Names() {
		if strings.EqualFold(value, string(name)) {
			return name, nil
		}
	}
	return "", command.NewUsageError(fmt.Errorf("list %q does not exist; want %s", value, allowedListNames))
}

func showCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "show LIST",
		Short: "Print a list with its revision; LIST is " + allowedListNames,
		Args:  command.OneArg,
	}
	host := addHostFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		list, err := parseListName(args[0])
		if err != nil {
			return err
		}
		response, err := operator.NewClient(*host).Show(cmd.Context(), list)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s%d\n%s", revisionPrefix, response.Revision, response.Text)
		return err
	}
	return cmd
}

func checkCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "check LIST FILE",
		Short: "Check a list without publishing it",
		Args:  twoArgs,
	}
	host := addHostFlag(cmd)
	base := addBaseRevisionFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return publishOrCheck(cmd, *host, args[0], args[1], *base, true)
	}
	return cmd
}

func publishCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "publish LIST FILE",
		Short: "Publish a list in place of the revision that it was made from",
		Long: "Publish a list. FILE is a list as printed by show, edited; its first line names the revision that it\n" +
			"was made from. If another edit of the list was published meanwhile, nothing changes and the command\n" +
			"fails, naming the revision that won: show the list again and repeat the edit.",
		Args: twoArgs,
	}
	host := addHostFlag(cmd)
	base := addBaseRevisionFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return publishOrCheck(cmd, *host, args[0], args[1], *base, false)
	}
	return cmd
}

// twoArgs returns a usage error unless there are exactly two arguments.
func twoArgs(cmd *cobra.Command, args []string) error {
	if err := cobra.ExactArgs(2)(cmd, args); err != nil {
		return command.NewUsageError(err)
	}
	return nil
}

// addBaseRevisionFlag adds the flag --base to a command. Its default, -2, is below every revision and means that the flag
// is not set.
func addBaseRevisionFlag(cmd *cobra.Command) *int64 {
	return cmd.Flags().Int64("base", -2, "revision that the list was made from, in place of the file's first line; -1 for the first edit")
}

// publishOrCheck has a host publish the list in the file at path, or only check it, and prints the result. The host
// accepts it only if the list still has the revision base. If base is below every revision, it is taken from the file's
// first line.
func publishOrCheck(cmd *cobra.Command, host, listArgument, path string, base int64, checkOnly bool) error {
	list, err := parseListName(listArgument)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return command.NewUsageError(err)
	}
	if base < int64(id.NoOffset) {
		base, err = baseRevision(path, string(text))
		if err != nil {
			return err
		}
	}
	response, err := operator.NewClient(host).Publish(cmd.Context(), list, protocol.PublishRequest{
		Base:     id.Offset(base),
		Text:     string(text),
		Operator: currentUserName(),
		Check:    checkOnly,
	})
	var noResponse operator.NoResponseError
	switch {
	case errors.As(err, &noResponse) && !checkOnly:
		return fmt.Errorf("%w; the edit may have been accepted: look at the history before publishing again", err)
	case err != nil:
		return err
	}
	if !response.Accepted {
		if response.Winner != id.NoOffset {
			return fmt.Errorf("conflict: %s; show the list again and repeat the edit on revision %d", response.Problem, response.Winner)
		}
		return errors.New(response.Problem)
	}
	outcome := "published"
	if checkOnly {
		outcome = "valid"
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: list %s, revision %d, %d entries changed, %d removed\n",
		outcome, list, response.Revision, len(response.Changed), len(response.Removed))
	return err
}

// baseRevision returns the revision that the first line of a printed list names. It uses path in errors only.
func baseRevision(path, text string) (int64, error) {
	firstLine, _, _ := strings.Cut(text, "\n")
	value, ok := strings.CutPrefix(firstLine, revisionPrefix)
	var base int64
	if ok {
		_, err := fmt.Sscanf(value, "%d", &base)
		ok = err == nil
	}
	if !ok {
		return 0, command.NewUsageError(fmt.Errorf("file %s: the first line is not %q; print the list with show, or pass --base", path, revisionPrefix+"NUMBER"))
	}
	return base, nil
}

// currentUserName returns the name that the history records as the operator of an edit.
func currentUserName() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

func historyCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "history",
		Short: "Print what became of the latest edits, oldest first",
		Args:  command.NoArgs,
	}
	host := addHostFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		history, err := operator.NewClient(*host).History(cmd.Context())
		if err != nil {
			return err
		}
		table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(table, "REVISION\tLIST\tOPERATOR\tRESULT")
		for _, verdict := range history.Verdicts {
			result := "accepted"
			if !verdict.Accepted {
				result = "refused: " + verdict.Reason
			}
			_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", verdict.Offset, verdict.List, verdict.Operator, result)
		}
		return table.Flush()
	}
	return cmd
}
