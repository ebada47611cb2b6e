//go:build review

package stage

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// link is the way to a server, which can be cut. While it is, a channel that exists carries nothing, and the opening packet of a
// new one gets no answer. What was held up, the end of a channel too, arrives once the cut is over.
type link struct {
	listener *net.TCPListener
	backend  string

	mutex sync.Mutex
	// whole is closed while the link is not cut.
	whole chan struct{}
	// fillers fill the queue of new channels, so that opening packets are dropped.
	fillers []net.Conn
}

// openQueue is the length of the queue of new channels while the link is not cut.
const openQueue = 128

func newLink(backend string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	lk := &link{listener: listener.(*net.TCPListener), backend: backend, whole: make(chan struct{})}
	close(lk.whole)
	go func() {
		for {
			conn, err := lk.listener.AcceptTCP()
			if err != nil {
				return
			}
			lk.await()
			go lk.carry(conn)
		}
	}()
	return lk
}

func (lk *link) address() string { return lk.listener.Addr().String() }

func (lk *link) close() { _ = lk.listener.Close() }

// await waits until the link is not cut.
func (lk *link) await() {
	lk.mutex.Lock()
	whole := lk.whole
	lk.mutex.Unlock()
	<-whole
}

func (lk *link) setQueue(length int) {
	raw, err := lk.listener.SyscallConn()
	check(err)
	check(raw.Control(func(descriptor uintptr) { _ = syscall.Listen(int(descriptor), length) }))
}

// cut cuts the link.
func (lk *link) cut() {
	lk.mutex.Lock()
	lk.whole = make(chan struct{})
	lk.mutex.Unlock()
	lk.setQueue(0)
	for {
		conn, err := net.DialTimeout("tcp", lk.address(), 20*time.Millisecond)
		if err != nil {
			return
		}
		lk.fillers = append(lk.fillers, conn)
	}
}

// heal ends the cut.
func (lk *link) heal() {
	for _, conn := range lk.fillers {
		_ = conn.Close()
	}
	lk.fillers = nil
	lk.setQueue(openQueue)
	lk.mutex.Lock()
	close(lk.whole)
	lk.mutex.Unlock()
}

// carry carries one channel until both ways have ended.
func (lk *link) carry(conn *net.TCPConn) {
	dialed, err := net.Dial("tcp", lk.backend)
	if err != nil {
		reset(conn)
		return
	}
	server := dialed.(*net.TCPConn)
	var ways sync.WaitGroup
	ways.Go(func() { lk.pass(conn, server) })
	ways.Go(func() { lk.pass(server, conn) })
	ways.Wait()
	_ = conn.Close()
	_ = server.Close()
}

// pass passes on what comes from one side, in order and with its end.
func (lk *link) pass(from, to *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		count, readErr := from.Read(buffer)
		lk.await()
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				reset(from)
				return
			}
		}
		switch {
		case readErr == nil:
		case readErr.Error() == "EOF":
			_ = to.CloseWrite()
			return
		default:
			reset(to)
			return
		}
	}
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
