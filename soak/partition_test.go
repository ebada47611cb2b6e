package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/hibiscuslever/hibiscuslever/lifecycle/hangup"
	"github.com/hibiscuslever/hibiscuslever/settings"
	"github.com/hibiscuslever/hibiscuslever/site"
	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
)

// cuttableHostVariable is the environment variable with the path of the settings file that makes the test program act as
// a cuttable host.
const cuttableHostVariable = "HIBISCUSLEVER_SOAK_HOST"

// runCuttableHost does what the daemon does, with links to servers whose mode is read from standard input, one number a
// line. It returns the exit code. A process of its own can refuse dials, which a proxy in front of servers that several
// hosts share can't do for one host only.
func runCuttableHost(settingsPath string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	hostSettings, err := settings.Read(settingsPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	logger := telemetry.NewLogger(os.Stdout, hostSettings.Logs.Format, hostSettings.Logs.Level).With("host", string(hostSettings.Host.Name))
	links := standin.NewLinks()
	go func() {
		for scanner := bufio.NewScanner(os.Stdin); scanner.Scan(); {
			if mode, err := strconv.Atoi(scanner.Text()); err == nil {
				links.SetModeOfAll(standin.LinkMode(mode))
			}
		}
	}()
	storeAddress := strings.TrimPrefix(hostSettings.Platform.URL, "http://")
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == storeAddress {
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		return links.Dial(ctx, network, address)
	}
	siteHost, err := site.New(site.WithSettings(hostSettings), site.WithLogger(logger), site.WithDialer(dial))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	go func() {
		for range hangup.Signals() {
			if reloaded, err := settings.Read(settingsPath); err == nil {
				siteHost.Reload(reloaded)
			}
		}
	}()
	if err := siteHost.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// linkChange is a change of the mode of a host's links to servers.
type linkChange struct {
	hostName string
	mode     standin.LinkMode
	at       time.Time
}

// recordLinkChange records that the mode of a host's links to servers changes now.
func (tb *testbed) recordLinkChange(hostName string, mode standin.LinkMode) {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	tb.linkChanges = append(tb.linkChanges, linkChange{hostName, mode, time.Now()})
}

// cutOffSince returns when the links of a host that were cut at a time had been cut, or zero if they were open.
func (tb *testbed) cutOffSince(hostName string, at time.Time) time.Time {
	var since time.Time
	for _, change := range tb.linkChanges {
		if change.hostName != hostName || change.at.After(at) {
			continue
		}
		if change.mode == standin.LinkOpen {
			since = time.Time{}
		} else if since.IsZero() {
			since = change.at
		}
	}
	return since
}

// contactTime is how long hosts may take to find out that they are cut off, and for how long after another fault a host
// is not compared with others.
const contactTime = 3 * time.Second

// undisturbed reports whether no other fault of a host or its links to clients, hosts and the store began or ended from
// contactTime before a time until another.
func (tb *testbed) undisturbed(hostName string, from, to time.Time) bool {
	for _, ds := range tb.disruptions {
		if strings.HasPrefix(ds.name, hostName) && ds.at.After(from.Add(-contactTime)) && ds.at.Before(to) {
			return false
		}
	}
	return true
}

// reachesServers reports whether one of the hosts is undisturbed and had open links to servers during a request.
func (tb *testbed) reachesServers(ex *exchange) bool {
	for _, hs := range tb.hosts {
		if tb.cutOffSince(hs.name, ex.sentAt).IsZero() && tb.cutOffSince(hs.name, ex.endedAt).IsZero() && tb.undisturbed(hs.name, ex.sentAt, ex.endedAt) {
			return true
		}
	}
	return false
}

// checkCutOffHosts checks that hosts which were cut off from servers for contactTime served requests as the other hosts
// did at the same time: at least two thirds as often, or all but 10 and one in 50. It compares undisturbed hosts, while
// one of them reached the servers. Requests that their clients abandoned early are left out.
func (tb *testbed) checkCutOffHosts() {
	var sent, served [2]int
	const others, cutOff = 0, 1
	for _, ex := range tb.exchanges {
		if !ex.abandonedAt.IsZero() && ex.endedAt.Sub(ex.sentAt) < clientTimeout || !tb.undisturbed(ex.hostName, ex.sentAt, ex.endedAt) || !tb.reachesServers(ex) {
			continue
		}
		group := others
		if since := tb.cutOffSince(ex.hostName, ex.sentAt); !since.IsZero() {
			if ex.sentAt.Sub(since) < contactTime {
				continue
			}
			group = cutOff
		} else if !tb.anyCutOff(ex.sentAt) {
			continue
		}
		sent[group]++
		if ex.err == nil && ex.status == http.StatusOK {
			served[group]++
		}
	}
	tb.t.Logf("while hosts were cut off from servers: these served %d of %d requests, the others %d of %d", served[cutOff], sent[cutOff], served[others], sent[others])
	const toleratedFailures, toleratedShare = 10, 50
	if failed := sent[cutOff] - served[cutOff]; failed > toleratedFailures+sent[cutOff]/toleratedShare && served[cutOff]*sent[others]*3 < served[others]*sent[cutOff]*2 {
		tb.reportViolation("RECOVER", "hosts that were cut off from servers served %d of %d requests, the others %d of %d", served[cutOff], sent[cutOff], served[others], sent[others])
	}
}

// anyCutOff reports whether a host had been cut off from servers for contactTime.
func (tb *testbed) anyCutOff(at time.Time) bool {
	for _, hs := range tb.hosts {
		if since := tb.cutOffSince(hs.name, at); !since.IsZero() && at.Sub(since) >= contactTime {
			return true
		}
	}
	return false
}
