package httpresponse_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/transport/httpresponse"
)

// endedConn is a connection whose reads see its end while a write is in progress. The write ends after that, with a given
// error.
type endedConn struct {
	*net.TCPConn
	writeErr error
	// writing is closed when the write has begun, readEnded when a read has seen the end, writeMayEnd when the write may end.
	writing, readEnded, writeMayEnd chan struct{}
}

func (ec *endedConn) Write([]byte) (int, error) {
	close(ec.writing)
	<-ec.readEnded
	<-ec.writeMayEnd
	return 0, ec.writeErr
}

func (ec *endedConn) Read([]byte) (int, error) {
	close(ec.readEnded)
	return 0, io.EOF
}

// newEndedConn returns a connection that its peer has reset, or on which it has ended its side.
func newEndedConn(t *testing.T, reset bool, writeErr error) *endedConn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	if reset {
		assert.NilError(t, accepted.(*net.TCPConn).SetLinger(0))
		assert.NilError(t, accepted.Close())
	} else {
		assert.NilError(t, accepted.(*net.TCPConn).CloseWrite())
	}
	// The read waits until the end or the reset has arrived.
	_, err = dialed.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	return &endedConn{TCPConn: dialed.(*net.TCPConn), writeErr: writeErr, writing: make(chan struct{}), readEnded: make(chan struct{}), writeMayEnd: make(chan struct{})}
}

// startWrite writes to a connection until that ends, and returns when the write has begun.
func startWrite(conn net.Conn, inner *endedConn) <-chan struct{} {
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = conn.Write([]byte("data"))
	}()
	<-inner.writing
	return written
}

// TestReadReturnsFailureOfWrite checks which errors of a concurrent write are the reason of the end that a read sees.
func TestReadReturnsFailureOfWrite(t *testing.T) {
	writeError := func(errno syscall.Errno) error {
		return &net.OpError{Op: "write", Err: os.NewSyscallError("write", errno)}
	}
	for _, tc := range []struct {
		name     string
		writeErr error
		want     error
	}{
		{"reset", writeError(syscall.ECONNRESET), syscall.ECONNRESET},
		{"no acknowledgement", writeError(syscall.ETIMEDOUT), syscall.ETIMEDOUT},
		{"no route", writeError(syscall.EHOSTUNREACH), syscall.EHOSTUNREACH},
		{"reset after the end", writeError(syscall.EPIPE), io.EOF},
		{"closed by this side", net.ErrClosed, io.EOF},
		{"everything written", nil, io.EOF},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inner := newEndedConn(t, true, tc.writeErr)
			conn := httpresponse.NewConn(inner)
			written := startWrite(conn, inner)
			// The read has to wait for the write.
			time.AfterFunc(10*time.Millisecond, func() { close(inner.writeMayEnd) })
			_, err := conn.Read(make([]byte, 1))
			assert.Assert(t, errors.Is(err, tc.want), "%v", err)
			<-written
		})
	}
}

// TestReadOfEndWaitsForNoWrite checks that the end of the peer's side neither ends a write nor is held back by it.
func TestReadOfEndWaitsForNoWrite(t *testing.T) {
	inner := newEndedConn(t, false, nil)
	conn := httpresponse.NewConn(inner)
	written := startWrite(conn, inner)
	_, err := conn.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	select {
	case <-written:
		t.Fatal("the write has ended")
	default:
	}
	close(inner.writeMayEnd)
	<-written
}
