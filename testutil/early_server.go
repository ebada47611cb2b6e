package testutil

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// StartEarlyServer starts a server on loopback that reads the head of one request on each connection, calls respond with the
// connection and a reader of what follows the head, and then closes the connection. It returns the server's address.
func StartEarlyServer(t *testing.T, respond func(conn *net.TCPConn, rest io.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err == nil {
					respond(conn.(*net.TCPConn), reader)
				}
			}()
		}
	}()
	return listener.Addr().String()
}
