package e2e

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHangupWhileStarting sends SIGHUP to a daemon that is still reading its settings. The daemon must not end, but
// continue to start.
func TestHangupWhileStarting(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	daemon := exec.Command(filepath.Join(binariesDir, "hibiscusleverd"), "--check", "--settings", path)
	var output bytes.Buffer
	daemon.Stdout, daemon.Stderr = &output, &output
	assert.NilError(t, daemon.Start())
	// Opening the pipe for writing blocks until the daemon opens it to read its settings.
	settingsPipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	assert.NilError(t, err)
	assert.NilError(t, daemon.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	_, err = fmt.Fprint(settingsPipe, "[Host]\nName = host-1\nAvailabilityZone = zone-a\nCallerAddress = 127.0.0.1:0\nPeerAddress = 127.0.0.1:0\n"+
		"OperatorAddress = 127.0.0.1:0\nReadyAddress = 127.0.0.1:0\nDirectoryAddress = 127.0.0.1:0\n[Platform]\nKind = Store\nURL = http://127.0.0.1:9\n")
	assert.NilError(t, err)
	assert.NilError(t, settingsPipe.Close())
	assert.NilError(t, daemon.Wait(), "%s", output.String())
}
