package testutil

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// WithBuiltPrograms builds packages of the module into a temporary folder, calls run with the folder and returns run's
// exit code. It returns 1 if the build fails, and removes the folder at the end.
func WithBuiltPrograms(run func(dir string) int, packages ...string) int {
	dir, err := os.MkdirTemp("", "hibiscuslever")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", append([]string{"build", "-o", dir + "/"}, packages...)...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out))
		return 1
	}
	return run(dir)
}

// assignedLoopbacks counts the loopback addresses that FreeAddress has returned in this process.
var assignedLoopbacks atomic.Uint32

// FreeAddress returns a loopback IP:port on which nothing listens, with a different IP on each call. The port stays
// free even while the program that uses it is down: outgoing connections start from 127.0.0.1, so none of them occupies
// a port of another loopback address. The process ID is part of the IP, so that test processes running at the same time
// rarely share one.
func FreeAddress(t testing.TB) string {
	t.Helper()
	number := assignedLoopbacks.Add(1)
	ip := net.IPv4(127, byte(1+os.Getpid()%250), byte(number>>8), byte(number))
	listener, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
