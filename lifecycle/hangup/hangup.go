// Package hangup subscribes to SIGHUP when it is initialized, before main runs, because a SIGHUP that arrives before
// the subscription ends the process. It imports few packages, so that Go initializes it before packages whose
// initialization takes long.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// pendingSignals holds at most one signal that has not been received yet. Further signals are dropped meanwhile, since
// they ask for the same.
var pendingSignals = subscribe()

func subscribe() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Signals returns the channel that receives SIGHUP, including one that arrived before main ran.
func Signals() <-chan os.Signal { return pendingSignals }
