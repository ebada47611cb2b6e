package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// TestHeldGrantsSurviveEncoding checks that held grants arrive as they were sent, and that an incomplete one is refused.
func TestHeldGrantsSurviveEncoding(t *testing.T) {
	now := time.Unix(1000, 0)
	held := []broker.HeldGrant{{
		GrantRequest: broker.GrantRequest{Service: "models", Request: batch.Request{
			ID: "h.1.1", Organisation: "acme", PromptTokens: 5000, MaxAnswerTokens: 100, FirstEventTarget: 300 * time.Millisecond, MaxPause: 250 * time.Millisecond,
			WaitLimit: 10 * time.Second, ArrivedAt: now.Add(-time.Second), Priority: 1, AttemptNumber: 2,
		}},
		Grant:   batch.Grant{Attempt: "h.1.1/2", Parts: []batch.Part{{Engine: "a", Address: "10.0.0.1:80", MemoryTokens: 5100}, {Engine: "b", Address: "10.0.0.2:80", Ticket: "t"}}, Urgency: 3, PredictedFirstEvent: 80 * time.Millisecond, SuspectParts: []id.PromptPart{7}},
		Started: true,
	}}
	decoded, err := decodeHeldGrants(encodeHeldGrants(held, now), now)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, held)
	_, err = decodeHeldGrants([]*peer.HeldPlace{{}}, now)
	assert.ErrorIs(t, err, errInvalidGrant)
}
