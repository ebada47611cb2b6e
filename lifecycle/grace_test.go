package lifecycle_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/lifecycle"
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
		accepted := lifecycle.Grace(grace).AcceptTime()
		assert.Assert(t, accepted <= lateAfter-margin, "%s of %s", accepted, grace)
		assert.Assert(t, accepted > 0 && accepted < grace/2, "%s of %s", accepted, grace)
	}
}

// TestShortGraceLeavesTimeForAnswers checks that a host aborts requests so early that their clients still get an answer,
// but not before the last sixth of the time that it has, in which servers may still finish.
func TestShortGraceLeavesTimeForAnswers(t *testing.T) {
	for grace, wantAnswerTime := range map[time.Duration]time.Duration{
		0:                200 * time.Millisecond,
		time.Second:      100 * time.Millisecond,
		2 * time.Second:  200 * time.Millisecond,
		4 * time.Second:  200 * time.Millisecond,
		8 * time.Second:  300 * time.Millisecond,
		30 * time.Second: time.Second,
	} {
		t.Run(grace.String(), func(t *testing.T) {
			gr := lifecycle.Grace(grace)
			abort, exit := gr.AbortTime(), gr.ExitTime()
			assert.Assert(t, exit-abort >= wantAnswerTime, "aborts after %s, ends after %s", abort, exit)
			assert.Assert(t, abort >= grace*5/6 && abort >= gr.AcceptTime(), "aborts after %s", abort)
			assert.Assert(t, exit < grace || grace == 0, "ends after %s", exit)
			assert.Assert(t, gr.CloseTime() > exit, "ends after %s", exit)
		})
	}
}

// TestCallersThatKeepAddressesDoNotUseUpGrace checks that a host whose callers may use its address for longer than it has
// to stop does not accept requests until it ends.
func TestCallersThatKeepAddressesDoNotUseUpGrace(t *testing.T) {
	const keepAddresses = 30 * time.Second
	for grace, want := range map[time.Duration]time.Duration{0: 0, 10 * time.Second: 3 * time.Second, 10 * time.Minute: keepAddresses} {
		assert.Equal(t, lifecycle.Grace(grace).AcceptTimeUpTo(keepAddresses), want)
	}
}
