package httpresponse

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// Conn is a connection whose reads return the error of a connection that failed, also if a concurrent write got it. The
// system reports such an error, a reset for example, only once per socket. After that, reads see an ordinary end, which
// would be the end of a response that has neither a length nor chunks.
type Conn struct {
	net.Conn

	// writes is held during each write. It guards writeErr.
	writes sync.Mutex
	// writeErr is the error of the first write that failed. Later ones only say that the connection has ended.
	writeErr error
}

// NewConn returns a connection that uses another one.
func NewConn(connection net.Conn) *Conn { return &Conn{Conn: connection} }

// NetConn returns the connection that is used.
func (cn *Conn) NetConn() net.Conn { return cn.Conn }

// Write writes data.
func (cn *Conn) Write(data []byte) (int, error) {
	cn.writes.Lock()
	defer cn.writes.Unlock()
	count, err := cn.Conn.Write(data)
	cn.recordWrite(err)
	return count, err
}

// WriteBuffers writes buffers, with one system call if the connection can.
func (cn *Conn) WriteBuffers(buffers net.Buffers) (int64, error) {
	cn.writes.Lock()
	defer cn.writes.Unlock()
	count, err := buffers.WriteTo(cn.Conn)
	cn.recordWrite(err)
	return count, err
}

// recordWrite records the result of a write. The caller holds writes.
func (cn *Conn) recordWrite(err error) {
	if cn.writeErr == nil {
		cn.writeErr = err
	}
}

// Read reads data. It returns io.EOF only if the peer has ended its side of the connection.
func (cn *Conn) Read(buffer []byte) (int, error) {
	count, err := cn.Conn.Read(buffer)
	if err == io.EOF {
		if failure := cn.failureOfWrite(); failure != nil {
			return count, failure
		}
	}
	return count, err
}

// failureOfWrite returns the error with which the connection failed, if a write got it.
func (cn *Conn) failureOfWrite() error {
	if !cn.writes.TryLock() {
		if acceptsWrites(cn.Conn) {
			// The peer has only ended its side. The write may go on for long.
			return nil
		}
		// The write ends at once.
		cn.writes.Lock()
	}
	defer cn.writes.Unlock()
	// The system returns EPIPE if the connection was reset after its end had arrived.
	if errors.Is(cn.writeErr, syscall.EPIPE) || errors.Is(cn.writeErr, net.ErrClosed) {
		return nil
	}
	return cn.writeErr
}
