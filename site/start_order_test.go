package site_test

import (
	"context"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/succession"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer/peerconnect"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// TestHostSaysThatItOrdersDispatchersByStart checks that a host's incarnation tells the others that it orders dispatchers
// by the hosts' starts. Without that, all hosts ignore the starts.
func TestHostSaysThatItOrdersDispatchersByStart(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("book-1", "books")
	env.publishTable()
	host := env.startHost("host-1", true)
	client := peerconnect.NewPeerClient(http.DefaultClient, "http://"+host.settings.Host.PeerAddress)
	answer, err := client.Exchange(context.Background(), connect.NewRequest(&peer.ExchangeMessage{Host: "other", Joining: true}))
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Msg.GetUpdates()), 1)
	incarnation := id.Incarnation(answer.Msg.GetUpdates()[0].GetIncarnation())
	assert.Equal(t, succession.MarkIncarnation(incarnation), incarnation)
}
