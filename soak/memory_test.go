package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

const (
	// memoryMegabytes is the memory of the smallest host.
	memoryMegabytes = 206
	// faultyExchanges is the number of concurrent requests to servers that misbehave.
	faultyExchanges = 300
	// faultyServers is the number of these servers of each service.
	faultyServers = 40
	// faultyTime is how long clients send requests to them.
	faultyTime = 2500 * time.Millisecond
)

// faultyResponse describes what a faulty server sends in response to each request, with the request's attempt ID for
// each %s in head.
type faultyResponse struct {
	name string
	head string
	// repeated is sent after the head until the connection is closed; if it is empty, the server sends nothing more.
	repeated string
	// byteRate is how many bytes of head the server sends each second; 0 for no limit.
	byteRate int
	// requests counts the requests that servers received, if it is set.
	requests *atomic.Int64
}

// shortFields returns header fields with different names and no values.
func shortFields(count int) string {
	var fields strings.Builder
	for ix := range count {
		fmt.Fprintf(&fields, "%x:\r\n", ix)
	}
	return fields.String()
}

// serveFaulty accepts connections and misbehaves on each of them as described.
func serveFaulty(listener net.Listener, faulty faultyResponse) {
	repeated := bytes.Repeat([]byte(faulty.repeated), 4096/max(1, len(faulty.repeated)))
	serve := func(connection net.Conn) {
		defer func() { _ = connection.Close() }()
		request, err := http.ReadRequest(bufio.NewReaderSize(connection, 1024))
		if err != nil {
			return
		}
		if faulty.requests != nil && request.Header.Get("X-Attempt-Id") != "" {
			faulty.requests.Add(1)
		}
		head := []byte(strings.ReplaceAll(faulty.head, "%s", request.Header.Get("X-Attempt-Id")))
		for ; faulty.byteRate > 0 && len(head) > faulty.byteRate/10; time.Sleep(100 * time.Millisecond) {
			if _, err := connection.Write(head[:faulty.byteRate/10]); err != nil {
				return
			}
			head = head[faulty.byteRate/10:]
		}
		_, err = connection.Write(head)
		for err == nil && len(repeated) > 0 {
			_, err = connection.Write(repeated)
		}
		_, _ = io.Copy(io.Discard, connection)
	}
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(connection)
	}
}

// startHostWithMemory starts a daemon whose servers all misbehave as described. It returns the daemon's address for
// clients and its process ID.
func startHostWithMemory(t *testing.T, faulty faultyResponse) (string, int) {
	store := standin.NewStore()
	t.Cleanup(store.Close)
	state := standin.ExampleDesiredState(virtualHost, apiKey)
	for _, service := range state["Services"].([]any) {
		service.(map[string]any)["MaxConnections"] = 2 * faultyExchanges
	}
	assert.NilError(t, store.PublishDesiredState(state))
	for ix := range 2 * faultyServers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go serveFaulty(listener, faulty)
		entry, err := json.Marshal(map[string]any{
			"Service": []string{"books", "models"}[ix%2], "Address": listener.Addr().String(), "Zone": "zone-a", "Version": "v1", "Slots": 16, "ColdRemainingMs": 0,
			"State": "ready", "Sequence": 1, "born": time.Now().UnixMilli(),
		})
		assert.NilError(t, err)
		store.Put("keyed.servers", fmt.Sprint("server-", ix), entry)
	}
	address, readyAddress := testutil.FreeAddress(t), testutil.FreeAddress(t)
	settingsPath := filepath.Join(t.TempDir(), "host.ini")
	assert.NilError(t, os.WriteFile(settingsPath, fmt.Appendf(nil, `[Host]
Name = host-1
AvailabilityZone = zone-a
CallerAddress = %s
PeerAddress = %s
OperatorAddress = %s
ReadyAddress = %s
DirectoryAddress = %s
[Platform]
Kind = Store
URL = http://%s
[Callers]
KeepAddresses = 1s
[Operators]
ShutdownTimeout = 1s
[Limits]
MemoryMegabytes = %d
`, address, testutil.FreeAddress(t), testutil.FreeAddress(t), readyAddress, testutil.FreeAddress(t), store.Address(), memoryMegabytes), 0o600))
	process := exec.Command(filepath.Join(binariesDir, "hibiscusleverd"), "--settings", settingsPath)
	output := &bytes.Buffer{}
	process.Stdout, process.Stderr = output, output
	assert.NilError(t, process.Start())
	t.Cleanup(func() {
		_ = process.Process.Signal(syscall.SIGKILL)
		_ = process.Wait()
		if t.Failed() {
			t.Logf("%s", output.Bytes()[max(0, output.Len()-2000):])
		}
	})
	for deadline := time.Now().Add(waitLimit); ; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the host is not ready")
		response, err := http.Get("http://" + readyAddress + "/-/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return address, process.Process.Pid
		}
	}
}

// sendUntil sends requests to a host until the context ends and reads the responses. A request without token counts is
// one to a plain service. It returns the number of responses and the number of bytes in their bodies.
func sendUntil(ctx context.Context, client *http.Client, address, name, tokenCounts string) (int, int64) {
	responses, bodyBytes := 0, int64(0)
	for number := 0; ctx.Err() == nil; number++ {
		method, path := http.MethodGet, "/read/x"
		if tokenCounts != "" {
			method, path = http.MethodPost, "/chat/x"
		}
		request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader("x"))
		if err != nil {
			return responses, bodyBytes
		}
		request.Host = virtualHost
		standin.SetRequestHeaders(request.Header, fmt.Sprint(name, "-", number), apiKey, tokenCounts)
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		responses++
		count, _ := io.Copy(io.Discard, response.Body)
		bodyBytes += count
		_ = response.Body.Close()
		time.Sleep(20 * time.Millisecond)
	}
	return responses, bodyBytes
}

// peakResidentMegabytes returns the highest resident memory of a process so far.
func peakResidentMegabytes(t *testing.T, processID int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", processID))
	assert.NilError(t, err, "the host has ended")
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	assert.NilError(t, err)
	return kilobytes / 1024
}

// TestMisbehavingServersExhaustMemoryOfHost has all servers of a daemon misbehave at once while clients send requests to plain
// services and to engines. The daemon must stay within the memory of the smallest host.
func TestMisbehavingServersExhaustMemoryOfHost(t *testing.T) {
	const (
		identified = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
		chunked    = identified + "Transfer-Encoding: chunked\r\n\r\n"
		stream     = identified + "Content-Type: text/event-stream\r\n\r\n"
	)
	for _, faulty := range []faultyResponse{
		{name: "one endless field", head: identified + "Field: ", repeated: "x"},
		{name: "one long field that stops", head: identified + "Field: " + strings.Repeat("x", 36<<10)},
		{name: "thousands of short fields", head: identified + shortFields(40_000) + "\r\n"},
		{name: "thousands of short fields that stop", head: identified + shortFields(7000)},
		{name: "thousands of short fields sent slowly", head: identified + shortFields(7000), byteRate: 20_000},
		{name: "a head as long as allowed", head: identified + shortFields(250) + "Field: " + strings.Repeat("x", 36<<10) + "\r\n\r\n", repeated: "x"},
		{name: "endless interim heads", repeated: "HTTP/1.1 100 Continue\r\n\r\n"},
		{name: "endless body", head: identified + "\r\n", repeated: "x"},
		{name: "endless announced body", head: identified + "Content-Length: 9000000000000000000\r\n\r\n", repeated: "x"},
		{name: "endless chunks", head: chunked, repeated: "1\r\nx\r\n"},
		{name: "endless chunk extensions", head: chunked, repeated: "1;extension=1\r\nx\r\n"},
		{name: "one endless chunk extension", head: chunked + "1;", repeated: "x"},
		{name: "endless chunk trailers", head: chunked + "0\r\n", repeated: "a:b\r\n"},
		{name: "many chunk trailers", head: chunked + "2\r\nok\r\n0\r\n" + shortFields(600) + "\r\n"},
		{name: "endless event line", head: stream + "data: ", repeated: "x"},
		{name: "event line that stops", head: stream + "data: " + strings.Repeat("x", 63<<10)},
		{name: "endless event of short lines", head: stream, repeated: "data: x\n"},
		{name: "endless comments", head: stream, repeated: ": x\n"},
		{name: "endless events", head: stream, repeated: "id: 1\ndata: x\n\n"},
		{name: "endless skipped answers", repeated: "HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\nContent-Length: 2\r\n\r\nok"},
		{name: "one endless skipped answer", head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\n\r\n", repeated: "x"},
		{name: "endless failure", head: "HTTP/1.1 500 Failed\r\nX-Attempt-Id: %s\r\n\r\n", repeated: "x"},
		{name: "endless refusal", head: "HTTP/1.1 503 Full\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n\r\n", repeated: "x"},
		{name: "no answer", repeated: "x"},
	} {
		t.Run(faulty.name, func(t *testing.T) {
			faulty.requests = new(atomic.Int64)
			address, processID := startHostWithMemory(t, faulty)
			initial := peakResidentMegabytes(t, processID)
			ctx, cancel := context.WithTimeout(t.Context(), faultyTime)
			defer cancel()
			transport := &http.Transport{MaxIdleConnsPerHost: faultyExchanges, ReadBufferSize: 1024}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			var group sync.WaitGroup
			var mutex sync.Mutex
			responses, bodyBytes := 0, int64(0)
			for ix := range faultyExchanges {
				group.Go(func() {
					count, size := sendUntil(ctx, client, address, fmt.Sprint("request-", ix), []string{"", "1000,50"}[ix%2])
					mutex.Lock()
					defer mutex.Unlock()
					responses, bodyBytes = responses+count, bodyBytes+size
				})
			}
			group.Wait()
			peak := peakResidentMegabytes(t, processID)
			t.Logf("resident memory %d MB, at the start %d MB; %d requests at servers, %d responses, %d KB", peak, initial, faulty.requests.Load(), responses, bodyBytes>>10)
			assert.Assert(t, faulty.requests.Load() >= faultyServers, "%d requests at servers", faulty.requests.Load())
			assert.Assert(t, peak < memoryMegabytes, "resident memory of %d MB", peak)
		})
	}
}

// TestSoundLargeAnswersPass has servers send answers with many fields, long heads, long events and long bodies. All of
// them must reach the client whole.
func TestSoundLargeAnswersPass(t *testing.T) {
	const (
		plain  = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
		stream = plain + "Content-Type: text/event-stream\r\n"
	)
	longEvent := "id: 1\ndata: " + strings.Repeat("x", 60<<10) + "\n\n"
	eventOfLines := "id: 1\n" + strings.Repeat("data: "+strings.Repeat("x", 90)+"\n", 600) + "\n"
	for _, tc := range []struct {
		name, head, tokenCounts, body string
		// fields is the number of fields that shortFields adds to the head.
		fields int
	}{
		{name: "100 fields", head: plain, body: "ok", fields: 100},
		{name: "a field of 24 KB", head: plain + "Field: " + strings.Repeat("x", 24<<10) + "\r\n", body: "ok"},
		{name: "200 KB", head: plain, body: strings.Repeat("line\n", 40<<10)},
		{name: "200 KB of empty lines", head: plain, body: strings.Repeat("\n", 200<<10)},
		{name: "stream with 100 fields", head: stream, tokenCounts: "1000,50", body: "id: 1\ndata: x\n\n", fields: 100},
		{name: "event of 60 KB", head: stream, tokenCounts: "1000,50", body: longEvent},
		{name: "event of 600 lines", head: stream, tokenCounts: "1000,50", body: eventOfLines},
		{name: "comments of 60 KB", head: stream, tokenCounts: "1000,50", body: strings.Repeat(": "+strings.Repeat("x", 96)+"\n", 600) + "\nid: 1\ndata: x\n\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			head := fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n", tc.head, shortFields(tc.fields), len(tc.body))
			address, _ := startHostWithMemory(t, faultyResponse{head: head + tc.body})
			method, path := http.MethodGet, "/read/x"
			if tc.tokenCounts != "" {
				method, path = http.MethodPost, "/chat/x"
			}
			request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader("x"))
			assert.NilError(t, err)
			request.Host = virtualHost
			standin.SetRequestHeaders(request.Header, "attempt-1", apiKey, tc.tokenCounts)
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK, "%s", body[:min(len(body), 200)])
			assert.Assert(t, string(body) == tc.body, "%d bytes instead of %d", len(body), len(tc.body))
			if tc.fields > 0 {
				_, hasLast := response.Header[http.CanonicalHeaderKey(fmt.Sprintf("%x", tc.fields-1))]
				assert.Assert(t, hasLast)
			}
		})
	}
}

// TestLongRequestBodiesExhaustMemory has clients send more bytes in the bodies of concurrent requests than the memory
// of the smallest host, while no server answers. The daemon must stay within that memory.
func TestLongRequestBodiesExhaustMemory(t *testing.T) {
	const (
		requests  = 64
		bodyBytes = 4 << 20
	)
	address, processID := startHostWithMemory(t, faultyResponse{})
	ctx, cancel := context.WithTimeout(t.Context(), faultyTime)
	defer cancel()
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var group sync.WaitGroup
	for ix := range requests {
		group.Go(func() {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/read/x", bytes.NewReader(body))
			assert.Check(t, err)
			request.Host = virtualHost
			standin.SetRequestHeaders(request.Header, fmt.Sprint("request-", ix), apiKey, "")
			if response, err := http.DefaultClient.Do(request); err == nil {
				assert.Check(t, response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "", "%s", response.Status)
				_ = response.Body.Close()
			}
		})
	}
	group.Wait()
	peak := peakResidentMegabytes(t, processID)
	t.Logf("resident memory %d MB", peak)
	assert.Assert(t, peak < memoryMegabytes, "resident memory of %d MB", peak)
}
