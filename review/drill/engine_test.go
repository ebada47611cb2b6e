//go:build review

package drill

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deadlyMark is in the body of requests that crash each engine that begins to run them.
const deadlyMark = "deadly"

// executed is a request that reached an engine.
type executed struct {
	engine, attempt, body string
	at                    time.Time
	// ran says that the engine began to run it, done that it answered.
	ran, done bool
}

// engine is a stand-in for one engine, plain or with streams. It beats in the list, has slots and a short queue, drops a
// request whose channel closes, and answers 421 to what expects another instance.
type engine struct {
	deployment    *deployment
	service, zone string
	// address stays the same over all boots.
	address string
	slots   int
	work    time.Duration
	// downtime is how long the engine is dark after a crash.
	downtime time.Duration
	// resets says that the channels are reset and new ones refused while the engine is down after a crash. Otherwise it is dark.
	resets bool
	// idPrefix begins the ids of the engine. Hosts may prefer engines by the order of their ids.
	idPrefix string
	// keepsID says that the engine boots under the id that it had.
	keepsID bool
	// unframed makes plain answers end with their channel, without length and chunks. A crash then ends the channels in the
	// ordinary way, as the system of a process that ends does, before the engine is dark.
	unframed bool
	// coldFor is how long the engine is cold after each boot.
	coldFor time.Duration

	// mutex guards the fields below.
	mutex    sync.Mutex
	id       string
	boot     int
	bornAt   time.Time
	sequence int
	running  int
	waiting  int
	// dark is closed at the next boot; nil while the engine is up.
	dark     chan struct{}
	closed   bool
	listener *net.TCPListener
	conns    map[net.Conn]struct{}
	// fillers are the channels that fill the queue of a dark engine, so that further ones are not accepted.
	fillers []net.Conn
	crashes []time.Time
	slot    chan struct{}
	// lastBeat is when the engine last wrote to the list.
	lastBeat time.Time
}

const (
	listenBacklog = 128
	queueLength   = 24
)

// addEngine starts an engine and lists it.
func (dp *deployment) addEngine(service, zone string, slots int, work, downtime time.Duration) *engine {
	en := &engine{deployment: dp, service: service, zone: zone, address: freeAddress(), slots: slots, work: work, downtime: downtime, conns: map[net.Conn]struct{}{}}
	return dp.startEngine(en)
}

// addColdEngine is addEngine for an engine that is cold for a time after its start.
func (dp *deployment) addColdEngine(service, zone string, slots int, work, coldFor time.Duration) *engine {
	en := &engine{deployment: dp, service: service, zone: zone, address: freeAddress(), slots: slots, work: work, coldFor: coldFor, idPrefix: "0", conns: map[net.Conn]struct{}{}}
	return dp.startEngine(en)
}

func (dp *deployment) startEngine(en *engine) *engine {
	dp.engines = append(dp.engines, en)
	en.up()
	go en.beat()
	return en
}

// up boots the engine: a new id, and nothing known of before.
func (en *engine) up() {
	en.mutex.Lock()
	listener, err := net.Listen("tcp", en.address)
	for try := 0; err != nil && try < 100; try++ {
		time.Sleep(10 * time.Millisecond)
		listener, err = net.Listen("tcp", en.address)
	}
	if err != nil {
		en.mutex.Unlock()
		en.deployment.note("engine at %s can't listen: %v", en.address, err)
		return
	}
	en.listener = listener.(*net.TCPListener)
	if !en.keepsID || en.boot == 0 {
		en.boot++
	}
	en.id = fmt.Sprintf("i-%s%s-%s-%d", en.idPrefix, en.service, en.address[strings.LastIndexByte(en.address, ':')+1:], en.boot)
	en.bornAt, en.sequence, en.running, en.waiting = time.Now(), 0, 0, 0
	en.slot = make(chan struct{}, en.slots)
	id := en.id
	en.mutex.Unlock()
	en.deployment.note("engine %s is up at %s", id, en.address)
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(en.serve)}).Serve(&engineListener{TCPListener: en.listener, engine: en})
	}()
	en.list()
}

// engineListener accepts channels while its engine is up, and holds them while it is dark.
type engineListener struct {
	*net.TCPListener
	engine *engine
}

func (el *engineListener) Accept() (net.Conn, error) {
	conn, err := el.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	en := el.engine
	en.mutex.Lock()
	dark := en.dark
	en.conns[conn] = struct{}{}
	en.mutex.Unlock()
	if dark != nil {
		<-dark
	}
	return conn, nil
}

// list writes the engine's entry to the list.
func (en *engine) list() {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	en.sequence++
	en.lastBeat = time.Now()
	body, _ := json.Marshal(map[string]any{
		"Service": en.service, "Address": en.address, "Zone": en.zone, "Version": "v1", "Slots": en.slots, "State": "ready",
		"ColdRemainingMs": en.coldRemaining().Milliseconds(), "Sequence": en.sequence, "born": en.bornAt.UnixMilli(),
	})
	en.deployment.store.Put("keyed.servers", en.id, body)
}

// coldRemaining returns how long the engine remains cold. The caller holds the mutex.
func (en *engine) coldRemaining() time.Duration { return max(0, time.Until(en.bornAt.Add(en.coldFor))) }

// beat writes the entry in each check-in interval. The entry of a dark engine is removed after three intervals.
func (en *engine) beat() {
	for {
		time.Sleep(heartbeat)
		en.mutex.Lock()
		closed, dark := en.closed, en.dark != nil
		en.mutex.Unlock()
		switch {
		case closed:
			return
		case !dark:
			en.list()
		}
	}
}

// crash takes the engine down for its downtime, after which it boots again. Unless it resets its channels, it is dark: its
// channels hang, and new ones are not accepted. It writes nothing to the list.
func (en *engine) crash(cause string) {
	en.mutex.Lock()
	if en.dark != nil || en.closed {
		en.mutex.Unlock()
		return
	}
	en.dark = make(chan struct{})
	en.crashes = append(en.crashes, time.Now())
	id, lastBeat, listener := en.id, en.lastBeat, en.listener
	en.mutex.Unlock()
	en.deployment.note("engine %s crashes under %s and is down for %s", id, cause, en.downtime)
	time.AfterFunc(time.Until(lastBeat.Add(3*heartbeat)), func() { en.deployment.store.Put("keyed.servers", id, nil) })
	time.AfterFunc(en.downtime, en.reboot)
	if en.resets {
		en.reset()
		return
	}
	setBacklog(listener, 0)
	en.fillBacklog()
	if en.unframed {
		en.endChannels()
	}
}

// fillBacklog opens channels until none is accepted any more.
func (en *engine) fillBacklog() {
	for {
		conn, err := net.DialTimeout("tcp", en.address, 20*time.Millisecond)
		if err != nil {
			return
		}
		en.mutex.Lock()
		en.fillers = append(en.fillers, conn)
		en.mutex.Unlock()
	}
}

// reset ends all channels of a process that is gone.
func (en *engine) reset() {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	_ = en.listener.Close()
	for conn := range en.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	for _, conn := range en.fillers {
		_ = conn.Close()
	}
	en.conns, en.fillers = map[net.Conn]struct{}{}, nil
}

// endChannels ends all channels in the ordinary way.
func (en *engine) endChannels() {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	for conn := range en.conns {
		_ = conn.Close()
	}
	en.conns = map[net.Conn]struct{}{}
}

// setBacklog changes the number of channels that wait to be accepted.
func setBacklog(listener *net.TCPListener, backlog int) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), backlog) })
}

// reboot ends what was open before the crash, and boots the engine.
func (en *engine) reboot() {
	en.mutex.Lock()
	closed := en.closed
	en.mutex.Unlock()
	if closed {
		return
	}
	en.reset()
	en.mutex.Lock()
	close(en.dark)
	en.dark = nil
	en.mutex.Unlock()
	en.up()
}

// close ends the engine for good.
func (en *engine) close() {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	if en.closed {
		return
	}
	en.closed = true
	if en.dark != nil {
		close(en.dark)
		en.dark = nil
	}
	_ = en.listener.Close()
	for conn := range en.conns {
		_ = conn.Close()
	}
	for _, conn := range en.fillers {
		_ = conn.Close()
	}
}

// darkness returns a channel that is closed when the engine boots again, or nil if it is up.
func (en *engine) darkness() chan struct{} {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	return en.dark
}

// abortIfDark never returns while the engine is dark, and then ends the request without an answer.
func (en *engine) abortIfDark() {
	if dark := en.darkness(); dark != nil {
		<-dark
		panic(http.ErrAbortHandler)
	}
}

func (en *engine) serve(rw http.ResponseWriter, rq *http.Request) {
	en.abortIfDark()
	if rq.URL.Path == "/-/report" {
		en.mutex.Lock()
		running, waiting := en.running, en.waiting
		en.mutex.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(rw, `{"Stage":"prefill_decode","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Active":false,"Sequence":0,"Queued":%d,"Running":%d,"KvUsed":0,"KvTotal":315000,"Handles":0,"pace":1.0}`, waiting, running)
		return
	}
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	header := rw.Header()
	attempt := rq.Header.Get("X-Attempt-Id")
	header.Set("X-Attempt-Id", attempt)
	en.mutex.Lock()
	id, slot := en.id, en.slot
	en.mutex.Unlock()
	if rq.Header.Get("X-Expect-Instance") != id {
		header.Set("X-Engine-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ex := en.deployment.arrived(id, attempt, string(body))
	en.mutex.Lock()
	full := en.waiting >= queueLength
	en.waiting++
	en.mutex.Unlock()
	if full {
		en.count(-1, 0)
		header.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case slot <- struct{}{}:
	case <-rq.Context().Done():
		en.count(-1, 0)
		return
	}
	en.count(-1, 1)
	defer func() { <-slot; en.count(0, -1) }()
	en.abortIfDark()
	en.deployment.begins(ex)
	if strings.Contains(ex.body, deadlyMark) {
		// It has begun to run.
		time.Sleep(en.work / 2)
		en.crash("request " + attempt)
		en.abortIfDark()
	}
	header.Set("X-Response-Seal", "seal-of-"+id)
	if rq.Header.Get("X-Token-Count") != "" {
		en.stream(rw, rq, ex)
		return
	}
	if en.unframed {
		en.answerUnframed(rw, ex)
		return
	}
	select {
	case <-time.After(en.work):
	case <-rq.Context().Done():
		return
	}
	en.abortIfDark()
	en.mutex.Lock()
	header.Set("X-Engine-Load", fmt.Sprintf("%d,%d,%d", en.running, en.waiting, en.slots))
	en.mutex.Unlock()
	_, _ = fmt.Fprintf(rw, "answer of %s to %s", id, attempt)
	en.deployment.ends(ex)
}

// unframedAnswer is the whole body of an answer that ends with its channel.
func unframedAnswer(attempt string) string {
	return "answer to " + attempt + ": " + strings.Repeat("0123456789", 80) + " end"
}

// answerUnframed sends the answer in pieces over the time of the work, and ends the channel.
func (en *engine) answerUnframed(rw http.ResponseWriter, ex *executed) {
	const pieces = 8
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	body := unframedAnswer(ex.attempt)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-of-%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", ex.attempt, ex.engine)
	for piece := range pieces {
		if _, err := conn.Write([]byte(body[piece*len(body)/pieces : (piece+1)*len(body)/pieces])); err != nil {
			return
		}
		time.Sleep(en.work / pieces)
		if en.darkness() != nil {
			return
		}
	}
	en.deployment.ends(ex)
}

// stream sends some events.
func (en *engine) stream(rw http.ResponseWriter, rq *http.Request, ex *executed) {
	const events = 5
	rw.Header().Set("Content-Type", "text/event-stream")
	for number := 1; number <= events; number++ {
		select {
		case <-time.After(en.work / events):
		case <-rq.Context().Done():
			return
		}
		en.abortIfDark()
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: event %d of %s\n\n", number, number, ex.attempt)
		_ = http.NewResponseController(rw).Flush()
	}
	en.deployment.ends(ex)
}

// count changes the numbers of waiting and running requests.
func (en *engine) count(waiting, running int) {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	en.waiting += waiting
	en.running += running
}

// arrived records that a request has reached an engine.
func (dp *deployment) arrived(engine, attempt, body string) *executed {
	dp.mutex.Lock()
	defer dp.mutex.Unlock()
	ex := &executed{engine: engine, attempt: attempt, body: body, at: time.Now()}
	dp.runs = append(dp.runs, ex)
	return ex
}

func (dp *deployment) begins(ex *executed) {
	dp.mutex.Lock()
	defer dp.mutex.Unlock()
	ex.ran = true
}

func (dp *deployment) ends(ex *executed) {
	dp.mutex.Lock()
	defer dp.mutex.Unlock()
	ex.done = true
}

// executions returns copies of the requests that reached engines so far.
func (dp *deployment) executions() []executed {
	dp.mutex.Lock()
	defer dp.mutex.Unlock()
	runs := make([]executed, len(dp.runs))
	for ix, ex := range dp.runs {
		runs[ix] = *ex
	}
	return runs
}

// crashTimes returns the times of all crashes of engines.
func (dp *deployment) crashTimes() []time.Time {
	var times []time.Time
	for _, en := range dp.engines {
		en.mutex.Lock()
		times = append(times, en.crashes...)
		en.mutex.Unlock()
	}
	return times
}
