// Package brokenpipe makes a program that imports it continue when the readers of its standard output and standard
// error have gone: a write then fails with EPIPE instead of ending the process. It does so when it is initialized,
// before main runs, and imports few packages, so that Go initializes it early. Commands that only print must not import
// it, because users expect them to end with their reader.
package brokenpipe

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGPIPE) }
