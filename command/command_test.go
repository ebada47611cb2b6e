package command_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/command"
)

// executeRoot runs a root command with arguments and returns what it printed.
func executeRoot(t *testing.T, args ...string) (string, error) {
	t.Helper()
	root := command.NewRoot("hibiscus", "short", "long")
	output := &bytes.Buffer{}
	root.SetOut(output)
	root.SetErr(output)
	root.SetArgs(args)
	err := root.Execute()
	return output.String(), err
}

// TestVersionFlagAndCommand checks that both forms print the version, the revision and the Go version.
func TestVersionFlagAndCommand(t *testing.T) {
	for _, args := range [][]string{{"--version"}, {"version"}} {
		output, err := executeRoot(t, args...)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(output, command.Version) && strings.Contains(output, "revision") && strings.Contains(output, "go1"), output)
	}
}

// TestCompletionScripts checks that a completion script is printed for each shell that cobra supports.
func TestCompletionScripts(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish", "powershell"} {
		output, err := executeRoot(t, "completion", shell)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(output, "hibiscus"), shell)
	}
}

// TestUnknownFlagIsUsageError checks that an unknown flag leads to a UsageError, and so to ExitBadUsage.
func TestUnknownFlagIsUsageError(t *testing.T) {
	_, err := executeRoot(t, "version", "--none")
	var usageError command.UsageError
	assert.Assert(t, errors.As(err, &usageError), "%v", err)
}
