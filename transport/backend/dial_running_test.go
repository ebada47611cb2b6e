package backend_test

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/backend"
)

// TestDyingServerAcceptsConnection checks that a server that accepts a connection while its process ends counts as one that
// refuses it, and that a server that only closes a connection, or keeps it, counts as reachable.
func TestDyingServerAcceptsConnection(t *testing.T) {
	for _, tc := range []struct {
		name    string
		accept  func(listener net.Listener, accepted net.Conn) error
		refused bool
		dials   int
	}{
		{"ends, connection last", func(listener net.Listener, accepted net.Conn) error {
			_ = listener.Close()
			return accepted.Close()
		}, true, 1},
		{"ends, connection first", func(listener net.Listener, accepted net.Conn) error {
			_ = accepted.Close()
			return listener.Close()
		}, true, 1},
		{"ends with a reset", func(listener net.Listener, accepted net.Conn) error {
			_ = accepted.(*net.TCPConn).SetLinger(0)
			_ = listener.Close()
			return accepted.Close()
		}, true, 1},
		{"closes the connection", func(_ net.Listener, accepted net.Conn) error { return accepted.Close() }, false, 2},
		{"resets the connection", func(_ net.Listener, accepted net.Conn) error {
			_ = accepted.(*net.TCPConn).SetLinger(0)
			return accepted.Close()
		}, false, 2},
		{"keeps the connection", func(net.Listener, net.Conn) error { return nil }, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			accepted := make(chan net.Conn, 4)
			go func() {
				defer close(accepted)
				for {
					connection, err := listener.Accept()
					if err != nil {
						return
					}
					accepted <- connection
					if err := tc.accept(listener, connection); err != nil {
						t.Error(err)
					}
				}
			}()
			pool := backend.NewPool(backend.DefaultConfig(), timer.NewSystem())
			defer pool.Close()
			err = pool.Preconnect(t.Context(), listener.Addr().String())
			if tc.refused {
				assert.ErrorIs(t, err, syscall.ECONNREFUSED)
			} else {
				assert.Assert(t, err == nil || errors.Is(err, syscall.ECONNRESET), "%v", err)
			}
			assert.NilError(t, ignoreClosed(listener.Close()))
			dials := 0
			for connection := range accepted {
				_ = connection.Close()
				dials++
			}
			assert.Equal(t, dials, tc.dials)
		})
	}
}

// ignoreClosed returns nil for the error of closing a listener again.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
