// Package tasks runs functions concurrently and waits for all of them together.
package tasks

import "sync"

// Group runs functions in goroutines and waits for them. Unlike with sync.WaitGroup, Go may be called while Wait waits;
// it then starts nothing. A panic goes to the subscribers of NotifyPanics. The zero value is ready for use. A Group must
// not be copied.
type Group struct {
	// mutex guards closed, and keeps Go from adding to running after Wait has closed the group.
	mutex   sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// Go runs task in a separate goroutine. It reports false, and does not run task, once Wait has been called.
func (gr *Group) Go(task func()) bool {
	gr.mutex.Lock()
	defer gr.mutex.Unlock()
	if gr.closed {
		return false
	}
	gr.running.Go(Guarded(task))
	return true
}

// Wait keeps further functions from starting and returns when all that were started have returned.
func (gr *Group) Wait() {
	gr.mutex.Lock()
	gr.closed = true
	gr.mutex.Unlock()
	gr.running.Wait()
}
