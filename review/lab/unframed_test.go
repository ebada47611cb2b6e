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
	// streamPieces is the number of events of a stream, plainPieces that of the pieces of a plain answer.
	streamPieces = 8
	streamPause  = 45 * time.Millisecond
	plainPieces  = 16
	plainPause   = 5 * time.Millisecond
)

// plainPiece is a piece of a plain answer. The answers are as long as the longest ones of the site file.
var plainPiece = strings.Repeat("x", 4800/plainPieces-1) + "\n"

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
	isStream := request.Header.Get("X-Token-Count") != ""
	contentType, pieces, pause, work := "application/octet-stream", plainPieces, plainPause, 30*time.Millisecond
	if isStream {
		contentType, pieces, pause, work = "text/event-stream", streamPieces, streamPause, 80*time.Millisecond
	}
	time.Sleep(work)
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Seal: " + attempt + "\r\nContent-Type: " + contentType + "\r\nConnection: close\r\n\r\n"
	if _, err := channel.Write([]byte(head)); err != nil {
		return
	}
	last := 0
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &last)
	for number := last + 1; number <= pieces; number++ {
		piece := plainPiece
		if isStream {
			piece = fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", number, number, attempt)
		}
		if _, err := channel.Write([]byte(piece)); err != nil {
			return
		}
		fmt.Printf("piece %d of %s\n", number, attempt)
		time.Sleep(pause)
	}
}

// engineProcess is an engine in a process of its own.
type engineProcess struct {
	fleet   *fleet
	id      string
	service string
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
		ep.service, ep.address, ep.zone, ep.sequence, ep.born)
	ep.fleet.store.Put("keyed.servers", ep.id, []byte(entry))
}

// TestCrashDuringAnswerWithoutLength has engines and servers of the plain service, whose answers have no length, crash
// while they write.
func TestCrashDuringAnswerWithoutLength(t *testing.T) {
	fl := newFleet(t)
	const enginesPerService = 6
	var engines []*engineProcess
	for ix := range enginesPerService {
		for _, service := range []string{modelService, plainService} {
			ep := &engineProcess{fleet: fl, id: fmt.Sprintf("i-%s-%d", service, ix+1), service: service, zone: fmt.Sprintf("norte-%c", 'a'+ix%3), address: freeAddress()}
			ep.start()
			engines = append(engines, ep)
		}
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
		clientsPerService = 24
		crashes           = 12
		downtime          = 2 * time.Second
		interval          = 4 * time.Second
	)
	var wait sync.WaitGroup
	var mutex sync.Mutex
	whole, endedEarly, failed := map[string]int{}, map[string]int{}, map[string]int{}
	stop := make(chan struct{})
	for number := range 2 * clientsPerService {
		wait.Go(func() {
			for sent := 0; ; sent++ {
				select {
				case <-stop:
					return
				default:
				}
				attempt := fmt.Sprintf("c%d-%d", number, sent)
				hs := fl.hosts[(number+sent)%len(fl.hosts)]
				service, method, path, tokens, deadline := modelService, http.MethodPost, "/quote/"+attempt, "4960,1600", 10*time.Second
				if number%2 == 1 {
					service, method, path, tokens, deadline = plainService, http.MethodGet, "/stock/"+attempt, "", 1500*time.Millisecond
				}
				ctx, cancel := context.WithTimeout(context.Background(), deadline)
				fl.note("client %d sends %s to %s", number, attempt, hs.name)
				got := fl.send(ctx, hs, method, attempt, path, tokens, deadline, nil)
				cancel()
				pieces, all := strings.Count(got.body, "\n\n"), streamPieces
				if service == plainService {
					pieces, all = len(got.body)/len(plainPiece), plainPieces
				}
				ended := "as a whole"
				mutex.Lock()
				switch {
				case got.status != http.StatusOK || got.err != nil:
					failed[service]++
					ended = "as a failure"
				case pieces < all:
					endedEarly[service]++
					ended = "as if it were whole"
				default:
					whole[service]++
				}
				mutex.Unlock()
				fl.note("client %d gets %d with %d of %d pieces to %s, which ends %s; error %v", number, got.status, pieces, all, attempt, ended, got.err)
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
	if whole[modelService] < 100 || whole[plainService] < 100 {
		fl.finish(exitNotRun, "too few answers: %v whole, %v failed", whole, failed)
	}
	counts := fmt.Sprintf("%d streams ended as complete before their last piece, %d plain answers of success lacked a part; whole: %d and %d; failed: %d and %d",
		endedEarly[modelService], endedEarly[plainService], whole[modelService], whole[plainService], failed[modelService], failed[plainService])
	if endedEarly[modelService] > 0 || endedEarly[plainService] > 0 {
		fl.finish(exitBroken, "ORDER and MIXED: %s", counts)
	}
	fl.finish(exitHeld, "held: %s", counts)
}
