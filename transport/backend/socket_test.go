package backend

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// TestSilentServerKeepsConnection guards against requests that are lost because the kernel closes a connection whose
// server acknowledges nothing for a moment.
func TestSilentServerKeepsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	pool := NewPool(DefaultConfig(), timer.NewSystem())
	defer pool.Close()
	cn, err := pool.dial(t.Context(), listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = cn.Close() }()
	rawConn, err := cn.NetConn().(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	for name, option := range map[string][2]int{
		"TCP_USER_TIMEOUT": {unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT},
		"SO_KEEPALIVE":     {unix.SOL_SOCKET, unix.SO_KEEPALIVE},
	} {
		value := -1
		assert.NilError(t, rawConn.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), option[0], option[1]) }))
		assert.NilError(t, err)
		assert.Equal(t, value, 0, name)
	}
}
