package site

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
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

// answersEarly reports whether the fault makes the server answer before it has read the body of a request.
func (ft ServerFault) answersEarly() bool {
	return ft == ResetsEarlyAnswers || ft == HalfClosesEarlyAnswers || ft == SendsEarlyAnswers
}

// earlyAnswerPause is the time between the parts of an early answer, in which the buffers of the connection fill up.
const earlyAnswerPause = 20 * time.Millisecond

// respondEarly answers a request before its body is read. An answer with a length is followed by the end of the connection.
// If the answer has no length, the server either resets the connection after the first part, or ends its side of the
// connection after the last one and reads on.
func (sv *Server) respondEarly(rw http.ResponseWriter, rq *http.Request, fault ServerFault) {
	executed := sv.recordExecution(rq, nil)
	defer sv.markEnded(executed)
	contentType, parts := "text/plain", []string{"answer of " + sv.ID, " to " + executed.Attempt}
	if rq.Header.Get("X-Token-Count") != "" {
		contentType, parts = "text/event-stream", sv.events(1)
	}
	conn, buffered, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	tcpConn := conn.(*net.TCPConn)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-of-%s\r\nContent-Type: %s\r\n", executed.Attempt, sv.ID, contentType)
	if fault == SendsEarlyAnswers {
		_, _ = fmt.Fprintf(conn, "Content-Length: %d\r\n", len(strings.Join(parts, "")))
	}
	_, _ = io.WriteString(conn, "\r\n")
	for _, part := range parts {
		_, _ = io.WriteString(conn, part)
		time.Sleep(earlyAnswerPause)
		if fault == ResetsEarlyAnswers {
			_ = tcpConn.SetLinger(0)
			return
		}
	}
	sv.markCompleted(executed)
	if fault == HalfClosesEarlyAnswers {
		_ = tcpConn.CloseWrite()
		_, _ = io.Copy(io.Discard, buffered.Reader)
	}
}

// events returns the events of a stream from the first one given to the last one, without added bytes.
func (sv *Server) events(first int) []string {
	var events []string
	for number := first; number <= sv.EventCount; number++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: event %d\n\n", number, number))
	}
	return events
}
