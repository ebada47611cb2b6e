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
	report := Report{Host: cl.host}
	for _, held := range cl.heldGrants {
		if held.GrantRequest.Service == service {
			report.HeldGrants = append(report.HeldGrants, *held)
		}
	}
	dl := cl.beginDelivery(service, dispatcher)
	if dl == nil && report.isEmpty() {
		close(ho.ended)
		return
	}
	started := cl.pendingSends.Go(func() {
		ho.err = cl.sendReport(service, dispatcher, report, dl)
		close(ho.ended)
	})
	if !started {
		close(ho.ended)
	}
}
