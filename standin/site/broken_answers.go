package site

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// BrokenHead is what is wrong in the head of an answer: its status line, or further fields, each a line of the head.
type BrokenHead struct {
	// Status is the status code and the reason.
	Status string
	Fields []string
}

// SetBrokenHead makes the server send its answers behind heads with the given status and fields, while the fault is
// SendsBrokenHeads.
func (sv *Server) SetBrokenHead(head BrokenHead) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.brokenHead, sv.fault = head, SendsBrokenHeads
}

// respondWithBrokenHead sends a whole answer in chunks behind a broken head, and closes the connection.
func (sv *Server) respondWithBrokenHead(rw http.ResponseWriter, executed *ExecutedRequest, contentType string, parts []string) {
	sv.mutex.Lock()
	head := sv.brokenHead
	sv.mutex.Unlock()
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	var answer strings.Builder
	_, _ = fmt.Fprintf(&answer, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-of-%s\r\nContent-Type: %s\r\n", head.Status, executed.Attempt, sv.ID, contentType)
	for _, field := range head.Fields {
		answer.WriteString(field + "\r\n")
	}
	answer.WriteString("\r\n")
	for _, part := range parts {
		_, _ = fmt.Fprintf(&answer, "%x\r\n%s\r\n", len(part), part)
	}
	answer.WriteString("0\r\n\r\n")
	if _, err := io.WriteString(conn, answer.String()); err != nil {
		sv.markDisconnected(executed)
		return
	}
	sv.markCompleted(executed)
}

// events returns the events of a whole stream.
func (sv *Server) events() []string {
	var events []string
	for number := 1; number <= sv.EventCount; number++ {
		events = append(events, formatEvent(number))
	}
	return events
}

// formatEvent returns an event of a stream without added bytes.
func formatEvent(number int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", number, number) }
