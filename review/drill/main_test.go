//go:build review

// Package drill plays the requesters, the engines and the platform of the cases 6 to 10 of the review. Each case starts
// target/hibiscusleverd in processes of its own, on loopback addresses and the real clock.
package drill

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases maps the number of a case to the function that plays it. With trouble, the disruption is played too.
var cases = map[string]func(dp *deployment, trouble bool) int{}

func TestMain(m *testing.M) {
	os.Exit(run(os.Getenv("CASE"), os.Getenv("TROUBLE") != "0"))
}

// run plays a case in a temporary folder. It is started in the repository's root, and writes review/CASE/record.txt.
func run(number string, trouble bool) int {
	play, ok := cases[number]
	if !ok {
		fmt.Fprintln(os.Stderr, "CASE names no case:", strconv.Quote(number))
		return couldNot
	}
	dir, err := os.MkdirTemp("", "drill-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer func() { _ = os.RemoveAll(dir) }()
	record, err := os.Create(filepath.Join("review", number, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer func() { _ = record.Close() }()
	dp := newDeployment(dir, record)
	defer dp.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		dp.stop()
		_ = os.RemoveAll(dir)
		os.Exit(couldNot)
	}()
	dp.note("case %s, trouble %t", number, trouble)
	code := play(dp, trouble)
	dp.note("exit %d", code)
	return code
}

// startTime bounds the wait until a deployment serves.
const startTime = 15 * time.Second
