//go:build review

package lab

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	engineProcessEnv = "REVIEW_ENGINE"
	streamLength     = 8
	streamPause      = 45 * time.Millisecond
)

// TestEngineProcess is no test but an engine in a process of its own: it serves at the address in REVIEW_ENGINE until it
// is killed. Its answers have no length and end with their channel.
func TestEngineProcess(t *testing.T) {
	address := os.Getenv(engineProcessEnv)
	if address == "" {
		t.Skip("started by other tests")
	}
	listener, err := net.Listen("tcp", address)
	for tries := 0; err != nil && tries < 100; tries++ {
		time.Sleep(20 * time.Millisecond)
		listener, err = net.Listen("tcp", address)
	}
	if err != nil {
		os.Exit(exitNotRun)
	}
	fmt.Println("listening")
	_ = http.Serve(listener, http.HandlerFunc(serveWithoutLength))
}

func serveWithoutLength(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/-/report":
		_, _ = fmt.Fprint(writer, `{"Stage":"prefill_decode","Queued":0,"Running":0,"KvUsed":0,"KvTotal":315000,"Handles":0,"pace":1}`)
		return
	case "/-/order":
		_, _ = fmt.Fprint(writer, `{"Available":315000}`)
		return
	}
	attempt := request.Header.Get("X-Attempt-Id")
	if _, err := readAll(request); err != nil {
		return
	}
	channel, _, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = channel.Close() }()
	time.Sleep(80 * time.Millisecond)
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Seal: " + attempt + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	if _, err := channel.Write([]byte(head)); err != nil {
		return
	}
	last := 0
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &last)
	for number := last + 1; number <= streamLength; number++ {
		if _, err := fmt.Fprintf(channel, "id: %d\ndata: event %d of %s\n\n", number, number, attempt); err != nil {
			return
		}
		fmt.Printf("%s event %d\n", attempt, number)
		time.Sleep(streamPause)
	}
}

// engineProcess is an engine in a process of its own.
type engineProcess struct {
	fleet   *fleet
	id      string
	zone    string
	address string

	mutex    sync.Mutex
	process  *exec.Cmd
	born     int64
	sequence int
}

// start starts a boot of the engine and notes the events that it makes.
func (ep *engineProcess) start() {
	process := exec.Command(os.Args[0], "-test.run", "^TestEngineProcess$")
	process.Env = append(os.Environ(), engineProcessEnv+"="+ep.address)
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := process.StdoutPipe()
	if err == nil {
		err = process.Start()
	}
	if err != nil {
		ep.fleet.finish(exitNotRun, "start %s: %v", ep.id, err)
	}
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		ep.fleet.finish(exitNotRun, "%s does not listen", ep.id)
	}
	go func() {
		for lines.Scan() {
			ep.fleet.note("%s makes %s", ep.id, lines.Text())
		}
	}()
	ep.mutex.Lock()
	ep.process, ep.born, ep.sequence = process, time.Now().UnixMilli(), 0
	ep.mutex.Unlock()
	ep.beat()
}

// kill ends the process with SIGKILL.
func (ep *engineProcess) kill() {
	ep.mutex.Lock()
	process := ep.process
	ep.process = nil
	ep.mutex.Unlock()
	if process != nil {
		_ = process.Process.Kill()
		_ = process.Wait()
	}
}

// beat writes the engine's entry, unless its process does not run.
func (ep *engineProcess) beat() {
	ep.mutex.Lock()
	defer ep.mutex.Unlock()
	if ep.process == nil {
		return
	}
	ep.sequence++
	entry := fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":16,"State":"ready","ColdRemainingMs":0,"Sequence":%d,"born":%d,"Stage":"prefill_decode","Models":[{"Name":"m","Version":1}]}`,
		modelService, ep.address, ep.zone, ep.sequence, ep.born)
	ep.fleet.store.Put("keyed.servers", ep.id, []byte(entry))
}

// TestCrashDuringAnswerWithoutLength has engines, whose streams have no length, crash while they write.
func TestCrashDuringAnswerWithoutLength(t *testing.T) {
	fl := newFleet(t)
	const engineCount = 6
	var engines []*engineProcess
	for ix := range engineCount {
		ep := &engineProcess{fleet: fl, id: fmt.Sprintf("i-llm-%d", ix+1), zone: fmt.Sprintf("norte-%c", 'a'+ix%3), address: freeAddress()}
		ep.start()
		engines = append(engines, ep)
	}
	go func() {
		for {
			for _, ep := range engines {
				ep.beat()
			}
			select {
			case <-time.After(heartbeat):
			case <-fl.stop:
				return
			}
		}
	}()
	fl.publish(standardRoutes())
	fl.startHosts(3)
	time.Sleep(contact)
	const (
		clients  = 24
		crashes  = 6
		downtime = 2 * time.Second
		interval = 5 * time.Second
	)
	var wait sync.WaitGroup
	var mutex sync.Mutex
	var whole, failed, endedEarly int
	stop := make(chan struct{})
	for number := range clients {
		wait.Go(func() {
			for sent := 0; ; sent++ {
				select {
				case <-stop:
					return
				default:
				}
				attempt := fmt.Sprintf("c%d-%d", number, sent)
				hs := fl.hosts[(number+sent)%len(fl.hosts)]
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				fl.note("client %d sends %s to %s", number, attempt, hs.name)
				got := fl.send(ctx, hs, http.MethodPost, attempt, "/quote/"+attempt, "4960,1600", 10*time.Second, []byte("prompt "+attempt))
				cancel()
				pieces := strings.Count(got.body, "\n\n")
				ended := "as complete"
				mutex.Lock()
				switch {
				case got.status != http.StatusOK || got.err != nil:
					failed++
					ended = "as a failure"
				case pieces < streamLength:
					endedEarly++
					ended = "as complete before its last piece"
				default:
					whole++
				}
				mutex.Unlock()
				fl.note("client %d gets %d with %d pieces to %s, which ends %s; error %v", number, got.status, pieces, attempt, ended, got.err)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for number := range crashes {
		time.Sleep(interval - downtime)
		ep := engines[number%len(engines)]
		if fl.trouble {
			fl.note("%s crashes (SIGKILL)", ep.id)
			ep.kill()
		}
		time.Sleep(downtime)
		if fl.trouble {
			ep.start()
			fl.note("%s has started again", ep.id)
		}
	}
	close(stop)
	wait.Wait()
	for _, ep := range engines {
		ep.kill()
	}
	mutex.Lock()
	defer mutex.Unlock()
	if whole < 100 {
		fl.finish(exitNotRun, "only %d streams were whole, %d failed", whole, failed)
	}
	if endedEarly > 0 {
		fl.finish(exitBroken, "ORDER: %d streams ended as complete before their last piece; %d were whole, %d failed", endedEarly, whole, failed)
	}
	fl.finish(exitHeld, "held: no stream ended as complete before its last piece; %d were whole, %d failed", whole, failed)
}
