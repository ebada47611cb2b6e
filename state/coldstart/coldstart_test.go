package coldstart_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hibiscuslever/hibiscuslever/state/coldstart"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// start is the time of a script's first command. Scripts give times as milliseconds after it.
var start = time.UnixMilli(1_000_000)

// script is the state of a script in testdata.
type script struct {
	book   *coldstart.Book
	listed []serverlist.Server
}

// TestScripts runs the scripts in testdata. The command "list" takes a list with one server in each line: its name, then
// "born=MS" and "cold=MS" if they apply, the end of its time by its entry. "answer" and "report" tell what a server's
// answer said. Each command prints the servers that are cold, until when and why; "at" prints only that.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		sc := &script{book: coldstart.NewBook()}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			var millis, periodMillis, remainingMillis int
			var name string
			periodMillis = 3000
			td.ScanArgs(t, "ms", &millis)
			td.MaybeScanArgs(t, "period", &periodMillis)
			td.MaybeScanArgs(t, "server", &name)
			td.MaybeScanArgs(t, "remaining", &remainingMillis)
			now, output := at(millis), ""
			switch td.Cmd {
			case "list":
				sc.listed = parseServers(td.Input)
				sc.book.UpdateList(now, sc.listed)
			case "answer", "report":
				source := map[string]coldstart.Source{"answer": coldstart.Answered, "report": coldstart.Reported}[td.Cmd]
				told := sc.book.Tell(now, id.HashServer(id.BackendServer(name)), time.Duration(remainingMillis)*time.Millisecond, source)
				output = fmt.Sprintf("new: %t\n", told)
			}
			return output + sc.coldServers(now, time.Duration(periodMillis)*time.Millisecond)
		})
	})
}

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func parseServers(input string) []serverlist.Server {
	var servers []serverlist.Server
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		server := serverlist.Server{ID: id.BackendServer(fields[0])}
		for _, field := range fields[1:] {
			var millis int
			if _, err := fmt.Sscanf(field, "born=%d", &millis); err == nil {
				server.StartedAtMillis = at(millis).UnixMilli()
			}
			if _, err := fmt.Sscanf(field, "cold=%d", &millis); err == nil {
				server.ColdUntil = at(millis)
			}
		}
		servers = append(servers, server)
	}
	return servers
}

func (sc *script) coldServers(now time.Time, period time.Duration) string {
	var sb strings.Builder
	for _, server := range sc.listed {
		if state := sc.book.State(server, period); state.IsCold(now) {
			fmt.Fprintf(&sb, "%s until %d: %s\n", server.ID, state.Until.Sub(start).Milliseconds(), state.Source)
		}
	}
	if sb.Len() == 0 {
		return "none cold\n"
	}
	return sb.String()
}
