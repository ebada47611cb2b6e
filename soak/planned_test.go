package soak

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// Limits of the users' platform for requests that are cut around planned work.
const (
	// lossSlack is how long after the last byte of a request its connection may still end without an answer, if the host
	// has not passed the request on.
	lossSlack = 200 * time.Millisecond
	// lateSendLimit is how long after SIGTERM a request may be sent that the host may cut at the end of its grace.
	lateSendLimit = 3 * time.Second
	// graceEndShare is the last part of the grace, in which a host may cut requests that servers still work on.
	graceEndShare = 1. / 6
)

// shortestAnswer is the shortest time that servers work on requests whose duration is drawn.
const shortestAnswer = 100 * time.Millisecond

// drawAnswerDuration returns how long servers work on the request with an attempt ID, between shortestAnswer and a longest
// time, with shorter ones drawn more often. It returns zero for requests of the checks that follow the faults.
func drawAnswerDuration(attempt string, longest time.Duration) time.Duration {
	if !strings.HasPrefix(attempt, "c") && !strings.HasPrefix(attempt, "h") {
		return 0
	}
	share := float64(xxhash.Sum64String(attempt)) / math.MaxUint64
	return time.Duration(float64(shortestAnswer) * math.Pow(float64(longest)/float64(shortestAnswer), share))
}

// randomSignalGap draws the time between two signals to the same process, 100 to 999 ms.
func randomSignalGap(random *rand.Rand) time.Duration {
	return time.Duration(100+random.IntN(900)) * time.Millisecond
}

// terminateHostRepeatedly sends a host SIGTERM two or three times while it stops. It restarts later.
func terminateHostRepeatedly(tb *testbed, random *rand.Rand) scheduledFault {
	hs, restartDelay := randomHost(tb, random), randomRestartDelay(random)
	gaps := []time.Duration{randomSignalGap(random), randomSignalGap(random)}[:1+random.IntN(2)]
	return scheduledFault{planned: true, description: fmt.Sprintf("SIGTERM to %s, repeated after %v", hs.name, gaps), inject: func() {
		process := hs.currentProcess()
		hs.signal(syscall.SIGTERM, restartDelay)
		go hs.terminateAgain(process, gaps...)
	}}
}

// terminateHostAndItsSuccessor sends SIGTERM to a host and, less than 400 ms after the start of its next process, to that
// one too.
func terminateHostAndItsSuccessor(tb *testbed, random *rand.Rand) scheduledFault {
	hs, restartDelay := randomHost(tb, random), randomRestartDelay(random)
	after := time.Duration(random.IntN(400)) * time.Millisecond
	return scheduledFault{planned: true, description: fmt.Sprintf("SIGTERM to %s, and to its next process after %s", hs.name, after), inject: func() {
		hs.terminateNextProcess(after)
		hs.signal(syscall.SIGTERM, restartDelay)
	}}
}

// soundTime is how long a server that was silent goes on before it falls silent again.
const soundTime = 2 * time.Second

// silenceServers has sound servers fall silent for 0.5 to 1.5 s and go on: one, all of a service, or half of all. Those that
// are or were silent not long ago are left out, so that silences don't join.
func silenceServers(tb *testbed, random *rand.Rand) scheduledFault {
	scope, randomIndex := []string{"one", "all of a service", "half of all"}[random.IntN(3)], random.Int()
	duration := 500*time.Millisecond + time.Duration(random.Int64N(int64(time.Second)))
	var silent []*server
	return scheduledFault{
		planned: true, fixedDuration: duration, description: "silence of sound servers: " + scope,
		inject: func() {
			active := tb.activeServers()
			chosen := active[randomIndex%len(active)]
			for ix, sv := range active {
				inScope := sv == chosen || scope == "all of a service" && sv.Service == chosen.Service || scope == "half of all" && (ix-randomIndex)%2 == 0
				if inScope && time.Now().After(sv.mayBeSilentAt) {
					silent = append(silent, sv)
					sv.mayBeSilentAt = time.Now().Add(duration + soundTime)
					sv.link.setMode(blockingBoth, 0)
				}
			}
		},
		revert: func() {
			for _, sv := range silent {
				sv.link.setMode(forwarding, 0)
			}
		},
	}
}

// movableService is the service besides books that changed desired states send reads to.
const movableService = "papers"

// changeDesiredState publishes a desired state that differs from the last one in more than its routes. The time-out of
// streams only grows, so that no cut before their usual time-out is allowed.
func changeDesiredState(tb *testbed, random *rand.Rand) scheduledFault {
	name := []string{"weights", "a service moved", "time-outs", "idle times", "tenants", "connections"}[random.IntN(6)]
	share := random.Float64()
	change := func(desiredState map[string]any) {
		routes, services := desiredState["Routes"].([]any), desiredState["Services"].([]any)
		chat, read := routes[0].(map[string]any), routes[1].(map[string]any)
		switch name {
		case "weights":
			read["TrafficSplit"] = []any{map[string]any{"Service": "books", "Weight": share}, map[string]any{"Service": movableService, "Weight": 1 - share}}
		case "a service moved":
			read["Service"] = movableService
		case "time-outs":
			chat["TimeoutMs"] = patientChatRequests.timeout.Milliseconds() + int64(3000*share)
		case "idle times":
			desiredState["Limits"].(map[string]any)["IdleTimeoutMs"] = 1000 + 14_000*share
		case "tenants":
			desiredState["Tenants"] = append(desiredState["Tenants"].([]any), map[string]any{"Name": "guest", "ApiKeys": []string{fmt.Sprint("key-", share)}})
		case "connections":
			for _, service := range services {
				service.(map[string]any)["MaxConnections"] = 40 + int(20*share)
			}
		}
	}
	return scheduledFault{planned: true, description: fmt.Sprintf("new desired state: %s, %.2f", name, share), inject: func() {
		tb.mutex.Lock()
		tb.stateChange = change
		tb.mutex.Unlock()
		tb.publishDesiredState(0)
	}}
}

// timeSpan is the time of a fault; to is zero until the fault has ended.
type timeSpan struct{ from, to time.Time }

// recordUnplanned returns the actions of a fault with the recording of its time as an unplanned one.
func (tb *testbed) recordUnplanned(inject, revert func()) (recordedInject, recordedRevert func()) {
	span := &timeSpan{}
	return func() {
			tb.mutex.Lock()
			span.from = time.Now()
			tb.unplannedFaults = append(tb.unplannedFaults, span)
			tb.mutex.Unlock()
			inject()
		}, func() {
			revert()
			tb.mutex.Lock()
			defer tb.mutex.Unlock()
			span.to = time.Now()
		}
}

// unplannedFaultNear reports whether there was an unplanned fault near an exchange: from contactTime before it to its end. Requests
// that crash servers count as such a fault.
func (tb *testbed) unplannedFaultNear(ex *exchange) bool {
	if tb.mix.sendCrashingRequests && (tb.convergedAt.IsZero() || ex.sentAt.Before(tb.convergedAt.Add(convergenceTime+contactTime))) {
		return true
	}
	return slices.ContainsFunc(tb.unplannedFaults, func(span *timeSpan) bool {
		return span.from.Before(ex.endedAt) && (span.to.IsZero() || span.to.Add(contactTime).After(ex.sentAt))
	})
}

// verdict is the cause of the end of a request without unplanned faults nearby.
type verdict string

// Verdicts. All but lost are allowed.
const (
	answered        verdict = "answered"
	clientLeft      verdict = "client left"
	neverRead       verdict = "never read"
	withinLossSlack verdict = "closed within the loss slack"
	// These are the cases of neverRead: no process ran, it had not opened its listeners or had closed them to stop, or it
	// listened and did not accept the connection, did not read the data, or closed the connection as the request came.
	noProcess        verdict = "never read, no process"
	notListening     verdict = "never read, process starts"
	listenersClosed  verdict = "never read, listeners closed to stop"
	refusedListening verdict = "never read, refused by a process that listens"
	unreadListening  verdict = "never read, left unread by a process that listens"
	crossedListening verdict = "never read, crossed the close of a process that listens"
	notEndedByHost   verdict = "never read, not ended by the host"
	serverBrokeOff   verdict = "server broke off"
	timeLimit        verdict = "time limit reached"
	endOfGrace       verdict = "server at work at the end of the grace"
	lost             verdict = "lost"
)

// verdict decides whether the host may have ended an exchange as it did. The runs are those of the request, by start. The
// end is how the host ended the connection; zero if it did not. The process that took the request was first sent SIGTERM
// at terminatedAt, zero if it was not, and then had the grace to stop.
func (ex *exchange) verdict(runs []standin.ExecutedRequest, end targetEnd, terminatedAt time.Time, grace time.Duration) verdict {
	switch {
	case ex.err == nil:
		return answered
	case !ex.abandonedAt.IsZero():
		return clientLeft
	case len(runs) == 0:
		if end.at.IsZero() || end.unread || end.lastPassedOnAt.Before(ex.sentAt) {
			return neverRead
		}
		if end.at.Sub(end.lastPassedOnAt) <= lossSlack {
			return withinLossSlack
		}
		if end.at.Sub(ex.sentAt) >= ex.kind.timeout {
			return timeLimit
		}
		return lost
	}
	cutAt := ex.endedAt
	if !end.at.IsZero() {
		cutAt = end.at
	}
	last := runs[len(runs)-1]
	if len(runs) > 1 && (arrivedAbandoned(last) || leftBefore(last, cutAt)) && runs[len(runs)-2].EndedAt.After(last.EndedAt) {
		last = runs[len(runs)-2]
	}
	graceEnd := terminatedAt.Add(grace)
	switch {
	case last.BrokenOff:
		return serverBrokeOff
	case cutAt.Sub(ex.sentAt) >= ex.kind.timeout:
		return timeLimit
	case terminatedAt.IsZero() || ex.sentAt.After(terminatedAt.Add(lateSendLimit)):
		return lost
	case !last.StartedAt.After(graceEnd) && !last.EndedAt.Before(graceEnd.Add(-time.Duration(graceEndShare*float64(grace)))):
		return endOfGrace
	}
	return lost
}

// arrivedAbandoned reports whether the host had left a run before the server began it, so that it ended at once. A silent
// link holds back an attempt and its end until the request runs on another server.
func arrivedAbandoned(run standin.ExecutedRequest) bool {
	const longest = 20 * time.Millisecond
	return !run.Completed && !run.DisconnectedAt.IsZero() && run.DisconnectedAt.Sub(run.StartedAt) < longest
}

// leftBefore reports whether the host had left a run before it cut the response. A second attempt ends so if the server of the
// first one, which runs beside it, goes on.
func leftBefore(run standin.ExecutedRequest, cutAt time.Time) bool {
	return !run.Completed && !run.DisconnectedAt.IsZero() && run.DisconnectedAt.Before(cutAt)
}

// neverReadCause returns why a request was not read whose connection, if there was one, ended in the given way. The times are
// those of the last process that was started before.
func (ex *exchange) neverReadCause(end targetEnd, process processTimes) verdict {
	at := cmp.Or(end.at, ex.endedAt)
	switch {
	case ex.connection != "" && end.at.IsZero():
		return notEndedByHost
	case process.startedAt.IsZero() || !process.endedAt.IsZero() && process.endedAt.Before(at):
		return noProcess
	case process.listeningAt.IsZero() || process.listeningAt.After(at):
		return notListening
	case !process.closedAt.IsZero() && process.closedAt.Before(at):
		return listenersClosed
	case end.lastPassedOnAt.IsZero():
		return refusedListening
	case end.lastPassedOnAt.Before(ex.sentAt):
		return crossedListening
	}
	return unreadListening
}

// checkLosses checks that no request was lost around planned work, and logs how many ended without a whole answer for an
// allowed reason.
func (tb *testbed) checkLosses(runsByID map[string][]serverRun) {
	hostsByName := map[string]*host{}
	for _, hs := range tb.hosts {
		hostsByName[hs.name] = hs
	}
	counts, undisturbed := map[verdict]int{}, 0
	for _, ex := range tb.exchanges {
		if tb.unplannedFaultNear(ex) {
			continue
		}
		undisturbed++
		if ex.err == nil {
			continue
		}
		hs := hostsByName[ex.hostName]
		var runs []standin.ExecutedRequest
		for _, rn := range runsByID[ex.id] {
			runs = append(runs, rn.ExecutedRequest)
		}
		slices.SortFunc(runs, func(left, right standin.ExecutedRequest) int { return left.StartedAt.Compare(right.StartedAt) })
		takenAt := ex.sentAt
		if len(runs) > 0 {
			takenAt = runs[0].StartedAt
		}
		terminatedAt := hs.processAt(takenAt).terminatedAt
		end := hs.clientLink.targetEndOf(ex.connection, ex.sentAt, ex.endedAt)
		vd := ex.verdict(runs, end, terminatedAt, tb.grace())
		if vd == neverRead {
			vd = ex.neverReadCause(end, hs.processAt(cmp.Or(end.at, ex.endedAt)))
		}
		counts[vd]++
		switch vd {
		case lost:
			tb.reportViolation("LOST", "around planned work: %s; %s", ex, describeCut(runs, end, terminatedAt))
		case withinLossSlack, timeLimit, endOfGrace, unreadListening, refusedListening, crossedListening, notEndedByHost:
			tb.t.Logf("%s: %s; %s", vd, ex, describeCut(runs, end, terminatedAt))
		}
	}
	var causes []string
	for _, vd := range slices.Sorted(maps.Keys(counts)) {
		causes = append(causes, fmt.Sprintf("%s: %d", vd, counts[vd]))
	}
	tb.t.Logf("%d requests without an unplanned fault nearby; without a whole answer: %s", undisturbed, strings.Join(causes, ", "))
}

// checkStopTimes logs the longest time from SIGTERM to the end of a process and, with -soak.timed, checks that each process
// has ended within the grace.
func (tb *testbed) checkStopTimes() {
	longest := time.Duration(0)
	for _, hs := range tb.hosts {
		for _, pt := range hs.processTimes {
			if !pt.terminatedAt.IsZero() && !pt.endedAt.IsZero() {
				longest = max(longest, pt.endedAt.Sub(pt.terminatedAt))
			}
		}
	}
	tb.t.Logf("processes ended at most %s after SIGTERM, with a grace of %s", longest, tb.grace())
	tb.checkTimeLimit("STOP", "the end of a process after SIGTERM", longest, tb.grace())
}

// describeCut describes the runs of a request that was cut, the end of its connection and the first SIGTERM to the process that
// took it.
func describeCut(runs []standin.ExecutedRequest, end targetEnd, terminatedAt time.Time) string {
	const clockFormat = "05.000"
	var sb strings.Builder
	for _, run := range runs {
		fmt.Fprintf(&sb, "ran from %s to %s, completed: %t, broken off: %t; ", run.StartedAt.Format(clockFormat), run.EndedAt.Format(clockFormat), run.Completed, run.BrokenOff)
	}
	if !end.at.IsZero() {
		fmt.Fprintf(&sb, "connection ended at %s, unread: %t; ", end.at.Format(clockFormat), end.unread)
	}
	if terminatedAt.IsZero() {
		return sb.String() + "no SIGTERM"
	}
	return sb.String() + "SIGTERM at " + terminatedAt.Format(clockFormat)
}

// TestVerdict checks which requests count as lost around planned work: each exception, and the nearest case that is none.
func TestVerdict(t *testing.T) {
	const grace = 6 * time.Second
	terminatedAt := time.Now()
	at := func(offset time.Duration) time.Time { return terminatedAt.Add(offset) }
	type cutRequest struct {
		exchange
		runs         []standin.ExecutedRequest
		end          targetEnd
		terminatedAt time.Time
	}
	// passedOn is a stream of a stopping host that was cut one second after SIGTERM.
	passedOn := func() cutRequest {
		return cutRequest{
			exchange:     exchange{kind: patientChatRequests, sentAt: at(-time.Second), endedAt: at(time.Second), status: http.StatusOK, err: io.ErrUnexpectedEOF},
			runs:         []standin.ExecutedRequest{{StartedAt: at(-time.Second), DisconnectedAt: at(time.Second), EndedAt: at(time.Second)}},
			end:          targetEnd{at: at(time.Second), lastPassedOnAt: at(-time.Second)},
			terminatedAt: terminatedAt,
		}
	}
	endRun := func(cr *cutRequest, offset time.Duration) {
		cr.runs[0].DisconnectedAt, cr.runs[0].EndedAt = at(offset), at(offset)
	}
	// addRun adds a run that starts one second after SIGTERM and that the server leaves after a time because the host has.
	addRun := func(cr *cutRequest, took time.Duration) {
		cr.runs = append(cr.runs, standin.ExecutedRequest{StartedAt: at(time.Second), DisconnectedAt: at(time.Second + took), EndedAt: at(time.Second + took)})
	}
	completeRun := func(cr *cutRequest, offset time.Duration) {
		cr.runs[0].Completed, cr.runs[0].DisconnectedAt, cr.runs[0].EndedAt = true, time.Time{}, at(offset)
		cr.endedAt = at(grace)
	}
	// cutAtEnd makes it a stream that was cut and whose server was at work until a second before the end of the grace.
	cutAtEnd := func(cr *cutRequest) {
		endRun(cr, grace-time.Second)
		cr.endedAt, cr.end.at = at(grace-time.Second), at(grace-time.Second)
	}
	// holdUnrun makes it a request that no server ran, and whose connection ended when a time had passed since its last byte.
	holdUnrun := func(cr *cutRequest, held time.Duration) {
		cr.runs, cr.end.at = nil, cr.end.lastPassedOnAt.Add(held)
	}
	for name, tc := range map[string]struct {
		change func(*cutRequest)
		want   verdict
	}{
		"a stream that is cut":                                {func(*cutRequest) {}, lost},
		"a stream that is cut without a SIGTERM":              {func(cr *cutRequest) { cr.terminatedAt = time.Time{} }, lost},
		"no answer at all":                                    {func(cr *cutRequest) { cr.status, cr.err = 0, io.EOF }, lost},
		"a refusal that is cut":                               {func(cr *cutRequest) { cr.status = http.StatusServiceUnavailable }, lost},
		"a whole answer":                                      {func(cr *cutRequest) { cr.err = nil }, answered},
		"a whole refusal":                                     {func(cr *cutRequest) { cr.err, cr.status = nil, http.StatusServiceUnavailable }, answered},
		"the client left":                                     {func(cr *cutRequest) { cr.abandonedAt = cr.endedAt }, clientLeft},
		"the server broke off":                                {func(cr *cutRequest) { cr.runs[0].BrokenOff = true }, serverBrokeOff},
		"the server broke off an earlier run":                 {func(cr *cutRequest) { cr.runs = append(cr.runs, cr.runs[0]); cr.runs[0].BrokenOff = true }, lost},
		"cut at the time limit":                               {func(cr *cutRequest) { cr.kind.timeout = 2 * time.Second }, timeLimit},
		"cut before the time limit":                           {func(cr *cutRequest) { cr.kind.timeout = 2*time.Second + 1 }, lost},
		"cut before the time limit, noticed after it":         {func(cr *cutRequest) { cr.endedAt = cr.sentAt.Add(cr.kind.timeout) }, lost},
		"server at work in the last sixth":                    {func(cr *cutRequest) { endRun(cr, 5*time.Second) }, endOfGrace},
		"server cut before the last sixth":                    {func(cr *cutRequest) { endRun(cr, 5*time.Second-1) }, lost},
		"cut before the last sixth, noticed in it":            {func(cr *cutRequest) { cr.endedAt = at(5 * time.Second) }, lost},
		"server complete in the last sixth":                   {func(cr *cutRequest) { completeRun(cr, 5*time.Second) }, endOfGrace},
		"server complete before the last sixth":               {func(cr *cutRequest) { completeRun(cr, 5*time.Second-1) }, lost},
		"server at work in the last sixth, no SIGTERM":        {func(cr *cutRequest) { endRun(cr, 5*time.Second); cr.terminatedAt = time.Time{} }, lost},
		"an earlier run in the last sixth":                    {func(cr *cutRequest) { endRun(cr, 5*time.Second); cr.runs = append(cr.runs, passedOn().runs[0]) }, lost},
		"an abandoned run that arrives late":                  {func(cr *cutRequest) { endRun(cr, 5*time.Second); addRun(cr, 0) }, endOfGrace},
		"a later run that is abandoned":                       {func(cr *cutRequest) { endRun(cr, 5*time.Second); addRun(cr, 20*time.Millisecond) }, lost},
		"a later run that is left, the first one goes on":     {func(cr *cutRequest) { cutAtEnd(cr); addRun(cr, time.Second) }, endOfGrace},
		"a later run that is left, the first one is complete": {func(cr *cutRequest) { cutAtEnd(cr); completeRun(cr, 5*time.Second-1); addRun(cr, time.Second) }, lost},
		"a later run that is cut, the first one was left": {func(cr *cutRequest) {
			cutAtEnd(cr)
			endRun(cr, 5*time.Second-1)
			addRun(cr, time.Second)
			cr.runs[1].Completed = true
		}, lost},
		"an abandoned run after all others":              {func(cr *cutRequest) { addRun(cr, 0) }, lost},
		"server at work only after the grace":            {func(cr *cutRequest) { endRun(cr, grace+time.Second); cr.runs[0].StartedAt = at(grace + 1) }, lost},
		"server at work at the end, sent 3 s late":       {func(cr *cutRequest) { endRun(cr, 5*time.Second); cr.sentAt = at(lateSendLimit) }, endOfGrace},
		"server at work at the end, sent later":          {func(cr *cutRequest) { endRun(cr, 5*time.Second); cr.sentAt = at(lateSendLimit + 1) }, lost},
		"not passed on, closed within the slack":         {func(cr *cutRequest) { holdUnrun(cr, lossSlack) }, withinLossSlack},
		"not passed on, closed later":                    {func(cr *cutRequest) { holdUnrun(cr, lossSlack+1) }, lost},
		"not passed on, refusal cut later":               {func(cr *cutRequest) { holdUnrun(cr, lossSlack+1); cr.status = http.StatusServiceUnavailable }, lost},
		"not passed on, closed at the time limit":        {func(cr *cutRequest) { holdUnrun(cr, cr.kind.timeout) }, timeLimit},
		"not passed on, closed before it":                {func(cr *cutRequest) { holdUnrun(cr, cr.kind.timeout-1) }, lost},
		"not passed on, closed unread":                   {func(cr *cutRequest) { holdUnrun(cr, time.Second); cr.end.unread = true }, neverRead},
		"passed on, closed with later data unread":       {func(cr *cutRequest) { cr.end.unread = true }, lost},
		"the close came before the request":              {func(cr *cutRequest) { holdUnrun(cr, time.Second); cr.end.lastPassedOnAt = cr.sentAt.Add(-1) }, neverRead},
		"no connection":                                  {func(cr *cutRequest) { cr.runs, cr.end = nil, targetEnd{} }, neverRead},
		"passed on, closed by another than the host":     {func(cr *cutRequest) { cr.end = targetEnd{} }, lost},
		"server at work in the last sixth, first of two": {func(cr *cutRequest) { endRun(cr, 5*time.Second); cr.runs = append(cr.runs, cr.runs[0]) }, endOfGrace},
	} {
		t.Run(name, func(t *testing.T) {
			cr := passedOn()
			tc.change(&cr)
			assert.Equal(t, cr.verdict(cr.runs, cr.end, cr.terminatedAt, grace), tc.want)
		})
	}
}

// TestNeverReadCause checks which requests count as left unread by a process that listens.
func TestNeverReadCause(t *testing.T) {
	startedAt := time.Now()
	at := func(seconds float64) time.Time { return startedAt.Add(time.Duration(seconds * float64(time.Second))) }
	process := processTimes{startedAt: startedAt, listeningAt: at(1), terminatedAt: at(5), closedAt: at(8), endedAt: at(9)}
	running := processTimes{startedAt: startedAt, listeningAt: at(1)}
	for name, tc := range map[string]struct {
		process    processTimes
		connection string
		end        targetEnd
		endedAt    time.Time
		want       verdict
	}{
		"not ended by the host":          {process, "client", targetEnd{}, at(4), notEndedByHost},
		"no process yet":                 {processTimes{}, "client", targetEnd{at: at(2)}, at(2), noProcess},
		"after the process":              {process, "client", targetEnd{at: at(9.1)}, at(9.1), noProcess},
		"no connection after it":         {process, "", targetEnd{}, at(9.1), noProcess},
		"before the listeners":           {process, "client", targetEnd{at: at(0.9)}, at(0.9), notListening},
		"never had listeners":            {processTimes{startedAt: startedAt}, "", targetEnd{}, at(2), notListening},
		"after the listeners":            {process, "client", targetEnd{at: at(8.1), lastPassedOnAt: at(4)}, at(8.1), listenersClosed},
		"refused":                        {process, "client", targetEnd{at: at(7.9)}, at(8.1), refusedListening},
		"no connection":                  {process, "", targetEnd{}, at(7.9), refusedListening},
		"refused by a process that runs": {running, "client", targetEnd{at: at(20)}, at(20), refusedListening},
		"crossed the close":              {process, "client", targetEnd{at: at(4.5), lastPassedOnAt: at(2)}, at(4.5), crossedListening},
		"unread":                         {process, "client", targetEnd{at: at(4.5), lastPassedOnAt: at(4)}, at(4.5), unreadListening},
	} {
		t.Run(name, func(t *testing.T) {
			ex := &exchange{sentAt: at(3), endedAt: tc.endedAt, connection: tc.connection}
			assert.Equal(t, ex.neverReadCause(tc.end, tc.process), tc.want)
		})
	}
}
