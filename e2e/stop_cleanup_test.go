package e2e

import (
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/standin/fault"
)

// TestSilentEngineDelaysStop stops a host of the log service with a request whose engines take no further calls. The calls
// that clean up after the request do not keep the host beyond its grace.
func TestSilentEngineDelaysStop(t *testing.T) {
	const grace = 8 * time.Second
	fl := startFleet(t, fleetConfig{hosts: 1, engines: 4})
	first := fl.hosts[0]
	fl.kill(first)
	path := filepath.Join(fl.settingsDir, first.name+".ini")
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, append(content, "[Operators]\nShutdownTimeout = "+grace.String()+"\n"...), 0o600))
	host := fl.startProgram(first.name, "hibiscusleverd", "--settings", path)
	host.address, host.operatorAddress = first.address, first.operatorAddress
	fl.waitUntilReady(host)
	received := make(chan callResult, 1)
	go func() {
		received <- fl.send(http.MethodPost, host.address, "/v1/chat/completions", "acme", chatRequestBody("across the stop", 900_000, false), nil)
	}()
	fl.eventually("the request has begun", func() bool { return fl.anyAttemptHolds(200_000) })
	fl.signal(host, syscall.SIGTERM)
	for _, en := range fl.engines {
		fl.setFault(en, fault.Fault{Freeze: true})
	}
	select {
	case <-host.exited:
	case <-time.After(grace):
		t.Fatal("the host has not ended within its grace")
	}
	got := <-received
	assert.NilError(t, got.err)
	assert.Equal(t, got.header.Get("Content-Type"), "application/json", got.body)
}
