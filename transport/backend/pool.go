// Package backend speaks HTTP/1.1 to backend servers over pooled connections. It never sends a request twice:
// whether one is tried again is decided elsewhere.
package backend

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Config bounds connections.
type Config struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept when the server names no time of its own.
	IdleTimeout time.Duration
	// KeepAliveMargin is taken off the time that a server names.
	KeepAliveMargin time.Duration
	// MaxIdlePerAddress bounds the idle connections to one address.
	MaxIdlePerAddress int
	// UnacknowledgedTimeout is how long sent bytes may stay unacknowledged before a connection counts as dead.
	UnacknowledgedTimeout time.Duration
}

// DefaultConfig returns the bounds that hosts use.
func DefaultConfig() Config {
	return Config{
		DialTimeout: 400 * time.Millisecond,
		IdleTimeout: 8 * time.Second,
		KeepAliveMargin:  500 * time.Millisecond,
		MaxIdlePerAddress:     8,
		UnacknowledgedTimeout: 2 * time.Second,
	}
}

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	address string
	source  *source
	reader  *bufio.Reader
	// expires is when an idle connection is closed.
	expires time.Time
	reused  bool
}

// Pool keeps idle connections by address, the one used last on top.
type Pool struct {
	config Config
	clock  timer.Service

	mutex  sync.Mutex
	idle   map[string][]*conn
	bounds map[string]int
	closed bool
}

// NewPool returns an empty pool.
func NewPool(config Config, clock timer.Service) *Pool {
	return &Pool{config: config, clock: clock, idle: map[string][]*conn{}}
}

// SetIdleLimits bounds the idle connections to some addresses further, where all hosts together may hold few.
func (pl *Pool) SetIdleLimits(bounds map[string]int) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.bounds = bounds
}

// maxIdle returns the largest number of idle connections to an address.
func (pl *Pool) maxIdle(address string) int {
	if bound, ok := pl.bounds[address]; ok {
		return min(bound, pl.config.MaxIdlePerAddress)
	}
	return pl.config.MaxIdlePerAddress
}

// take returns an idle connection or nil. Connections on which the server has sent anything, or that it has
// closed, are dropped.
func (pl *Pool) take(address string) *conn {
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
		if pl.clock.Now().Before(cn.expires) && quiet(cn.Conn) {
			cn.reused = true
			return cn
		}
		_ = cn.Close()
	}
}

// put keeps a connection for later requests. A zero keep stands for the pool's own time.
func (pl *Pool) put(cn *conn, keep time.Duration) {
	wait := pl.config.IdleTimeout
	if keep > 0 {
		wait = min(wait, keep-pl.config.KeepAliveMargin)
	}
	if wait <= 0 {
		_ = cn.Close()
		return
	}
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	if pl.closed || len(pl.idle[cn.address]) >= pl.maxIdle(cn.address) {
		_ = cn.Close()
		return
	}
	cn.expires = pl.clock.Now().Add(wait)
	pl.idle[cn.address] = append(pl.idle[cn.address], cn)
}

// dial opens a connection.
func (pl *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: pl.config.DialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	setUserTimeout(raw, pl.config.UnacknowledgedTimeout)
	src := &source{Reader: raw, left: unlimited}
	return &conn{Conn: raw, address: address, source: src, reader: bufio.NewReaderSize(src, readBuffer)}, nil
}

// Preconnect opens a connection to an address and keeps it for later requests.
func (pl *Pool) Preconnect(ctx context.Context, address string) error {
	cn, err := pl.dial(ctx, address)
	if err != nil {
		return err
	}
	pl.put(cn, 0)
	return nil
}

// readBuffer is the size of a connection's read buffer in bytes.
const readBuffer = 4096

// Run closes idle connections that have expired until the context ends.
func (pl *Pool) Run(ctx context.Context) error {
	sub := timer.Every(pl.clock, time.Second, pl.sweep)
	<-ctx.Done()
	sub.Stop()
	pl.Close()
	return nil
}

func (pl *Pool) sweep() {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	now := pl.clock.Now()
	for address, idle := range pl.idle {
		kept := idle[:0]
		for _, cn := range idle {
			if now.Before(cn.expires) {
				kept = append(kept, cn)
				continue
			}
			_ = cn.Close()
		}
		pl.idle[address] = kept
		if len(kept) == 0 {
			delete(pl.idle, address)
		}
	}
}

// Close closes all idle connections; connections in use are closed when they are returned.
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
