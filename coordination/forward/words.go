package forward

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
)

// heed takes what the head of an answer says of its server: that it is leaving, that it wants to be left alone, or that it
// takes requests again.
func (rn *Runner) heed(sv roster.Server, answer Response) {
	if answer.Leaving && rn.fleet.RecordLeaving(sv.ID) {
		rn.logger.Info("backend server is leaving", "server", string(sv.ID), "address", sv.Address, "source", "its answer")
	}
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	switch {
	case answer.RetryAfter > 0:
		rn.backoffs.RecordBackoff(rn.clock.Now(), sv, answer.RetryAfter)
		rn.metrics.Counter("servers_left_alone").Inc(1)
		rn.logger.Info("backend server wants to be left alone", "server", string(sv.ID), "address", sv.Address,
			"retry_after_ms", answer.RetryAfter.Milliseconds())
	case !answer.NotRun:
		rn.backoffs.RecordAccepted(rn.clock.Now(), sv.ID)
	}
}

// heedEngine takes what an engine's answer says of it.
func (rn *Runner) heedEngine(service id.Service, part batch.Part, answer Response) {
	if answer.Leaving || answer.RetryAfter > 0 {
		rn.heed(rn.serverOf(service, part), answer)
	}
}

// serverOf returns the listed server that a part of a grant names.
func (rn *Runner) serverOf(service id.Service, part batch.Part) roster.Server {
	for _, sv := range rn.fleet.Servers(service) {
		if sv.ID == id.BackendServer(part.Engine) {
			return sv
		}
	}
	return roster.Server{ID: id.BackendServer(part.Engine), Service: service, Address: part.Address}
}

// allowed returns those of some servers that did not ask to be left alone, and the least time until one that did may get
// requests again.
func (rn *Runner) allowed(servers []roster.Server) ([]roster.Server, time.Duration) {
	now := rn.clock.Now()
	for ix, sv := range servers {
		if rn.backoffs.AllowsRequest(now, sv) {
			continue
		}
		kept := append([]roster.Server(nil), servers[:ix]...)
		var held []roster.Server
		for _, sv := range servers[ix:] {
			if rn.backoffs.AllowsRequest(now, sv) {
				kept = append(kept, sv)
			} else if !sv.Draining {
				held = append(held, sv)
			}
		}
		return kept, rn.backoffs.MinWait(now, held)
	}
	return servers, 0
}

// banned returns until when engines of a service are to be left alone.
func (rn *Runner) banned(service id.Service) map[id.Engine]time.Time {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	waits := rn.backoffs.ServiceBackoffs(rn.clock.Now(), service)
	if len(waits) == 0 {
		return nil
	}
	engines := make(map[id.Engine]time.Time, len(waits))
	for name, until := range waits {
		engines[id.Engine(name)] = until
	}
	return engines
}

// unusable reports why an engine of a grant is not to get the request, if one is not: it said that it is leaving, or the own
// list says so, or it wants to be left alone. The dispatcher may not have heard yet. What an old list says is no word on
// an engine for other hosts: it may be listed again.
func (rn *Runner) unusable(grant batch.Grant) (broker.EndedGrant, string, bool) {
	now := rn.clock.Now()
	for _, part := range grant.Parts {
		server := id.BackendServer(part.Engine)
		switch {
		case rn.fleet.AnnouncedLeaving(server), rn.fleet.ListedAsLeaving(server) && rn.fleet.ListAge() <= freshList:
			return broker.EndedGrant{FailedEngine: part.Engine, Fault: batch.Gone}, "an engine of the grant is leaving", true
		case rn.fleet.ListedAsLeaving(server):
			return broker.EndedGrant{FailedEngine: part.Engine, Fault: batch.Full}, "an engine of the grant is leaving by an old list", true
		}
		rn.mutex.Lock()
		until, waits := rn.backoffs.BackoffUntil(now, server)
		rn.mutex.Unlock()
		if waits {
			return broker.EndedGrant{FailedEngine: part.Engine, Fault: batch.Full, RetryAfter: until.Sub(now)}, "an engine of the grant wants to be left alone", true
		}
	}
	return broker.EndedGrant{}, "", false
}

// freshList is the age up to which the own list tells others that an engine has gone: twice the period in which it is
// read.
const freshList = time.Second

// wantsNothing reports whether a server asked to be left alone. It is not asked whether it is alive then.
func (rn *Runner) wantsNothing(server id.BackendServer) bool {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	_, waits := rn.backoffs.BackoffUntil(rn.clock.Now(), server)
	return waits
}
