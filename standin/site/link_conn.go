package site

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// linkConn is a connection from a host to a server over a link. Its socket, as SyscallConn returns it, knows nothing of
// the mode of the link. One goroutine at a time may read.
type linkConn struct {
	*net.TCPConn
	links *Links

	// mutex guards the fields below.
	mutex sync.Mutex
	mode  LinkMode
	// modeChanged is closed and replaced when one of the fields up to readDeadline changes.
	modeChanged chan struct{}
	closed      bool
	wasReset    bool
	// readDeadline is the deadline of reads, or zero.
	readDeadline time.Time
	// unread is data that arrived while the link was silent, and unreadErr the error that followed it.
	unread    []byte
	unreadErr error
	// unsent is data that was written while the link was silent and not yet sent.
	unsent []byte
	// sending says that sendUnsent runs.
	sending bool
}

// setMode sets the mode of the connection's link.
func (cn *linkConn) setMode(mode LinkMode) {
	cn.mutex.Lock()
	defer cn.mutex.Unlock()
	cn.mode = mode
	switch {
	case mode == LinkReset || mode == LinkRefused && len(cn.unsent) > 0:
		cn.reset()
	case mode != LinkSilent && len(cn.unsent) > 0 && !cn.sending:
		cn.sending = true
		go cn.sendUnsent()
	}
	cn.notify()
}

// notify wakes a read that waits. The caller holds the mutex.
func (cn *linkConn) notify() {
	close(cn.modeChanged)
	cn.modeChanged = make(chan struct{})
}

// reset ends the connection on both sides with a TCP reset. The caller holds the mutex.
func (cn *linkConn) reset() {
	cn.wasReset = true
	_ = cn.SetLinger(0)
	_ = cn.TCPConn.Close()
	cn.notify()
}

// endError returns the error of operations on a connection that has ended, or nil. The caller holds the mutex.
func (cn *linkConn) endError(operation string) error {
	switch {
	case cn.closed:
		return &net.OpError{Op: operation, Net: "tcp", Err: net.ErrClosed}
	case cn.wasReset:
		return &net.OpError{Op: operation, Net: "tcp", Err: os.NewSyscallError(operation, syscall.ECONNRESET)}
	default:
		return nil
	}
}

// Read returns data of the server. On a silent link it waits until the mode changes, the deadline passes or the
// connection is closed.
func (cn *linkConn) Read(buffer []byte) (int, error) {
	for {
		count, done, err := cn.readUnread(buffer)
		if done {
			return count, err
		}
		count, err = cn.TCPConn.Read(buffer)
		if count, done, err = cn.receive(buffer, count, err); done {
			return count, err
		}
	}
}

// readUnread waits while the link is silent, and then returns data that arrived before. It reports false if there is
// none.
func (cn *linkConn) readUnread(buffer []byte) (count int, done bool, err error) {
	cn.mutex.Lock()
	defer cn.mutex.Unlock()
	for {
		if err := cn.endError("read"); err != nil {
			return 0, true, err
		}
		if cn.mode != LinkSilent {
			break
		}
		if !cn.readDeadline.IsZero() && !time.Now().Before(cn.readDeadline) {
			return 0, true, &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
		cn.waitForChange()
	}
	if len(cn.unread) > 0 {
		count = copy(buffer, cn.unread)
		cn.unread = cn.unread[count:]
		return count, true, nil
	}
	return 0, cn.unreadErr != nil, cn.unreadErr
}

// waitForChange waits until a field changes or the deadline passes. The caller holds the mutex, which is released
// meanwhile.
func (cn *linkConn) waitForChange() {
	changed := cn.modeChanged
	var deadlinePassed <-chan time.Time
	if !cn.readDeadline.IsZero() {
		deadlinePassed = time.After(time.Until(cn.readDeadline))
	}
	cn.mutex.Unlock()
	defer cn.mutex.Lock()
	select {
	case <-changed:
	case <-deadlinePassed:
	}
}

// receive applies the mode of the link to what the socket returned for a read. It reports false if that is held back.
func (cn *linkConn) receive(buffer []byte, count int, readErr error) (keptCount int, done bool, err error) {
	cn.mutex.Lock()
	defer cn.mutex.Unlock()
	if cn.mode == LinkRefused && (count > 0 || readErr == io.EOF) {
		cn.reset()
	}
	if endErr := cn.endError("read"); endErr != nil {
		return 0, true, endErr
	}
	if cn.mode != LinkSilent || errors.Is(readErr, os.ErrDeadlineExceeded) {
		return count, true, readErr
	}
	cn.unread = append(cn.unread, buffer[:count]...)
	cn.unreadErr = readErr
	return 0, false, nil
}

// Write sends data to the server. Data for a silent link is sent when the mode changes, unless the connection has ended
// by then.
func (cn *linkConn) Write(data []byte) (int, error) {
	if bytes.Contains(data[:min(len(data), requestHeadBytes)], []byte("X-Attempt-Id:")) {
		cn.links.countRequest()
	}
	cn.mutex.Lock()
	if err := cn.endError("write"); err != nil {
		cn.mutex.Unlock()
		return 0, err
	}
	if cn.mode == LinkRefused {
		// The data has left the host when the reset arrives.
		cn.reset()
	} else if cn.mode == LinkSilent || cn.sending {
		cn.unsent = append(cn.unsent, data...)
	} else {
		cn.mutex.Unlock()
		return cn.TCPConn.Write(data)
	}
	cn.mutex.Unlock()
	return len(data), nil
}

// requestHeadBytes is the size up to which the head of a request is searched for the ID of an attempt.
const requestHeadBytes = 4096

// sendUnsent sends the data that was held back while the link was silent.
func (cn *linkConn) sendUnsent() {
	cn.mutex.Lock()
	defer cn.mutex.Unlock()
	for len(cn.unsent) > 0 && cn.mode != LinkSilent && cn.endError("write") == nil {
		data := cn.unsent
		cn.unsent = nil
		cn.mutex.Unlock()
		// The socket keeps the error for the next read.
		_, _ = cn.TCPConn.Write(data)
		cn.mutex.Lock()
	}
	cn.sending = false
}

// SetDeadline sets the deadlines of reads and writes. Writes to a silent link don't wait.
func (cn *linkConn) SetDeadline(deadline time.Time) error {
	return errors.Join(cn.SetReadDeadline(deadline), cn.SetWriteDeadline(deadline))
}

// SetReadDeadline sets the deadline of reads.
func (cn *linkConn) SetReadDeadline(deadline time.Time) error {
	cn.mutex.Lock()
	cn.readDeadline = deadline
	cn.notify()
	cn.mutex.Unlock()
	return cn.TCPConn.SetReadDeadline(deadline)
}

// Close closes the connection. Data that is held back is dropped.
func (cn *linkConn) Close() error {
	cn.links.forget(cn)
	cn.mutex.Lock()
	defer cn.mutex.Unlock()
	cn.closed = true
	cn.notify()
	return cn.TCPConn.Close()
}
