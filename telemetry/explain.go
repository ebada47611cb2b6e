package telemetry

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// LogLine is one log line of a host.
type LogLine struct {
	Time time.Time
	// Host is the name of the host that wrote the line; empty if the line has no field host.
	Host    string
	Message string
	// Fields holds all fields of the line by name, the time, the host and the message included.
	Fields map[string]any
}

// maxLineBytes bounds the length of the lines that ReadLogLines can read.
const maxLineBytes = 1 << 20

// ReadLogLines reads log lines in JSON and also returns the number of lines that it skipped because they are not log
// lines. Text before the first brace of a line is ignored, so that a collector may put a prefix before each line. A
// line longer than maxLineBytes ends the reading with bufio.ErrTooLong.
func ReadLogLines(input io.Reader) ([]LogLine, int, error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	var lines []LogLine
	skippedLines := 0
	for scanner.Scan() {
		line, isLogLine := parseLogLine(scanner.Text())
		if !isLogLine {
			skippedLines++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skippedLines, scanner.Err()
}

// parseLogLine parses a log line and reports whether it is one: a JSON object with a time in RFC 3339 format.
func parseLogLine(text string) (LogLine, bool) {
	jsonStart := strings.IndexByte(text, '{')
	if jsonStart < 0 {
		return LogLine{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(text[jsonStart:]), &fields); err != nil {
		return LogLine{}, false
	}
	timeText, _ := fields["time"].(string)
	timestamp, err := time.Parse(time.RFC3339Nano, timeText)
	if err != nil {
		return LogLine{}, false
	}
	line := LogLine{Time: timestamp, Fields: fields}
	line.Host, _ = fields["host"].(string)
	line.Message, _ = fields["msg"].(string)
	return line, true
}

// Text returns a field formatted as text, empty if the line does not have it. Numbers have no exponent.
func (ln LogLine) Text(name string) string {
	value, ok := ln.Fields[name]
	if !ok {
		return ""
	}
	if number, ok := value.(float64); ok {
		return strconv.FormatFloat(number, 'f', -1, 64)
	}
	return fmt.Sprint(value)
}

// Number returns a field that holds a number. It returns zero if the line does not have the field or it is no number.
func (ln LogLine) Number(name string) float64 {
	value, _ := ln.Fields[name].(float64)
	return value
}

// Milliseconds returns a field that holds a number of milliseconds as a duration, zero if the line does not have it.
func (ln LogLine) Milliseconds(name string) time.Duration {
	return time.Duration(ln.Number(name) * float64(time.Millisecond))
}

// String formats the line for people to read: time, host and message, then the other fields sorted by name. The level
// and empty fields are left out, and line breaks in values are replaced.
func (ln LogLine) String() string {
	var builder strings.Builder
	fmt.Fprintf(&builder, "%s %-20s %s", ln.Time.Format("15:04:05.000"), ln.Host, ln.Message)
	for _, name := range slices.Sorted(maps.Keys(ln.Fields)) {
		switch name {
		case "time", "host", "msg", "level":
		default:
			if value := ln.Text(name); value != "" {
				fmt.Fprintf(&builder, " %s=%s", name, strings.ReplaceAll(value, "\n", "; "))
			}
		}
	}
	return builder.String()
}

// RequestLines returns the lines that belong to a request, sorted by time: those that name the request, one of its
// attempts, or its grant at the dispatcher. It also returns changes of the backend servers that the request was sent to,
// from 5 s before its first line to its last one.
func RequestLines(lines []LogLine, request string) []LogLine {
	attemptIDs, grantIDs, serverNames := map[string]bool{}, map[string]bool{}, map[string]bool{}
	var firstLineTime, lastLineTime time.Time
	for _, line := range lines {
		if line.Text("request") != request {
			continue
		}
		attemptIDs[line.Text("attempt")] = true
		grantIDs[line.Text("place")] = true
		serverNames[cmp.Or(line.Text("engine"), line.Text("server"))] = true
		if firstLineTime.IsZero() || line.Time.Before(firstLineTime) {
			firstLineTime = line.Time
		}
		if line.Time.After(lastLineTime) {
			lastLineTime = line.Time
		}
	}
	delete(attemptIDs, "")
	delete(grantIDs, "")
	delete(serverNames, "")
	const leadTime = 5 * time.Second
	var matching []LogLine
	reportedEvents := map[string]bool{}
	for _, line := range lines {
		inTimeRange := line.Time.After(firstLineTime.Add(-leadTime)) && !line.Time.After(lastLineTime)
		aboutServer := strings.HasPrefix(line.Message, "backend server") && serverNames[line.Text("server")]
		if event := line.Message + line.Text("server") + line.Text("offset"); aboutServer && inTimeRange {
			// Every host logs the same change of a server, so only the first line about it is included.
			aboutServer, reportedEvents[event] = !reportedEvents[event], true
		}
		if line.Text("request") == request || attemptIDs[line.Text("attempt")] || grantIDs[line.Text("place")] || inTimeRange && aboutServer {
			matching = append(matching, line)
		}
	}
	slices.SortStableFunc(matching, func(left, right LogLine) int { return left.Time.Compare(right.Time) })
	return matching
}

// ContentLines returns the lines with the fingerprint of a request content, from all hosts, sorted by time: attempts
// sent and ended, crashes of servers that were counted against the content, and refusals.
func ContentLines(lines []LogLine, fingerprint string) []LogLine {
	var matching []LogLine
	for _, line := range lines {
		if line.Text("fingerprint") == fingerprint {
			matching = append(matching, line)
		}
	}
	slices.SortStableFunc(matching, func(left, right LogLine) int { return left.Time.Compare(right.Time) })
	return matching
}

// MissingLinesHint says which host's log is missing if the result of RequestLines is incomplete. It returns an empty
// string if the result is complete.
func MissingLinesHint(requestLines []LogLine) string {
	ended, attempted, dispatcherAnswered := false, false, false
	for _, line := range requestLines {
		ended = ended || line.Message == "request ended"
		attempted = attempted || line.Text("attempt") != "" || line.Text("place") != ""
		dispatcherAnswered = dispatcherAnswered || line.Message == "place given" || line.Message == "place refused"
	}
	switch {
	case len(requestLines) == 0:
		return "no log line names the request: get the log of the entry host that the client used"
	case !ended:
		return "no log line reports the end of the request: the log of its entry host is incomplete, or the host was lost"
	case attempted && !dispatcherAnswered:
		return "no log line reports whether the request was granted or refused: get the log of the dispatcher's host"
	default:
		return ""
	}
}
