package site_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// TestOddEntriesOfList has another writer leave odd entries in the list of servers, while hosts run and before others
// start. Hosts must keep following the list, serve at the other servers only, and pass the list on to a host that starts
// while the store is down.
func TestOddEntriesOfList(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("book-1", "books")
	env.addServer("engine-1", "models")
	env.publishTable()
	first := env.startHost("host-1", true)
	entry := string(env.servers["book-1"].ListEntry("ready"))
	address := env.servers["book-1"].Address()
	_, port, _ := strings.Cut(address, ":")
	for key, body := range map[string]string{
		"odd-1":             "",
		"odd-2":             "\x00\xff{",
		"odd-3":             `{"more":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + "," + entry[1:],
		"odd-4":             strings.Replace(entry, `"Slots":8`, `"Slots":1e999`, 1),
		"odd-5":             strings.Replace(entry, address, "127.0.0.1:65536", 1),
		"odd-6":             strings.Replace(entry, address, "127.0.0.1:0", 1),
		"odd-7":             strings.Replace(entry, address, "[::1%a\\r\\nX-Tenant: other\\r\\n]:"+port, 1),
		"odd-8":             strings.Replace(entry, `"Zone"`, `"more":"`+strings.Repeat("x", 200_000)+`","Zone"`, 1),
		"odd\xff":           entry,
		"odd\r\nX-Tenant: ": entry,
		" ":                 entry,
	} {
		env.store.Put("keyed.servers", key, []byte(body))
	}
	env.addServer("book-2", "books")
	follows := func(host *testHost, name string) {
		number := 0
		env.eventually(func() bool {
			number++
			got := host.get("/read/x", fmt.Sprint(name, number))
			assert.Equal(t, got.status, http.StatusOK, "%+v", got)
			return strings.HasPrefix(got.body, "answer of book-2")
		})
		assert.Equal(t, host.sendPrompt(name, 1000).body, eventStream(5))
	}
	follows(first, "first")
	env.store.SetFault(standin.RejectsCalls)
	follows(env.startHost("host-2", true, first.settings.Host.PeerAddress), "second")
	env.store.SetFault(standin.NoStoreFault)
	follows(env.startHost("host-3", true), "third")
	for _, server := range env.servers {
		for _, request := range server.ExecutedRequests() {
			assert.Equal(t, request.Tenant, "acme")
		}
	}
}
