package bodymemory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// TestRequestBeginsOnInterruptedConnection has the first bytes of a request, or the rest of it, arrive just after its connection was
// closed for having stalled. The request must not begin.
func TestRequestBeginsOnInterruptedConnection(t *testing.T) {
	for _, earlier := range []string{"", "GET / HTTP/1.1\r\n"} {
		memory := New(0, 0, WithInterruption(timer.NewSystem(), stallTimeOfTests))
		closed := 0
		head := memory.NewHead(func() { closed++ })
		assert.Assert(t, earlier == "" || head.Received([]byte(earlier)))
		time.Sleep(2 * stallTimeOfTests)
		memory.InterruptMostStalled()
		assert.Equal(t, closed, 1)
		assert.Assert(t, !head.Received([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")), "a request may begin on a closed connection")
		head.Await()
		assert.Assert(t, !head.Received([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")), "a request may begin on a closed connection")
	}
}

// TestWholeHeadIsInterrupted has a whole head arrive and the server take long to begin the request. The connection must not be
// closed. One that has sent only the beginning of a head or empty lines is closed.
func TestWholeHeadIsInterrupted(t *testing.T) {
	for sent, want := range map[string]int{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n":         0,
		"\r\nGET / HTTP/1.1\nHost: x\n\n":           0,
		"GET / HTTP/1.1\r\nHost: x\r\n":             1,
		"\r\n\r\n":                                  1,
		"\r\n\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n": 1,
	} {
		memory := New(0, 0, WithInterruption(timer.NewSystem(), stallTimeOfTests))
		closed := 0
		head := memory.NewHead(func() { closed++ })
		for index := range sent {
			assert.Assert(t, head.Received([]byte(sent[index:index+1])))
		}
		time.Sleep(2 * stallTimeOfTests)
		memory.InterruptMostStalled()
		assert.Equal(t, closed, want, "%q", sent)
	}
}
