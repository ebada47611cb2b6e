// Package command holds what the command lines of all programs share: the root command, checks of arguments, and exit
// codes.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/hibiscuslever/hibiscuslever/tasks"
)

// Version is the version of all programs.
const Version = "0.1.0"

// Exit codes of all programs.
const (
	// ExitSuccess means that the command succeeded.
	ExitSuccess = 0
	// ExitFailure means that the command failed.
	ExitFailure = 1
	// ExitBadUsage means that the command line or the settings are wrong and nothing was started.
	ExitBadUsage = 2
)

// UsageError is an error in the command line or the settings. Execute returns ExitBadUsage for it.
type UsageError struct{ err error }

// NewUsageError marks an error as one in the command line or the settings.
func NewUsageError(err error) error {
	return UsageError{err: err}
}

// Error returns the text of the marked error.
func (ue UsageError) Error() string { return ue.err.Error() }

// Unwrap returns the marked error.
func (ue UsageError) Unwrap() error { return ue.err }

// NewRoot returns a root command with the command version and the flag --version. Errors are not printed by cobra,
// because Execute prints them.
func NewRoot(name, short, long string) *cobra.Command {
	root := &cobra.Command{
		Use:           name,
		Short:         short,
		Long:          long,
		Version:       Version + " " + buildDescription(),
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return NewUsageError(err) })
	root.AddCommand(&cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), name, root.Version)
			return err
		},
	})
	return root
}

// buildDescription returns the version control revision, if it is known, and the Go version that the program was built
// with. Uncommitted changes are noted.
func buildDescription() string {
	buildInfo, ok := debug.ReadBuildInfo()
	if !ok {
		return "(unknown build)"
	}
	revision, modifiedNote := "unknown revision", ""
	for _, setting := range buildInfo.Settings {
		switch {
		case setting.Key == "vcs.revision":
			const shortRevisionLength = 12
			revision = "revision " + setting.Value[:min(shortRevisionLength, len(setting.Value))]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modifiedNote = ", changed"
		}
	}
	return fmt.Sprintf("(%s%s, %s)", revision, modifiedNote, buildInfo.GoVersion)
}

// NoArgs returns a usage error if there are arguments.
func NoArgs(cmd *cobra.Command, args []string) error {
	if err := cobra.NoArgs(cmd, args); err != nil {
		return NewUsageError(err)
	}
	return nil
}

// OneArg returns a usage error unless there is exactly one argument.
func OneArg(cmd *cobra.Command, args []string) error {
	if err := cobra.ExactArgs(1)(cmd, args); err != nil {
		return NewUsageError(err)
	}
	return nil
}

// Execute runs a command, prints its error to errOut, and returns the exit code. SIGINT and SIGTERM end the command's
// context with a StopSignal as its cause, so that it can shut down gracefully. After that, SIGINT ends the process
// immediately if it is in the foreground of a terminal. Otherwise both do nothing more, because service managers may
// repeat them or send one after the other.
func Execute(root *cobra.Command, errOut io.Writer) int {
	err := root.ExecuteContext(stopOnSignals(context.Background()))
	var usageError UsageError
	if err == nil {
		return ExitSuccess
	}
	printError(errOut, root.Name(), err)
	if errors.As(err, &usageError) || isUnknownCommand(root, err) {
		return ExitBadUsage
	}
	return ExitFailure
}

// printError prints the error of a command, and gives up after a time, because the end of the process must not depend on
// somebody reading its output.
func printError(out io.Writer, name string, err error) {
	const timeout = time.Second
	printed := make(chan struct{})
	tasks.Go(func() {
		defer close(printed)
		_, _ = fmt.Fprintf(out, "%s: %v\n", name, err)
	})
	select {
	case <-printed:
	case <-time.After(timeout):
	}
}

// isUnknownCommand reports whether err says that the command line names no existing command. Cobra has no error type
// for this, so the text is compared.
func isUnknownCommand(root *cobra.Command, err error) bool {
	_, _, findErr := root.Find(os.Args[1:])
	return findErr != nil && findErr.Error() == err.Error()
}
