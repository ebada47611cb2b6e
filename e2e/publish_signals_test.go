package e2e

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestInterruptedPublicationSaysNothing ends a publication before its response has arrived. The operator must be told
// that the edit may have been accepted, unless it can't have been.
func TestInterruptedPublicationSaysNothing(t *testing.T) {
	const warning = "the edit may have been accepted"
	list := filepath.Join(t.TempDir(), "plans.ini")
	assert.NilError(t, os.WriteFile(list, []byte("[Plan crew]\n"+defaultPlan), 0o600))
	unreachable, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, unreachable.Close())
	signalled := func(sig syscall.Signal) func(*os.Process) {
		return func(client *os.Process) { _ = client.Signal(sig) }
	}
	for _, tc := range []struct {
		name    string
		command string
		// end ends the publication after a host has received it; if it is nil, the host closes the connection.
		end       func(client *os.Process)
		reachable bool
		// wantParts are parts of the printed error, and wantWarning says whether it has the warning.
		wantParts   []string
		wantWarning bool
	}{
		{"SIGTERM", "publish", signalled(syscall.SIGTERM), true, []string{"SIGTERM", "history"}, true},
		{"SIGINT", "publish", signalled(syscall.SIGINT), true, []string{"SIGINT", "history"}, true},
		{"connection closed", "publish", nil, true, []string{"EOF", "history"}, true},
		{"unreachable host", "publish", nil, false, []string{"connection refused"}, false},
		{"check", "check", signalled(syscall.SIGTERM), true, []string{"SIGTERM"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			received, released := make(chan struct{}), make(chan struct{})
			url := "http://" + unreachable.Addr().String()
			if tc.reachable {
				host := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					close(received)
					<-released
					panic(http.ErrAbortHandler)
				}))
				defer host.Close()
				url = host.URL
			}
			client := exec.Command(filepath.Join(binariesDir, "hibiscuslever"), tc.command, "--base", "-1", "--host", url, "Plans", list)
			output := &lockedBuffer{}
			client.Stdout, client.Stderr = output, output
			assert.NilError(t, client.Start())
			if tc.reachable {
				<-received
			}
			if tc.end != nil {
				tc.end(client.Process)
				// The connection stays open until the client has ended.
				defer close(released)
			} else {
				close(released)
			}
			err := client.Wait()
			assert.Assert(t, err != nil)
			assert.Equal(t, client.ProcessState.ExitCode(), 1, "%s", client.ProcessState)
			assert.Equal(t, strings.Contains(output.String(), warning), tc.wantWarning, "%s", output)
			for _, part := range tc.wantParts {
				assert.Assert(t, strings.Contains(output.String(), part), "%s", output)
			}
		})
	}
}
