package lifecycle_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/lifecycle"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// lockedLog holds log lines. It may be read while the process writes.
type lockedLog struct {
	mutex sync.Mutex
	lines strings.Builder
}

// Write appends a line.
func (ll *lockedLog) Write(line []byte) (int, error) {
	ll.mutex.Lock()
	defer ll.mutex.Unlock()
	return ll.lines.Write(line)
}

// String returns the lines so far.
func (ll *lockedLog) String() string {
	ll.mutex.Lock()
	defer ll.mutex.Unlock()
	return ll.lines.String()
}

// failingListener is a listener whose Accept panics or fails when the channel is closed, while its connections stay open.
type failingListener struct {
	net.Listener
	panics bool
	failed chan struct{}
}

func (fl failingListener) Accept() (net.Conn, error) {
	type accepted struct {
		conn net.Conn
		err  error
	}
	results := make(chan accepted, 1)
	go func() {
		conn, err := fl.Listener.Accept()
		results <- accepted{conn, err}
	}()
	select {
	case rs := <-results:
		return rs.conn, rs.err
	case <-fl.failed:
		if fl.panics {
			panic("accept is broken")
		}
		return nil, errors.New("accept is broken")
	}
}

// failingProcess is a process with two servers, two tasks and a request in flight.
type failingProcess struct {
	process lifecycle.Process
	// fail is closed by the test; the task and the listener of the test case then fail.
	fail chan struct{}
	// finish is closed by the test; the request in flight then ends.
	finish    chan struct{}
	handler   *countingHandler
	shutdowns atomic.Int64
	stop      context.CancelFunc
	ended     chan error
	answer    chan string
	log       lockedLog
	// leaving is closed when ShutDown has been called.
	leaving chan struct{}
}

// newFailingProcess returns a process that does not run yet.
func newFailingProcess(t *testing.T) *failingProcess {
	fp := &failingProcess{fail: make(chan struct{}), finish: make(chan struct{}), ended: make(chan error, 1), answer: make(chan string, 1), leaving: make(chan struct{})}
	fp.handler = &countingHandler{handler: func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "first part, ")
		_ = http.NewResponseController(writer).Flush()
		<-fp.finish
		_, _ = io.WriteString(writer, "second part")
	}}
	fp.process = lifecycle.Process{
		Tasks:   []lifecycle.Task{{Name: "calm", Run: func(ctx context.Context) error { <-ctx.Done(); return nil }}},
		Servers: []*http.Server{{Handler: fp.handler}, {Handler: http.NotFoundHandler()}},
		Clock:   timer.NewSystem(),
		Grace:   lifecycle.Grace(longTimeout),
		Logger:  slog.New(slog.NewTextHandler(&fp.log, nil)),
		ShutDown: func(ctx context.Context, _ error) time.Duration {
			if fp.shutdowns.Add(1) == 1 {
				close(fp.leaving)
			}
			for fp.handler.inFlight.Load() > 0 && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			return longTimeout
		},
	}
	for range fp.process.Servers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		fp.process.Listeners = append(fp.process.Listeners, listener)
	}
	return fp
}

// start runs the process until it has a request in flight.
func (fp *failingProcess) start(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	fp.stop = stop
	address := fp.process.Listeners[0].Addr().String()
	go func() { fp.ended <- fp.process.Run(ctx) }()
	go func() {
		httpResponse, err := http.Get("http://" + address)
		if err != nil {
			fp.answer <- err.Error()
			return
		}
		defer func() { _ = httpResponse.Body.Close() }()
		body, err := io.ReadAll(httpResponse.Body)
		if err != nil {
			body = append(body, err.Error()...)
		}
		fp.answer <- string(body)
	}()
	for fp.handler.started.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// awaitFailure fails the test unless the process ends within stopLimit, with an error that contains the text.
func (fp *failingProcess) awaitFailure(t *testing.T, want string) {
	t.Helper()
	select {
	case err := <-fp.ended:
		assert.ErrorContains(t, err, want)
	case <-time.After(stopLimit):
		t.Fatalf("the process has not stopped: %s", fp.log.String())
	}
}

// awaitLeaving fails the test unless ShutDown is called.
func (fp *failingProcess) awaitLeaving(t *testing.T) {
	t.Helper()
	select {
	case <-fp.leaving:
	case got := <-fp.answer:
		t.Fatalf("the request ended before ShutDown was called: %q", got)
	case <-time.After(stopLimit):
		t.Fatal("ShutDown was not called")
	}
}

// addTask adds a task that calls run when the test closes fail.
func (fp *failingProcess) addTask(run func(context.Context) error) {
	fp.process.Tasks = append(fp.process.Tasks, lifecycle.Task{Name: "gossip", Run: func(ctx context.Context) error {
		select {
		case <-fp.fail:
			return run(ctx)
		case <-ctx.Done():
			return nil
		}
	}})
}

// waysToFail are the ways in which a part of a process can end before the process is told to stop.
var waysToFail = []struct {
	name    string
	prepare func(*failingProcess)
	want    string
}{
	{"task returns", func(fp *failingProcess) { fp.addTask(func(context.Context) error { return nil }) }, "gossip"},
	{"task fails", func(fp *failingProcess) {
		fp.addTask(func(context.Context) error { return errors.New("disk is broken") })
	}, "disk is broken"},
	{"task panics", func(fp *failingProcess) { fp.addTask(func(context.Context) error { panic("index 7") }) }, "index 7"},
	{"goroutine panics", func(fp *failingProcess) {
		fp.addTask(func(ctx context.Context) error {
			tasks.Go(func() { panic("index 7") })
			<-ctx.Done()
			return nil
		})
	}, "index 7"},
	{"goroutine of group panics", func(fp *failingProcess) {
		fp.addTask(func(ctx context.Context) error {
			var group tasks.Group
			group.Go(func() { panic("index 7") })
			group.Wait()
			<-ctx.Done()
			return nil
		})
	}, "index 7"},
	{"timer panics", func(fp *failingProcess) {
		fp.addTask(func(ctx context.Context) error {
			timer.NewSystem().After(0, func() { panic("index 7") })
			<-ctx.Done()
			return nil
		})
	}, "index 7"},
	{"listener fails", func(fp *failingProcess) {
		fp.process.Listeners[0] = failingListener{Listener: fp.process.Listeners[0], failed: fp.fail}
	}, "accept is broken"},
	{"listener closes", func(fp *failingProcess) {
		listener := fp.process.Listeners[0]
		fp.addTask(func(ctx context.Context) error {
			_ = listener.Close()
			<-ctx.Done()
			return nil
		})
	}, "use of closed network connection"},
	{"listener panics", func(fp *failingProcess) {
		fp.process.Listeners[1] = failingListener{Listener: fp.process.Listeners[1], panics: true, failed: fp.fail}
	}, "accept is broken"},
}

// TestEarlyEndCutsRequests has a part of a process fail while a request is in flight. The request must get its whole
// answer, and the process must then end with the cause in its error and its log.
func TestEarlyEndCutsRequests(t *testing.T) {
	for _, tc := range waysToFail {
		t.Run(tc.name, func(t *testing.T) {
			fp := newFailingProcess(t)
			tc.prepare(fp)
			fp.start(t)
			close(fp.fail)
			fp.awaitLeaving(t)
			close(fp.finish)
			assert.Equal(t, <-fp.answer, "first part, second part")
			fp.awaitFailure(t, tc.want)
			assert.Assert(t, strings.Contains(fp.log.String(), tc.want), fp.log.String())
		})
	}
}

// TestFailureDuringStopCutsRequests has a part of a process fail after it has been told to stop, or another part has failed.
func TestFailureDuringStopCutsRequests(t *testing.T) {
	for name, begin := range map[string]func(*failingProcess){
		"after a signal":        func(fp *failingProcess) { fp.stop() },
		"after another failure": func(*failingProcess) { tasks.Go(func() { panic("index 1") }) },
	} {
		for _, tc := range waysToFail {
			t.Run(tc.name+" "+name, func(t *testing.T) {
				fp := newFailingProcess(t)
				tc.prepare(fp)
				fp.start(t)
				begin(fp)
				fp.awaitLeaving(t)
				close(fp.fail)
				time.Sleep(shortDelay)
				close(fp.finish)
				assert.Equal(t, <-fp.answer, "first part, second part")
				fp.awaitFailure(t, "")
			})
		}
	}
}

// TestSignalDuringStopRestartsGrace signals a process that stops because a part of it has failed.
func TestSignalDuringStopRestartsGrace(t *testing.T) {
	fp := newFailingProcess(t)
	fp.addTask(func(context.Context) error { return errors.New("disk is broken") })
	fp.start(t)
	close(fp.fail)
	fp.awaitLeaving(t)
	fp.stop()
	close(fp.finish)
	assert.Equal(t, <-fp.answer, "first part, second part")
	fp.awaitFailure(t, "disk is broken")
	assert.Equal(t, fp.shutdowns.Load(), int64(1))
}

// TestPanicInShutDownCutsRequests has ShutDown panic while a request is in flight.
func TestPanicInShutDownCutsRequests(t *testing.T) {
	fp := newFailingProcess(t)
	fp.process.ShutDown = func(context.Context, error) time.Duration {
		close(fp.leaving)
		panic("index 9")
	}
	fp.start(t)
	fp.stop()
	fp.awaitLeaving(t)
	time.Sleep(shortDelay)
	close(fp.finish)
	assert.Equal(t, <-fp.answer, "first part, second part")
	fp.awaitFailure(t, "index 9")
}

// TestFailedProcessNeverEnds stops a process that can't stop in order after a panic, because a lock stays locked. It must
// end within its grace.
func TestFailedProcessNeverEnds(t *testing.T) {
	const grace = 400 * time.Millisecond
	for name, hang := range map[string]func(*failingProcess, func()){
		"shutdown": func(fp *failingProcess, block func()) {
			fp.process.ShutDown = func(context.Context, error) time.Duration { block(); return 0 }
		},
		"task": func(fp *failingProcess, block func()) {
			fp.process.Tasks[0].Run = func(context.Context) error { block(); return nil }
		},
		"clean-up": func(fp *failingProcess, block func()) { fp.process.CleanUp = block },
	} {
		t.Run(name, func(t *testing.T) {
			var mutex sync.Mutex
			mutex.Lock()
			fp := newFailingProcess(t)
			fp.process.Grace = lifecycle.Grace(grace)
			hang(fp, mutex.Lock)
			fp.addTask(func(context.Context) error { panic("index 7") })
			fp.start(t)
			startedAt := time.Now()
			close(fp.finish)
			close(fp.fail)
			fp.awaitFailure(t, "index 7")
			assert.Equal(t, <-fp.answer, "first part, second part")
			assert.Assert(t, name != "clean-up" && name != "task" || time.Since(startedAt) >= grace, "ends before its time is over")
			mutex.Unlock()
		})
	}
}

// TestManyPanicsFloodLog has many goroutines panic at once.
func TestManyPanicsFloodLog(t *testing.T) {
	const maxLines = 20
	fp := newFailingProcess(t)
	fp.addTask(func(ctx context.Context) error {
		var group tasks.WaitGroup
		for range 1000 {
			group.Go(func() { panic(strings.Repeat("long ", 10_000)) })
		}
		group.Wait()
		<-ctx.Done()
		return nil
	})
	fp.start(t)
	close(fp.fail)
	fp.awaitLeaving(t)
	close(fp.finish)
	assert.Equal(t, <-fp.answer, "first part, second part")
	fp.awaitFailure(t, "long")
	assert.Assert(t, strings.Count(fp.log.String(), "\n") <= maxLines, fp.log.String())
	assert.Assert(t, len(fp.log.String()) < 500_000, len(fp.log.String()))
}
