package site

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// repeatRefusal rejects a request as not run. It then sends the refusal once more in front of the response to each
// further request on the connection, with the id of the rejected request or without one, and runs those requests.
func (sv *Server) repeatRefusal(rw http.ResponseWriter, rejectedID string, withID bool) {
	conn, buffered, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n%sX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	idField := "X-Attempt-Id: " + rejectedID + "\r\n"
	_, _ = fmt.Fprintf(conn, refusal, idField)
	if !withID {
		idField = ""
	}
	for {
		rq, err := http.ReadRequest(buffered.Reader)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, refusal, idField)
		body, err := io.ReadAll(rq.Body)
		if err != nil {
			return
		}
		executed := sv.recordExecution(rq, body)
		time.Sleep(sv.WorkDuration)
		text := "answer of " + sv.ID + " to " + executed.Attempt
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-of-%s\r\nContent-Length: %d\r\n\r\n%s", executed.Attempt, sv.ID, len(text), text)
		sv.markCompleted(executed)
	}
}
