package service_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/servicecall"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/service"
)

// TestResetEarlyAnswerIsNotAnswered has a server answer without a length while a long request is still being written. If it
// resets the connection after a part of the body, the request may have run; if it ends its side of the connection and reads
// on, it has answered.
func TestResetEarlyAnswerIsNotAnswered(t *testing.T) {
	const (
		rounds    = 30
		bodyBytes = 8 << 20
		pause     = 5 * time.Millisecond
	)
	body := make([]byte, bodyBytes)
	for _, tc := range []struct {
		name, head string
		end        func(conn *net.TCPConn, rest io.Reader)
		want       servicecall.SendResult
	}{
		{"reset", "HTTP/1.1 200 OK\r\n\r\n", func(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) }, servicecall.MayHaveRun},
		{"reset by a close", "HTTP/1.1 200 OK\r\n\r\n", func(*net.TCPConn, io.Reader) {}, servicecall.MayHaveRun},
		{"failure, reset", "HTTP/1.1 500 Internal Server Error\r\n\r\n", func(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) }, servicecall.MayHaveRun},
		{"ended", "HTTP/1.1 200 OK\r\n\r\n", func(conn *net.TCPConn, rest io.Reader) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, rest)
		}, servicecall.Answered},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address := testutil.StartEarlyServer(t, func(conn *net.TCPConn, rest io.Reader) {
				_, _ = io.WriteString(conn, tc.head+"part")
				time.Sleep(pause)
				tc.end(conn, rest)
			})
			client := service.NewClient(timer.NewSystem(), noTracing)
			defer client.Close()
			for _, atMostOnce := range []bool{false, true} {
				for range rounds {
					response, result := client.Send(t.Context(), address, servicecall.Request{Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: body, AtMostOnce: atMostOnce})
					assert.Equal(t, result, tc.want)
					if tc.want == servicecall.Answered {
						assert.Equal(t, string(response.Body), "part")
					}
				}
			}
		})
	}
}
