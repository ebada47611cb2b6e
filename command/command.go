// Package command holds what the programs' command lines share.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// Version is the version of all programs.
const Version = "0.1.0"

// Exit codes of all programs.
const (
	// ExitSuccess means that the command did what it was asked.
	ExitSuccess = 0
	// ExitFailure means that it did not.
	ExitFailure = 1
	// ExitBadUsage means that the command line or the settings are wrong; nothing was started.
	ExitBadUsage = 2
)

// UsageError is an error in the command line or the settings.
type UsageError struct{ err error }

// NewUsageError marks an error as one in the command line or the settings.
func NewUsageError(err error) error {
	return UsageError{err: err}
}

// Error returns the error's text.
func (ue UsageError) Error() string { return ue.err.Error() }

// Unwrap returns the marked error.
func (ue UsageError) Unwrap() error { return ue.err }

// NewRoot returns a root command with a version command.
func NewRoot(name, short, long string) *cobra.Command {
	root := &cobra.Command{
		Use:           name,
		Short:         short,
		Long:          long,
		Version:       Version + " " + build(),
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

// build describes what the program was built from: the revision, if it is known, and the compiler.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "(unknown build)"
	}
	revision, changed := "unknown revision", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			const short = 12
			revision = "revision " + setting.Value[:min(short, len(setting.Value))]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			changed = ", changed"
		}
	}
	return fmt.Sprintf("(%s%s, %s)", revision, changed, info.GoVersion)
}

// NoArgs refuses arguments.
func NoArgs(cmd *cobra.Command, args []string) error {
	if err := cobra.NoArgs(cmd, args); err != nil {
		return NewUsageError(err)
	}
	return nil
}

// OneArg wants exactly one argument.
func OneArg(cmd *cobra.Command, args []string) error {
	if err := cobra.ExactArgs(1)(cmd, args); err != nil {
		return NewUsageError(err)
	}
	return nil
}

// Execute runs a command until it ends or the process is asked to stop, and returns the exit code.
// The second request to stop ends the process at once.
func Execute(root *cobra.Command, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	err := root.ExecuteContext(ctx)
	var usage UsageError
	switch {
	case err == nil:
		return ExitSuccess
	case errors.As(err, &usage), isUnknownCommand(root, err):
		_, _ = fmt.Fprintf(errOut, "%s: %v\n", root.Name(), err)
		return ExitBadUsage
	default:
		_, _ = fmt.Fprintf(errOut, "%s: %v\n", root.Name(), err)
		return ExitFailure
	}
}

// isUnknownCommand reports whether cobra did not find the command that was named.
func isUnknownCommand(root *cobra.Command, err error) bool {
	_, _, findErr := root.Find(os.Args[1:])
	return findErr != nil && findErr.Error() == err.Error()
}
