package e2e

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/command"
)

// TestTerminatedCheckSucceeds sends SIGTERM to a daemon that checks its settings. It must not exit as if they were valid.
func TestTerminatedCheckSucceeds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	daemon := &process{name: "daemon"}
	startServing(t, daemon, nil, "hibiscusleverd", "--check", "--settings", path)
	// Opening the pipe for writing blocks until the daemon opens it to read its settings.
	settingsPipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = settingsPipe.Close() })
	assert.NilError(t, daemon.cmd.Process.Signal(syscall.SIGTERM))
	daemon.assertExitCode(t, command.ExitFailure)
}
