// Package backend is an HTTP/1.1 client for backend servers with a connection pool. It never sends a request twice,
// because the caller decides whether a request may be retried.
package backend

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/httpresponse"
)

// Config sets the timeouts and limits of connections.
type Config struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open at most. A server may announce a shorter time.
	IdleTimeout time.Duration
	// KeepAliveMargin is subtracted from the idle time that a server announces, so that the pool closes the connection
	// first.
	KeepAliveMargin time.Duration
	// MaxIdlePerAddress limits the idle connections to one address.
	MaxIdlePerAddress int
	// Dial opens connections. If it is nil, they are opened with net.Dialer.
	Dial DialFunc
}

// DialFunc opens a connection, like net.Dialer.DialContext. It returns at the latest when the context ends.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DefaultConfig returns the timeouts and limits that hosts use.
func DefaultConfig() Config {
	return Config{
		DialTimeout:       400 * time.Millisecond,
		IdleTimeout:       8 * time.Second,
		KeepAliveMargin:   500 * time.Millisecond,
		MaxIdlePerAddress: 8,
	}
}

// conn is a connection to a backend server.
type conn struct {
	*httpresponse.Conn
	address       string
	limitedReader *limitedReader
	reader        *bufio.Reader
	// expiresAt is the time at which the connection is closed if it is still idle.
	expiresAt time.Time
	// reused is set once the connection has been taken from the pool.
	reused bool
}

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	config Config
	clock  timer.Clock

	mutex sync.Mutex
	// idle holds the idle connections to each address, the most recently used one last.
	idle map[string][]*conn
	// idleLimits holds the limits set by SetIdleLimits, by address.
	idleLimits map[string]int
	closed     bool
}

// NewPool returns an empty pool.
func NewPool(config Config, clock timer.Clock) *Pool {
	return &Pool{config: config, clock: clock, idle: map[string][]*conn{}}
}

// SetIdleLimits replaces the limits of idle connections by address, which apply where they are lower than
// MaxIdlePerAddress. They are for servers that accept few connections from all hosts together.
func (pl *Pool) SetIdleLimits(limits map[string]int) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.idleLimits = limits
}

// maxIdleFor returns the limit of idle connections to an address. The caller holds the mutex.
func (pl *Pool) maxIdleFor(address string) int {
	if limit, ok := pl.idleLimits[address]; ok {
		return min(limit, pl.config.MaxIdlePerAddress)
	}
	return pl.config.MaxIdlePerAddress
}

// takeIdle removes the most recently used idle connection to an address from the pool and returns it, or nil if there
// is none. It closes connections that have expired, that the server has closed, or on which it has sent anything.
func (pl *Pool) takeIdle(address string) *conn {
	for {
		pl.mutex.Lock()
		idle := pl.idle[address]
		if len(idle) == 0 {
			pl.mutex.Unlock()
			return nil
		}
		cn := idle[len(idle)-1]
		pl.idle[address] = idle[:len(idle)-1]
		if len(idle) == 1 {
			delete(pl.idle, address)
		}
		pl.mutex.Unlock()
		if pl.clock.Now().Before(cn.expiresAt) && isOpenAndIdle(cn.NetConn()) {
			cn.reused = true
			return cn
		}
		_ = cn.Close()
	}
}

// putIdle stores a connection for later requests, or closes it if the pool is closed or has enough connections to the
// address. keepAliveTimeout is the idle time that the server announced, or 0 if it announced none.
func (pl *Pool) putIdle(cn *conn, keepAliveTimeout time.Duration) {
	idleTimeout := pl.config.IdleTimeout
	if keepAliveTimeout > 0 {
		idleTimeout = min(idleTimeout, keepAliveTimeout-pl.config.KeepAliveMargin)
	}
	if idleTimeout <= 0 {
		_ = cn.Close()
		return
	}
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	if pl.closed || len(pl.idle[cn.address]) >= pl.maxIdleFor(cn.address) {
		_ = cn.Close()
		return
	}
	cn.expiresAt = pl.clock.Now().Add(idleTimeout)
	pl.idle[cn.address] = append(pl.idle[cn.address], cn)
}

// dial opens a connection to an address. The connection has no timeouts of its own: a request ends with its context, because
// a server that is silent for a moment may still answer.
func (pl *Pool) dial(ctx context.Context, address string) (*conn, error) {
	connection, err := pl.dialTimed(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConn(connection, address), nil
}

// dialTimed opens a connection to an address within the timeout for that. While the process has no descriptors left, it
// closes idle connections and waits.
func (pl *Pool) dialTimed(ctx context.Context, address string) (net.Conn, error) {
	dial := pl.config.Dial
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	dialCtx, cancel := context.WithTimeout(ctx, pl.config.DialTimeout)
	defer cancel()
	for {
		connection, err := dial(dialCtx, "tcp", address)
		lacksDescriptor := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
		if !lacksDescriptor {
			return connection, err
		}
		if !pl.closeLongestIdle() && !timer.Sleep(dialCtx, pl.clock, descriptorWait) {
			return nil, err
		}
	}
}

// closeLongestIdle closes the idle connection that expires first and reports whether there is one.
func (pl *Pool) closeLongestIdle() bool {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	var longest *conn
	for _, idle := range pl.idle {
		if longest == nil || idle[0].expiresAt.Before(longest.expiresAt) {
			longest = idle[0]
		}
	}
	if longest == nil {
		return false
	}
	if pl.idle[longest.address] = pl.idle[longest.address][1:]; len(pl.idle[longest.address]) == 0 {
		delete(pl.idle, longest.address)
	}
	_ = longest.Close()
	return true
}

// descriptorWait is the time after which a connection is tried again for which there was no descriptor.
const descriptorWait = 20 * time.Millisecond

func newConn(connection net.Conn, address string) *conn {
	checked := httpresponse.NewConn(connection)
	limited := &limitedReader{Reader: checked, remaining: unlimited}
	return &conn{Conn: checked, address: address, limitedReader: limited, reader: bufio.NewReaderSize(limited, readBufferBytes)}
}

// Preconnect opens a connection to an address, as DialRunning does, and stores it for later requests, as far as the limits
// of the pool allow.
func (pl *Pool) Preconnect(ctx context.Context, address string) error {
	connection, err := DialRunning(ctx, pl.clock, func(dialCtx context.Context) (net.Conn, error) { return pl.dialTimed(dialCtx, address) })
	if err != nil {
		return err
	}
	pl.putIdle(newConn(connection, address), 0)
	return nil
}

// DropIdle closes the idle connections to an address.
func (pl *Pool) DropIdle(address string) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	for _, cn := range pl.idle[address] {
		_ = cn.Close()
	}
	delete(pl.idle, address)
}

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4096

// Run closes expired idle connections every second until the context ends, and then closes the pool.
func (pl *Pool) Run(ctx context.Context) error {
	expiryTimer := timer.Every(pl.clock, time.Second, pl.closeExpired)
	<-ctx.Done()
	expiryTimer.Stop()
	pl.Close()
	return nil
}

// closeExpired closes the idle connections that have expired.
func (pl *Pool) closeExpired() {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	now := pl.clock.Now()
	for address, idle := range pl.idle {
		unexpired := idle[:0]
		for _, cn := range idle {
			if now.Before(cn.expiresAt) {
				unexpired = append(unexpired, cn)
				continue
			}
			_ = cn.Close()
		}
		pl.idle[address] = unexpired
		if len(unexpired) == 0 {
			delete(pl.idle, address)
		}
	}
}

// Close closes all idle connections. Connections in use are closed when they are returned.
func (pl *Pool) Close() {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.closed = true
	for _, idle := range pl.idle {
		for _, cn := range idle {
			_ = cn.Close()
		}
	}
	pl.idle = map[string][]*conn{}
}
