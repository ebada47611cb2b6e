package lease_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/checks"
	"github.com/hibiscuslever/hibiscuslever/coordination/lease"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

func TestMain(m *testing.M) { checks.Main(m) }

// world is a log and hosts whose clocks differ. Appends may take effect late or never, hosts may pause.
type world struct {
	config  lease.Config
	now     time.Duration
	clocks  []time.Duration
	leases  []*lease.Lease
	records [][]byte
	start   id.Offset
	late    [][]byte
	tokens  int
	// highest is the highest fencing token that any host has held.
	highest id.Offset
	holder  int
}

func newWorld(config lease.Config, hosts int) *world {
	wd := &world{config: config, highest: id.NoOffset, holder: -1}
	for host := range hosts {
		wd.clocks = append(wd.clocks, time.Duration(host)*time.Hour)
		wd.leases = append(wd.leases, nil)
		wd.restart(host)
	}
	return wd
}

func (wd *world) clock(host int) time.Time {
	return time.Unix(1_000_000, 0).Add(wd.now + wd.clocks[host])
}

func (wd *world) restart(host int) {
	wd.tokens++
	wd.leases[host] = lease.New(wd.config, id.Host(fmt.Sprint("host-", host)), id.Incarnation(wd.tokens), wd.clock(host))
}

func (wd *world) read(host int) {
	ls := wd.leases[host]
	ls.SetLogStart(wd.clock(host), wd.start)
	for int(ls.Next()) < len(wd.records) {
		ls.Add(wd.clock(host), ls.Next(), wd.records[ls.Next()])
	}
}

// claim appends a record if one is due: at once, late, or never.
func (wd *world) claim(host, fate int) {
	ls := wd.leases[host]
	if !ls.ShouldClaim(wd.clock(host)) {
		return
	}
	wd.tokens++
	body, err := lease.EncodeRecord(ls.Claim(wd.clock(host), fmt.Sprint("token-", wd.tokens)))
	if err != nil {
		panic(err)
	}
	switch fate {
	case 0:
		wd.late = append(wd.late, body)
	case 1:
	default:
		wd.records = append(wd.records, body)
	}
}

// check returns what is wrong: two hosts hold the lease, or a later holder has a lower token.
func (wd *world) check() error {
	holders := 0
	for host, ls := range wd.leases {
		token, held := ls.FencingToken(wd.clock(host))
		if !held {
			continue
		}
		holders++
		if holders > 1 {
			return fmt.Errorf("two hosts hold the lease at %s", wd.now)
		}
		if token < wd.highest {
			return fmt.Errorf("host %d holds token %d after token %d was held", host, token, wd.highest)
		}
		wd.highest = token
	}
	return nil
}

func (wd *world) run(rt *rapid.T) error {
	for range rapid.IntRange(20, 200).Draw(rt, "steps") {
		host := rapid.IntRange(0, len(wd.leases)-1).Draw(rt, "host")
		switch rapid.IntRange(0, 9).Draw(rt, "action") {
		case 0, 1, 2:
			wd.read(host)
		case 3, 4:
			wd.claim(host, rapid.IntRange(0, 4).Draw(rt, "fate"))
		case 5, 6, 7:
			wd.now += time.Duration(rapid.IntRange(10, 6000).Draw(rt, "millis")) * time.Millisecond
		case 8:
			if len(wd.late) > 0 {
				wd.records = append(wd.records, wd.late[0])
				wd.late = wd.late[1:]
			}
		case 9:
			if rapid.Bool().Draw(rt, "restart") {
				wd.restart(host)
			} else {
				wd.start = max(wd.start, id.Offset(rapid.IntRange(0, len(wd.records)).Draw(rt, "start")))
			}
		}
		if err := wd.check(); err != nil {
			return err
		}
	}
	return nil
}

func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := newWorld(lease.DefaultConfig(), 3).run(rt); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestCheckDetectsTwoHolders proves the checker: a holder that trusts its lease longer than others wait is seen.
func TestCheckDetectsTwoHolders(t *testing.T) {
	config := lease.DefaultConfig()
	config.ClockRateMargin = -5 * time.Second
	wd := newWorld(config, 2)
	wd.now = time.Minute
	wd.claim(0, 2)
	wd.read(0)
	wd.read(1)
	wd.now += config.Duration + config.ClockRateMargin
	wd.claim(1, 2)
	wd.read(1)
	assert.ErrorContains(t, wd.check(), "two hosts hold the lease")
}

func TestExpiredLeaseIsTakenOver(t *testing.T) {
	wd := newWorld(lease.DefaultConfig(), 2)
	wd.now = time.Minute
	wd.claim(0, 2)
	wd.read(0)
	wd.read(1)
	first, held := wd.leases[0].FencingToken(wd.clock(0))
	assert.Assert(t, held)
	wd.now += wd.config.Duration + wd.config.ClockRateMargin
	wd.claim(1, 2)
	wd.read(1)
	second, held := wd.leases[1].FencingToken(wd.clock(1))
	assert.Assert(t, held)
	assert.Assert(t, second > first)
	_, held = wd.leases[0].FencingToken(wd.clock(0))
	assert.Assert(t, !held, "the paused holder does not trust its old lease")
}

func TestLeaseResetAfterRetentionGap(t *testing.T) {
	wd := newWorld(lease.DefaultConfig(), 2)
	wd.now = time.Minute
	wd.claim(0, 2)
	wd.read(0)
	wd.start = id.Offset(len(wd.records))
	wd.restart(0)
	wd.restart(1)
	for range 20 {
		wd.now += 2 * time.Second
		for host := range wd.leases {
			wd.read(host)
			wd.claim(host, 2)
			wd.read(host)
			assert.NilError(t, wd.check())
		}
	}
	held := 0
	for host, ls := range wd.leases {
		if _, ok := ls.FencingToken(wd.clock(host)); ok {
			held++
		}
	}
	assert.Equal(t, held, 1)
}
