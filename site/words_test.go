package site_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// TestLeavingIsAnnouncedToAllHosts has one host hear from a server that it is leaving. The list goes on naming the server as
// ready; all hosts leave it alone at once, the one that dispatches included. Once it is listed with another start it serves.
func TestLeavingIsAnnouncedToAllHosts(t *testing.T) {
	wd := newWorld(t)
	for _, name := range []string{"book-1", "book-2"} {
		wd.server(name, "books")
	}
	for _, name := range []string{"engine-1", "engine-2"} {
		wd.server(name, "models")
	}
	wd.publish()
	one := wd.host("host-1", true)
	two := wd.host("host-2", true, one.settings.Host.PeerAddress)
	for _, cs := range []struct {
		server string
		call   func(hs *host, attempt string) answer
	}{
		{"book-1", func(hs *host, attempt string) answer { return hs.get("/read/x", attempt) }},
		{"engine-1", func(hs *host, attempt string) answer { return hs.chat(attempt, 1000) }},
	} {
		leaving := wd.servers[cs.server]
		leaving.SetFault(standin.AnnouncesLeaving)
		number := 0
		attempt := func() string { number++; return fmt.Sprint(cs.server, "-", number) }
		wd.eventually(func() bool { return cs.call(one, attempt()).header.Get("Server-Leaving") == "1" })
		ran := len(leaving.ExecutedRequests())
		for range 20 {
			assert.Equal(t, cs.call(one, attempt()).status, http.StatusOK)
		}
		assert.Equal(t, len(leaving.ExecutedRequests()), ran)
		time.Sleep(500 * time.Millisecond)
		ran = len(leaving.ExecutedRequests())
		for range 20 {
			assert.Equal(t, cs.call(two, attempt()).status, http.StatusOK)
		}
		assert.Equal(t, len(leaving.ExecutedRequests()), ran)
		leaving.SetFault(standin.NoServerFault)
		leaving.SimulateRestart()
		wd.store.ListServer(leaving)
		wd.eventually(func() bool { cs.call(two, attempt()); return len(leaving.ExecutedRequests()) > ran })
	}
}

// TestAllServersAskForBackoff has every server turn requests away. A host sends each at most two more requests until
// its time is over, refuses what it can't send at once, and serves again soon after.
func TestAllServersAskForBackoff(t *testing.T) {
	wd := newWorld(t)
	var servers []*standin.Server
	for _, name := range []string{"book-1", "book-2"} {
		servers = append(servers, wd.server(name, "books"))
	}
	for _, name := range []string{"engine-1", "engine-2"} {
		servers = append(servers, wd.server(name, "models"))
	}
	wd.publish()
	hs := wd.host("host-1", true)
	for _, sv := range servers {
		sv.SetFault(standin.AsksForBackoff)
	}
	for number := range 60 {
		began := time.Now()
		for _, got := range []answer{hs.get("/read/x", fmt.Sprint("r", number)), hs.call(t.Context(), http.MethodPost, "/order/x", fmt.Sprint("o", number), "order")} {
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Assert(t, got.header.Get("Retry-After") != "")
		}
		assert.Assert(t, time.Since(began) < patience)
		time.Sleep(5 * time.Millisecond)
	}
	for _, sv := range servers {
		sv.SetFault(standin.NoServerFault)
		first := time.Time{}
		within := 0
		for _, at := range sv.BackoffResponses() {
			if first.IsZero() || at.Sub(first) > time.Second {
				first, within = at, 0
			}
			if at.Sub(first) > 500*time.Millisecond {
				within++
			}
			assert.Assert(t, within <= 2, "%s was not left alone: %v", sv.ID, sv.BackoffResponses())
		}
	}
	wd.eventually(func() bool {
		return hs.get("/read/x", fmt.Sprint("again", time.Now().UnixNano())).status == http.StatusOK &&
			hs.chat(fmt.Sprint("chat", time.Now().UnixNano()), 1000).status == http.StatusOK
	})
}

// TestEndlessServer answers all requests although one server of each service sends bytes without end, and streams go on
// elsewhere when an engine's stands still.
func TestEndlessServer(t *testing.T) {
	wd := newWorld(t)
	bad, good := wd.server("book-1", "books"), wd.server("book-2", "books")
	engine := wd.server("engine-1", "models")
	wd.server("engine-2", "models")
	wd.publish()
	hs := wd.host("host-1", true)
	bad.SetFault(standin.SendsEndlessGarbage)
	for number, fault := range []standin.ServerFault{standin.SendsEndlessGarbage, standin.StallsStreams, standin.SendsEndlessGarbage, standin.StallsStreams} {
		engine.SetFault(fault)
		got := hs.get("/read/x", fmt.Sprint("r", number))
		assert.Equal(t, got.body, "answer of "+good.ID+" to "+fmt.Sprint("r", number))
		streamed := hs.chat(fmt.Sprint("c", number), 1000)
		assert.NilError(t, streamed.err)
		assert.Equal(t, streamed.status, http.StatusOK)
	}
}
