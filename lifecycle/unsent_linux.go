package lifecycle

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// unsentBytes returns how many bytes the client's system has not acknowledged, or 0 if that is not known.
func unsentBytes(raw syscall.RawConn) int {
	count := 0
	_ = raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			count = queued
		}
	})
	return count
}
