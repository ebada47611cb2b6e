package lease_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/coordination/lease"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// logSimulation simulates a log and hosts whose clocks show different times. Appends may take effect late or never, the
// log may drop old records, and hosts may restart or do nothing for a while.
type logSimulation struct {
	config  lease.Config
	elapsed time.Duration
	// clockOffsets holds how far the clock of each host is ahead.
	clockOffsets []time.Duration
	leases       []*lease.Lease
	records      [][]byte
	// logStart is the offset of the oldest record that the log retains.
	logStart id.Offset
	// lateAppends holds the records that are not stored yet.
	lateAppends [][]byte
	// lastNumber is the last number that was used for an incarnation or a record's token.
	lastNumber int
	// highestToken is the highest fencing token with which any host has held the lease.
	highestToken id.Offset
	lastHolder   int
}

func newLogSimulation(config lease.Config, hostCount int) *logSimulation {
	sim := &logSimulation{config: config, highestToken: id.NoOffset, lastHolder: -1}
	for hostIndex := range hostCount {
		sim.clockOffsets = append(sim.clockOffsets, time.Duration(hostIndex)*time.Hour)
		sim.leases = append(sim.leases, nil)
		sim.restartHost(hostIndex)
	}
	return sim
}

// hostTime returns the time that the clock of a host shows.
func (sim *logSimulation) hostTime(hostIndex int) time.Time {
	return time.Unix(1_000_000, 0).Add(sim.elapsed + sim.clockOffsets[hostIndex])
}

// restartHost replaces a host with a new incarnation that has read no record.
func (sim *logSimulation) restartHost(hostIndex int) {
	sim.lastNumber++
	sim.leases[hostIndex] = lease.New(sim.config, id.Host(fmt.Sprint("host-", hostIndex)), id.Incarnation(sim.lastNumber), sim.hostTime(hostIndex))
}

// readLog lets a host read all records that it has not read yet.
func (sim *logSimulation) readLog(hostIndex int) {
	ls := sim.leases[hostIndex]
	ls.SetLogStart(sim.hostTime(hostIndex), sim.logStart)
	for int(ls.NextOffset()) < len(sim.records) {
		ls.ApplyRecord(sim.hostTime(hostIndex), ls.NextOffset(), sim.records[ls.NextOffset()])
	}
}

// claimIfDue lets a host append a record if it should. The record is stored late if delivery is 0, never if it is 1,
// and otherwise immediately.
func (sim *logSimulation) claimIfDue(hostIndex, delivery int) {
	ls := sim.leases[hostIndex]
	if !ls.ShouldClaim(sim.hostTime(hostIndex)) {
		return
	}
	sim.lastNumber++
	body, err := lease.EncodeRecord(ls.Claim(sim.hostTime(hostIndex), fmt.Sprint("token-", sim.lastNumber)))
	if err != nil {
		panic(err)
	}
	switch delivery {
	case 0:
		sim.lateAppends = append(sim.lateAppends, body)
	case 1:
	default:
		sim.records = append(sim.records, body)
	}
}

// checkHolders returns an error if two hosts hold the lease, or if a holder has a lower token than an earlier one.
func (sim *logSimulation) checkHolders() error {
	holderCount := 0
	for hostIndex, ls := range sim.leases {
		token, holds := ls.FencingToken(sim.hostTime(hostIndex))
		if !holds {
			continue
		}
		holderCount++
		if holderCount > 1 {
			return fmt.Errorf("two hosts hold the lease at %s", sim.elapsed)
		}
		if token < sim.highestToken {
			return fmt.Errorf("host %d holds token %d after token %d was held", hostIndex, token, sim.highestToken)
		}
		sim.highestToken = token
	}
	return nil
}

// runRandomActions performs random actions and checks the holders after each.
func (sim *logSimulation) runRandomActions(rt *rapid.T) error {
	for range rapid.IntRange(20, 200).Draw(rt, "steps") {
		hostIndex := rapid.IntRange(0, len(sim.leases)-1).Draw(rt, "host")
		switch rapid.IntRange(0, 9).Draw(rt, "action") {
		case 0, 1, 2:
			sim.readLog(hostIndex)
		case 3, 4:
			sim.claimIfDue(hostIndex, rapid.IntRange(0, 4).Draw(rt, "delivery"))
		case 5, 6, 7:
			sim.elapsed += time.Duration(rapid.IntRange(10, 6000).Draw(rt, "millis")) * time.Millisecond
		case 8:
			if len(sim.lateAppends) > 0 {
				sim.records = append(sim.records, sim.lateAppends[0])
				sim.lateAppends = sim.lateAppends[1:]
			}
		case 9:
			if rapid.Bool().Draw(rt, "restart") {
				sim.restartHost(hostIndex)
			} else {
				sim.logStart = max(sim.logStart, id.Offset(rapid.IntRange(0, len(sim.records)).Draw(rt, "log start")))
			}
		}
		if err := sim.checkHolders(); err != nil {
			return err
		}
	}
	return nil
}

// TestAtMostOneHolder checks that at no time two hosts hold the lease and that fencing tokens never decrease, even if
// appends are lost or delayed, the log drops records and hosts restart.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := newLogSimulation(lease.DefaultConfig(), 3).runRandomActions(rt); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestCheckDetectsTwoHolders checks checkHolders itself: with a negative margin, a holder uses its lease for longer
// than the other host waits, and checkHolders must report it.
func TestCheckDetectsTwoHolders(t *testing.T) {
	config := lease.DefaultConfig()
	config.ClockRateMargin = -5 * time.Second
	sim := newLogSimulation(config, 2)
	sim.elapsed = time.Minute
	sim.claimIfDue(0, 2)
	sim.readLog(0)
	sim.readLog(1)
	sim.elapsed += config.Duration + config.ClockRateMargin
	sim.claimIfDue(1, 2)
	sim.readLog(1)
	assert.ErrorContains(t, sim.checkHolders(), "two hosts hold the lease")
}

// TestExpiredLeaseIsTakenOver checks that another host gets the lease with a higher token after it has expired, and
// that the former holder, which was paused and has not read the new record, no longer uses it.
func TestExpiredLeaseIsTakenOver(t *testing.T) {
	sim := newLogSimulation(lease.DefaultConfig(), 2)
	sim.elapsed = time.Minute
	sim.claimIfDue(0, 2)
	sim.readLog(0)
	sim.readLog(1)
	firstToken, holds := sim.leases[0].FencingToken(sim.hostTime(0))
	assert.Assert(t, holds)
	sim.elapsed += sim.config.Duration + sim.config.ClockRateMargin
	sim.claimIfDue(1, 2)
	sim.readLog(1)
	secondToken, holds := sim.leases[1].FencingToken(sim.hostTime(1))
	assert.Assert(t, holds)
	assert.Assert(t, secondToken > firstToken)
	_, holds = sim.leases[0].FencingToken(sim.hostTime(0))
	assert.Assert(t, !holds, "the paused holder still uses its expired lease")
}

// TestLeaseResetAfterRetentionGap checks that exactly one host gets the lease again after the log has dropped all
// records and all hosts have restarted.
func TestLeaseResetAfterRetentionGap(t *testing.T) {
	sim := newLogSimulation(lease.DefaultConfig(), 2)
	sim.elapsed = time.Minute
	sim.claimIfDue(0, 2)
	sim.readLog(0)
	sim.logStart = id.Offset(len(sim.records))
	sim.restartHost(0)
	sim.restartHost(1)
	for range 20 {
		sim.elapsed += 2 * time.Second
		for hostIndex := range sim.leases {
			sim.readLog(hostIndex)
			sim.claimIfDue(hostIndex, 2)
			sim.readLog(hostIndex)
			assert.NilError(t, sim.checkHolders())
		}
	}
	holderCount := 0
	for hostIndex, ls := range sim.leases {
		if _, holds := ls.FencingToken(sim.hostTime(hostIndex)); holds {
			holderCount++
		}
	}
	assert.Equal(t, holderCount, 1)
}
