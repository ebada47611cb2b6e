package site

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
)

// LinkMode is the way in which a link between a host and a server treats connections.
type LinkMode int

// Modes of a link.
const (
	// LinkOpen passes on everything.
	LinkOpen LinkMode = iota
	// LinkSilent holds back the data of open connections until the mode changes, and lets dials time out.
	LinkSilent
	// LinkReset resets open connections at once and refuses dials.
	LinkReset
	// LinkRefused refuses dials, and resets an open connection when the next data is sent on it.
	LinkRefused
	// LinkLiving refuses dials and leaves open connections alone.
	LinkLiving
)

// String returns the name of the mode.
func (md LinkMode) String() string {
	return [...]string{"open", "silent", "reset", "refused", "living"}[md]
}

// Links are the links from one host to all servers, which are open at first. Dial is to be given to the host. Links are
// safe for concurrent use.
type Links struct {
	mutex sync.Mutex
	// modes holds the modes of links by the address of the server, and defaultMode that of the other links.
	modes       map[string]LinkMode
	defaultMode LinkMode
	// conns contains the connections that are not closed, with the address that was dialed.
	conns map[*linkConn]string
	// writtenRequests is the number of clients' requests that were written to servers.
	writtenRequests int
}

// NewLinks returns open links.
func NewLinks() *Links {
	return &Links{modes: map[string]LinkMode{}, conns: map[*linkConn]string{}}
}

// SetMode sets the mode of the links to some servers, for open connections and further dials.
func (ls *Links) SetMode(mode LinkMode, servers ...*Server) {
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	changed := map[string]bool{}
	for _, server := range servers {
		ls.modes[server.Address()] = mode
		changed[server.Address()] = true
	}
	for conn, address := range ls.conns {
		if changed[address] {
			conn.setMode(mode)
		}
	}
}

// SetModeOfAll sets the mode of all links, also of those to addresses that were never dialed.
func (ls *Links) SetModeOfAll(mode LinkMode) {
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	ls.modes, ls.defaultMode = map[string]LinkMode{}, mode
	for conn := range ls.conns {
		conn.setMode(mode)
	}
}

// WrittenRequests returns the number of clients' requests that the host has written to servers, including those that
// were held back.
func (ls *Links) WrittenRequests() int {
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	return ls.writtenRequests
}

// mode returns the mode of the link to an address.
func (ls *Links) mode(address string) LinkMode {
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	return ls.modeLocked(address)
}

// modeLocked is mode for a caller that holds the mutex.
func (ls *Links) modeLocked(address string) LinkMode {
	if mode, ok := ls.modes[address]; ok {
		return mode
	}
	return ls.defaultMode
}

// Dial opens a connection like net.Dialer.DialContext, as far as the mode of the link to the address allows. A host
// dials the store with the same function: SetMode does not affect it, SetModeOfAll does.
func (ls *Links) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch ls.mode(address) {
	case LinkOpen:
	case LinkSilent:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	default:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	dialed, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &linkConn{TCPConn: dialed.(*net.TCPConn), links: ls, modeChanged: make(chan struct{})}
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	ls.conns[conn] = address
	// The mode may have changed during the dial.
	conn.setMode(ls.modeLocked(address))
	return conn, nil
}

// forget removes a connection that was closed.
func (ls *Links) forget(conn *linkConn) {
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	delete(ls.conns, conn)
}

// countRequest counts a client's request that was written to a server.
func (ls *Links) countRequest() {
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	ls.writtenRequests++
}
