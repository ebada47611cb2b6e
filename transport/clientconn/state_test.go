package clientconn

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

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
