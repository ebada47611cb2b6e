package command_test

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/command"
)

// stoppingMode names the environment variable that makes TestRepeatedSignals run a command that stops slowly.
const stoppingMode = "HIBISCUSLEVER_TEST_STOPPING"

// TestRepeatedSignals signals a command that is shutting down. Another SIGTERM must not end it, because it would cut the
// requests in flight. SIGINT ends it in the foreground of a terminal, so that one who started it there need not wait, and
// nowhere else, because service managers may send both.
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
		place         startPlace
		first, second syscall.Signal
		wantEnded     bool
	}{
		{foreground, syscall.SIGTERM, syscall.SIGTERM, false},
		{foreground, syscall.SIGINT, syscall.SIGTERM, false},
		{foreground, syscall.SIGTERM, syscall.SIGINT, true},
		{foreground, syscall.SIGINT, syscall.SIGINT, true},
		{noTerminal, syscall.SIGTERM, syscall.SIGTERM, false},
		{noTerminal, syscall.SIGINT, syscall.SIGTERM, false},
		{noTerminal, syscall.SIGTERM, syscall.SIGINT, false},
		{noTerminal, syscall.SIGINT, syscall.SIGINT, false},
	} {
		t.Run(fmt.Sprintf("%s/%s, then %s", tc.place, tc.first, tc.second), func(t *testing.T) {
			process := exec.Command(os.Args[0], "-test.run=^TestRepeatedSignals$")
			process.Env = append(os.Environ(), stoppingMode+"=1")
			process.Stderr = os.Stderr
			tc.place.prepare(t, process)
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

// startPlace is where a process is started.
type startPlace string

const (
	// foreground is the foreground of a terminal, and noTerminal is where there is none.
	foreground startPlace = "foreground"
	noTerminal startPlace = "no terminal"
)

// prepare lets a command be started at a place. A terminal is a new one, which the command opens a session on.
func (sp startPlace) prepare(t *testing.T, process *exec.Cmd) {
	t.Helper()
	if sp == noTerminal {
		process.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
		return
	}
	terminal := openTerminal(t)
	const firstExtraFile = 3
	process.ExtraFiles = []*os.File{terminal}
	process.SysProcAttr = &syscall.SysProcAttr{Setsid: true, Setctty: true, Ctty: firstExtraFile}
}

// openTerminal returns a new pseudo-terminal.
func openTerminal(t *testing.T) *os.File {
	t.Helper()
	controller, err := os.OpenFile("/dev/ptmx", os.O_RDWR|syscall.O_NOCTTY, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = controller.Close() })
	number, err := unix.IoctlGetInt(int(controller.Fd()), unix.TIOCGPTN)
	assert.NilError(t, err)
	assert.NilError(t, unix.IoctlSetPointerInt(int(controller.Fd()), unix.TIOCSPTLCK, 0))
	terminal, err := os.OpenFile(fmt.Sprintf("/dev/pts/%d", number), os.O_RDWR|syscall.O_NOCTTY, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = terminal.Close() })
	return terminal
}
