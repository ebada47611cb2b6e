package broker

import "github.com/hibiscuslever/hibiscuslever/state/id"

// handOver is the report of held grants to a dispatcher that has just been selected.
type handOver struct {
	dispatcher id.Host
	// ended is closed when the report has been received or has failed, for which err is then the reason.
	ended chan struct{}
	err   error
}

// hasFailed reports whether the report has failed.
func (ho *handOver) hasFailed() bool {
	select {
	case <-ho.ended:
		return ho.err != nil
	default:
		return false
	}
}

// startHandOver reports the held grants of a service, and undelivered evidence, to a dispatcher in the background. The
// caller holds the mutex.
func (cl *Client) startHandOver(service id.Service, dispatcher id.Host) {
	ho := &handOver{dispatcher: dispatcher, ended: make(chan struct{})}
	cl.handOvers[service] = ho
	report := Report{Host: cl.host, HeldGrants: cl.heldGrantsOf(service)}
	dl := cl.beginDelivery(service, dispatcher)
	if dl == nil && report.isEmpty() {
		close(ho.ended)
		return
	}
	started := cl.pendingSends.Go(func() {
		ho.err = cl.sendReport(service, dispatcher, report, dl)
		close(ho.ended)
		if ho.err != nil {
			cl.reportLost(service, dispatcher, report, ho.err)
		}
	})
	if !started {
		close(ho.ended)
	}
}

// heldGrantsOf returns the held grants of a service. The caller holds the mutex.
func (cl *Client) heldGrantsOf(service id.Service) []HeldGrant {
	var heldGrants []HeldGrant
	for _, held := range cl.heldGrants {
		if held.GrantRequest.Service == service {
			heldGrants = append(heldGrants, *held)
		}
	}
	return heldGrants
}

// HeldGrants returns the grants of a service that this host holds.
func (cl *Client) HeldGrants(service id.Service) []HeldGrant {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return cl.heldGrantsOf(service)
}

// reportLost skips a dispatcher for some time that did not receive a report. It queues the starts and ends in the report
// again, and selects the dispatcher of the service anew, so that the next one learns the grants that this host holds.
func (cl *Client) reportLost(service id.Service, dispatcher id.Host, report Report, err error) {
	cl.backOff(dispatcher, err)
	if len(report.StartedAttempts)+len(report.EndedGrants) > 0 {
		cl.queueAgain(report)
	}
	cl.selectDispatcher(service)
}

// queueAgain queues the starts and ends in a report before those that were queued since.
func (cl *Client) queueAgain(report Report) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.unreportedStarts = append(report.StartedAttempts, cl.unreportedStarts...)
	cl.unreportedEnds = append(report.EndedGrants, cl.unreportedEnds...)
	if excess := len(cl.unreportedEnds) - maxUnreportedEnds; excess > 0 {
		cl.unreportedEnds = cl.unreportedEnds[excess:]
	}
	cl.scheduleReport()
}

// setQueuedAt records at which dispatcher a request is queued. It returns false, and records nothing, if another one has
// been selected since.
func (cl *Client) setQueuedAt(wt *waiter, dispatcher id.Host) bool {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	if ho := cl.handOvers[wt.service]; dispatcher != "" && ho != nil && ho.dispatcher != dispatcher {
		return false
	}
	wt.queuedAt = dispatcher
	return true
}

// moveQueued has the requests of a service that are queued at other dispatchers sent to the one that has been selected. The
// caller holds the mutex.
func (cl *Client) moveQueued(service id.Service, dispatcher id.Host) {
	for _, wt := range cl.waiters {
		if wt.service != service || wt.queuedAt == "" || wt.queuedAt == dispatcher {
			continue
		}
		select {
		case wt.moved <- struct{}{}:
		default:
		}
	}
}
