package lifecycle

import "time"

// maxAcceptTime is the longest time during which a leaving host still accepts new requests. A host that accepted them for
// longer would have to abort those that take as long as a client waits.
const maxAcceptTime = 2500 * time.Millisecond

// Parts of the shutdown timeout.
const (
	// acceptShare is the part during which the host still accepts new requests, from clients that have cached its address,
	// up to maxAcceptTime.
	acceptShare = 0.3
	// abortShare is the part after which the host aborts the requests without a response, so that their clients still
	// get one. A host with little time aborts them earlier, but not before earliestAbortShare, because servers may
	// answer until then.
	abortShare         = 0.92
	earliestAbortShare = 0.84
	// exitShare is the part after which the host no longer waits for requests in flight.
	exitShare = 0.96
	// closeShare is the part after which the host closes connections on which the end of a response is still being sent.
	closeShare = 0.98
)

const (
	// minAnswerTime is the time in which clients of aborted requests get their responses, if the shutdown timeout is long
	// enough. A host without a shutdown timeout takes it nevertheless.
	minAnswerTime = 250 * time.Millisecond
	// closeDelay is how long after minAnswerTime a host without a shutdown timeout closes its connections.
	closeDelay = 50 * time.Millisecond
	// minEndTime is what remains of the grace for a process with a small share of a processor to end, after it has cut off
	// responses.
	minEndTime = 200 * time.Millisecond
)

// Grace is the time that a host has to stop, from the signal on. The times that its methods return start there too.
type Grace time.Duration

// AcceptTime returns how long a leaving host accepts new requests.
func (gr Grace) AcceptTime() time.Duration {
	return gr.AcceptTimeUpTo(maxAcceptTime)
}

// AcceptTimeUpTo returns how long a leaving host accepts new requests if its callers may use its address for a time.
func (gr Grace) AcceptTimeUpTo(addressTime time.Duration) time.Duration {
	return min(addressTime, gr.share(acceptShare))
}

// share returns a part of the grace.
func (gr Grace) share(part float64) time.Duration {
	return time.Duration(part * float64(gr))
}

// AbortTime returns after what time a leaving host aborts the requests that have no response yet.
func (gr Grace) AbortTime() time.Duration {
	if gr <= 0 {
		return 0
	}
	return min(gr.share(abortShare), max(gr.share(earliestAbortShare), gr.ExitTime()-minAnswerTime))
}

// CutOffTime returns after what time a leaving host cuts off the responses that it can't finish. That is later than
// AbortTime if the grace allows it, because their clients get no other answer that would need time.
func (gr Grace) CutOffTime() time.Duration {
	return max(gr.AbortTime(), min(gr.share(exitShare), time.Duration(gr)-minEndTime))
}

// ExitTime returns after what time a leaving host no longer waits for requests in flight.
func (gr Grace) ExitTime() time.Duration {
	if gr <= 0 {
		return minAnswerTime
	}
	return gr.share(exitShare)
}

// CloseTime returns after what time a leaving host closes its connections whatever is sent on them.
func (gr Grace) CloseTime() time.Duration {
	if gr <= 0 {
		return minAnswerTime + closeDelay
	}
	return gr.share(closeShare)
}
