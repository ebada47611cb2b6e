package broker

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	// knowledgeWait bounds the time for which a new dispatcher holds back its first grants until the other hosts have reported
	// the grants that they hold.
	knowledgeWait = 50 * time.Millisecond
	// askTimeout bounds one call that asks a host for its held grants. What comes after knowledgeWait is used as well.
	askTimeout = 500 * time.Millisecond
	// cautionPeriod is how long a dispatcher grants cautiously after it has taken over, or is no longer the first one: other
	// dispatchers may still grant, and hosts that were not reached report what they hold within heldReportPeriod.
	cautionPeriod = time.Second
	// askPeriod is the least time between two times at which a dispatcher asks all hosts, and the period while it is not
	// the first one.
	askPeriod = time.Second
	// acquaintanceTime is how long after its start a host may not know all others, if many start together. Each of them may
	// then take itself for the first dispatcher.
	acquaintanceTime = 3 * time.Second
	// maxContactGap is the time without a message of another host after which a dispatcher that knows of running requests may
	// have missed others: its host was frozen or cut off. Hosts report what they hold in every heldReportPeriod.
	maxContactGap = 2 * time.Second
)

// knowledge is what a dispatcher does to learn of running requests. The server's mutex guards it.
type knowledge struct {
	// leads says that the host was the first dispatcher when a host last asked for a grant.
	leads bool
	// askedAt is when all hosts were last asked for the grants that they hold.
	askedAt time.Time
	// survey is the newest time of asking.
	survey *survey
	// lastContact is when another host last sent a request or a report; zero if none has since the last survey.
	lastContact time.Time
	// isStale says that the dispatcher may have missed requests that began to run.
	isStale bool
	// grantsAlone says that by the newest survey no other host grants requests of the service.
	grantsAlone bool
}

// noteContact records that a host has sent a request or a report. It must be called before the dispatcher acts on that.
// The caller holds the mutex.
func (sv *Server) noteContact(now time.Time, dp *serviceDispatcher, host id.Host) {
	sv.checkContact(now, dp)
	hosts := sv.peers.Dispatchers(dp.service)
	if host != "" && len(hosts) > 0 && host != hosts[0] {
		dp.knowledge.lastContact = now
	}
}

// checkContact marks a dispatcher as stale that knows of running requests and has received nothing of another host for
// maxContactGap. The caller holds the mutex.
func (sv *Server) checkContact(now time.Time, dp *serviceDispatcher) {
	last := dp.knowledge.lastContact
	if !last.IsZero() && now.Sub(last) > maxContactGap && dp.machine.Granted() > 0 {
		dp.knowledge.isStale, dp.knowledge.lastContact = true, time.Time{}
	}
}

// survey counts the answers of hosts that were asked for the grants that they hold.
type survey struct {
	beganAt time.Time
	asked   int
	// answered and failed count the calls that have ended. learned counts the grants in the answers that were unknown.
	answered int
	failed   int
	learned  int
	// first is the first dispatcher by this host's order, and leads says that it is this host. firstFailed says that it is
	// another one and did not answer.
	first       id.Host
	leads       bool
	firstFailed bool
	// isRepeated says that this host has asked before since it took over.
	isRepeated bool
}

// showsNoOther reports whether a survey whose calls have ended shows that no other host grants requests: this host is the
// first one, or the first one can't be reached, or nobody holds a grant that this host has not given since it last asked.
func (sy *survey) showsNoOther() bool {
	switch {
	case sy.failed > 1 || sy.failed == 1 && !sy.firstFailed:
		return false
	case sy.leads, sy.firstFailed:
		return true
	default:
		return sy.isRepeated && sy.learned == 0
	}
}

// prepare is called before a dispatcher decides about a request. If the dispatcher has taken over the service, is no longer
// the first one, or is stale, it asks all hosts for the grants that they hold, holds back its own until then, and grants
// cautiously for cautionPeriod unless no other host grants. While this host is not the first dispatcher, it asks again in
// every askPeriod, because another one may grant as well. The caller holds the mutex.
func (sv *Server) prepare(now time.Time, dp *serviceDispatcher) {
	leads := sv.peers.LeadsService(dp.service)
	known := &dp.knowledge
	hasTakenOver := leads && !known.leads || known.askedAt.IsZero() || known.isStale
	lostLead := known.leads && !leads
	if leads && !hasTakenOver {
		return
	}
	isNew := hasTakenOver || lostLead
	var takeOver batch.TakeOver
	if isNew {
		// What surveys have shown so far does not tell what the other dispatcher has granted.
		known.grantsAlone, known.survey = false, nil
		takeOver.CautiousUntil = now.Add(cautionPeriod)
	}
	period := askPeriod
	if leads || lostLead {
		// What another dispatcher has granted since the last time is not known.
		period = knowledgeWait
	}
	if now.Sub(known.askedAt) >= period {
		known.askedAt, known.leads, known.isStale = now, leads, false
		if asked := sv.askHosts(now, dp, leads, !isNew); asked > 0 && !known.grantsAlone {
			takeOver.HoldUntil = now.Add(knowledgeWait)
		}
	}
	known.leads = known.leads && leads
	sv.applyEffects(dp, dp.machine.Step(now, takeOver))
}

// askHosts asks all live hosts, in the background, for the grants of a service that they hold, and returns how many it
// asks. The caller holds the mutex.
func (sv *Server) askHosts(now time.Time, dp *serviceDispatcher, leads, isRepeated bool) int {
	hosts := sv.peers.Dispatchers(dp.service)
	sy := &survey{beganAt: now, asked: len(hosts), leads: leads, isRepeated: isRepeated}
	dp.knowledge.survey = sy
	if len(hosts) > 0 {
		sy.first = hosts[0]
	}
	sv.metrics.Counter("dispatcher_surveys").Inc(1)
	for _, host := range hosts {
		if !sv.pendingDeliveries.Go(func() { sv.askHost(dp, sy, host) }) {
			return 0
		}
	}
	return len(hosts)
}

// askHost asks one host for the grants of a service that it holds, and passes them on to the dispatcher.
func (sv *Server) askHost(dp *serviceDispatcher, sy *survey, host id.Host) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	heldGrants, err := sv.peers.AskHeldGrants(ctx, host, dp.service)
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	if err != nil {
		sy.failed++
		sy.firstFailed = sy.firstFailed || !sy.leads && host == sy.first
		sv.metrics.Counter("dispatcher_survey_failures").Inc(1)
	} else {
		sy.answered++
	}
	for _, held := range heldGrants {
		if _, _, known := dp.machine.ActiveGrant(held.Grant.Attempt); !known {
			sy.learned++
		}
		sv.applyEffects(dp, dp.machine.Step(now, batch.RenewGrant{Request: held.GrantRequest.Request, Grant: held.Grant, Started: held.Started}))
	}
	if sy.answered+sy.failed == sy.asked {
		sv.endSurvey(now, dp, sy)
		sv.logger.Info("dispatcher asked for held places", "service", string(dp.service), "first", string(sy.first), "leads", sy.leads, "hosts", sy.asked,
			"failed", sy.failed, "learned", sy.learned, "alone", dp.knowledge.grantsAlone, "granted", dp.machine.Granted(), "waiting", dp.machine.Waiting(), "after_ms", now.Sub(sy.beganAt).Milliseconds())
	}
}

// endSurvey passes on to a dispatcher what a survey whose calls have ended shows. The caller holds the mutex.
func (sv *Server) endSurvey(now time.Time, dp *serviceDispatcher, sy *survey) {
	if dp.knowledge.survey != sy {
		return
	}
	dp.knowledge.grantsAlone = sy.showsNoOther() && now.Sub(sv.startedAt) >= acquaintanceTime
	if sy.failed == 0 || dp.knowledge.grantsAlone {
		sv.applyEffects(dp, dp.machine.Step(now, batch.Informed{NoOtherGrants: dp.knowledge.grantsAlone}))
	}
}

// returnPeriod is the time after the start of a host that was lost in which it dispatches for no service that another host
// dispatches for. Hosts that have not heard of its new start yet may still take it for the first dispatcher.
const returnPeriod = 5 * time.Second

// errReturned makes the requesting or reporting host fail over to the next dispatcher.
var errReturned = errors.New("the host has just started and another one dispatches")

// hasJustReturned reports whether this host has started late after others and just now, and another one is the first
// dispatcher of a service. The caller holds the mutex.
func (sv *Server) hasJustReturned(now time.Time, service id.Service) bool {
	return now.Sub(sv.startedAt) < returnPeriod && sv.peers.StartedLate() && !sv.peers.LeadsService(service)
}

// isForOther reports whether a report is about a service that another host dispatches for because this one has just
// returned.
func (sv *Server) isForOther(report Report) bool {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	return slices.ContainsFunc(report.HeldGrants, func(held HeldGrant) bool { return sv.hasJustReturned(now, held.GrantRequest.Service) }) ||
		slices.ContainsFunc(report.StartedAttempts, func(started StartedAttempt) bool { return sv.hasJustReturned(now, started.Service) }) ||
		slices.ContainsFunc(report.EndedGrants, func(ended EndedGrant) bool { return sv.hasJustReturned(now, ended.Service) })
}
