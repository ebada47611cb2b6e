package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkMode is what a link does to the bytes on it.
type linkMode int

const (
	forwarding linkMode = iota
	// delaying holds each part back.
	delaying
	// resetting ends all connections, and each new one, with a reset.
	resetting
	// blockingRequests and blockingResponses hold back what goes to the server, or what comes from it.
	blockingRequests
	blockingResponses
	// blockingBoth holds back both.
	blockingBoth
	linkModeCount
)

func (md linkMode) String() string {
	return [...]string{"passing", "delayed", "resetting", "cut up", "cut down", "silent"}[md]
}

// link passes connections on to a target, and harms them as it is told to.
type link struct {
	name     string
	listener net.Listener

	mutex   sync.Mutex
	target  string
	mode    linkMode
	delay   time.Duration
	modeChanged chan struct{}
	openConns   map[*net.TCPConn]bool
	closed  bool
}

func newLink(name, target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ln := &link{name: name, listener: listener, target: target, modeChanged: make(chan struct{}), openConns: map[*net.TCPConn]bool{}}
	go ln.acceptConns()
	return ln, nil
}

func (ln *link) address() string { return ln.listener.Addr().String() }

// redirect has new connections passed on to another target.
func (ln *link) redirect(target string) {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	ln.target = target
}

// setMode changes what the link does.
func (ln *link) setMode(md linkMode, delay time.Duration) {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	ln.mode, ln.delay = md, delay
	close(ln.modeChanged)
	ln.modeChanged = make(chan struct{})
	if md == resetting {
		ln.resetAll()
	}
}

func (ln *link) close() {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	ln.closed = true
	close(ln.modeChanged)
	ln.modeChanged = make(chan struct{})
	_ = ln.listener.Close()
	ln.resetAll()
}

func (ln *link) resetAll() {
	for cn := range ln.openConns {
		reset(cn)
		delete(ln.openConns, cn)
	}
}

func reset(cn *net.TCPConn) {
	_ = cn.SetLinger(0)
	_ = cn.Close()
}

// track notes an open connection; it reports false if it is to be reset instead.
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

func (ln *link) acceptConns() {
	for {
		raw, err := ln.listener.Accept()
		if err != nil {
			return
		}
		near := raw.(*net.TCPConn)
		if !ln.track(near) {
			continue
		}
		go ln.forwardConn(near)
	}
}

func (ln *link) forwardConn(near *net.TCPConn) {
	ln.mutex.Lock()
	target := ln.target
	ln.mutex.Unlock()
	raw, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		ln.resetConns(near)
		return
	}
	far := raw.(*net.TCPConn)
	if !ln.track(far) {
		ln.resetConns(near)
		return
	}
	go ln.copyDirection(near, far, blockingRequests)
	ln.copyDirection(far, near, blockingResponses)
}

func (ln *link) resetConns(conns ...*net.TCPConn) {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	for _, cn := range conns {
		reset(cn)
		delete(ln.openConns, cn)
	}
}

// copyDirection passes one direction on. An end is passed on as an end, a reset as a reset.
func (ln *link) copyDirection(from, to *net.TCPConn, cut linkMode) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if !ln.holdBack(cut) {
			return
		}
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				ln.resetConns(from, to)
				return
			}
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

// holdBack holds a part back as long as the link is cut in its direction, or delayed. It reports false when the link has
// been closed.
func (ln *link) holdBack(cut linkMode) bool {
	waited := false
	for {
		ln.mutex.Lock()
		md, delay, changed, closed := ln.mode, ln.delay, ln.modeChanged, ln.closed
		ln.mutex.Unlock()
		switch {
		case closed:
			return false
		case md == blockingBoth || md == cut:
			<-changed
		case md == delaying && !waited:
			time.Sleep(delay)
			waited = true
		default:
			return true
		}
	}
}
