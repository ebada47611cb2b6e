package backend

import (
	"net"
	"syscall"
	"time"

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

// setUserTimeout limits how long sent bytes may stay unacknowledged. If the system does not support the option, its
// default applies.
func setUserTimeout(connection net.Conn, timeout time.Duration) {
	syscallConn, ok := connection.(syscall.Conn)
	if !ok {
		return
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return
	}
	_ = rawConn.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}
