// Package tasks runs functions beside each other that are waited for together.
package tasks

import "sync"

// Group runs functions until it is waited for. Its zero value is ready for use.
type Group struct {
	mutex   sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// Go runs a function in a goroutine of its own and reports true, unless the group has been waited for.
func (gr *Group) Go(task func()) bool {
	gr.mutex.Lock()
	defer gr.mutex.Unlock()
	if gr.closed {
		return false
	}
	gr.running.Go(task)
	return true
}

// Wait lets no further function start and returns when all have ended.
func (gr *Group) Wait() {
	gr.mutex.Lock()
	gr.closed = true
	gr.mutex.Unlock()
	gr.running.Wait()
}
