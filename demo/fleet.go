// Package demo runs a small fleet with stand-ins in one process and sends it a few requests.
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
	"github.com/hibiscuslever/hibiscuslever/standin/batch"
	"github.com/hibiscuslever/hibiscuslever/standin/engine"
	"github.com/hibiscuslever/hibiscuslever/standin/platform"
	"github.com/hibiscuslever/hibiscuslever/standin/service"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
)

const (
	// Model is the model that the demo's engines serve.
	Model id.Model = "lever-8b"
	// BookingService is the plain service of the demo.
	BookingService id.Service = "bookings-app"

	engineCount = 4
	serverCount = 2
	// speed is the factor by which the demo's engines are faster than the cost model.
	speed             = 4
	readHeaderTimeout = 5 * time.Second
	readyTimeout      = 10 * time.Second
	readyCheck        = 50 * time.Millisecond
)

var zones = []id.AvailabilityZone{"accra-a", "accra-b", "accra-c"}

// Fleet is a platform, engines, backend servers and entry hosts in one process.
type Fleet struct {
	Hosts   []*hibiscuslever.Host
	BookingServers []*service.Server

	platformURL string
	cancel      context.CancelFunc
	group       sync.WaitGroup
}

// Start runs a fleet and publishes its two lists. The organisations hold the keys given by APIKeyOf.
func Start(ctx context.Context, logger *slog.Logger, organisations []id.Organisation) (*Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	fl := &Fleet{cancel: cancel}
	if err := fl.start(ctx, logger, organisations); err != nil {
		fl.Stop()
		return nil, err
	}
	return fl, nil
}

func (fl *Fleet) start(ctx context.Context, logger *slog.Logger, organisations []id.Organisation) error {
	pf := platform.New(platform.DefaultConfig(), timer.NewSystem())
	address, err := fl.listen(ctx, pf.Handler())
	if err != nil {
		return err
	}
	fl.platformURL = "http://" + address
	if err := fl.startBackEnds(ctx, pf); err != nil {
		return err
	}
	for ix, zone := range zones {
		if err := fl.startHost(ctx, logger, ix, zone); err != nil {
			return err
		}
	}
	if err := fl.publish(ctx, organisations); err != nil {
		return err
	}
	return fl.waitReady(ctx)
}

// listen serves a handler at a free loopback port until the context ends.
func (fl *Fleet) listen(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	fl.group.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

func (fl *Fleet) startBackEnds(ctx context.Context, pf *platform.Server) error {
	for ix := range engineCount {
		name := fmt.Sprintf("engine-%d", ix+1)
		sv := engine.New(engine.Config{
			Name:    id.Engine(name),
			Models:  []id.Model{Model},
			Batch:   batch.DefaultConfig(),
			Speed:   speed,
			LoadLag: 500 * time.Millisecond,
		})
		address, err := fl.listen(ctx, sv.Handler())
		if err != nil {
			return err
		}
		fl.group.Go(func() { sv.Run(ctx) })
		pf.PutHost(protocol.Host{
			Kind: protocol.EngineHost, Name: name, Service: "lever-llm", Address: address,
			AvailabilityZone: zones[ix%len(zones)], State: protocol.Live,
		})
	}
	for ix := range serverCount {
		name := fmt.Sprintf("bookings-%d", ix+1)
		sv := service.New(id.BackendServer(name))
		address, err := fl.listen(ctx, sv.Handler())
		if err != nil {
			return err
		}
		fl.BookingServers = append(fl.BookingServers, sv)
		pf.PutHost(protocol.Host{
			Kind: protocol.BackendServerHost, Name: name, Service: BookingService, Address: address,
			AvailabilityZone: zones[ix%len(zones)], State: protocol.Live,
		})
	}
	return nil
}

func (fl *Fleet) startHost(ctx context.Context, logger *slog.Logger, ix int, zone id.AvailabilityZone) error {
	st := settings.Default()
	st.Host = settings.Host{
		Name:             id.Host(fmt.Sprintf("%s-1", zone)),
		AvailabilityZone: zone,
		CallerAddress:    "127.0.0.1:0",
		PeerAddress:      "127.0.0.1:0",
		OperatorAddress:  "127.0.0.1:0",
	}
	st.Platform.URL = fl.platformURL
	st.Engines.PrefillTokensPerSecond *= speed
	st.Callers.KeepAddresses = time.Second
	if ix > 0 {
		st.Peers.Seeds = []string{fl.Hosts[0].Settings().Host.PeerAddress}
	}
	host, err := hibiscuslever.New(hibiscuslever.WithSettings(st), hibiscuslever.WithLogger(logger))
	if err != nil {
		return err
	}
	fl.Hosts = append(fl.Hosts, host)
	fl.group.Go(func() { _ = host.Run(ctx) })
	return nil
}

// publish publishes both lists as an operator would.
func (fl *Fleet) publish(ctx context.Context, organisations []id.Organisation) error {
	if err := fl.waitConfigured(ctx); err != nil {
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

// waitConfigured waits until the first host has read the log.
func (fl *Fleet) waitConfigured(ctx context.Context) error {
	return waitFor(ctx, func() bool { return fl.Hosts[0].Status().NotReady == "" })
}

// waitReady waits until every host knows every other and the published lists.
func (fl *Fleet) waitReady(ctx context.Context) error {
	return waitFor(ctx, func() bool {
		for _, host := range fl.Hosts {
			status := host.Status()
			if status.NotReady != "" || len(status.Hosts) < len(fl.Hosts) || status.Revisions[1].Revision < 1 {
				return false
			}
		}
		return true
	})
}

func waitFor(ctx context.Context, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.New("the demo's hosts did not become ready in time")
		case <-time.After(readyCheck):
		}
	}
	return nil
}

// Addresses returns the addresses for callers.
func (fl *Fleet) Addresses() []string {
	var addresses []string
	for _, host := range fl.Hosts {
		addresses = append(addresses, host.Settings().Host.CallerAddress)
	}
	return addresses
}

// Stop ends the fleet and waits for all its parts.
func (fl *Fleet) Stop() {
	fl.cancel()
	fl.group.Wait()
}
