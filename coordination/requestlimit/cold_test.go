package requestlimit_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// coldPeriod and coldRate are those of the service of the tests, and coldAllowed what all hosts may send in any second.
	coldPeriod  = 3 * time.Second
	coldRate    = 17
	coldAllowed = coldRate*1.5 + 5
)

// coldFleet is a fleet whose service books has cold servers and whose list has a given age.
type coldFleet struct {
	mutex   sync.Mutex
	listAge time.Duration
}

func (cf *coldFleet) ColdService(name id.Service) requestlimit.ColdService {
	if name != service {
		return requestlimit.ColdService{}
	}
	return requestlimit.ColdService{Duration: coldPeriod, Limit: serverlimit.ColdBounds{Overage: 1.5, Slack: 5}.Limit(coldRate)}
}

func (cf *coldFleet) ListAge() time.Duration {
	cf.mutex.Lock()
	defer cf.mutex.Unlock()
	return cf.listAge
}

func (cf *coldFleet) setListAge(age time.Duration) {
	cf.mutex.Lock()
	defer cf.mutex.Unlock()
	cf.listAge = age
}

// coldHost is what one host knows of cold servers, with what it wrote and spread.
type coldHost struct {
	*requestlimit.ColdStarts
	fleet   *coldFleet
	log     logText
	facts   []membership.Fact
	changes atomic.Int32
}

// logText holds log lines. It is safe for concurrent use.
type logText struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (lt *logText) Write(line []byte) (int, error) {
	lt.mutex.Lock()
	defer lt.mutex.Unlock()
	return lt.text.Write(line)
}

func (lt *logText) String() string {
	lt.mutex.Lock()
	defer lt.mutex.Unlock()
	return lt.text.String()
}

func newColdHost() *coldHost {
	ch := &coldHost{fleet: &coldFleet{}}
	ch.ColdStarts = requestlimit.NewColdStarts(timer.NewSystem(), tally.NoopScope, slog.New(slog.NewTextHandler(&ch.log, nil)), ch.fleet,
		func(fact membership.Fact) { ch.facts = append(ch.facts, fact) }, func() { ch.changes.Add(1) })
	return ch
}

// lines returns the number of log lines that have a text, once all timers that are due have run.
func (ch *coldHost) lines(text string) int {
	synctest.Wait()
	return strings.Count(ch.log.String(), text)
}

// otherService is a server of a service without cold servers.
var otherService = serverlist.Server{ID: "engine", Service: "models", StartedAtMillis: 1}

func TestAnswerOfColdServerReachesOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newColdHost(), newColdHost()
		for _, host := range []*coldHost{first, second} {
			host.UpdateServers([]serverlist.Server{limitedServer, otherServer, otherService})
			assert.Equal(t, host.Limit(limitedServer), serverlimit.ColdLimit{})
		}
		for range 100 {
			first.RecordAnswer(limitedServer, 2*time.Second)
			first.RecordAnswer(otherServer, 50*time.Millisecond)
			first.RecordAnswer(otherService, 2*time.Second)
		}
		assert.Equal(t, len(first.facts), 1)
		assert.Equal(t, first.changes.Load(), int32(1))
		second.LearnFact(first.facts[0])
		want := serverlimit.ColdLimit{Rate: coldRate, MaxPerSecond: 15}
		for _, host := range []*coldHost{first, second} {
			assert.Equal(t, host.Limit(limitedServer), want)
			assert.Equal(t, host.Limit(otherServer), serverlimit.ColdLimit{})
			assert.Equal(t, host.Limit(otherService), serverlimit.ColdLimit{})
			assert.Equal(t, host.Count(), 1)
			assert.Equal(t, host.lines("became cold or warm"), 1, host.log.String())
		}
		assert.Equal(t, second.lines(`source="another host" remaining_ms=2000`), 1, second.log.String())
		time.Sleep(2 * time.Second)
		assert.Equal(t, second.Limit(limitedServer), serverlimit.ColdLimit{})
		time.Sleep(time.Minute)
		second.LearnFact(first.facts[0])
		assert.Equal(t, second.Limit(limitedServer), serverlimit.ColdLimit{}, "a fact of long ago counts")
	})
}

// TestLongerColdTimeReachesOtherHosts checks that an answer that says that a cold server remains cold for longer than was
// known reaches the other hosts, and that answers that differ by little do not.
func TestLongerColdTimeReachesOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newColdHost(), newColdHost()
		for _, host := range []*coldHost{first, second} {
			host.UpdateServers([]serverlist.Server{limitedServer})
		}
		first.RecordAnswer(limitedServer, 2*time.Second)
		time.Sleep(time.Second)
		first.RecordAnswer(limitedServer, 5*time.Second)
		for _, fact := range first.facts {
			second.LearnFact(fact)
		}
		for number := range 10 {
			// Each answer is under way for 5 ms longer than the one before.
			const interval, delay = 100 * time.Millisecond, 5 * time.Millisecond
			time.Sleep(interval)
			first.RecordAnswer(limitedServer, 5*time.Second-time.Duration(number+1)*(interval-delay))
		}
		assert.Equal(t, len(first.facts), 2)
		time.Sleep(3 * time.Second)
		assert.Equal(t, second.Limit(limitedServer).Rate, serverlimit.Rate(coldRate), "the second host takes a cold server for warm")
	})
}

// TestColdServersOfOutdatedList checks that any server may be cold while the list is outdated, that this is no reason to
// leave it out, and that it is logged once.
func TestColdServersOfOutdatedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := newColdHost()
		host.UpdateServers([]serverlist.Server{limitedServer, otherService})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { assert.Check(t, host.Run(ctx)) })
		host.fleet.setListAge(3500 * time.Millisecond)
		time.Sleep(time.Second)
		assert.Equal(t, host.Limit(limitedServer), serverlimit.ColdLimit{Rate: coldRate, MaxPerSecond: 15, Assumed: true})
		assert.Equal(t, host.Limit(otherService), serverlimit.ColdLimit{})
		assert.Equal(t, host.Count(), 0)
		synctest.Wait()
		assert.Equal(t, host.changes.Load(), int32(1))
		tracker := requestlimit.NewTracker(timer.NewSystem(), tally.NoopScope, slog.New(slog.DiscardHandler), func(membership.Fact) {}, func() {})
		tracker.SetColdStarts(host.ColdStarts)
		assert.Assert(t, tracker.Any())
		client := requestlimit.NewClient(tracker, "host", hostPeers{})
		assert.Equal(t, client.Rate(limitedServer), serverlimit.Rate(0))
		restarted := limitedServer
		restarted.StartedAtMillis++
		host.UpdateServers([]serverlist.Server{restarted, otherService})
		assert.Equal(t, client.Rate(restarted), serverlimit.Rate(coldRate))
		client.RecordResponse(restarted, time.Now(), requestlimit.Named{Rate: 2}, true)
		assert.Equal(t, client.Rate(restarted), serverlimit.Rate(2))
		host.fleet.setListAge(0)
		time.Sleep(coldPeriod + time.Second)
		assert.Equal(t, host.Limit(restarted), serverlimit.ColdLimit{})
		zone := []serverlist.Server{limitedServer}
		for number := range 100 {
			zone = append(zone, serverlist.Server{ID: id.BackendServer(fmt.Sprint("zone-", number)), Service: service, StartedAtMillis: 1})
		}
		host.UpdateServers(zone)
		assert.Equal(t, host.Count(), len(zone))
		assert.Equal(t, host.lines("count=101 first="), 1, host.log.String())
		time.Sleep(coldPeriod + time.Second)
		assert.Equal(t, host.Count(), 0)
		assert.Equal(t, host.lines("may have become cold unnoticed"), 2, host.log.String())
		assert.Equal(t, host.lines("became cold or warm"), 4, host.log.String())
		cancel()
		running.Wait()
	})
}

// TestTwoIssuersOfPermitsForColdServer has two groups of hosts, each with an issuer of its own, use up the permits for a
// cold server that they can get.
func TestTwoIssuersOfPermitsForColdServer(t *testing.T) {
	const duration = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		nw, hosts := newNetwork(6)
		for _, host := range hosts {
			cold := newColdHost()
			cold.UpdateServers([]serverlist.Server{otherServer})
			cold.UpdateServers([]serverlist.Server{otherServer, limitedServer})
			nw.clients[host].SetColdStarts(cold.ColdStarts)
		}
		nw.setLive(hosts[3:], hosts[3:]...)
		var mutex sync.Mutex
		sent := map[bool][]time.Time{}
		var demand sync.WaitGroup
		for index, host := range hosts {
			demand.Go(func() {
				for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(3 * time.Millisecond) {
					if nw.clients[host].Acquire(t.Context(), service, []serverlist.Server{limitedServer}, 0).Granted() {
						mutex.Lock()
						sent[index < 3] = append(sent[index < 3], time.Now())
						mutex.Unlock()
					}
				}
			})
		}
		demand.Wait()
		for _, times := range sent {
			assert.Assert(t, float64(len(times)) >= 0.8*coldRate*duration.Seconds()-1, "%d permits", len(times))
		}
		all := append(sent[true], sent[false]...)
		slices.SortFunc(all, time.Time.Compare)
		most := testutil.MaxInWindow(all, time.Second)
		assert.Assert(t, float64(most) <= coldAllowed, "%d permits in a second, allowed %g", most, coldAllowed)
	})
}

// TestServerReturnsColdWhileListIsOutdated guards against hosts that send a server that was lost and came back as much as a
// warm one, while the list does not say that it started again. It is warm again after its cold time. A loss that the list
// has outlived, and one while the list is up to date, limit nothing.
func TestServerReturnsColdWhileListIsOutdated(t *testing.T) {
	const (
		hostCount  = 6
		interval   = time.Second / 16
		answerTime = 30 * time.Millisecond
		downtime   = 2 * time.Second
	)
	for name, outdated := range map[string]bool{"outdated": true, "up to date": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nw, hosts := newNetwork(hostCount)
				var cold []*coldHost
				for _, host := range hosts {
					started := newColdHost()
					started.UpdateServers([]serverlist.Server{limitedServer, otherServer})
					nw.clients[host].SetColdStarts(started.ColdStarts)
					cold = append(cold, started)
				}
				confirmedAt := time.Now()
				downFrom := confirmedAt.Add(4 * time.Second)
				backAt := downFrom.Add(downtime)
				warmAt := backAt.Add(coldPeriod)
				var mutex sync.Mutex
				var arrivals []time.Time
				var demand sync.WaitGroup
				send := func(index int) {
					client := nw.clients[hosts[index]]
					if client.Rate(limitedServer) > 0 && !client.Acquire(t.Context(), service, []serverlist.Server{limitedServer}, 0).Granted() {
						return
					}
					sentAt := time.Now()
					if !sentAt.Before(downFrom) && sentAt.Before(backAt) {
						client.RecordLoss(limitedServer)
						return
					}
					mutex.Lock()
					arrivals = append(arrivals, sentAt)
					mutex.Unlock()
					time.Sleep(answerTime)
					facts := len(cold[index].facts)
					client.RecordResponse(limitedServer, sentAt, requestlimit.Named{}, true)
					for _, fact := range cold[index].facts[facts:] {
						for other := range cold {
							if other != index {
								cold[other].LearnFact(fact)
							}
						}
					}
				}
				for index := range hosts {
					demand.Go(func() {
						time.Sleep(time.Duration(index) * interval / hostCount)
						for time.Now().Before(warmAt.Add(2 * time.Second)) {
							if outdated {
								cold[index].fleet.setListAge(time.Since(confirmedAt))
							}
							demand.Go(func() { send(index) })
							time.Sleep(interval)
						}
					})
				}
				demand.Wait()
				inTime := func(from, to time.Time) []time.Time {
					return slices.DeleteFunc(slices.Clone(arrivals), func(at time.Time) bool { return at.Before(from) || !at.Before(to) })
				}
				most := testutil.MaxInWindow(inTime(backAt, warmAt), time.Second)
				assert.Check(t, !outdated || float64(most) <= coldAllowed, "%d requests in a second, allowed %g", most, coldAllowed)
				assert.Check(t, outdated || float64(most) > coldAllowed, "%d requests in a second", most)
				ramp := len(inTime(backAt, warmAt))
				assert.Check(t, float64(ramp) >= 0.8*coldRate*coldPeriod.Seconds()-1, "%d requests while it may be cold", ramp)
				warm := len(inTime(warmAt.Add(time.Second), warmAt.Add(2*time.Second)))
				assert.Check(t, float64(warm) > coldAllowed, "%d requests in a second when it is warm", warm)
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		host := newColdHost()
		host.UpdateServers([]serverlist.Server{limitedServer, otherService})
		host.RecordLoss(limitedServer)
		host.RecordLoss(otherService)
		host.fleet.setListAge(3500 * time.Millisecond)
		assert.Equal(t, host.Limit(limitedServer), serverlimit.ColdLimit{Rate: coldRate, MaxPerSecond: 15})
		assert.Equal(t, host.Limit(otherService), serverlimit.ColdLimit{})
		time.Sleep(10 * time.Second)
		assert.Equal(t, host.Limit(limitedServer), serverlimit.ColdLimit{Rate: coldRate, MaxPerSecond: 15, Assumed: true}, "the list has been read since the loss")
	})
}
