package e2e

import (
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// breakListener makes a program's listener at an address fail as if it were closed. Connections that the program has
// accepted stay open. The test is skipped where the system does not let it use a descriptor of the program.
func breakListener(t *testing.T, pr *process, address string) {
	t.Helper()
	const maxDescriptor = 64
	_, portText, err := net.SplitHostPort(address)
	assert.NilError(t, err)
	port, err := strconv.Atoi(portText)
	assert.NilError(t, err)
	pidDescriptor, err := unix.PidfdOpen(pr.cmd.Process.Pid, 0)
	assert.NilError(t, err)
	defer func() { _ = unix.Close(pidDescriptor) }()
	for descriptor := range maxDescriptor {
		duplicate, err := unix.PidfdGetfd(pidDescriptor, descriptor, 0)
		if err == unix.EPERM || err == unix.ENOSYS {
			t.Skip("descriptors of other processes can't be used here:", err)
		}
		if err != nil {
			continue
		}
		listens, _ := unix.GetsockoptInt(duplicate, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
		local, _ := unix.Getsockname(duplicate)
		if inet, ok := local.(*unix.SockaddrInet4); ok && listens == 1 && inet.Port == port {
			assert.NilError(t, unix.Shutdown(duplicate, unix.SHUT_RD))
			assert.NilError(t, unix.Close(duplicate))
			return
		}
		_ = unix.Close(duplicate)
	}
	t.Fatalf("%s does not listen at %s", pr.name, address)
}

// TestBrokenListenerCutsRequests breaks a listener of a daemon that has requests in flight. They must get their whole
// answers, and the daemon must end with an exit code that has it started again.
func TestBrokenListenerCutsRequests(t *testing.T) {
	for name, addressOf := range map[string]func(*platformHost) string{
		"clients":   func(ph *platformHost) string { return ph.address },
		"readiness": func(ph *platformHost) string { return ph.readyAddress },
	} {
		t.Run(name, func(t *testing.T) {
			ph := startPlatformHost(t, 8*time.Second, "", nil)
			requests := ph.startRequests(3 * time.Second)
			breakListener(t, ph.process, addressOf(ph))
			ph.eventually("the host is not ready", func() bool { return !ph.isReady() })
			requests.assertWhole()
			ph.assertExitCode(t, 1)
			assert.Assert(t, strings.Contains(ph.stdout.String(), "part of the host failed"))
			assert.Assert(t, strings.Contains(ph.stderr.String(), "server at "+addressOf(ph)))
		})
	}
}

// TestBrokenListenerCutsStreams does the same with the product's own log service.
func TestBrokenListenerCutsStreams(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 1, engines: 1, engineFlags: []string{"--speed", "0.2"}})
	host := fl.hosts[0]
	streamed := make(chan error, 1)
	go func() { streamed <- streamAndVerify(host.address, "acme", "a question with a long answer 7", 500) }()
	fl.engineHoldingMemory()
	breakListener(t, host, host.address)
	assert.NilError(t, <-streamed)
	host.assertExitCode(t, 1)
	assert.Assert(t, strings.Contains(host.stderr.String(), "part of the host failed"))
}
