package checks

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// WithBuiltPrograms builds packages of the module into a folder, runs tests with it and returns their exit code.
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

// loopbacks counts the loopback addresses that were given out.
var loopbacks atomic.Uint32

// FreeAddress returns an IP:port of this machine on which nothing listens. It stays free while its program is down:
// connections start from 127.0.0.1, so that none of them takes a port of another loopback address.
func FreeAddress(t testing.TB) string {
	t.Helper()
	number := loopbacks.Add(1)
	ip := net.IPv4(127, byte(1+os.Getpid()%250), byte(number>>8), byte(number))
	listener, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
