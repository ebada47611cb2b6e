package tasks

import "sync"

// WaitGroup runs functions and waits for them, like sync.WaitGroup. Unlike with that, functions may be started at any time
// while others wait. A panic in a goroutine goes to the subscribers of NotifyPanics. The zero value is ready for use. A
// WaitGroup must not be copied.
type WaitGroup struct {
	// mutex guards the fields below.
	mutex   sync.Mutex
	running int
	// idle is closed when running becomes 0. It is nil while nobody waits.
	idle chan struct{}
}

// Go runs task in a separate goroutine.
func (wg *WaitGroup) Go(task func()) {
	wg.begin()
	// The subscribers learn of a panic before Wait returns.
	guarded := Guarded(task)
	Go(func() {
		defer wg.end()
		guarded()
	})
}

// Run runs task in the calling goroutine. Wait waits for it as well.
func (wg *WaitGroup) Run(task func()) {
	wg.begin()
	defer wg.end()
	task()
}

// Wait returns when none of the functions that were passed to Go and Run is running.
func (wg *WaitGroup) Wait() {
	if idle := wg.untilIdle(); idle != nil {
		<-idle
	}
}

// untilIdle returns a channel that is closed when no function runs, or nil if none runs now.
func (wg *WaitGroup) untilIdle() <-chan struct{} {
	wg.mutex.Lock()
	defer wg.mutex.Unlock()
	if wg.running == 0 {
		return nil
	}
	if wg.idle == nil {
		wg.idle = make(chan struct{})
	}
	return wg.idle
}

func (wg *WaitGroup) begin() {
	wg.mutex.Lock()
	defer wg.mutex.Unlock()
	wg.running++
}

func (wg *WaitGroup) end() {
	wg.mutex.Lock()
	defer wg.mutex.Unlock()
	wg.running--
	if wg.running == 0 && wg.idle != nil {
		close(wg.idle)
		wg.idle = nil
	}
}
