package backend

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// quiet reports whether an idle connection is open and has nothing to read.
func quiet(raw net.Conn) bool {
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged. A system without the option keeps its default.
func setUserTimeout(raw net.Conn, timeout time.Duration) {
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = rc.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}
