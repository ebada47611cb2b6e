package command_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/spf13/cobra"
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

// stoppingMode names the environment variable that makes TestRepeatedSignals run a command that stops slowly.
const stoppingMode = "HIBISCUSLEVER_TEST_STOPPING"

// TestRepeatedSignals signals a command that is shutting down. Another SIGTERM must not end it, because it would cut the
// requests in flight; SIGINT ends it, so that one who started it in a terminal need not wait.
func TestRepeatedSignals(t *testing.T) {
	if os.Getenv(stoppingMode) != "" {
		root := &cobra.Command{Use: "slow", Args: cobra.ArbitraryArgs, DisableFlagParsing: true, RunE: func(cmd *cobra.Command, _ []string) error {
			fmt.Println("started")
			<-cmd.Context().Done()
			fmt.Println("stopping")
			_, err := io.Copy(io.Discard, os.Stdin)
			return err
		}}
		os.Exit(command.Execute(root, os.Stderr))
	}
	// signalTime is the time in which a signal that ends the process would do so.
	const signalTime = 200 * time.Millisecond
	for _, tc := range []struct {
		first, second syscall.Signal
		wantEnded     bool
	}{
		{syscall.SIGTERM, syscall.SIGTERM, false},
		{syscall.SIGINT, syscall.SIGTERM, false},
		{syscall.SIGTERM, syscall.SIGINT, true},
		{syscall.SIGINT, syscall.SIGINT, true},
	} {
		t.Run(fmt.Sprintf("%s, then %s", tc.first, tc.second), func(t *testing.T) {
			process := exec.Command(os.Args[0], "-test.run=^TestRepeatedSignals$")
			process.Env = append(os.Environ(), stoppingMode+"=1")
			process.Stderr = os.Stderr
			stdin, err := process.StdinPipe()
			assert.NilError(t, err)
			stdout, err := process.StdoutPipe()
			assert.NilError(t, err)
			assert.NilError(t, process.Start())
			lines := bufio.NewScanner(stdout)
			for _, step := range []struct {
				line string
				next syscall.Signal
			}{{"started", tc.first}, {"stopping", tc.second}} {
				assert.Assert(t, lines.Scan())
				assert.Equal(t, lines.Text(), step.line)
				assert.NilError(t, process.Process.Signal(step.next))
				time.Sleep(signalTime)
			}
			_ = stdin.Close()
			assert.Equal(t, process.Wait() != nil, tc.wantEnded, "%s", process.ProcessState)
		})
	}
}
