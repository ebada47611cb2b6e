package site_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// TestStopCutsRelayedRequests stops a host while it carries a stream and an order for a peer that does not reach the
// servers. Both are answered whole.
func TestStopCutsRelayedRequests(t *testing.T) {
	const work = 3 * time.Second
	env := newTestEnv(t)
	env.shutdownTimeout = 8 * time.Second
	env.linkedHosts = true
	const timeoutMillis = 10_000
	env.routes = append(env.routes, env.newRoute("slow", "/slow/", "non_idempotent", "books", 1, timeoutMillis),
		env.newRoute("slow chat", "/chat/slow/", "streaming", "models", 2, timeoutMillis))
	book, engine := env.addServer("book-1", "books"), env.addServer("engine-1", "models")
	env.publishTable()
	first := env.startHost("host-1", true)
	second := env.startHost("host-2", true, first.settings.Host.PeerAddress)
	first.links.SetMode(standin.LinkRefused, book, engine)
	env.eventually(func() bool { return first.get("/read/1", "warm").err == nil })
	engine.SetEventInterval(work / time.Duration(engine.EventCount))
	book.WorkDuration = work
	streamed, ordered := make(chan response, 1), make(chan response, 1)
	go func() {
		streamed <- first.sendRequest(t.Context(), http.MethodPost, "/chat/slow/1", "stream", "the prompt", "X-Model", "m", "X-Token-Count", "100,255")
	}()
	go func() { ordered <- first.get("/slow/1", "order") }()
	env.eventually(func() bool {
		running := map[string]bool{}
		for _, server := range []*standin.Server{book, engine} {
			for _, run := range server.ExecutedRequests() {
				running[run.Attempt] = true
			}
		}
		return running["stream"] && running["order"]
	})
	second.awaitStop(t)
	gotStream, gotOrder := <-streamed, <-ordered
	assert.NilError(t, gotStream.err)
	assert.Equal(t, gotStream.body, eventStream(engine.EventCount))
	assert.NilError(t, gotOrder.err)
	assert.Equal(t, gotOrder.body, fmt.Sprintf("answer of %s to order", book.ID))
}
