package lifecycle

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// firstSendQueueCheck is the time until the first check of what a client has not received yet. The time between checks
	// doubles up to lastSendQueueCheck.
	firstSendQueueCheck = time.Millisecond
	lastSendQueueCheck  = 16 * time.Millisecond
	// stalledSendTime is how long a client may receive nothing before its connection is closed nevertheless.
	stalledSendTime = 2 * time.Second
	// discardTime is how long a client that has received everything may go on sending. Systems may discard what a client
	// has received and not read yet when the connection is reset because of bytes that nobody reads.
	discardTime = 100 * time.Millisecond
	// discardBytes bounds what is read between two checks.
	discardBytes = 64 << 10
)

// tcpConn is what a connection must offer so that its last bytes can be waited for.
type tcpConn interface {
	CloseWrite() error
	SyscallConn() (syscall.RawConn, error)
}

// stoppingListener is a listener whose connections are closed by a stopping process only when their clients have received
// what was sent.
type stoppingListener struct {
	net.Listener
	connections *connections
	clock       timer.Clock
}

// Accept waits for the next connection.
func (sl stoppingListener) Accept() (net.Conn, error) {
	conn, err := sl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stoppingConn{Conn: conn, connections: sl.connections, clock: sl.clock}, nil
}

// stoppingConn is a connection of a stoppingListener.
type stoppingConn struct {
	net.Conn
	connections *connections
	clock       timer.Clock
	// resets says that Close resets the connection, so that the client does not take the response for complete.
	resets atomic.Bool
	// ending says that the last response has been written and the connection is being closed.
	ending atomic.Bool
}

// CloseWrite ends the response without closing the connection. net/http uses it.
func (sc *stoppingConn) CloseWrite() error {
	sc.ending.Store(true)
	if conn, ok := sc.Conn.(tcpConn); ok {
		return conn.CloseWrite()
	}
	return nil
}

// SetLinger makes Close reset the connection if seconds is 0.
func (sc *stoppingConn) SetLinger(seconds int) error {
	sc.resets.Store(seconds == 0)
	if conn, ok := sc.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}

// Close closes the connection. If the process is stopping, it first ends the sending direction, discards what the client
// still sends, which would reset the connection, and waits until the client has received what was sent. Close is called
// by net/http while the connection is active, when a response has ended; it must not wait for an idle one.
func (sc *stoppingConn) Close() error {
	sc.ending.Store(true)
	conn, ok := sc.Conn.(tcpConn)
	if !ok || sc.resets.Load() || !sc.connections.waitsForClients() {
		return sc.Conn.Close()
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return sc.Conn.Close()
	}
	active := sc.connections.isActive(sc)
	if !active && unsentBytes(raw) == 0 || conn.CloseWrite() != nil {
		// Nothing is to be sent, or the client has reset the connection.
		return sc.Conn.Close()
	}
	if active {
		sc.awaitLastBytes(raw)
		return sc.Conn.Close()
	}
	// net/http removes sc itself when it has closed it.
	sc.connections.add(sc.Conn)
	// net/http waits for the next request.
	_ = sc.Conn.SetReadDeadline(time.Unix(1, 0))
	tasks.Go(func() {
		sc.awaitLastBytes(raw)
		_ = sc.Conn.Close()
		sc.connections.remove(sc.Conn)
	})
	return nil
}

// awaitLastBytes waits until the client has received what was sent and no longer sends, until it receives nothing any
// more or has reset the connection, or until all connections are to be closed.
func (sc *stoppingConn) awaitLastBytes(raw syscall.RawConn) {
	buffer := make([]byte, discardBytes/16)
	unsent := unsentBytes(raw)
	changedAt := sc.clock.Now()
	discarded := false
	for pause := firstSendQueueCheck; ; pause = min(2*pause, lastSendQueueCheck) {
		count, err := discardReceived(raw, buffer)
		discarded = discarded || count > 0
		now, left := sc.clock.Now(), unsentBytes(raw)
		if left < unsent {
			unsent, changedAt = left, now
		}
		ended := errors.Is(err, io.EOF)
		switch {
		case err != nil && !ended,
			left == 0 && (ended || !discarded || now.Sub(changedAt) >= discardTime),
			now.Sub(changedAt) >= stalledSendTime:
			return
		}
		passed, subscription := timer.Wait(sc.clock, pause)
		select {
		case <-passed:
		case <-sc.connections.closing:
			subscription.Stop()
			return
		}
	}
}

// discardReceived reads what has arrived, up to discardBytes, and returns the number of bytes. The error is io.EOF if the
// client has ended its side of the connection.
func discardReceived(raw syscall.RawConn, buffer []byte) (int, error) {
	total := 0
	var receiveErr error
	err := raw.Control(func(fd uintptr) {
		for total < discardBytes && receiveErr == nil {
			count, _, err := unix.Recvfrom(int(fd), buffer, unix.MSG_DONTWAIT)
			switch {
			case errors.Is(err, unix.EINTR):
			case errors.Is(err, unix.EAGAIN):
				return
			case err != nil:
				receiveErr = err
			case count == 0:
				receiveErr = io.EOF
			default:
				total += count
			}
		}
	})
	if err == nil {
		err = receiveErr
	}
	return total, err
}
