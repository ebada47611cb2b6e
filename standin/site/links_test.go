package site

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// client returns an HTTP client whose connections go over the links.
func (ls *Links) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: ls.Dial}}
}

// getReport requests a server's report within 100 ms.
func getReport(client *http.Client, server *Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address()+"/-/report", nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// TestLinkModes checks what requests on an open and on a new connection meet in each mode, that links to other servers
// are not affected, and that everything works again on an open link.
func TestLinkModes(t *testing.T) {
	for _, testCase := range []struct {
		mode            LinkMode
		openErr, newErr error
	}{
		{LinkOpen, nil, nil},
		{LinkSilent, context.DeadlineExceeded, context.DeadlineExceeded},
		{LinkReset, syscall.ECONNREFUSED, syscall.ECONNREFUSED},
		// net/http dials again after the reset of an idle connection.
		{LinkRefused, syscall.ECONNREFUSED, syscall.ECONNREFUSED},
		{LinkLiving, nil, syscall.ECONNREFUSED},
	} {
		t.Run(testCase.mode.String(), func(t *testing.T) {
			t.Parallel()
			server, other := NewServer("book-1", "books", "zone-a"), NewServer("book-2", "books", "zone-a")
			defer server.Close()
			defer other.Close()
			links := NewLinks()
			open := links.client()
			assert.NilError(t, getReport(open, server))
			assert.NilError(t, getReport(open, other))
			links.SetMode(testCase.mode, server)
			err := getReport(open, server)
			assert.Assert(t, errors.Is(err, testCase.openErr), "%v", err)
			err = getReport(links.client(), server)
			assert.Assert(t, errors.Is(err, testCase.newErr), "%v", err)
			assert.NilError(t, getReport(open, other))
			links.SetMode(LinkOpen, server)
			assert.NilError(t, getReport(open, server))
			links.SetModeOfAll(testCase.mode)
			err = getReport(links.client(), other)
			assert.Assert(t, errors.Is(err, testCase.newErr), "%v", err)
			links.SetModeOfAll(LinkOpen)
			assert.NilError(t, getReport(open, other))
		})
	}
}

// connect returns links, a server that only listens, and both ends of a connection between them.
func connect(t *testing.T) (links *Links, server *Server, conn, accepted net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	links, server = NewLinks(), &Server{address: listener.Addr().String()}
	conn, err = links.Dial(t.Context(), "tcp", server.Address())
	assert.NilError(t, err)
	accepted, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return links, server, conn, accepted
}

// TestResetOfOpenConnections checks that a link in mode LinkReset resets a connection at once, and one in mode
// LinkRefused when data is sent by either side.
func TestResetOfOpenConnections(t *testing.T) {
	for _, testCase := range []struct {
		name string
		mode LinkMode
		send func(conn, accepted net.Conn) error
	}{
		{"reset", LinkReset, func(net.Conn, net.Conn) error { return nil }},
		{"refused, data of the host", LinkRefused, func(conn, _ net.Conn) error { _, err := conn.Write([]byte("up")); return err }},
		{"refused, data of the server", LinkRefused, func(_, accepted net.Conn) error { _, err := accepted.Write([]byte("down")); return err }},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			links, server, conn, accepted := connect(t)
			links.SetMode(testCase.mode, server)
			assert.NilError(t, testCase.send(conn, accepted))
			_, err := conn.Read(make([]byte, 16))
			assert.ErrorIs(t, err, syscall.ECONNRESET)
			_, err = accepted.Read(make([]byte, 16))
			assert.ErrorIs(t, err, syscall.ECONNRESET)
			assert.NilError(t, accepted.Close())
		})
	}
}

// TestSilentLinkHoldsDataBack checks that a silent link lets a read wait until its deadline or the end of the
// connection, that the link passes on the data of both directions in order once it is open again, and that the socket
// of the connection stays accessible.
func TestSilentLinkHoldsDataBack(t *testing.T) {
	links, server, conn, accepted := connect(t)
	buffer := make([]byte, 16)
	results := make(chan error, 1)
	read := func() { _, err := conn.Read(buffer); results <- err }

	go read()
	time.Sleep(20 * time.Millisecond)
	links.SetMode(LinkSilent, server)
	_, err := accepted.Write([]byte("down"))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	assert.ErrorIs(t, <-results, os.ErrDeadlineExceeded)
	assert.NilError(t, conn.SetReadDeadline(time.Time{}))
	for _, part := range []string{"u", "p"} {
		_, err = conn.Write([]byte(part))
		assert.NilError(t, err)
	}
	assert.NilError(t, accepted.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = accepted.Read(buffer)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)

	links.SetMode(LinkOpen, server)
	_, err = io.ReadFull(conn, buffer[:4])
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:4]), "down")
	assert.NilError(t, accepted.SetReadDeadline(time.Time{}))
	_, err = io.ReadFull(accepted, buffer[:2])
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:2]), "up")

	_, isSocket := conn.(syscall.Conn)
	assert.Assert(t, isSocket)
	links.SetMode(LinkSilent, server)
	go read()
	time.Sleep(20 * time.Millisecond)
	assert.NilError(t, conn.Close())
	assert.ErrorIs(t, <-results, net.ErrClosed)
}
