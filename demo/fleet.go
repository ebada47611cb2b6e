// Package demo runs a small fleet of entry hosts with stand-ins for everything around them in one process, and sends it
// a few requests.
package demo

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever"
	protocol "github.com/hibiscuslever/hibiscuslever/protocol/platform"
	"github.com/hibiscuslever/hibiscuslever/settings"
	"github.com/hibiscuslever/hibiscuslever/standin/batchmodel"
	"github.com/hibiscuslever/hibiscuslever/standin/engine"
	"github.com/hibiscuslever/hibiscuslever/standin/platform"
	"github.com/hibiscuslever/hibiscuslever/standin/service"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
)

const (
	// Model is the model that the engines of the demo serve.
	Model id.Model = "lever-8b"
	// BookingService is the plain service of the demo.
	BookingService id.Service = "bookings-app"

	engineCount        = 4
	bookingServerCount = 2
	// engineSpeed is the factor by which the engines of the demo are faster than batchmodel.DefaultConfig says.
	engineSpeed       = 4
	readHeaderTimeout = 5 * time.Second
	// readyTimeout bounds each wait for hosts during the start.
	readyTimeout      = 10 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// zones are the availability zones of the demo, with one entry host each.
var zones = []id.AvailabilityZone{"accra-a", "accra-b", "accra-c"}

// Fleet is a set of entry hosts, model engines and backend servers with their platform, all in one process.
type Fleet struct {
	Hosts          []*hibiscuslever.Host
	BookingServers []*service.Server

	platformURL string
	// stopHosts stops the entry hosts, stopBackends the platform, the engines and the backend servers.
	stopHosts    context.CancelFunc
	stopBackends context.CancelFunc
	hostGroup    sync.WaitGroup
	backendGroup sync.WaitGroup
}

// Start starts a fleet, publishes the lists of plans and organisations, and returns when all hosts are ready. Each
// organisation uses the key that OrganisationAPIKey returns. When the context ends, the hosts shut down; the caller then
// calls Stop.
func Start(ctx context.Context, logger *slog.Logger, organisations []id.Organisation) (*Fleet, error) {
	hostCtx, stopHosts := context.WithCancel(ctx)
	// The hosts need the backends until they have finished their requests.
	backendCtx, stopBackends := context.WithCancel(context.WithoutCancel(ctx))
	fleet := &Fleet{stopHosts: stopHosts, stopBackends: stopBackends}
	if err := fleet.start(hostCtx, backendCtx, logger, organisations); err != nil {
		fleet.Stop()
		return nil, err
	}
	return fleet, nil
}

// start starts the platform, the engines and backend servers, and the hosts, in this order.
func (fl *Fleet) start(hostCtx, backendCtx context.Context, logger *slog.Logger, organisations []id.Organisation) error {
	platformStandIn := platform.New(platform.DefaultConfig(), timer.NewSystem())
	address, err := fl.serve(backendCtx, platformStandIn.Handler())
	if err != nil {
		return err
	}
	fl.platformURL = "http://" + address
	if err := fl.startBackends(backendCtx, platformStandIn); err != nil {
		return err
	}
	for index, zone := range zones {
		if err := fl.startHost(hostCtx, logger, index, zone); err != nil {
			return err
		}
	}
	if err := fl.publishLists(hostCtx, organisations); err != nil {
		return err
	}
	return fl.waitAllHostsReady(hostCtx)
}

// serve serves a handler at a free loopback port until the context ends, and returns the IP:port.
func (fl *Fleet) serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	fl.backendGroup.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// startBackends starts the engines and booking servers, spread over the zones, and registers them with the platform.
func (fl *Fleet) startBackends(ctx context.Context, platformStandIn *platform.Server) error {
	for index := range engineCount {
		name := fmt.Sprintf("engine-%d", index+1)
		server := engine.New(engine.Config{
			Name:    id.Engine(name),
			Models:  []id.Model{Model},
			Batch:   batchmodel.DefaultConfig(),
			Speed:   engineSpeed,
			LoadLag: 500 * time.Millisecond,
		})
		address, err := fl.serve(ctx, server.Handler())
		if err != nil {
			return err
		}
		fl.backendGroup.Go(func() { server.Run(ctx) })
		platformStandIn.PutHost(protocol.Host{
			Kind: protocol.EngineHost, Name: name, Service: "lever-llm", Address: address,
			AvailabilityZone: zones[index%len(zones)], State: protocol.Live,
		})
	}
	for index := range bookingServerCount {
		name := fmt.Sprintf("bookings-%d", index+1)
		server := service.New(id.BackendServer(name))
		address, err := fl.serve(ctx, server.Handler())
		if err != nil {
			return err
		}
		fl.BookingServers = append(fl.BookingServers, server)
		platformStandIn.PutHost(protocol.Host{
			Kind: protocol.BackendServerHost, Name: name, Service: BookingService, Address: address,
			AvailabilityZone: zones[index%len(zones)], State: protocol.Live,
		})
	}
	return nil
}

// startHost starts an entry host. All hosts but the first join the fleet through the first one's peer address.
func (fl *Fleet) startHost(ctx context.Context, logger *slog.Logger, index int, zone id.AvailabilityZone) error {
	hostSettings := settings.Default()
	hostSettings.Host = settings.Host{
		Name:             id.Host(fmt.Sprintf("%s-1", zone)),
		AvailabilityZone: zone,
		CallerAddress:    "127.0.0.1:0",
		PeerAddress:      "127.0.0.1:0",
		OperatorAddress:  "127.0.0.1:0",
	}
	hostSettings.Platform.URL = fl.platformURL
	hostSettings.Engines.PrefillTokensPerSecond *= engineSpeed
	hostSettings.Callers.KeepAddresses = time.Second
	if index > 0 {
		hostSettings.Peers.Seeds = []string{fl.Hosts[0].Settings().Host.PeerAddress}
	}
	host, err := hibiscuslever.New(hibiscuslever.WithSettings(hostSettings), hibiscuslever.WithLogger(logger))
	if err != nil {
		return err
	}
	fl.Hosts = append(fl.Hosts, host)
	fl.hostGroup.Go(func() { _ = host.Run(ctx) })
	return nil
}

// publishLists publishes both lists through the operator interface of the first host.
func (fl *Fleet) publishLists(ctx context.Context, organisations []id.Organisation) error {
	if err := fl.waitFirstHostReady(ctx); err != nil {
		return err
	}
	client := operator.NewClient("http://" + fl.Hosts[0].Settings().Host.OperatorAddress)
	for _, list := range lists.Names() {
		if err := publishList(ctx, client, list, listText(list, organisations)); err != nil {
			return err
		}
	}
	return nil
}

// waitFirstHostReady waits until the first host is ready, which includes that it has read the log.
func (fl *Fleet) waitFirstHostReady(ctx context.Context) error {
	return waitUntilReady(ctx, func() bool { return fl.Hosts[0].Status().NotReady == "" })
}

// waitAllHostsReady waits until every host is ready, knows all the others and has the published lists.
func (fl *Fleet) waitAllHostsReady(ctx context.Context) error {
	return waitUntilReady(ctx, func() bool {
		for _, host := range fl.Hosts {
			status := host.Status()
			// Revisions[1] is the revision of the organisations, which are published after the plans.
			if status.NotReady != "" || len(status.Hosts) < len(fl.Hosts) || status.Revisions[1].Revision < 1 {
				return false
			}
		}
		return true
	})
}

// waitUntilReady polls ready until it returns true, and returns an error if that takes longer than readyTimeout.
func waitUntilReady(ctx context.Context, ready func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !ready() {
		select {
		case <-ctx.Done():
			return errors.New("the demo's hosts did not become ready in time")
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// Addresses returns the IP:port of each host's interface for callers.
func (fl *Fleet) Addresses() []string {
	var addresses []string
	for _, host := range fl.Hosts {
		addresses = append(addresses, host.Settings().Host.CallerAddress)
	}
	return addresses
}

// Stop shuts the hosts down, then stops the rest, and waits until all its goroutines have ended.
func (fl *Fleet) Stop() {
	fl.stopHosts()
	fl.hostGroup.Wait()
	fl.stopBackends()
	fl.backendGroup.Wait()
}
