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
	Time    time.Time
	Host    string
	Message string
	Fields  map[string]any
}

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// ReadLogLines reads log lines in JSON. What stands before a line's first brace is skipped, and so are other lines; their
// number is returned.
func ReadLogLines(in io.Reader) ([]LogLine, int, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	var lines []LogLine
	skipped := 0
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

func parseLine(text string) (LogLine, bool) {
	brace := strings.IndexByte(text, '{')
	if brace < 0 {
		return LogLine{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(text[brace:]), &fields); err != nil {
		return LogLine{}, false
	}
	stamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return LogLine{}, false
	}
	line := LogLine{Time: at, Fields: fields}
	line.Host, _ = fields["host"].(string)
	line.Message, _ = fields["msg"].(string)
	return line, true
}

// Text returns a field as text, empty if there is none.
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

// Number returns a field that holds a number, zero if there is none.
func (ln LogLine) Number(name string) float64 {
	value, _ := ln.Fields[name].(float64)
	return value
}

// Milliseconds returns a field that holds a time in milliseconds, zero if there is none.
func (ln LogLine) Milliseconds(name string) time.Duration {
	return time.Duration(ln.Number(name) * float64(time.Millisecond))
}

// String returns the line as a reader wants it: time, host, message, then the fields in the order of their names.
func (ln LogLine) String() string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "%s %-20s %s", ln.Time.Format("15:04:05.000"), ln.Host, ln.Message)
	for _, name := range slices.Sorted(maps.Keys(ln.Fields)) {
		switch name {
		case "time", "host", "msg", "level":
		default:
			if value := ln.Text(name); value != "" {
				fmt.Fprintf(&sb, " %s=%s", name, strings.ReplaceAll(value, "\n", "; "))
			}
		}
	}
	return sb.String()
}

// RequestLines returns the lines that tell of a request in the order of time: those that name it, its attempts or its
// place at the dispatcher, and what hosts noted in the meantime about the engines and servers that it was sent to.
func RequestLines(lines []LogLine, request string) []LogLine {
	attempts, places, servers := map[string]bool{}, map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for _, line := range lines {
		if line.Text("request") != request {
			continue
		}
		attempts[line.Text("attempt")] = true
		places[line.Text("place")] = true
		servers[cmp.Or(line.Text("engine"), line.Text("server"))] = true
		if first.IsZero() || line.Time.Before(first) {
			first = line.Time
		}
		if line.Time.After(last) {
			last = line.Time
		}
	}
	delete(attempts, "")
	delete(places, "")
	delete(servers, "")
	const before = 5 * time.Second
	var found []LogLine
	said := map[string]bool{}
	for _, line := range lines {
		near := line.Time.After(first.Add(-before)) && !line.Time.After(last)
		about := strings.HasPrefix(line.Message, "backend server") && servers[line.Text("server")]
		if what := line.Message + line.Text("server") + line.Text("offset"); about && near {
			// Every host notes the same of a server: the first one to do so is enough.
			about, said[what] = !said[what], true
		}
		if line.Text("request") == request || attempts[line.Text("attempt")] || places[line.Text("place")] || near && about {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, func(left, right LogLine) int { return left.Time.Compare(right.Time) })
	return found
}

// ContentLines returns the lines that tell of a request's content, by its fingerprint, on all hosts in the order of time:
// each sending, each end, each crash of a server that was counted, and each refusal.
func ContentLines(lines []LogLine, fingerprint string) []LogLine {
	var found []LogLine
	for _, line := range lines {
		if line.Text("fingerprint") == fingerprint {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, func(left, right LogLine) int { return left.Time.Compare(right.Time) })
	return found
}

// MissingLinesHint says which host's lines are missing from a request's way, empty if none are.
func MissingLinesHint(way []LogLine) string {
	ended, asked, placed := false, false, false
	for _, line := range way {
		ended = ended || line.Message == "request ended"
		asked = asked || line.Text("attempt") != "" || line.Text("place") != ""
		placed = placed || line.Message == "place given" || line.Message == "place refused"
	}
	switch {
	case len(way) == 0:
		return "no line names the request: look for the log of the entry host that the client used"
	case !ended:
		return "no line ends the request: the log of its entry host is incomplete, or the host was lost"
	case asked && !placed:
		return "no line gives or refuses its place: look for the log of the dispatcher's host"
	default:
		return ""
	}
}
