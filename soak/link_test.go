package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// linkMode is the way in which a link treats its connections.
type linkMode int

const (
	// forwarding forwards all data unchanged.
	forwarding linkMode = iota
	// delaying delays each chunk of data.
	delaying
	// resetting closes all open connections, and each new one, with a TCP reset.
	resetting
	// blockingToTarget and blockingFromTarget hold back the data in one direction. Connections stay open.
	blockingToTarget
	blockingFromTarget
	// blockingBoth holds back the data in both directions.
	blockingBoth
	// linkModeCount is the number of modes.
	linkModeCount
)

// String returns the name of the mode in the report of a failed run.
func (md linkMode) String() string {
	return [...]string{"passing", "delayed", "resetting", "blocked to target", "blocked from target", "silent"}[md]
}

// link is a TCP proxy on a loopback port that forwards connections to a target and disrupts them according to its mode.
type link struct {
	name     string
	listener net.Listener

	// mutex guards the fields below.
	mutex  sync.Mutex
	target string
	mode   linkMode
	delay  time.Duration
	// modeChanged is closed and replaced when the mode changes and when the link is closed.
	modeChanged chan struct{}
	// openConns contains the connections of both sides.
	openConns map[*net.TCPConn]bool
	// targetEnds describes how targets ended their connections, by the address of the client.
	targetEnds map[string][]targetEnd
	closed     bool
}

// targetEnd describes how the target ended a connection.
type targetEnd struct {
	// at is when it ended, lastPassedOnAt when data was last passed on to the target.
	at, lastPassedOnAt time.Time
	// unread says that the target closed the connection without reading all of the data.
	unread bool
}

// newLink starts a link in the forwarding mode to a target, an IP:port. The caller must close it.
func newLink(name, target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ln := &link{name: name, listener: listener, target: target, modeChanged: make(chan struct{}), openConns: map[*net.TCPConn]bool{}, targetEnds: map[string][]targetEnd{}}
	go ln.acceptConns()
	return ln, nil
}

// address returns the IP:port under which the link accepts connections.
func (ln *link) address() string { return ln.listener.Addr().String() }

// redirect changes the target of new connections. Open connections keep theirs.
func (ln *link) redirect(target string) {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	ln.target = target
}

// setMode changes the mode for open and new connections. The delay is used by the delaying mode only.
func (ln *link) setMode(mode linkMode, delay time.Duration) {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	ln.mode, ln.delay = mode, delay
	close(ln.modeChanged)
	ln.modeChanged = make(chan struct{})
	if mode == resetting {
		ln.resetAll()
	}
}

// close stops accepting connections and resets the open ones.
func (ln *link) close() {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	ln.closed = true
	close(ln.modeChanged)
	ln.modeChanged = make(chan struct{})
	_ = ln.listener.Close()
	ln.resetAll()
}

// resetAll resets all open connections. The caller holds the mutex.
func (ln *link) resetAll() {
	for cn := range ln.openConns {
		reset(cn)
		delete(ln.openConns, cn)
	}
}

// reset closes a connection with a TCP reset instead of an orderly end.
func reset(cn *net.TCPConn) {
	_ = cn.SetLinger(0)
	_ = cn.Close()
}

// track adds a connection to the open ones. If the link is closed or resets connections, it resets the connection and
// returns false.
func (ln *link) track(cn *net.TCPConn) bool {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	if ln.closed || ln.mode == resetting {
		reset(cn)
		return false
	}
	ln.openConns[cn] = true
	return true
}

// acceptConns accepts and forwards connections until the link is closed.
func (ln *link) acceptConns() {
	for {
		conn, err := ln.listener.Accept()
		if err != nil {
			return
		}
		clientConn := conn.(*net.TCPConn)
		if !ln.track(clientConn) {
			continue
		}
		go ln.forwardConn(clientConn)
	}
}

// forwardConn connects to the target and copies data in both directions until both have ended. It resets the client's
// connection if the target cannot be reached.
func (ln *link) forwardConn(clientConn *net.TCPConn) {
	ln.mutex.Lock()
	target := ln.target
	ln.mutex.Unlock()
	conn, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		ln.recordTargetEnd(clientConn, targetEnd{unread: true})
		ln.resetConns(clientConn)
		return
	}
	targetConn := conn.(*net.TCPConn)
	if !ln.track(targetConn) {
		ln.recordTargetEnd(clientConn, targetEnd{unread: true})
		ln.resetConns(clientConn)
		return
	}
	var lastPassedOnAt atomic.Pointer[time.Time]
	requestsEnded := make(chan struct{})
	go func() {
		defer close(requestsEnded)
		ln.copyDirection(clientConn, targetConn, blockingToTarget, func() {
			now := time.Now()
			lastPassedOnAt.Store(&now)
		}, func(error) {})
	}()
	ln.copyDirection(targetConn, clientConn, blockingFromTarget, func() {}, func(err error) {
		end := targetEnd{unread: err != io.EOF || hasPendingError(targetConn)}
		if at := lastPassedOnAt.Load(); at != nil {
			end.lastPassedOnAt = *at
		}
		ln.recordTargetEnd(clientConn, end)
	})
	<-requestsEnded
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	for _, cn := range []*net.TCPConn{clientConn, targetConn} {
		_ = cn.Close()
		delete(ln.openConns, cn)
	}
}

// recordTargetEnd records that the target ends the connection of a client now. It is called before the client can notice.
func (ln *link) recordTargetEnd(clientConn *net.TCPConn, end targetEnd) {
	end.at = time.Now()
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	address := clientConn.RemoteAddr().String()
	ln.targetEnds[address] = append(ln.targetEnds[address], end)
}

// hasPendingError reports whether a connection has an error that no call has returned yet. On loopback, data that was sent
// to a connection that its other side had closed has caused one by the time at which the close is read.
func hasPendingError(cn *net.TCPConn) bool {
	raw, err := cn.SyscallConn()
	if err != nil {
		return true
	}
	code := 0
	controlErr := raw.Control(func(fd uintptr) { code, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
	return controlErr != nil || err != nil || code != 0
}

// targetEndOf returns how the target ended the connection of a client between two times; zero if it did not end it.
func (ln *link) targetEndOf(clientAddress string, from, to time.Time) targetEnd {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	for _, end := range ln.targetEnds[clientAddress] {
		if !end.at.Before(from) && !end.at.After(to) {
			return end
		}
	}
	return targetEnd{}
}

// resetConns resets connections and removes them from the open ones.
func (ln *link) resetConns(conns ...*net.TCPConn) {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	for _, cn := range conns {
		reset(cn)
		delete(ln.openConns, cn)
	}
}

// copyDirection copies data from one connection to the other until the source ends or either fails. It propagates the
// end of the source as a half-close, and resets both connections after an error. Before it passes on data or an end, it
// calls holdBack with the given blocking mode. It calls onPassedOn after data was passed on and onEnd when the source has
// ended or failed.
func (ln *link) copyDirection(from, to *net.TCPConn, blockingMode linkMode, onPassedOn func(), onEnd func(error)) {
	buffer := make([]byte, 32<<10)
	for {
		length, err := from.Read(buffer)
		if err != nil {
			onEnd(err)
		}
		if !ln.holdBack(blockingMode) {
			return
		}
		if length > 0 {
			if _, err := to.Write(buffer[:length]); err != nil {
				ln.resetConns(from, to)
				return
			}
			onPassedOn()
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			ln.resetConns(from, to)
			return
		}
	}
}

// holdBack waits while the link is in the given blocking mode or blocks both directions. In the delaying mode it waits
// for the delay once. It returns false if the link has been closed.
func (ln *link) holdBack(blockingMode linkMode) bool {
	delayed := false
	for {
		ln.mutex.Lock()
		mode, delay, modeChanged, closed := ln.mode, ln.delay, ln.modeChanged, ln.closed
		ln.mutex.Unlock()
		switch {
		case closed:
			return false
		case mode == blockingBoth || mode == blockingMode:
			<-modeChanged
		case mode == delaying && !delayed:
			time.Sleep(delay)
			delayed = true
		default:
			return true
		}
	}
}

// TestLinkKeepsEndedConnections checks that a link closes a connection that both sides have ended, so that long runs with
// many connections don't run out of descriptors.
func TestLinkKeepsEndedConnections(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = target.Close() }()
	go func() {
		conn, err := target.Accept()
		if err == nil {
			_, _ = io.Copy(conn, conn)
			_ = conn.Close()
		}
	}()
	ln, err := newLink("test", target.Addr().String())
	assert.NilError(t, err)
	defer ln.close()
	conn, err := net.Dial("tcp", ln.address())
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "x")
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	echo, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(echo), "x")
	assert.NilError(t, conn.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ln.mutex.Lock()
		defer ln.mutex.Unlock()
		if openConns := len(ln.openConns); openConns > 0 {
			return poll.Continue("%d connections are open", openConns)
		}
		return poll.Success()
	})
}

// TestTargetEnd checks whether a link can tell a target that has read all data from one that has not.
func TestTargetEnd(t *testing.T) {
	readAll := func(conn net.Conn) { _, _ = io.ReadFull(conn, make([]byte, 2)) }
	for name, tc := range map[string]struct {
		// serve is what the target does before it closes a connection on which it gets two bytes.
		serve      func(net.Conn)
		wantUnread bool
	}{
		"all is read":                {readAll, false},
		"nothing is read":            {func(net.Conn) { time.Sleep(50 * time.Millisecond) }, true},
		"half is read":               {func(conn net.Conn) { _, _ = io.ReadFull(conn, make([]byte, 1)); time.Sleep(50 * time.Millisecond) }, true},
		"all is read and the answer": {func(conn net.Conn) { readAll(conn); _, _ = io.WriteString(conn, "half an ans") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			target, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = target.Close() }()
			go func() {
				if conn, err := target.Accept(); err == nil {
					tc.serve(conn)
					_ = conn.Close()
				}
			}()
			ln, err := newLink("test", target.Addr().String())
			assert.NilError(t, err)
			defer ln.close()
			sentAt := time.Now()
			conn, err := net.Dial("tcp", ln.address())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "xx")
			assert.NilError(t, err)
			_, _ = io.ReadAll(conn)
			end := ln.targetEndOf(conn.LocalAddr().String(), sentAt, time.Now())
			assert.Assert(t, !end.at.IsZero())
			assert.Equal(t, end.unread, tc.wantUnread)
		})
	}
}

// TestDataCrossesClose checks that data that was sent to a closed connection is not taken for read.
func TestDataCrossesClose(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	assert.NilError(t, accepted.Close())
	_, err = io.WriteString(conn, "x")
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.Assert(t, err != io.EOF || hasPendingError(conn.(*net.TCPConn)))
}
