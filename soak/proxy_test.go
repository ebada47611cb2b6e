package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a link does to the bytes on it.
type mode int

const (
	passing mode = iota
	// delayed holds each part back.
	delayed
	// resetting ends all connections, and each new one, with a reset.
	resetting
	// cutUp and cutDown hold back what goes to the server, or what comes from it.
	cutUp
	cutDown
	// silent holds back both.
	silent
	modes
)

func (md mode) String() string {
	return [...]string{"passing", "delayed", "resetting", "cut up", "cut down", "silent"}[md]
}

// link passes connections on to a target, and harms them as it is told to.
type link struct {
	name     string
	listener net.Listener

	mutex   sync.Mutex
	target  string
	mode    mode
	delay   time.Duration
	changed chan struct{}
	conns   map[*net.TCPConn]bool
	closed  bool
}

func newLink(name, target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ln := &link{name: name, listener: listener, target: target, changed: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
	go ln.accept()
	return ln, nil
}

func (ln *link) address() string { return ln.listener.Addr().String() }

// lead has new connections passed on to another target.
func (ln *link) lead(target string) {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	ln.target = target
}

// set changes what the link does.
func (ln *link) set(md mode, delay time.Duration) {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	ln.mode, ln.delay = md, delay
	close(ln.changed)
	ln.changed = make(chan struct{})
	if md == resetting {
		ln.resetAll()
	}
}

func (ln *link) close() {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	ln.closed = true
	close(ln.changed)
	ln.changed = make(chan struct{})
	_ = ln.listener.Close()
	ln.resetAll()
}

func (ln *link) resetAll() {
	for cn := range ln.conns {
		reset(cn)
		delete(ln.conns, cn)
	}
}

func reset(cn *net.TCPConn) {
	_ = cn.SetLinger(0)
	_ = cn.Close()
}

// keep notes an open connection; it reports false if it is to be reset instead.
func (ln *link) keep(cn *net.TCPConn) bool {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	if ln.closed || ln.mode == resetting {
		reset(cn)
		return false
	}
	ln.conns[cn] = true
	return true
}

func (ln *link) accept() {
	for {
		raw, err := ln.listener.Accept()
		if err != nil {
			return
		}
		near := raw.(*net.TCPConn)
		if !ln.keep(near) {
			continue
		}
		go ln.connect(near)
	}
}

func (ln *link) connect(near *net.TCPConn) {
	ln.mutex.Lock()
	target := ln.target
	ln.mutex.Unlock()
	raw, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		ln.end(near)
		return
	}
	far := raw.(*net.TCPConn)
	if !ln.keep(far) {
		ln.end(near)
		return
	}
	go ln.pump(near, far, cutUp)
	ln.pump(far, near, cutDown)
}

func (ln *link) end(conns ...*net.TCPConn) {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	for _, cn := range conns {
		reset(cn)
		delete(ln.conns, cn)
	}
}

// pump passes one direction on. An end is passed on as an end, a reset as a reset.
func (ln *link) pump(from, to *net.TCPConn, cut mode) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if !ln.wait(cut) {
			return
		}
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				ln.end(from, to)
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			ln.end(from, to)
			return
		}
	}
}

// wait holds a part back as long as the link is cut in its direction, or delayed. It reports false when the link has
// been closed.
func (ln *link) wait(cut mode) bool {
	waited := false
	for {
		ln.mutex.Lock()
		md, delay, changed, closed := ln.mode, ln.delay, ln.changed, ln.closed
		ln.mutex.Unlock()
		switch {
		case closed:
			return false
		case md == silent || md == cut:
			<-changed
		case md == delayed && !waited:
			time.Sleep(delay)
			waited = true
		default:
			return true
		}
	}
}
