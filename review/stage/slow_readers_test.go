//go:build review

package stage

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// slowReaders has sound servers give answers without a length to requesters that read slowly, on channels that were used
// before. An answer must end as complete once the server has given all of it.
func slowReaders(st *stage) string {
	const (
		// deadline and timeoutMs are those of the kind crew-book.
		deadline  = 4 * time.Second
		timeoutMs = 2000
		// answerBytes exceeds what the system buffers on a loopback channel, about 2.6 MB.
		answerBytes = 12_000_000
		requesters  = 3
		rounds      = 10
		// A slow requester reads readBytes in each readPause.
		readBytes = 64 << 10
		readPause = 10 * time.Millisecond
		// startTime is how long after the machines traffic starts.
		startTime = 14 * time.Second
		// tolerated is the number of such ends that the rule allows.
		tolerated = 3
	)
	st.store.publish(timeoutMs)
	var whole atomic.Int64
	for ix := range 3 {
		sv := st.startUnframedServer(fmt.Sprintf("i-%d", ix+1), fmt.Sprintf("kigali-%c", 'a'+ix), answerBytes, &whole)
		defer sv.close()
	}
	st.startDaemons(inziraHqGrown, 3)
	time.Sleep(startTime)
	var cut, served atomic.Int64
	var group sync.WaitGroup
	for requester := range requesters {
		group.Go(func() {
			for round := range rounds {
				attempt := fmt.Sprintf("a%d-%d", requester, round)
				pause := time.Duration(0)
				if st.trouble {
					pause = readPause
				}
				count, took, err := st.sendOnKeptChannel(st.daemons[requester].front, attempt, deadline, readBytes, pause)
				st.record("%s got %d of %d bytes in %d ms, ended by %v", attempt, count, answerBytes, took.Milliseconds(), err)
				switch {
				case err == nil && count == answerBytes:
					served.Add(1)
				default:
					cut.Add(1)
				}
			}
		})
	}
	group.Wait()
	st.record("%d answers given whole by the servers, %d served, %d cut", whole.Load(), served.Load(), cut.Load())
	if whole.Load() < requesters*rounds {
		panic(couldNotRun("a server did not give its whole answer"))
	}
	if cut.Load() > tolerated {
		return fmt.Sprintf("%d of %d answers that sound servers had given whole ended without their end", cut.Load(), whole.Load())
	}
	return ""
}

// startUnframedServer starts a server whose answers to POST have no length and end with their channel.
func (st *stage) startUnframedServer(id, zone string, length int, whole *atomic.Int64) *server {
	sv := st.startServer(id, "bookings-app", zone, func() bool { return false })
	sv.answer = func(writer http.ResponseWriter, request *http.Request) bool {
		if request.Method != http.MethodPost {
			return false
		}
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return true
		}
		attempt := request.Header.Get("X-Attempt-Id")
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", attempt, id)
		_, err = io.WriteString(conn, strings.Repeat("x", length))
		closeErr := conn.Close()
		st.record("%s answered %s, written with %v, closed with %v", id, attempt, err, closeErr)
		if err == nil && closeErr == nil {
			whole.Add(1)
		}
		return true
	}
	return sv
}

// sendOnKeptChannel sends an ordinary request and then an order on one channel, and reads the answer to the order with a pause
// before each part. It returns the bytes of the body that arrived, and why the answer is not complete.
func (st *stage) sendOnKeptChannel(front, attempt string, deadline time.Duration, readBytes int, pause time.Duration) (int, time.Duration, error) {
	dialed, err := net.Dial("tcp", front)
	check(err)
	defer func() { _ = dialed.Close() }()
	check(dialed.(*net.TCPConn).SetReadBuffer(readBytes))
	reader := bufio.NewReader(dialed)
	head := func(method, path, attempt string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: 0\r\n\r\n", method, path, hostName, attempt, deadline.Milliseconds(), apiKey)
	}
	_, err = io.WriteString(dialed, head("GET", "/check/slot", attempt+"-first"))
	check(err)
	first, err := http.ReadResponse(reader, nil)
	check(err)
	_, err = io.Copy(io.Discard, first.Body)
	check(err)
	startedAt := time.Now()
	_, err = io.WriteString(dialed, head("POST", "/confirm/book", attempt))
	check(err)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, time.Since(startedAt), err
	}
	if response.StatusCode != http.StatusOK {
		return 0, time.Since(startedAt), fmt.Errorf("status %d", response.StatusCode)
	}
	total := 0
	part := make([]byte, readBytes)
	for {
		time.Sleep(pause)
		count, err := io.ReadFull(response.Body, part)
		total += count
		if err == io.EOF || err == io.ErrUnexpectedEOF && count < len(part) {
			// A body that ends between two parts ends with io.EOF, one that ends inside a part is read on to see how.
			if _, err = response.Body.Read(part[:1]); err == io.EOF {
				err = nil
			}
			return total, time.Since(startedAt), err
		}
		if err != nil {
			return total, time.Since(startedAt), err
		}
	}
}
