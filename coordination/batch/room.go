package batch

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

const (
	// holdWeight is the weight of one grant in the running means of how long grants hold a slot and how much memory short
	// prompts take.
	holdWeight = 1.0 / 32
	// arrivalPeriod is the period over which arrivals are counted.
	arrivalPeriod = time.Second
	// forecastInterval is the least time between two forecasts of a queue.
	forecastInterval = 20 * time.Millisecond
	// maxForecastRefusals bounds the requests that one forecast refuses, and with them its work.
	maxForecastRefusals = 200
	// returnShare is the share of the slots that become free which may go to refused clients that come back. The others
	// are left to clients that come for the first time.
	returnShare = 0.25
)

// roomForecast predicts when slots become free for short prompts that wait.
type roomForecast struct {
	// meanHold is the running mean of the time from a grant to its end; zero before the first end.
	meanHold time.Duration
	// meanMemory is the running mean of the memory of a short prompt and its answer; zero before the first grant, and always
	// if KeepsSlotsUsable is not set.
	meanMemory id.Tokens
	// periodStart is when the current period of arrivals began, arrivals the number of short prompts submitted in it, and
	// arrivalRate the number per second in the period before.
	periodStart time.Time
	arrivals    int
	arrivalRate float64
	// lastForecast is when hopeless requests were last looked for.
	lastForecast time.Time
	// lastReturn is the latest time at which a refused client was asked to come back.
	lastReturn time.Time
}

// countHold takes in how long a grant has held its slot.
func (rf *roomForecast) countHold(held time.Duration) {
	if rf.meanHold == 0 {
		rf.meanHold = held
		return
	}
	rf.meanHold += time.Duration(holdWeight * float64(held-rf.meanHold))
}

// countMemory takes in the memory of a short prompt that is granted.
func (rf *roomForecast) countMemory(tokens id.Tokens) {
	if rf.meanMemory == 0 {
		rf.meanMemory = tokens
		return
	}
	rf.meanMemory += id.Tokens(holdWeight * float64(tokens-rf.meanMemory))
}

// countArrival counts a short prompt that is submitted.
func (rf *roomForecast) countArrival(now time.Time) {
	rf.updateRate(now)
	rf.arrivals++
}

// updateRate ends the period of arrivals if it is over.
func (rf *roomForecast) updateRate(now time.Time) {
	elapsed := now.Sub(rf.periodStart)
	if elapsed < arrivalPeriod {
		return
	}
	rf.arrivalRate = float64(rf.arrivals) / elapsed.Seconds()
	rf.periodStart, rf.arrivals = now, 0
}

// releaseRate returns the number of slots that become free in a second, given the number that is in use; zero if it is
// not known.
func (rf *roomForecast) releaseRate(slotsUsed int) float64 {
	if rf.meanHold <= 0 {
		return 0
	}
	return float64(slotsUsed) / rf.meanHold.Seconds()
}

// nextReturn returns the time until a refused client is asked to come back. Clients that are refused one after the other get
// times one after the other, as fast as returnShare of the slots become free, and within maxRetryAfter; from there on the
// times are spread by jitter.
func (mc *Machine) nextReturn(now time.Time, releaseRate float64) time.Duration {
	rf := &mc.room
	if earliest := now.Add(minRetryAfter); rf.lastReturn.Before(earliest) {
		rf.lastReturn = earliest
	}
	rf.lastReturn = rf.lastReturn.Add(time.Duration(float64(time.Second) / (releaseRate * returnShare)))
	if latest := now.Add(maxRetryAfter); rf.lastReturn.After(latest) {
		rf.lastReturn = latest
		return mc.addJitter(maxRetryAfter)
	}
	return rf.lastReturn.Sub(now)
}

// slots returns the slots of the candidates that are in use, and whether any is free.
func (mc *Machine) slots() (used int, anyFree bool) {
	for ix := range mc.candidates {
		used += mc.candidates[ix].load.slotsUsed
		anyFree = anyFree || mc.candidates[ix].load.slotsUsed < mc.profile.Slots
	}
	return used, anyFree
}

// freeSlotsElsewhere returns the free slots of engines that are not among the candidates now, but may be again before the
// clients that wait leave: because they failed a request, asked for backoff, have used up their limit or run a request alone.
func (mc *Machine) freeSlotsElsewhere(now time.Time) int {
	free := 0
	for _, en := range mc.engines {
		if en.remains() && !en.isWithheld() && !en.isCandidate(now) {
			free += max(0, mc.profile.Slots-mc.loadOf(now, en).slotsUsed)
		}
	}
	return free
}

// refuseHopeless refuses short prompts that can no longer be on time and are predicted to get no slot before their clients
// stop waiting, because those that can be on time take all that become free. It refuses none while a slot is free, nor any
// that the free slots of engines that may return would serve.
func (mc *Machine) refuseHopeless(now time.Time) {
	qu := &mc.shortQueue
	if !mc.config.RefusesHopeless || len(qu.late) == 0 || now.Sub(mc.room.lastForecast) < forecastInterval {
		return
	}
	mc.room.lastForecast = now
	mc.room.updateRate(now)
	used, anyFree := mc.slots()
	releaseRate := mc.room.releaseRate(used)
	if anyFree || releaseRate == 0 {
		return
	}
	leftRate := max(0, releaseRate-mc.room.arrivalRate)
	elsewhere := float64(mc.freeSlotsElsewhere(now))
	var hopeless []*waitingRequest
	ahead := len(qu.onTime)
	for _, wt := range qu.late {
		if len(hopeless) == maxForecastRefusals {
			break
		}
		ahead++
		if wt.AttemptNumber > 1 || float64(ahead) <= elsewhere+leftRate*wt.refuseAt.Sub(now).Seconds() {
			continue
		}
		ahead--
		hopeless = append(hopeless, wt)
	}
	for _, wt := range hopeless {
		mc.removeWaiting(wt)
		mc.addRefusal(wt, outcome.Refuse(outcome.Overloaded, "no slot becomes free in the request's time").WithRetryAfter(mc.nextReturn(now, releaseRate)))
	}
}
