package site_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestHostWithoutSeedsIsReadyAlone starts a host whose seed is down while another host is announced in the store, as after a
// loss of all hosts of which the seeds are back last. It must know the other host when it becomes ready.
func TestHostWithoutSeedsIsReadyAlone(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("book-1", "books")
	env.publishTable()
	env.startHost("host-1", true)
	env.eventually(func() bool { return len(env.store.Keys("keyed.hosts")) == 1 })
	second := env.startHost("host-2", true, "127.0.0.1:1")
	assert.Equal(t, len(second.host.Status().Hosts), 2)
}
