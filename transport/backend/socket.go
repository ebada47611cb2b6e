package backend

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isOpenAndIdle reports whether a connection is open and has nothing to read. It peeks at the socket without blocking.
// A connection without a socket counts as open and idle.
func isOpenAndIdle(connection net.Conn) bool {
	syscallConn, ok := connection.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}
