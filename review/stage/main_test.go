//go:build review

// Package stage is the program behind the scripts of the third review. It starts daemons as the deploy file does, on loopback
// addresses, against small stand-ins of the platform's store, of the servers and of requesters that follow the users' pages.
package stage

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// cases are the cases by name. Each returns what broke the rule; empty if it held.
var cases = map[string]func(st *stage) string{
	"kept-bodies":  keptBodies,
	"frozen-entry": frozenEntry,
	"slow-readers": slowReaders,
	"reborn":       reborn,
	"cold-return":  coldReturn,
}

// TestMain runs a case, "stage CASE FOLDER", or a server as a process of its own, "stage server ...".
func TestMain(*testing.M) {
	if len(os.Args) >= 2 && os.Args[1] == "server" {
		os.Exit(runServerProcess(os.Args[2:]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		os.Exit(exitCouldNot)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) (code int) {
	st, err := newStage(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitCouldNot
	}
	defer st.close()
	defer func() {
		if failure := recover(); failure != nil {
			couldNot, ok := failure.(couldNotRun)
			if !ok {
				panic(failure)
			}
			st.record("the case could not run: %s", couldNot)
			fmt.Fprintln(os.Stderr, "the case could not run:", couldNot)
			code = exitCouldNot
		}
	}()
	if broken := cases[name](st); broken != "" {
		st.record("BROKEN %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	st.record("HELD")
	fmt.Println("held")
	return exitHeld
}

// couldNotRun is the panic of a case that can't go on, for a reason that says nothing of the rule.
type couldNotRun string

func check(err error) {
	if err != nil {
		panic(couldNotRun(err.Error()))
	}
}
