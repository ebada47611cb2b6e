package forward

import (
	"net/http"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// applyServerState applies what the head of a response to a request that was sent at sentAt says about its server: it is
// leaving, it limits its requests, it asks for backoff, or it accepts requests again.
func (rn *Runner) applyServerState(server serverlist.Server, sentAt time.Time, response Response) {
	rn.recordLimit(server, sentAt, response)
	if response.Leaving && rn.fleet.RecordLeaving(server.ID) {
		rn.logger.Info("backend server is leaving", "server", string(server.ID), "address", server.Address, "source", "its answer")
	}
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	switch {
	case response.RetryAfter > 0:
		rn.backoffs.RecordBackoff(rn.clock.Now(), server, response.RetryAfter)
		rn.metrics.Counter("servers_left_alone").Inc(1)
		rn.logger.Info("backend server wants to be left alone", "server", string(server.ID), "address", server.Address,
			"retry_after_ms", response.RetryAfter.Milliseconds())
	case !response.NotRun:
		rn.backoffs.RecordAccepted(rn.clock.Now(), server.ID)
	}
}

// recordLimit records what a response says of its server's limit. A response of another server at the address says
// nothing.
func (rn *Runner) recordLimit(server serverlist.Server, sentAt time.Time, response Response) {
	if !response.Misdirected {
		rn.limits.RecordResponse(server, sentAt, response.RequestLimit, response.Status < http.StatusMultipleChoices)
	}
}

// applyEngineState applies what an engine's response says of its limit, that the engine is leaving, or that it asks for
// backoff. Any other response changes nothing.
func (rn *Runner) applyEngineState(server serverlist.Server, sentAt time.Time, response Response) {
	if response.Leaving || response.RetryAfter > 0 {
		rn.applyServerState(server, sentAt, response)
		return
	}
	rn.recordLimit(server, sentAt, response)
}

// unreachableBackoff is how long this host sends nothing to a server that it could not reach in any way. It is short,
// because a way through another host may be found meanwhile.
const unreachableBackoff = 100 * time.Millisecond

// recordUnreachable keeps requests of this host away from a server that neither it nor another host could reach, although
// nothing is known against the server. Other hosts may still send to it.
func (rn *Runner) recordUnreachable(server serverlist.Server) {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	rn.backoffs.RecordUnreachable(rn.clock.Now(), server, unreachableBackoff)
}

// serverOfPart returns the listed server of the engine in a part of a grant. If the engine is not listed, it returns a
// server made from the part, without a start time.
func (rn *Runner) serverOfPart(service id.Service, part batch.Part) serverlist.Server {
	for _, server := range rn.fleet.Servers(service) {
		if server.ID == id.BackendServer(part.Engine) {
			return server
		}
	}
	return serverlist.Server{ID: id.BackendServer(part.Engine), Service: service, Address: part.Address}
}

// withoutBackoff returns the servers that may get requests now. The duration is the shortest time until the backoff of
// an excluded server that takes new work otherwise ends. It is zero if there is no such server, or if one is excluded only
// because the trial request after its backoff is still unanswered. It does not modify servers. The caller holds the
// mutex.
func (rn *Runner) withoutBackoff(servers []serverlist.Server) ([]serverlist.Server, time.Duration) {
	now := rn.clock.Now()
	for ix, server := range servers {
		if rn.backoffs.AllowsRequest(now, server) {
			continue
		}
		allowed := append([]serverlist.Server(nil), servers[:ix]...)
		var backingOff []serverlist.Server
		for _, server := range servers[ix:] {
			if rn.backoffs.AllowsRequest(now, server) {
				allowed = append(allowed, server)
			} else if server.TakesNewWork() {
				backingOff = append(backingOff, server)
			}
		}
		return allowed, rn.backoffs.MinWait(now, backingOff)
	}
	return servers, 0
}

// engineBackoffs returns the engines of a service that must get nothing from this host for an attempt, with the time when
// that ends: those that asked for backoff and, for an attempt after the first, the evacuated ones. The dispatcher knows these
// itself unless its knowledge is older than this host's; the first attempt then shows it.
func (rn *Runner) engineBackoffs(service id.Service, attemptNumber int) map[id.Engine]time.Time {
	engines := map[id.Engine]time.Time{}
	now := rn.clock.Now()
	rn.mutex.Lock()
	for server, backoffEnd := range rn.backoffs.ServiceBackoffs(now, service) {
		engines[id.Engine(server)] = backoffEnd
	}
	rn.mutex.Unlock()
	if attemptNumber > 1 {
		for _, server := range rn.fleet.Servers(service) {
			if server.Evacuated {
				engines[id.Engine(server.ID)] = now.Add(evacuatedBackoff)
			}
		}
	}
	if len(engines) == 0 {
		return nil
	}
	return engines
}

// evacuatedBackoff is how long a dispatcher is to leave evacuated engines out that it gave to a request. It exceeds the time
// in which hosts learn of an evacuation from each other.
const evacuatedBackoff = 2 * time.Second

// findUnusableEngine looks for an engine of a grant that must not get the request because it is evacuated or leaving, asked
// for backoff, or is out of reach of this host; the dispatcher may not have learned of this yet. It returns the report to the
// dispatcher, the reason, and whether there is such an engine. If only an old server list shows that the engine is leaving,
// it is reported as full and not as gone, because it may have been listed again and other hosts must not give it up. That
// this host does not reach an engine, or that it is evacuated, is no fault of the engine.
func (rn *Runner) findUnusableEngine(grant batch.Grant) (broker.EndedGrant, string, bool) {
	now := rn.clock.Now()
	for _, part := range grant.Parts {
		server := id.BackendServer(part.Engine)
		switch {
		case rn.fleet.Evacuated(server):
			return broker.EndedGrant{FailedEngine: part.Engine}, evacuatedReason, true
		case rn.fleet.AnnouncedLeaving(server), rn.fleet.ListedAsLeaving(server) && rn.fleet.ListAge() <= maxListAgeForReports:
			return broker.EndedGrant{FailedEngine: part.Engine, Fault: batch.Gone}, "an engine of the grant is leaving", true
		case rn.fleet.ListedAsLeaving(server):
			return broker.EndedGrant{FailedEngine: part.Engine, Fault: batch.Full}, "an engine of the grant is leaving by an old list", true
		}
		rn.mutex.Lock()
		askedUntil, asked := rn.backoffs.AskedUntil(now, server)
		_, backingOff := rn.backoffs.BackoffUntil(now, server)
		rn.mutex.Unlock()
		switch {
		case asked:
			return broker.EndedGrant{FailedEngine: part.Engine, Fault: batch.Full, RetryAfter: askedUntil.Sub(now)}, "an engine of the grant wants to be left alone", true
		case backingOff:
			return broker.EndedGrant{FailedEngine: part.Engine}, "an engine of the grant is out of reach", true
		}
	}
	return broker.EndedGrant{}, "", false
}

// evacuatedReason is why a grant with an evacuated engine ends.
const evacuatedReason = "an engine of the grant is evacuated"

// evacuatedEngine returns an engine of a grant that is evacuated, and false if there is none.
func (rn *Runner) evacuatedEngine(grant batch.Grant) (id.Engine, bool) {
	for _, part := range grant.Parts {
		if rn.fleet.Evacuated(id.BackendServer(part.Engine)) {
			return part.Engine, true
		}
	}
	return "", false
}

// maxListAgeForReports is the age up to which this host reports engines as gone to others on the basis of its server
// list. It exceeds two read periods of the list, so that one failed read does not count.
const maxListAgeForReports = time.Second

// askedForBackoff reports whether a server asked for backoff. Such a server is not probed either.
func (rn *Runner) askedForBackoff(server id.BackendServer) bool {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	_, asked := rn.backoffs.AskedUntil(rn.clock.Now(), server)
	return asked
}
