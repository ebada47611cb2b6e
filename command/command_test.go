package command_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/command"
)

func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	root := command.NewRoot("hibiscus", "short", "long")
	out := &bytes.Buffer{}
	root.SetOut(out)
	root.SetErr(out)
	root.SetArgs(args)
	err := root.Execute()
	return out.String(), err
}

// TestVersionFlagAndCommand prints the version and what the program was built from, as a flag and as a command.
func TestVersionFlagAndCommand(t *testing.T) {
	for _, args := range [][]string{{"--version"}, {"version"}} {
		out, err := run(t, args...)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(out, command.Version) && strings.Contains(out, "revision") && strings.Contains(out, "go1"), out)
	}
}

// TestCompletionScripts prints a script for each shell.
func TestCompletionScripts(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish", "powershell"} {
		out, err := run(t, "completion", shell)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(out, "hibiscus"), shell)
	}
}

// TestUnknownFlagIsUsageError marks an unknown flag as wrong use.
func TestUnknownFlagIsUsageError(t *testing.T) {
	_, err := run(t, "version", "--none")
	var usage command.UsageError
	assert.Assert(t, errors.As(err, &usage), "%v", err)
}
