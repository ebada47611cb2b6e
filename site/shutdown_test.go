package site

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeavingHostAcceptsNoRequestThatItMustAbort guards against requests that are lost because a leaving host takes them
// so late that it aborts them: those taken later than 3 s after the signal have to be answered before the host ends.
func TestLeavingHostAcceptsNoRequestThatItMustAbort(t *testing.T) {
	const (
		lateAfter = 3 * time.Second
		// margin is the time that a request takes to reach the host and to be read.
		margin = 400 * time.Millisecond
	)
	for _, grace := range []time.Duration{500 * time.Millisecond, 5 * time.Second, 8 * time.Second, 10 * time.Second, 30 * time.Second, 5 * time.Minute} {
		accepted := acceptTime(grace)
		assert.Assert(t, accepted <= lateAfter-margin, "%s of %s", accepted, grace)
		assert.Assert(t, accepted > 0 && accepted < grace/2, "%s of %s", accepted, grace)
	}
}
