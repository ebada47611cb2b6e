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

// ServerFault is a way in which a server of a service fails.
type ServerFault int

// Faults of a server.
const (
	// NoServerFault servers answer.
	NoServerFault ServerFault = iota
	// RejectsAsNotRun has requests answered as not run.
	RejectsAsNotRun
	// ReturnsServerError has requests answered with the server's own error.
	ReturnsServerError
	// CutsResponses has answers broken off in the middle.
	CutsResponses
	// NeverResponds has requests never answered.
	NeverResponds
	// WrongInstance has the server answer for another one at its address.
	WrongInstance
	// ForeignResponseAfter has each answer followed by a second one to another request.
	ForeignResponseAfter
	// ForeignResponseBefore has each answer preceded by one to another request.
	ForeignResponseBefore
	// ForeignResponseOnReuse has an answer to another request sent when the connection is used again.
	ForeignResponseOnReuse
	// AnnouncesLeaving has each answer say that the server is leaving.
	AnnouncesLeaving
	// AsksForBackoff has requests answered as not run, with the word to leave the server alone for a second.
	AsksForBackoff
	// SendsEndlessGarbage has each request answered with bytes that are no answer, until the connection is closed.
	SendsEndlessGarbage
	// StallsStreams has streams stand still after the first event, with a comment now and then.
	StallsStreams
	// Unresponsive has nothing answered at all, reports included.
	Unresponsive
)

// ExecutedRequest is a request that a server ran.
type ExecutedRequest struct {
	Attempt  string
	Tenant   string
	DeadlineMillis int
	LastEventID  string
	Helpers  string
	Target   string
	APIKey      string
	Body     string
	StartedAt    time.Time
	// Completed says that the server ran the request to its end.
	Completed bool
	// DisconnectedAt is when the host went away before that; zero if it did not.
	DisconnectedAt time.Time
}

// Server is an engine, or a server of a plain service.
type Server struct {
	ID      string
	Service string
	Zone    string
	// EventCount is the number of events of a stream, EventInterval the time between two.
	EventCount   int
	EventInterval time.Duration
	// WorkDuration is the time that a request to a plain service takes.
	WorkDuration time.Duration
	// ListedAddress is the IP:port that the list names, if that is not the server's own.
	ListedAddress  string
	address string

	mutex  sync.Mutex
	server *httptest.Server
	closed bool
	down   bool
	fault  ServerFault
	runs   []*ExecutedRequest
	// tickets holds until when memory is set aside.
	tickets map[string]time.Time
	lapsed  int
	// turnedAway is when the server turned requests away and asked to be left alone.
	turnedAway []time.Time
	// born is when the server started.
	born time.Time
	// crash is what requests that crash the server do to it; nil if none do.
	crash *Crash
	// crashed holds when the server crashed, thawed is closed when a frozen one ends.
	crashed []time.Time
	thawed  chan struct{}
}

// Crash describes how a server crashes when it begins to run a request whose body or target holds Mark.
type Crash struct {
	Marker string
	// Downtime is the time until the server has started anew.
	Downtime time.Duration
	// HangsWhileDown has it fall silent for that time, rather than refuse connections.
	HangsWhileDown bool
	// OnRestarted is called when the server has started anew, as another one under its name.
	OnRestarted func(*Server)
}

// NewServer starts a server of a service on a port of its own.
func NewServer(name, service, zone string) *Server {
	sv := &Server{ID: name, Service: service, Zone: zone, EventCount: 5, EventInterval: 5 * time.Millisecond, tickets: map[string]time.Time{}, born: time.Now()}
	sv.server = httptest.NewServer(http.HandlerFunc(sv.serve))
	sv.address = sv.server.Listener.Addr().(*net.TCPAddr).String()
	sv.thawed = make(chan struct{})
	return sv
}

// Address returns the server's IP:port.
func (sv *Server) Address() string { return sv.address }

// Close ends the server at once, with all that it runs.
func (sv *Server) Close() {
	sv.mutex.Lock()
	if !sv.closed {
		sv.closed = true
		close(sv.thawed)
	}
	server := sv.server
	sv.mutex.Unlock()
	server.CloseClientConnections()
	server.Close()
}

// CrashOnMarkedRequests has requests crash the server.
func (sv *Server) CrashOnMarkedRequests(crash Crash) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.crash = &crash
}

// CrashTimes returns when the server crashed.
func (sv *Server) CrashTimes() []time.Time {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	return slices.Clone(sv.crashed)
}

// Crash ends the server with all that it runs, and starts it anew at its address after a time.
func (sv *Server) Crash(crash Crash) {
	sv.mutex.Lock()
	if sv.down || sv.closed {
		sv.mutex.Unlock()
		return
	}
	sv.down = true
	sv.crashed = append(sv.crashed, time.Now())
	old := sv.server
	if crash.HangsWhileDown {
		sv.fault = Unresponsive
	}
	sv.mutex.Unlock()
	end := func() {
		_ = old.Listener.Close()
		old.CloseClientConnections()
	}
	if !crash.HangsWhileDown {
		end()
	}
	time.AfterFunc(crash.Downtime, func() {
		if crash.HangsWhileDown {
			end()
		}
		sv.start()
		if crash.OnRestarted != nil {
			crash.OnRestarted(sv)
		}
	})
}

// start listens at the server's address again, as a sound server, unless it was closed.
func (sv *Server) start() {
	const tries = 50
	var listener net.Listener
	for range tries {
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
	close(sv.thawed)
	sv.thawed = make(chan struct{})
	sv.down = false
	sv.fault = NoServerFault
	sv.born = time.Now()
	server := httptest.NewUnstartedServer(http.HandlerFunc(sv.serve))
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	sv.server = server
}

// crashes reports whether a request crashes the server, which it then has done.
func (sv *Server) crashes(rq *http.Request, body []byte) bool {
	sv.mutex.Lock()
	crash := sv.crash
	sv.mutex.Unlock()
	if crash == nil || !strings.Contains(rq.RequestURI, crash.Marker) && !strings.Contains(string(body), crash.Marker) {
		return false
	}
	sv.Crash(*crash)
	return true
}

// SetFault switches a fault on, or off with Sound.
func (sv *Server) SetFault(fault ServerFault) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.fault = fault
}

// SetEventInterval changes the time between two events of a stream.
func (sv *Server) SetEventInterval(gap time.Duration) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.EventInterval = gap
}

// ExecutedRequests returns the requests that the server ran.
func (sv *Server) ExecutedRequests() []ExecutedRequest {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	var runs []ExecutedRequest
	for _, run := range sv.runs {
		runs = append(runs, *run)
	}
	return runs
}

// OpenReservations returns the number of reservations that are held.
func (sv *Server) OpenReservations() int {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	held := len(sv.tickets)
	maps.DeleteFunc(sv.tickets, func(_ string, until time.Time) bool { return !time.Now().Before(until) })
	sv.lapsed += held - len(sv.tickets)
	return len(sv.tickets)
}

// ExpiredReservations returns the number of reservations that were not given back in their time, as seen by Tickets.
func (sv *Server) ExpiredReservations() int {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	return sv.lapsed
}

// ListEntry returns the server's entry in the store.
func (sv *Server) ListEntry(state string) []byte {
	address := sv.ListedAddress
	if address == "" {
		address = sv.Address()
	}
	sv.mutex.Lock()
	born := sv.born
	sv.mutex.Unlock()
	body, _ := json.Marshal(map[string]any{
		"Service": sv.Service, "Address": address, "Zone": sv.Zone, "Version": "v1", "Slots": 8,
		"State": state, "ColdRemainingMs": 0, "Sequence": 1, "born": born.UnixMilli(),
	})
	return body
}

// waitWhileFrozen returns when a server that is frozen has ended, and reports whether it was.
func (sv *Server) waitWhileFrozen() bool {
	sv.mutex.Lock()
	frozen, thawed := sv.fault == Unresponsive, sv.thawed
	sv.mutex.Unlock()
	if frozen {
		<-thawed
	}
	return frozen
}

func (sv *Server) serve(wr http.ResponseWriter, rq *http.Request) {
	if sv.waitWhileFrozen() {
		panic(http.ErrAbortHandler)
	}
	switch rq.URL.Path {
	case "/-/report":
		_, _ = io.WriteString(wr, `{"Running":0,"Queued":0,"pace":1.0}`)
		return
	case "/-/order":
		sv.order(wr, rq)
		return
	}
	sv.mutex.Lock()
	fault := sv.fault
	sv.mutex.Unlock()
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	header := wr.Header()
	header.Set("X-Attempt-Id", rq.Header.Get("X-Attempt-Id"))
	switch {
	case fault == WrongInstance || rq.Header.Get("X-Expect-Instance") != sv.ID:
		header.Set("X-Engine-Id", "other")
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	case fault == AsksForBackoff:
		header.Set("Retry-After", "1")
		header.Set("X-Not-Executed", "1")
		wr.WriteHeader(http.StatusServiceUnavailable)
		sv.turnAway()
		return
	case fault == RejectsAsNotRun:
		header.Set("X-Not-Executed", "1")
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	deadline, _ := strconv.Atoi(rq.Header.Get("X-Deadline-Ms"))
	if fault == AnnouncesLeaving {
		header.Set("Server-Leaving", "1")
	}
	run := &ExecutedRequest{
		Attempt: rq.Header.Get("X-Attempt-Id"), Tenant: rq.Header.Get("X-Tenant"), DeadlineMillis: deadline,
		LastEventID: rq.Header.Get("Last-Event-Id"), Helpers: rq.Header.Get("X-Helpers"), Target: rq.RequestURI,
		APIKey: rq.Header.Get("Api-Key"), Body: string(body), StartedAt: time.Now(),
	}
	sv.mutex.Lock()
	sv.runs = append(sv.runs, run)
	sv.mutex.Unlock()
	header.Set("X-Response-Seal", "seal-of-"+sv.ID)
	if sv.crashes(rq, body) {
		sv.waitWhileFrozen()
		panic(http.ErrAbortHandler)
	}
	switch fault {
	case NeverResponds:
		<-rq.Context().Done()
		sv.left(run)
		return
	case SendsEndlessGarbage:
		sv.endless(wr, rq)
		return
	case ReturnsServerError:
		wr.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(wr, "failed")
		return
	}
	if rq.Header.Get("X-Token-Count") != "" {
		sv.stream(wr, rq, run, fault)
		return
	}
	select {
	case <-time.After(sv.WorkDuration):
		sv.answer(wr, run, fault)
	case <-rq.Context().Done():
		sv.left(run)
	}
}

func (sv *Server) answer(wr http.ResponseWriter, run *ExecutedRequest, fault ServerFault) {
	text := "answer of " + sv.ID + " to " + run.Attempt
	if fault == CutsResponses {
		wr.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(wr, text[:5])
		panic(http.ErrAbortHandler)
	}
	switch fault {
	case ForeignResponseAfter:
		sv.answerTwice(wr, text, run.Attempt, "another")
		return
	case ForeignResponseBefore:
		sv.answerTwice(wr, text, "another", run.Attempt)
		return
	case ForeignResponseOnReuse:
		sv.answerTwice(wr, text, run.Attempt, "", "another")
		return
	}
	_, _ = io.WriteString(wr, text)
	sv.ended(run)
}

// answerTwice sends answers to two requests. An empty name stands for waiting until the connection is used again.
func (sv *Server) answerTwice(wr http.ResponseWriter, text string, attempts ...string) {
	raw, rw, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = raw.Close() }()
	for ix, name := range attempts {
		if name == "" {
			if _, err := rw.Reader.Peek(1); err != nil {
				return
			}
			continue
		}
		body, connection := text, "keep-alive"
		if ix == len(attempts)-1 {
			connection = "close"
		}
		if name == "another" {
			body = strings.Repeat("?", len(text))
		}
		_, _ = fmt.Fprintf(raw, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-of-%s\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n%s", name, sv.ID, connection, len(body), body)
	}
	time.Sleep(time.Second)
}

func (sv *Server) stream(wr http.ResponseWriter, rq *http.Request, run *ExecutedRequest, fault ServerFault) {
	wr.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(wr)
	sv.mutex.Lock()
	gap := sv.EventInterval
	sv.mutex.Unlock()
	first := 1
	if last, err := strconv.Atoi(run.LastEventID); err == nil {
		first = last + 1
	}
	for number := first; number <= sv.EventCount; number++ {
		select {
		case <-time.After(gap):
		case <-rq.Context().Done():
			sv.left(run)
			return
		}
		event := fmt.Sprintf("id: %d\ndata: event %d\n\n", number, number)
		if fault == CutsResponses && number == (sv.EventCount+1)/2 {
			_, _ = io.WriteString(wr, event[:len(event)/2])
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(wr, event)
		_ = control.Flush()
		if fault == StallsStreams {
			sv.dribble(wr, rq)
			sv.left(run)
			return
		}
	}
	sv.ended(run)
}

// endless sends bytes that are no answer until the host closes the connection.
func (sv *Server) endless(wr http.ResponseWriter, rq *http.Request) {
	raw, _, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = raw.Close() }()
	much := []byte(strings.Repeat("?", 4096))
	for err == nil && rq.Context().Err() == nil {
		_, err = raw.Write(much)
	}
}

// StalledStreamComment is what a stream brings that stands still.
const StalledStreamComment = ": wait\n\n"

// dribble sends a comment now and then until the host closes the connection.
func (sv *Server) dribble(wr http.ResponseWriter, rq *http.Request) {
	const pause = 50 * time.Millisecond
	control := http.NewResponseController(wr)
	for {
		select {
		case <-time.After(pause):
		case <-rq.Context().Done():
			return
		}
		_, _ = io.WriteString(wr, StalledStreamComment)
		_ = control.Flush()
	}
}

// turnAway notes a request that was turned away.
func (sv *Server) turnAway() {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.turnedAway = append(sv.turnedAway, time.Now())
}

// BackoffResponses returns when the server turned requests away and asked to be left alone.
func (sv *Server) BackoffResponses() []time.Time {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	return slices.Clone(sv.turnedAway)
}

// SimulateRestart has the server be another one under its name, once it is listed again.
func (sv *Server) SimulateRestart() {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	// Two starts in one millisecond are two starts.
	sv.born = sv.born.Add(max(time.Millisecond, time.Since(sv.born)))
}

func (sv *Server) ended(run *ExecutedRequest) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	run.Completed = true
}

func (sv *Server) left(run *ExecutedRequest) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	run.DisconnectedAt = time.Now()
}

func (sv *Server) order(wr http.ResponseWriter, rq *http.Request) {
	var order struct {
		Operation string
		ID        string `json:"Id"`
		HoldMs    int64
	}
	if err := json.NewDecoder(rq.Body).Decode(&order); err != nil || strings.ContainsAny(order.ID, ",/") {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	switch order.Operation {
	case "reserve":
		sv.tickets[order.ID] = time.Now().Add(time.Duration(order.HoldMs) * time.Millisecond)
	case "release":
		delete(sv.tickets, order.ID)
	default:
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.WriteString(wr, `{"Available":1}`)
}
