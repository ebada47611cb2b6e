package site

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ServerFault is a way in which a server of a service misbehaves.
type ServerFault int

// Faults of a server.
const (
	// NoServerFault makes the server respond normally.
	NoServerFault ServerFault = iota
	// RejectsAsNotRun makes the server reject requests with status 503 and the header that says that it did not run
	// them.
	RejectsAsNotRun
	// ReturnsServerError makes the server run requests and respond with status 500.
	ReturnsServerError
	// CutsResponses makes the server close the connection in the middle of each response.
	CutsResponses
	// NeverResponds makes the server start requests and never respond to them.
	NeverResponds
	// WrongInstance makes the server respond as if another server had taken over its address.
	WrongInstance
	// ForeignResponseAfter makes the server send a response to another request after each response.
	ForeignResponseAfter
	// ForeignResponseBefore makes the server send a response to another request before each response.
	ForeignResponseBefore
	// ForeignResponseOnReuse makes the server send a response to another request when the connection is used again.
	ForeignResponseOnReuse
	// AnnouncesLeaving makes each response announce that the server is leaving.
	AnnouncesLeaving
	// AsksForBackoff makes the server reject requests as not run and ask for no requests for one second.
	AsksForBackoff
	// SendsEndlessGarbage makes the server respond with bytes that are not HTTP until the connection is closed.
	SendsEndlessGarbage
	// StallsStreams makes streams stall after the first event. Only comments follow.
	StallsStreams
	// Unresponsive makes the server respond to nothing at all, requests for its report included.
	Unresponsive
	// RepeatsRefusal makes the server reject the first request on a connection as not run, and send that refusal once more
	// before the responses to the requests that follow, which it runs. RepeatsRefusalWithoutID is the same, but the
	// repeated refusals don't name their request.
	RepeatsRefusal
	RepeatsRefusalWithoutID
	// WritesErrorIntoStream makes the server write the head and the text of an error into each stream after its first
	// event, and end the stream. AnswersTextOnResume makes it answer a request to resume a stream with a text.
	WritesErrorIntoStream
	AnswersTextOnResume
	// OmitsLengths makes responses end with their connection, without length and chunks. CrashesWithoutLength is the same, but
	// the server crashes after half of each response, and its connection is closed in the ordinary way.
	OmitsLengths
	CrashesWithoutLength
	// SendsBrokenHeads makes the server send its answers behind the heads of SetBrokenHead.
	SendsBrokenHeads
	// ResetsEarlyAnswers makes the server answer without a length before it has read the body of a request, and reset the
	// connection after the first part of the answer. HalfClosesEarlyAnswers makes it send the whole answer, end its side of
	// the connection and read on, SendsEarlyAnswers send the whole answer with a length and close the connection.
	ResetsEarlyAnswers
	HalfClosesEarlyAnswers
	SendsEarlyAnswers
)

// ExecutedRequest is a request that a server started to run.
type ExecutedRequest struct {
	Attempt        string
	Tenant         string
	DeadlineMillis int
	// LastEventID is the event after which the caller wants a stream to resume; empty for a new request.
	LastEventID string
	// Helpers is the header field that names the engines that help with the prompt.
	Helpers string
	// PromptParts is the header field that lists the parts of the prompt.
	PromptParts string
	Target      string
	APIKey      string
	Body        string
	StartedAt   time.Time
	// Completed means that the server ran the request to its end.
	Completed bool
	// DisconnectedAt is when the host closed the connection before the end; zero if it did not.
	DisconnectedAt time.Time
	// EndedAt is when the server stopped working on the request, in whichever way; zero while it works on it.
	EndedAt time.Time
	// BrokenOff means that the server itself ended its work or the connection before the end.
	BrokenOff bool
}

// Server is a stand-in for one model engine or one backend server of a plain service. A request with token counts in
// its header gets a stream of events, any other request a plain response. Methods are safe for concurrent use; exported
// fields must not be changed while requests run.
type Server struct {
	ID      string
	Service string
	Zone    string
	// EventCount is the number of events of a stream, EventInterval the time before each of them.
	EventCount    int
	EventInterval time.Duration
	// WorkDuration is the time that the server takes for a request to a plain service.
	WorkDuration time.Duration
	// AnswerBytes is the number of bytes that are added to each plain response and to each event of a stream.
	AnswerBytes int
	// AnswerDuration, if it is not nil, returns how long the server works on the request with an attempt ID, streams
	// included. The fields above apply to requests for which it returns zero.
	AnswerDuration func(attempt string) time.Duration
	// ListedAddress is the IP:port in the server list, if it differs from the server's own.
	ListedAddress string
	address       string

	// mutex guards the fields below and EventInterval.
	mutex      sync.Mutex
	httpServer *httptest.Server
	closed     bool
	// restarting is set from a crash until the server listens again.
	restarting       bool
	fault            ServerFault
	brokenHead       BrokenHead
	executedRequests []*ExecutedRequest
	// reservations holds the time at which each memory reservation expires.
	reservations        map[string]time.Time
	expiredReservations int
	// requestLimit is the value of the header field with which each response names a limit; empty if none is named.
	requestLimit string
	// coldUntil is when the server is no longer cold, and coldInAnswers says that its answers name the remaining time.
	coldUntil     time.Time
	coldInAnswers bool
	// arrivals are the times at which requests of clients arrived, whether or not they ran.
	arrivals []time.Time
	// backoffResponses are the times at which the server rejected a request and asked for backoff.
	backoffResponses []time.Time
	// startedAt is the start time in the server list.
	startedAt time.Time
	// crashOnRequest describes the crash that marked requests cause; nil if there is none.
	crashOnRequest *Crash
	crashTimes     []time.Time
	// responsiveAgain is closed when an unresponsive server restarts or is closed, which ends the requests that wait in
	// it.
	responsiveAgain chan struct{}
}

// Crash describes a crash of a server and the restart that follows.
type Crash struct {
	// Marker is the text that causes the crash when a request contains it in its target, its body or the list of the parts
	// of its prompt.
	Marker string
	// Downtime is the time from the crash to the restart.
	Downtime time.Duration
	// HangsWhileDown makes the server accept connections without responding while it is down. Otherwise it refuses
	// connections.
	HangsWhileDown bool
	// OnRestarted is called after the restart. The server has kept its name and has a new start time.
	OnRestarted func(*Server)
}

// NewServer starts a server of a service on a free loopback port.
func NewServer(name, service, zone string) *Server {
	sv := &Server{ID: name, Service: service, Zone: zone, EventCount: 5, EventInterval: 5 * time.Millisecond, reservations: map[string]time.Time{}, startedAt: time.Now()}
	sv.httpServer = httptest.NewServer(http.HandlerFunc(sv.serve))
	sv.address = sv.httpServer.Listener.Addr().(*net.TCPAddr).String()
	sv.responsiveAgain = make(chan struct{})
	return sv
}

// Address returns the server's IP:port.
func (sv *Server) Address() string { return sv.address }

// Close stops the server immediately and aborts the requests that it runs.
func (sv *Server) Close() {
	sv.mutex.Lock()
	if !sv.closed {
		sv.closed = true
		close(sv.responsiveAgain)
	}
	sv.breakOffRequests()
	httpServer := sv.httpServer
	sv.mutex.Unlock()
	httpServer.CloseClientConnections()
	httpServer.Close()
}

// CrashOnMarkedRequests makes requests that contain the marker crash the server.
func (sv *Server) CrashOnMarkedRequests(crash Crash) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.crashOnRequest = &crash
}

// CrashTimes returns the times of all crashes so far.
func (sv *Server) CrashTimes() []time.Time {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	return slices.Clone(sv.crashTimes)
}

// Crash aborts all requests that the server runs and restarts it at the same address after the downtime. It does
// nothing while the server is down or closed.
func (sv *Server) Crash(crash Crash) {
	sv.mutex.Lock()
	if sv.restarting || sv.closed {
		sv.mutex.Unlock()
		return
	}
	sv.restarting = true
	sv.crashTimes = append(sv.crashTimes, time.Now())
	oldServer := sv.httpServer
	if crash.HangsWhileDown {
		sv.fault = Unresponsive
	}
	sv.mutex.Unlock()
	stopServer := func() {
		sv.mutex.Lock()
		sv.breakOffRequests()
		sv.mutex.Unlock()
		_ = oldServer.Listener.Close()
		oldServer.CloseClientConnections()
	}
	if !crash.HangsWhileDown {
		stopServer()
	}
	time.AfterFunc(crash.Downtime, func() {
		if crash.HangsWhileDown {
			stopServer()
		}
		sv.restart()
		if crash.OnRestarted != nil {
			crash.OnRestarted(sv)
		}
	})
}

// restart listens at the server's address again, without a fault and with a new start time, unless the server was
// closed. It retries for half a second, because the address may still be in use right after the old server has stopped.
func (sv *Server) restart() {
	const maxAttempts = 50
	var listener net.Listener
	for range maxAttempts {
		var err error
		if listener, err = net.Listen("tcp", sv.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	if listener == nil || sv.closed {
		return
	}
	close(sv.responsiveAgain)
	sv.responsiveAgain = make(chan struct{})
	sv.restarting = false
	sv.fault = NoServerFault
	sv.startedAt = time.Now()
	httpServer := httptest.NewUnstartedServer(http.HandlerFunc(sv.serve))
	_ = httpServer.Listener.Close()
	httpServer.Listener = listener
	httpServer.Start()
	sv.httpServer = httpServer
}

// crashIfMarked crashes the server if the request contains the marker, and reports whether it contains it.
func (sv *Server) crashIfMarked(rq *http.Request, body []byte) bool {
	sv.mutex.Lock()
	crash := sv.crashOnRequest
	sv.mutex.Unlock()
	if crash == nil || !strings.Contains(rq.RequestURI, crash.Marker) && !strings.Contains(string(body), crash.Marker) && !strings.Contains(rq.Header.Get("X-Prompt-Prefix"), crash.Marker) {
		return false
	}
	sv.Crash(*crash)
	return true
}

// SetFault replaces the current fault. NoServerFault ends it.
func (sv *Server) SetFault(fault ServerFault) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.fault = fault
}

// SetRequestLimit makes all further responses name a limit of requests per second, or none if the limit is empty.
func (sv *Server) SetRequestLimit(limit string) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.requestLimit = limit
}

// SetCold makes the server cold for a time, which its entry in the list names from the next ListEntry on. If inAnswers is
// set, its answers name it, too.
func (sv *Server) SetCold(duration time.Duration, inAnswers bool) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.coldUntil, sv.coldInAnswers = time.Now().Add(duration), inAnswers
}

// Arrivals returns the times at which requests of clients arrived, whether or not they ran.
func (sv *Server) Arrivals() []time.Time {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	return slices.Clone(sv.arrivals)
}

// SetEventInterval changes the time before each event of the streams that start from now on.
func (sv *Server) SetEventInterval(interval time.Duration) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.EventInterval = interval
}

// ExecutedRequests returns copies of the requests that the server has started to run.
func (sv *Server) ExecutedRequests() []ExecutedRequest {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	var requests []ExecutedRequest
	for _, request := range sv.executedRequests {
		requests = append(requests, *request)
	}
	return requests
}

// OpenReservations returns the number of memory reservations that are neither released nor expired.
func (sv *Server) OpenReservations() int {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	openBefore := len(sv.reservations)
	maps.DeleteFunc(sv.reservations, func(_ string, expiresAt time.Time) bool { return !time.Now().Before(expiresAt) })
	sv.expiredReservations += openBefore - len(sv.reservations)
	return len(sv.reservations)
}

// ExpiredReservations returns the number of reservations that expired before they were released, as of the last call of
// OpenReservations.
func (sv *Server) ExpiredReservations() int {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	return sv.expiredReservations
}

// ListEntry returns the server's record in the server list, with the given state.
func (sv *Server) ListEntry(state string) []byte {
	address := sv.ListedAddress
	if address == "" {
		address = sv.Address()
	}
	sv.mutex.Lock()
	startedAt, coldRemaining := sv.startedAt, max(0, time.Until(sv.coldUntil))
	sv.mutex.Unlock()
	body, _ := json.Marshal(map[string]any{
		"Service": sv.Service, "Address": address, "Zone": sv.Zone, "Version": "v1", "Slots": 8,
		"State": state, "ColdRemainingMs": coldRemaining.Milliseconds(), "Sequence": 1, "born": startedAt.UnixMilli(),
	})
	return body
}

// waitWhileUnresponsive blocks until an unresponsive server restarts or is closed. It reports whether the server was
// unresponsive.
func (sv *Server) waitWhileUnresponsive() bool {
	sv.mutex.Lock()
	unresponsive, responsiveAgain := sv.fault == Unresponsive, sv.responsiveAgain
	sv.mutex.Unlock()
	if unresponsive {
		<-responsiveAgain
	}
	return unresponsive
}

// serve handles all requests: reports and orders first, then requests of clients, to which the current fault applies.
func (sv *Server) serve(rw http.ResponseWriter, rq *http.Request) {
	if sv.waitWhileUnresponsive() {
		panic(http.ErrAbortHandler)
	}
	switch rq.URL.Path {
	case "/-/report":
		_, _ = io.WriteString(rw, `{"Running":0,"Queued":0,"pace":1.0}`)
		return
	case "/-/order":
		sv.handleOrder(rw, rq)
		return
	}
	sv.mutex.Lock()
	fault, requestLimit := sv.fault, sv.requestLimit
	coldRemaining := max(0, time.Until(sv.coldUntil))
	namesColdTime := sv.coldInAnswers && coldRemaining > 0
	sv.arrivals = append(sv.arrivals, time.Now())
	sv.mutex.Unlock()
	if fault.answersEarly() {
		sv.respondEarly(rw, rq, fault)
		return
	}
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	header := rw.Header()
	if requestLimit != "" {
		header.Set("Server-Limit", requestLimit)
	}
	if namesColdTime {
		header.Set("X-Cold-Ms", strconv.FormatInt(coldRemaining.Milliseconds(), 10))
	}
	header.Set("X-Attempt-Id", rq.Header.Get("X-Attempt-Id"))
	switch {
	case fault == WrongInstance || rq.Header.Get("X-Expect-Instance") != sv.ID:
		header.Set("X-Engine-Id", "other")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case fault == AsksForBackoff:
		header.Set("Retry-After", "1")
		header.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		sv.recordBackoffResponse()
		return
	case fault == RepeatsRefusal || fault == RepeatsRefusalWithoutID:
		sv.repeatRefusal(rw, rq.Header.Get("X-Attempt-Id"), fault == RepeatsRefusal)
		return
	case fault == RejectsAsNotRun:
		header.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if fault == AnnouncesLeaving {
		header.Set("Server-Leaving", "1")
	}
	executed := sv.recordExecution(rq, body)
	defer sv.markEnded(executed)
	header.Set("X-Response-Seal", "seal-of-"+sv.ID)
	if sv.crashIfMarked(rq, body) {
		sv.waitWhileUnresponsive()
		panic(http.ErrAbortHandler)
	}
	switch fault {
	case NeverResponds:
		<-rq.Context().Done()
		sv.markDisconnected(executed)
		return
	case SendsEndlessGarbage:
		sv.sendGarbage(rw, rq)
		return
	case ReturnsServerError:
		rw.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(rw, "failed")
		return
	}
	if rq.Header.Get("X-Token-Count") != "" {
		sv.streamEvents(rw, rq, executed, fault)
		return
	}
	workDuration := sv.WorkDuration
	if duration := sv.answerDuration(executed.Attempt); duration > 0 {
		workDuration = duration
	}
	select {
	case <-time.After(workDuration):
		sv.respond(rw, executed, fault)
	case <-rq.Context().Done():
		sv.markDisconnected(executed)
	}
}

// recordExecution records that the server started to run a request.
func (sv *Server) recordExecution(rq *http.Request, body []byte) *ExecutedRequest {
	deadlineMillis, _ := strconv.Atoi(rq.Header.Get("X-Deadline-Ms"))
	executed := &ExecutedRequest{
		Attempt: rq.Header.Get("X-Attempt-Id"), Tenant: rq.Header.Get("X-Tenant"), DeadlineMillis: deadlineMillis,
		LastEventID: rq.Header.Get("Last-Event-Id"), Helpers: rq.Header.Get("X-Helpers"), PromptParts: rq.Header.Get("X-Prompt-Prefix"), Target: rq.RequestURI,
		APIKey: rq.Header.Get("Api-Key"), Body: string(body), StartedAt: time.Now(),
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.executedRequests = append(sv.executedRequests, executed)
	return executed
}

// respond sends the plain response to a request, or applies the fault that affects it.
func (sv *Server) respond(rw http.ResponseWriter, executed *ExecutedRequest, fault ServerFault) {
	text := "answer of " + sv.ID + " to " + executed.Attempt + strings.Repeat("+", sv.AnswerBytes)
	if fault == CutsResponses {
		rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(rw, text[:5])
		panic(http.ErrAbortHandler)
	}
	switch fault {
	case ForeignResponseAfter:
		sv.respondRaw(rw, text, executed.Attempt, "another")
		return
	case ForeignResponseBefore:
		sv.respondRaw(rw, text, "another", executed.Attempt)
		return
	case ForeignResponseOnReuse:
		sv.respondRaw(rw, text, executed.Attempt, "", "another")
		return
	case OmitsLengths, CrashesWithoutLength:
		sv.respondWithoutLength(rw, executed, "text/plain", []string{text[:5], text[5:]}, 0)
		return
	case SendsBrokenHeads:
		sv.respondWithBrokenHead(rw, executed, "text/plain", []string{text[:5], text[5:]})
		return
	}
	_, _ = io.WriteString(rw, text)
	sv.markCompleted(executed)
}

// respondRaw writes responses to several attempts directly to the connection. An empty attempt means to wait until the
// connection is used again; the attempt "another" is one that was not asked for. It closes the connection one second
// after the last response.
func (sv *Server) respondRaw(rw http.ResponseWriter, text string, attempts ...string) {
	conn, buffered, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for index, attempt := range attempts {
		if attempt == "" {
			if _, err := buffered.Reader.Peek(1); err != nil {
				return
			}
			continue
		}
		body, connectionHeader := text, "keep-alive"
		if index == len(attempts)-1 {
			connectionHeader = "close"
		}
		if attempt == "another" {
			body = strings.Repeat("?", len(text))
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-of-%s\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, sv.ID, connectionHeader, len(body), body)
	}
	time.Sleep(time.Second)
}

// streamEvents sends the events of a stream, from the one after the last event ID of the request on.
func (sv *Server) streamEvents(rw http.ResponseWriter, rq *http.Request, executed *ExecutedRequest, fault ServerFault) {
	rw.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(rw)
	sv.mutex.Lock()
	interval := sv.EventInterval
	sv.mutex.Unlock()
	if duration := sv.answerDuration(executed.Attempt); duration > 0 {
		interval = duration / time.Duration(sv.EventCount)
	}
	firstEvent := 1
	if lastEvent, err := strconv.Atoi(executed.LastEventID); err == nil {
		firstEvent = lastEvent + 1
		if fault == AnswersTextOnResume {
			rw.Header().Set("Content-Type", "text/plain")
			_, _ = io.WriteString(rw, errorText)
			return
		}
	}
	if fault == OmitsLengths || fault == CrashesWithoutLength {
		sv.respondWithoutLength(rw, executed, "text/event-stream", sv.events(firstEvent), interval)
		return
	}
	if fault == SendsBrokenHeads {
		sv.respondWithBrokenHead(rw, executed, "text/event-stream", sv.events(firstEvent))
		return
	}
	for number := firstEvent; number <= sv.EventCount; number++ {
		select {
		case <-time.After(interval):
		case <-rq.Context().Done():
			sv.markDisconnected(executed)
			return
		}
		event := fmt.Sprintf("id: %d\ndata: event %d%s\n\n", number, number, strings.Repeat("+", sv.AnswerBytes))
		if fault == CutsResponses && number == (sv.EventCount+1)/2 {
			_, _ = io.WriteString(rw, event[:len(event)/2])
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(rw, event)
		_ = controller.Flush()
		if fault == WritesErrorIntoStream {
			_, _ = io.WriteString(rw, "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"+errorText)
			return
		}
		if fault == StallsStreams {
			sv.sendComments(rw, rq)
			sv.markDisconnected(executed)
			return
		}
	}
	sv.markCompleted(executed)
}

// errorText is the text of an error that looks like the end of a stream.
const errorText = "the server failed\r\n\r\n"

// respondWithoutLength writes a response that ends with its connection in parts, with a pause before each. If the fault
// demands it, the server crashes before the part in the middle and restarts after a second.
func (sv *Server) respondWithoutLength(rw http.ResponseWriter, executed *ExecutedRequest, contentType string, parts []string, pause time.Duration) {
	sv.mutex.Lock()
	crashes := sv.fault == CrashesWithoutLength
	sv.mutex.Unlock()
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-of-%s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", executed.Attempt, sv.ID, contentType)
	for index, part := range parts {
		time.Sleep(pause)
		if crashes && index == len(parts)/2 {
			sv.Crash(Crash{Downtime: time.Second})
			return
		}
		if err == nil {
			_, err = io.WriteString(conn, part)
		}
	}
	if err != nil {
		sv.markDisconnected(executed)
		return
	}
	sv.markCompleted(executed)
}

// sendGarbage writes bytes that are not HTTP until the host closes the connection.
func (sv *Server) sendGarbage(rw http.ResponseWriter, rq *http.Request) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	garbage := []byte(strings.Repeat("?", 4096))
	for err == nil && rq.Context().Err() == nil {
		_, err = conn.Write(garbage)
	}
}

// StalledStreamComment is the server-sent comment that a stalled stream repeats.
const StalledStreamComment = ": wait\n\n"

// sendComments sends a comment every 50 ms until the host closes the connection.
func (sv *Server) sendComments(rw http.ResponseWriter, rq *http.Request) {
	const interval = 50 * time.Millisecond
	controller := http.NewResponseController(rw)
	for {
		select {
		case <-time.After(interval):
		case <-rq.Context().Done():
			return
		}
		_, _ = io.WriteString(rw, StalledStreamComment)
		_ = controller.Flush()
	}
}

// recordBackoffResponse records that the server rejected a request and asked for backoff.
func (sv *Server) recordBackoffResponse() {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.backoffResponses = append(sv.backoffResponses, time.Now())
}

// BackoffResponses returns the times at which the server rejected a request and asked for backoff.
func (sv *Server) BackoffResponses() []time.Time {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	return slices.Clone(sv.backoffResponses)
}

// SimulateRestart gives the server a new start time, so that it counts as a restarted one once its list entry is
// published again.
func (sv *Server) SimulateRestart() {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	// The list has start times in milliseconds, so that each restart has to advance the time by at least one.
	sv.startedAt = sv.startedAt.Add(max(time.Millisecond, time.Since(sv.startedAt)))
}

// markCompleted records that a request ran to its end.
func (sv *Server) markCompleted(executed *ExecutedRequest) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	executed.Completed, executed.EndedAt = true, time.Now()
}

// markDisconnected records that the host closed the connection of a request before its end.
func (sv *Server) markDisconnected(executed *ExecutedRequest) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	executed.DisconnectedAt = time.Now()
	executed.EndedAt = executed.DisconnectedAt
}

// markEnded records that the server no longer works on a request. If it is neither complete nor disconnected, the server
// broke it off.
func (sv *Server) markEnded(executed *ExecutedRequest) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	if executed.EndedAt.IsZero() {
		executed.EndedAt, executed.BrokenOff = time.Now(), true
	}
}

// breakOffRequests records that the server breaks off the requests that it works on. The caller holds the mutex.
func (sv *Server) breakOffRequests() {
	for _, executed := range sv.executedRequests {
		if executed.EndedAt.IsZero() {
			executed.BrokenOff = true
		}
	}
}

// answerDuration returns what AnswerDuration says; zero if there is none.
func (sv *Server) answerDuration(attempt string) time.Duration {
	if sv.AnswerDuration == nil {
		return 0
	}
	return sv.AnswerDuration(attempt)
}

// handleOrder reserves or releases memory. It rejects IDs that contain a comma or a slash, and orders to another engine.
func (sv *Server) handleOrder(rw http.ResponseWriter, rq *http.Request) {
	var order struct {
		Operation string
		ID        string `json:"Id"`
		HoldMs    int64
	}
	if err := json.NewDecoder(rq.Body).Decode(&order); err != nil || strings.ContainsAny(order.ID, ",/") {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := rq.Header.Get("X-Expect-Instance"); expected != "" && expected != sv.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	switch order.Operation {
	case "reserve":
		sv.reservations[order.ID] = time.Now().Add(time.Duration(order.HoldMs) * time.Millisecond)
	case "release":
		delete(sv.reservations, order.ID)
	default:
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.WriteString(rw, `{"Available":1}`)
}
