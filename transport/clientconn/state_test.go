package clientconn

import (
	"io"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

// TestEndsAreToldApart checks what errors of reads and writes are recorded as, that the first one stays, and that the next
// request begins without one.
func TestEndsAreToldApart(t *testing.T) {
	for _, tc := range []struct {
		err         error
		read, write End
		isClients   bool
	}{
		{nil, NotEnded, NotEnded, false},
		{io.EOF, ClientClosed, ClientClosed, true},
		{&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, ClientReset, ClientReset, true},
		{&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)}, ClientReset, ClientReset, true},
		{&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}, ReadDeadline, WriteDeadline, false},
		{&net.OpError{Op: "read", Err: net.ErrClosed}, ClosedByHost, ClosedByHost, false},
		{errors.New("another"), Failed, Failed, false},
	} {
		read, written := NewState(nil), NewState(nil)
		read.RecordRead(tc.err)
		written.RecordWrite(tc.err)
		if tc.err != nil {
			read.RecordWrite(errors.New("another"))
		}
		assert.Equal(t, read.End(), tc.read)
		assert.Equal(t, written.End(), tc.write)
		assert.Equal(t, read.End().IsClients(), tc.isClients)
		read.RequestBegan()
		assert.Equal(t, read.End(), NotEnded)
	}
	assert.Equal(t, StateOf(t.Context()).End(), NotEnded)
}

// recordedDeadline is a connection that keeps its read deadline.
type recordedDeadline struct{ deadline time.Time }

func (rd *recordedDeadline) SetReadDeadline(deadline time.Time) error {
	rd.deadline = deadline
	return nil
}

// TestInterruptionOutsideBodyEndsRequest orders the beginning of requests, the end of their bodies and interruptions at random. An
// interruption must make reads fail while a body is read, and at no other time.
func TestInterruptionOutsideBodyEndsRequest(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	conn := &recordedDeadline{}
	state := NewState(conn)
	inBody := false
	for range 10_000 {
		switch random.IntN(3) {
		case 0:
			// net/http has removed the deadline of the head.
			assert.NilError(t, state.SetReadDeadline(time.Time{}))
			state.RequestBegan()
			inBody = true
		case 1:
			assert.NilError(t, state.SetReadDeadline(time.Time{}))
			inBody = false
		case 2:
			state.InterruptBody()
			assert.Equal(t, !conn.deadline.IsZero(), inBody)
		}
		if !inBody {
			assert.Assert(t, conn.deadline.IsZero())
		}
	}
}
