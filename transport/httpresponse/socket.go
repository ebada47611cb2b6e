package httpresponse

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// acceptsWrites reports whether data can still be sent on a connection, also if the peer has ended its side: the connection
// is not closed, was not reset and has not failed. One without a socket counts as one that accepts writes.
func acceptsWrites(connection net.Conn) bool {
	syscallConn, ok := connection.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	events := []unix.PollFd{{}}
	var pollErr error
	err = rawConn.Control(func(fd uintptr) {
		events[0].Fd = int32(fd)
		for pollErr = unix.EINTR; pollErr == unix.EINTR; {
			_, pollErr = unix.Poll(events, 0)
		}
	})
	return err == nil && pollErr == nil && events[0].Revents&(unix.POLLHUP|unix.POLLERR) == 0
}
