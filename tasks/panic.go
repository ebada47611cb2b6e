package tasks

import (
	"fmt"
	"runtime/debug"
	"slices"
	"sync"
)

// Longest parts of a Panic that are kept, so that a log line about it stays short.
const (
	maxMessageBytes = 1 << 10
	maxStackBytes   = 8 << 10
)

// Panic is the error that a function has panicked.
type Panic struct {
	message string
	stack   string
}

// Error returns the text of the value that was passed to panic.
func (pn *Panic) Error() string { return "panic: " + pn.message }

// Stack returns the stack of the goroutine that panicked, starting with the innermost calls.
func (pn *Panic) Stack() string { return pn.stack }

func newPanic(recovered any) *Panic {
	return &Panic{message: shorten(fmt.Sprint(recovered), maxMessageBytes), stack: shorten(string(debug.Stack()), maxStackBytes)}
}

func shorten(text string, maxBytes int) string {
	return text[:min(len(text), maxBytes)]
}

// subscribers are the functions that NotifyPanics has registered. They belong to the process, as what ends without them
// is the process.
var subscribers struct {
	// mutex guards list.
	mutex sync.Mutex
	list  []*subscriber
}

type subscriber struct{ notify func(*Panic) }

// NotifyPanics has notify called with each panic of a function that runs through this package, in the goroutine that
// panicked, until the returned function is called. While nobody has subscribed, such a panic ends the process.
func NotifyPanics(notify func(*Panic)) (unsubscribe func()) {
	sb := &subscriber{notify: notify}
	subscribers.mutex.Lock()
	defer subscribers.mutex.Unlock()
	subscribers.list = append(subscribers.list, sb)
	return func() {
		subscribers.mutex.Lock()
		defer subscribers.mutex.Unlock()
		subscribers.list = slices.DeleteFunc(subscribers.list, func(other *subscriber) bool { return other == sb })
	}
}

func currentSubscribers() []*subscriber {
	subscribers.mutex.Lock()
	defer subscribers.mutex.Unlock()
	return slices.Clone(subscribers.list)
}

// Go runs task in a separate goroutine. A panic goes to the subscribers of NotifyPanics.
func Go(task func()) {
	go Guarded(task)()
}

// Guarded returns a function that runs task and passes a panic to the subscribers of NotifyPanics. It is for functions
// that a library calls in a goroutine of its own.
func Guarded(task func()) func() {
	return func() {
		defer func() {
			recovered := recover()
			if recovered == nil {
				return
			}
			notified := currentSubscribers()
			if len(notified) == 0 {
				panic(recovered)
			}
			pn := newPanic(recovered)
			for _, sb := range notified {
				sb.notify(pn)
			}
		}()
		task()
	}
}

// Call runs task and returns its error, or a *Panic if it panics.
func Call(task func() error) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = newPanic(recovered)
		}
	}()
	return task()
}
