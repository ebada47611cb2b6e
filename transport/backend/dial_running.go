package backend

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// exitTime is the time in which the system of a process that ends closes the connections that it accepted meanwhile.
const exitTime = 5 * time.Millisecond

// DialRunning opens a connection to a server that goes on running. A process that ends may still accept a connection, which
// is closed or reset at once. If that happens, DialRunning opens another one, so that a server that has ended refuses it. A
// server that ends each new connection still runs if it accepts the second one; the error is syscall.ECONNRESET if it
// resets that one too.
func DialRunning(ctx context.Context, clock timer.Clock, dial func(ctx context.Context) (net.Conn, error)) (net.Conn, error) {
	connection, err := dial(ctx)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) {
		return nil, err
	}
	settled := timer.Sleep(ctx, clock, exitTime)
	if err == nil && settled && isOpenAndIdle(connection) {
		return connection, nil
	}
	if err == nil {
		// The connection is of no use, whether closing it succeeds or not.
		_ = connection.Close()
	}
	if !settled {
		return nil, context.Cause(ctx)
	}
	return dial(ctx)
}
