package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

const (
	// freeDescriptors is the number of descriptors that limitDescriptors leaves to the daemon.
	freeDescriptors = 20
	// crowd is a number of connections that needs more descriptors than these.
	crowd = 4 * freeDescriptors
)

// openDescriptors returns the number of descriptors that a program uses.
func openDescriptors(t *testing.T, pr *process) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pr.cmd.Process.Pid))
	assert.NilError(t, err)
	return len(entries)
}

// limitDescriptors lets a program open freeDescriptors more descriptors than it uses, and returns its limit.
func limitDescriptors(t *testing.T, pr *process) int {
	t.Helper()
	limit := openDescriptors(t, pr) + freeDescriptors
	assert.NilError(t, unix.Prlimit(pr.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(limit), Max: uint64(limit)}, nil))
	return limit
}

// openCrowd opens crowd connections to clients' address and sends the start of a request on each. It returns when the
// program uses most of its descriptors.
func (ph *platformHost) openCrowd(limit int) []net.Conn {
	ph.t.Helper()
	var conns []net.Conn
	for range crowd {
		conn, err := net.Dial("tcp", ph.address)
		assert.NilError(ph.t, err)
		ph.t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, "GET /order/1 HT")
		assert.NilError(ph.t, err)
		conns = append(conns, conn)
	}
	ph.eventually("clients use the descriptors", func() bool { return openDescriptors(ph.t, ph.process) >= limit*3/4 })
	return conns
}

// TestClientsWithAllDescriptorsCutRequests has clients take all descriptors of a daemon that has requests in flight. They
// must get their whole answers, also if the daemon is stopped, and new clients must be served when there are descriptors
// again.
func TestClientsWithAllDescriptorsCutRequests(t *testing.T) {
	const maxLines = 200
	for name, stops := range map[string]bool{"serving": false, "stopping": true} {
		t.Run(name, func(t *testing.T) {
			ph := startPlatformHost(t, 8*time.Second, "", nil)
			requests := ph.startRequests(4 * time.Second)
			limit := limitDescriptors(t, ph.process)
			conns := ph.openCrowd(limit)
			if stops {
				assert.NilError(t, ph.cmd.Process.Signal(syscall.SIGTERM))
			}
			requests.assertWhole()
			if stops {
				ph.assertExitCode(t, 0)
			} else {
				for _, conn := range conns {
					_ = conn.Close()
				}
				ph.eventually("a new client is served", func() bool { return ph.send("/read/1", "after").status == http.StatusOK })
			}
			assert.Assert(t, strings.Count(ph.stdout.String(), "\n") < maxLines, ph.stdout.String())
		})
	}
}

// TestIdleClientsWithAllDescriptorsKeepOthersOut has clients send a request each, on connections that then stay open and
// need more descriptors than the daemon has. All must be answered, without waiting for the others' idle time to end.
func TestIdleClientsWithAllDescriptorsKeepOthersOut(t *testing.T) {
	const workers = 3
	ph := startPlatformHost(t, 8*time.Second, "", nil)
	limitDescriptors(t, ph.process)
	answers := make(chan error, crowd)
	for worker := range workers {
		go func() {
			for number := worker; number < crowd; number += workers {
				conn, err := net.Dial("tcp", ph.address)
				if err == nil {
					t.Cleanup(func() { _ = conn.Close() })
					_ = conn.SetDeadline(time.Now().Add(waitLimit))
					_, _ = fmt.Fprintf(conn, "GET /read/1 HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nX-Attempt-Id: a%d\r\n\r\n", virtualHost, platformKey, number)
					err = readAnswer(conn)
				}
				answers <- err
			}
		}()
	}
	for range crowd {
		assert.NilError(t, <-answers)
	}
}

// readAnswer reads a response and leaves its connection open. Any status but 200 is an error.
func readAnswer(conn net.Conn) error {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return nil
}
