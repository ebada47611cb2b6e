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
	defaultHost = "http://127.0.0.1:9100"
	listUsage   = "Plans or Organisations"
	// revisionMark starts the line of a shown list that names its revision.
	revisionMark = "; Revision = "
)

func hostFlag(cmd *cobra.Command) *string {
	return cmd.Flags().String("host", envOr("HIBISCUSLEVER_HOST", defaultHost), "`URL` of a host's operators' interface")
}

func envOr(name, otherwise string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return otherwise
}

func listArg(value string) (lists.Name, error) {
	for _, name := range lists.Names() {
		if strings.EqualFold(value, string(name)) {
			return name, nil
		}
	}
	return "", command.NewUsageError(fmt.Errorf("list %q does not exist; want %s", value, listUsage))
}

func showCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "show LIST",
		Short: "Print a list with its revision; LIST is " + listUsage,
		Args:  command.OneArg,
	}
	host := hostFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		list, err := listArg(args[0])
		if err != nil {
			return err
		}
		shown, err := operator.NewClient(*host).Show(cmd.Context(), list)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s%d\n%s", revisionMark, shown.Revision, shown.Text)
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
	host := hostFlag(cmd)
	base := baseFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return publish(cmd, *host, args[0], args[1], *base, true)
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
	host := hostFlag(cmd)
	base := baseFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return publish(cmd, *host, args[0], args[1], *base, false)
	}
	return cmd
}

func twoArgs(cmd *cobra.Command, args []string) error {
	if err := cobra.ExactArgs(2)(cmd, args); err != nil {
		return command.NewUsageError(err)
	}
	return nil
}

func baseFlag(cmd *cobra.Command) *int64 {
	return cmd.Flags().Int64("base", -2, "revision that the list was made from, in place of the file's first line; -1 for the first edit")
}

func publish(cmd *cobra.Command, host, listName, path string, base int64, check bool) error {
	list, err := listArg(listName)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return command.NewUsageError(err)
	}
	if base < int64(id.NoOffset) {
		base, err = baseOf(path, string(text))
		if err != nil {
			return err
		}
	}
	answer, err := operator.NewClient(host).Publish(cmd.Context(), list, protocol.PublishRequest{
		Base:     id.Offset(base),
		Text:     string(text),
		Operator: userName(),
		Check:    check,
	})
	if err != nil {
		return err
	}
	if !answer.Accepted {
		if answer.Winner != id.NoOffset {
			return fmt.Errorf("conflict: %s; show the list again and repeat the edit on revision %d", answer.Problem, answer.Winner)
		}
		return errors.New(answer.Problem)
	}
	verb := "published"
	if check {
		verb = "valid"
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: list %s, revision %d, %d entries changed, %d removed\n",
		verb, list, answer.Revision, len(answer.Changed), len(answer.Removed))
	return err
}

func baseOf(path, text string) (int64, error) {
	first, _, _ := strings.Cut(text, "\n")
	value, ok := strings.CutPrefix(first, revisionMark)
	var base int64
	if ok {
		_, err := fmt.Sscanf(value, "%d", &base)
		ok = err == nil
	}
	if !ok {
		return 0, command.NewUsageError(fmt.Errorf("file %s: the first line is not %q; print the list with show, or pass --base", path, revisionMark+"NUMBER"))
	}
	return base, nil
}

func userName() string {
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
	host := hostFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		history, err := operator.NewClient(*host).History(cmd.Context())
		if err != nil {
			return err
		}
		table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(table, "REVISION\tLIST\tOPERATOR\tRESULT")
		for _, vd := range history.Verdicts {
			result := "accepted"
			if !vd.Accepted {
				result = "refused: " + vd.Reason
			}
			_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", vd.Offset, vd.List, vd.Operator, result)
		}
		return table.Flush()
	}
	return cmd
}
