//go:build review

package stage

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatTime is HeartbeatMs of the deployment.
const heartbeatTime = 1200 * time.Millisecond

// entry is what a server says of itself in the store.
type entry struct {
	Service         string
	Address         string
	Zone            string
	Version         string
	Slots           int
	State           string
	ColdRemainingMs int
	Sequence        int
	Born            int64 `json:"born"`
}

// server is a stand-in of a server of a plain service that runs in this process.
type server struct {
	id       string
	stage    *stage
	listener net.Listener
	entry    entry
	workTime time.Duration
	// losesAnswer says whether the answer to a run is lost: the server runs the request and resets the channel.
	losesAnswer func() bool
	// answer gives another answer than the usual one, and reports whether it did; nil if there is none.
	answer func(writer http.ResponseWriter, request *http.Request) bool
	ran    atomic.Int64
	lost   atomic.Int64
	stop   chan struct{}
}

// startServer starts a server, lists it and keeps its entry up to date.
func (st *stage) startServer(id, service, zone string, losesAnswer func() bool) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	sv := &server{id: id, stage: st, listener: listener, workTime: 60 * time.Millisecond, losesAnswer: losesAnswer, stop: make(chan struct{})}
	sv.entry = entry{Service: service, Address: listener.Addr().String(), Zone: zone, Version: "v1", Slots: 6, State: "ready", Sequence: 1, Born: time.Now().UnixMilli()}
	go func() { _ = http.Serve(listener, http.HandlerFunc(sv.serve)) }()
	st.store.putJSON("keyed.servers", id, sv.entry)
	go func() {
		for {
			select {
			case <-sv.stop:
				return
			case <-time.After(heartbeatTime):
			}
			sv.entry.Sequence++
			st.store.putJSON("keyed.servers", id, sv.entry)
		}
	}()
	return sv
}

func (sv *server) close() {
	close(sv.stop)
	_ = sv.listener.Close()
}

func (sv *server) serve(writer http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("X-Attempt-Id")
	if attempt == "" {
		// A health check.
		writer.Header().Set("X-Engine-Id", sv.id)
		return
	}
	writer.Header().Set("X-Attempt-Id", attempt)
	if request.Header.Get("X-Expect-Instance") != sv.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	length, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return
	}
	sv.ran.Add(1)
	time.Sleep(sv.workTime)
	if sv.losesAnswer() {
		sv.lost.Add(1)
		sv.stage.record("%s ran %s (%d bytes); its answer is lost", sv.id, attempt, length)
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	if sv.answer != nil && sv.answer(writer, request) {
		return
	}
	writer.Header().Set("X-Response-Seal", "seal-"+sv.id)
	writer.Header().Set("X-Engine-Load", "1,0,6")
	_, _ = io.WriteString(writer, strings.Repeat("x", 800))
}

// engineReport is a line that an engine process writes: its start, or the attempt that it begins to run.
type engineReport struct {
	Born    int64  `json:",omitempty"`
	Attempt string `json:",omitempty"`
}

// pieces is the number of events of a stream.
const pieces = 20

// runServerProcess is an engine as a process of its own: "server ID ADDRESS GAP". Its streams have no length and end with their
// channel; an event comes after each GAP.
func runServerProcess(args []string) int {
	id, address := args[0], args[1]
	gap, _ := time.ParseDuration(args[2])
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	reports := json.NewEncoder(os.Stdout)
	_ = reports.Encode(engineReport{Born: time.Now().UnixMilli()})
	_ = http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		attempt := request.Header.Get("X-Attempt-Id")
		if attempt == "" {
			writer.Header().Set("X-Engine-Id", id)
			_, _ = io.WriteString(writer, `{"Stage":"prefill_decode","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Active":false,"Sequence":0,"Queued":0,"Running":0,"KvUsed":0,"KvTotal":315000,"Handles":0,"pace":1.0}`)
			return
		}
		if request.Header.Get("X-Expect-Instance") != id {
			writer.Header().Set("X-Attempt-Id", attempt)
			writer.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_ = reports.Encode(engineReport{Attempt: attempt})
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, id)
		for number := last + 1; number <= pieces && err == nil; number++ {
			time.Sleep(gap)
			_, err = fmt.Fprintf(conn, "id: %d\ndata: piece %d\n\n", number, number)
		}
	}))
	return exitHeld
}

// engine is an engine process, which keeps its address over crashes, and its id unless it takes a new one.
type engine struct {
	name, address string
	stage         *stage
	gap           time.Duration

	mutex   sync.Mutex
	id      string
	starts  int
	command *exec.Cmd
	// listed says that the entry is the process's own.
	listed bool
	entry  entry
	// runs holds the attempts that the process began to run.
	runs map[string]bool
}

// startEngine starts an engine and keeps its entry up to date.
func (st *stage) startEngine(id, zone string, gap time.Duration) *engine {
	en := st.newEngine(id, zone, gap)
	en.run()
	return en
}

// newEngine returns an engine that does not run yet.
func (st *stage) newEngine(id, zone string, gap time.Duration) *engine {
	en := &engine{name: id, id: id, address: freeAddress(), stage: st, gap: gap}
	en.entry = entry{Service: "lever-llm", Address: en.address, Zone: zone, Version: "v1", Slots: 16, State: "ready"}
	return en
}

// run starts the process and keeps the entry up to date.
func (en *engine) run() {
	en.start(0)
	go func() {
		for range time.Tick(heartbeatTime) {
			en.beat()
		}
	}()
}

// start starts the process, which writes its entry when lag has passed since it listens.
func (en *engine) start(lag time.Duration) {
	command := exec.Command(os.Args[0], "server", en.id, en.address, en.gap.String())
	output, err := command.StdoutPipe()
	check(err)
	check(command.Start())
	reports := json.NewDecoder(output)
	var first engineReport
	check(reports.Decode(&first))
	en.mutex.Lock()
	en.command, en.runs = command, map[string]bool{}
	en.mutex.Unlock()
	list := func() {
		en.mutex.Lock()
		en.listed = true
		en.entry.Born, en.entry.Sequence = first.Born, 0
		en.mutex.Unlock()
		en.beat()
	}
	if lag > 0 {
		time.AfterFunc(lag, list)
	} else {
		list()
	}
	en.stage.record("%s runs, born %d", en.id, first.Born)
	go func() {
		for {
			var report engineReport
			if reports.Decode(&report) != nil {
				return
			}
			en.stage.record("%s begins to run %s", en.id, report.Attempt)
			en.mutex.Lock()
			en.runs[report.Attempt] = true
			en.mutex.Unlock()
		}
	}()
}

// takeNewID gives the next process another id. The entry of the last one stays as it was.
func (en *engine) takeNewID() {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	en.starts++
	en.id = fmt.Sprintf("%s-%d", en.name, en.starts+1)
}

// beat writes the entry, unless the process has ended.
func (en *engine) beat() {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	if !en.listed {
		return
	}
	en.entry.Sequence++
	en.stage.store.putJSON("keyed.servers", en.id, en.entry)
}

func (en *engine) hasRun(attempt string) bool {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	return en.runs[attempt]
}

// crash kills the process.
func (en *engine) crash() {
	en.mutex.Lock()
	command := en.command
	en.command, en.listed = nil, false
	en.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	_ = command.Wait()
	en.stage.record("%s has crashed", en.id)
}
