// Package hangup takes SIGHUP from before main runs on, since one that comes earlier ends the process. It imports little, so
// that it is initialized before packages that take long.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// pendingSignals holds one signal that nobody has taken yet. More of them ask for the same.
var pendingSignals = subscribe()

func subscribe() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Signals returns the channel on which signals arrive, those from before main included.
func Signals() <-chan os.Signal { return pendingSignals }
