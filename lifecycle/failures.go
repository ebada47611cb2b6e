package lifecycle

import (
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/tasks"
)

// maxLoggedFailures is the number of failures that are logged. Those after them are likely to follow from the first.
const maxLoggedFailures = 8

// failures records the parts of a process that panicked, or ended although the process had not told them to. It is safe
// for concurrent use.
type failures struct {
	logger *slog.Logger
	// failed is closed at the first failure.
	failed chan struct{}

	// mutex guards the fields below.
	mutex sync.Mutex
	count int
	first error
}

func newFailures(logger *slog.Logger) *failures {
	return &failures{logger: logger, failed: make(chan struct{})}
}

// record adds a failure of a part of the process.
func (fs *failures) record(part string, err error) {
	if fs.add(part, err) > maxLoggedFailures {
		return
	}
	attributes := []any{"part", part, "error", err.Error()}
	var pn *tasks.Panic
	if errors.As(err, &pn) {
		attributes = append(attributes, "stack", pn.Stack())
	}
	fs.logger.Error("part of the host failed, the host stops", attributes...)
}

// add counts a failure and returns the number of failures. It does not log, because that may block.
func (fs *failures) add(part string, err error) int {
	fs.mutex.Lock()
	defer fs.mutex.Unlock()
	fs.count++
	if fs.count == 1 {
		fs.first = errors.Wrap(err, part)
		close(fs.failed)
	}
	return fs.count
}

// err returns the first failure, or nil if there is none.
func (fs *failures) err() error {
	fs.mutex.Lock()
	defer fs.mutex.Unlock()
	return fs.first
}

// failureTime returns after what time a process of which a part has failed ends although others have not stopped.
func (gr Grace) failureTime() time.Duration {
	return max(time.Duration(gr), gr.CloseTime()+closeDelay)
}
