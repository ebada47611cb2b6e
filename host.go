// Package hibiscuslever is a serving layer for prompts of very unlike lengths.
//
// New returns an entry host with ready defaults; Run serves until its context ends and then shuts down gracefully.
package hibiscuslever

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"connectrpc.com/otelconnect"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"github.com/hibiscuslever/hibiscuslever/coordination/configuration"
	"github.com/hibiscuslever/hibiscuslever/coordination/conviction"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/gossip"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/placer"
	"github.com/hibiscuslever/hibiscuslever/coordination/plain"
	"github.com/hibiscuslever/hibiscuslever/coordination/quota"
	"github.com/hibiscuslever/hibiscuslever/coordination/relay"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/coordination/serve"
	"github.com/hibiscuslever/hibiscuslever/coordination/shard"
	"github.com/hibiscuslever/hibiscuslever/lifecycle"
	"github.com/hibiscuslever/hibiscuslever/settings"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/caller"
	"github.com/hibiscuslever/hibiscuslever/transport/engine"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
	"github.com/hibiscuslever/hibiscuslever/transport/peer"
	"github.com/hibiscuslever/hibiscuslever/transport/platform"
	"github.com/hibiscuslever/hibiscuslever/transport/platform/streams"
	"github.com/hibiscuslever/hibiscuslever/transport/service"
)

// Host is one entry host.
type Host struct {
	settings settings.Settings
	clock    timer.Service
	logger   *slog.Logger
	metrics  *telemetry.Metrics
	traces   *telemetry.Traces
	self     membership.Member
	started  time.Time

	interceptor   *otelconnect.Interceptor
	platform      *platform.Client
	engines       *engine.Client
	services      *service.Client
	peers         *peer.Client
	gossip        *gossip.Runner
	configuration *configuration.Follower
	fleet         *fleet.View
	relay         *relay.Relay
	quotaServer   *quota.Server
	quotaClient   *quota.Client
	shardServer   *shard.Server
	shardClient   *shard.Client
	models        *serve.Runner
	plain         *plain.Runner
	placer        *placer.Placer
	convictions   *conviction.Syncer
	callers       *caller.Server

	listeners []net.Listener
}

// New returns a host that listens at the addresses of its settings but serves nothing before Run.
func New(opts ...Option) (*Host, error) {
	op, err := newOptions(opts)
	if err != nil {
		return nil, err
	}
	ht := &Host{
		settings: op.settings,
		clock:    op.clock,
		logger:   op.logger.With("host", op.settings.Host.Name),
		metrics:  op.metrics,
		traces:   op.traces,
		started:  op.clock.Now(),
	}
	if err := ht.listen(); err != nil {
		return nil, err
	}
	ht.self = membership.Member{
		Host:             op.settings.Host.Name,
		Incarnation:      id.Incarnation(op.clock.Now().UnixNano()),
		PeerAddress:      ht.settings.Host.EffectivePeerAddress(),
		CallerAddress:    ht.settings.Host.CallerAddress,
		AvailabilityZone: op.settings.Host.AvailabilityZone,
	}
	if err := ht.assemble(op.seed); err != nil {
		return nil, err
	}
	return ht, nil
}

// listen opens the three addresses; when one is taken, none stays open. Port 0 becomes a free port.
func (ht *Host) listen() error {
	addresses := []struct {
		key     string
		address *string
	}{
		{"CallerAddress", &ht.settings.Host.CallerAddress},
		{"PeerAddress", &ht.settings.Host.PeerAddress},
		{"OperatorAddress", &ht.settings.Host.OperatorAddress},
	}
	for _, ad := range addresses {
		listener, err := net.Listen("tcp", *ad.address)
		if err != nil {
			ht.closeListeners()
			return errors.Wrapf(err, "section Host: key %s: value %q", ad.key, *ad.address)
		}
		*ad.address = listener.Addr().String()
		ht.listeners = append(ht.listeners, listener)
	}
	return nil
}

// Settings returns the settings in force, with the ports that were chosen.
func (ht *Host) Settings() settings.Settings {
	return ht.settings
}

func (ht *Host) closeListeners() {
	for _, listener := range ht.listeners {
		_ = listener.Close()
	}
}

func (ht *Host) traced(next http.RoundTripper) http.RoundTripper {
	return otelhttp.NewTransport(next,
		otelhttp.WithTracerProvider(ht.traces.Provider),
		otelhttp.WithPropagators(ht.traces.Propagator),
	)
}

// assemble builds the parts of the host, lower layers first.
func (ht *Host) assemble(seed uint64) error {
	scope := ht.metrics.Scope
	var err error
	ht.interceptor, err = otelconnect.NewInterceptor(
		otelconnect.WithTracerProvider(ht.traces.Provider),
		otelconnect.WithPropagator(ht.traces.Propagator),
		otelconnect.WithoutMetrics(),
		otelconnect.WithTrustRemote(),
	)
	if err != nil {
		return errors.Wrap(err, "trace calls between hosts")
	}
	ht.platform = platform.NewClient(ht.settings.Platform.URL, ht.traced)
	ht.engines = engine.NewClient(ht.clock, ht.traced)
	ht.services = service.NewClient(ht.traced)
	ht.peers = peer.NewClient(ht.self, ht.clock, connect.WithInterceptors(ht.interceptor))
	gossipConfig := gossip.DefaultConfig()
	gossipConfig.Seeds = ht.settings.Peers.Seeds
	ht.gossip = gossip.New(gossipConfig, ht.self, ht.clock, ht.peers, gossip.Handlers{
		MemberChanged: ht.memberChanged,
		FactLearned:   ht.factLearned,
		NewerRevision: ht.behind,
	}, scope, seed)
	ht.configuration = configuration.New(ht.configurationConfig(), ht.clock, streams.NewConfiguration(ht.platform), ht.peers, scope, ht.configurationChanged)
	ht.fleet = fleet.NewView(ht.clock, streams.NewHostList(ht.platform, hostCopies{ht}), scope, ht.hostsListed)
	ht.relay = relay.New(ht.clock, streams.NewClaims(ht.platform), ht.zones, scope)
	ht.quotaServer = quota.NewServer(ht.clock, ht.configuration)
	ht.quotaClient = quota.NewClient(ht.self.Host, ht.clock, ht.peers, ht.configuration, scope)
	ht.shardServer = shard.NewServer(ht.shardConfig(), ht.clock, ht.engines, ht.peers, ht.fleet, scope, seed, ht.evidenceFound)
	ht.shardClient = shard.NewClient(ht.self.Host, ht.self.Incarnation, ht.clock, ht.peers, ht.fleet, ht.shardServer, scope, seed)
	ht.peers.Bind(ht.local(), ht.gossip)
	tracer := ht.traces.Provider.Tracer("hibiscuslever")
	ht.models = serve.NewRunner(serve.DefaultConfig(), ht.clock, ht.engines, ht.shardClient, ht.fleet, retry.New(retry.DefaultConfig(), seed), scope, tracer)
	ht.plain = plain.NewRunner(ht.clock, ht.fleet, ht.services, ht.peers, retry.New(retry.DefaultConfig(), seed), scope, tracer, seed)
	ht.convictions = conviction.New(conviction.DefaultConfig(shard.DefaultServerConfig().QuarantineTTL), ht.clock, streams.NewQuarantine(ht.platform), scope, ht.logger,
		func() bool { return true }, ht.shardServer.AddCrashEvidence)
	ht.placer = placer.New(placer.DefaultConfig(), ht.self.Host, ht.self.Incarnation, ht.clock, streams.NewLeases(ht.platform), ht.engines, ht.fleet, ht.configuration, placementCandidates{ht}, scope)
	ht.callers = caller.NewServer(ht.callerConfig(), caller.Dependencies{
		Lists:     readiness{host: ht},
		Models:    ht.models,
		Services:  ht.plain,
		Limits:    ht.quotaClient,
		Fleet:     ht.fleet,
		Addresses: ht,
	}, ht.clock, scope)
	return nil
}

// local returns the parts that answer other hosts.
func (ht *Host) local() peer.LocalComponents {
	return peer.LocalComponents{
		ShardServer:           ht.shardServer,
		ShardClient:           ht.shardClient,
		GossipRunner:          ht.gossip,
		ConfigurationFollower: ht.configuration,
		ClaimRelay:            ht.relay,
		QuotaServer:           ht.quotaServer,
		FleetView:             ht.fleet,
	}
}

func (ht *Host) shardConfig() shard.ServerConfig {
	config := shard.DefaultServerConfig()
	config.Dispatch.PrefillTokensPerSecond = ht.settings.Engines.PrefillTokensPerSecond
	config.Dispatch.MaxStreams = ht.settings.Engines.MaxStreams
	config.Dispatch.Policy.ShortPromptShare = ht.settings.Engines.ShortShare
	return config
}

// configurationConfig has checkpoints appended well within the log's retention.
func (ht *Host) configurationConfig() configuration.Config {
	const checkpointsKept = 4
	config := configuration.DefaultConfig()
	config.CheckpointPeriod = ht.settings.Claims.Retention / checkpointsKept
	return config
}

func (ht *Host) callerConfig() caller.Config {
	return caller.Config{
		Host:          ht.self.Host,
		Incarnation:   ht.self.Incarnation,
		MaxBodyBytes:  ht.settings.Callers.MaxBodyBytes,
		KeepAddresses: ht.settings.Callers.KeepAddresses,
		KeyRetention:  ht.settings.Claims.Retention - ht.settings.Claims.Margin,
	}
}

// Run serves until the context ends, then shuts down gracefully.
func (ht *Host) Run(ctx context.Context) error {
	ht.logger.Info("host started", "zone", ht.self.AvailabilityZone, "callers", ht.self.CallerAddress)
	err := lifecycle.Process{
		Tasks: []func(context.Context) error{
			ht.gossip.Run,
			ht.configuration.Run,
			ht.fleet.Run,
			ht.relay.Run,
			ht.quotaClient.Run,
			ht.shardServer.Run,
			ht.shardClient.Run,
			ht.placer.Run,
			ht.convictions.Run,
		},
		Servers:   ht.servers(),
		Listeners: ht.listeners,
		ShutDown:  ht.shutDown,
	}.Run(ctx)
	ht.close()
	return err
}

// servers returns the HTTP servers in the order of the listeners.
func (ht *Host) servers() []*http.Server {
	traced := otelhttp.NewHandler(ht.callers.Handler(), "caller.request",
		otelhttp.WithTracerProvider(ht.traces.Provider),
		otelhttp.WithPropagators(ht.traces.Propagator),
		otelhttp.WithSpanNameFormatter(func(operation string, _ *http.Request) string { return operation }),
	)
	callers := &http.Server{
		Handler:           traced,
		ReadHeaderTimeout: ht.settings.Callers.ReadHeaderTimeout,
		ReadTimeout:       ht.settings.Callers.ReadTimeout,
		IdleTimeout:       ht.settings.Callers.IdleTimeout,
		MaxHeaderBytes:    ht.settings.Callers.MaxHeaderBytes,
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	peers := &http.Server{
		Handler:           peer.NewServer(ht.local(), ht.clock).Handler(connect.WithInterceptors(ht.interceptor)),
		ReadHeaderTimeout: ht.settings.Callers.ReadHeaderTimeout,
		Protocols:         protocols,
	}
	forOperators := operator.NewServer(ht, ht.metrics.Handler)
	forOperators.ServeLists(ht.configuration)
	operators := &http.Server{
		Handler:           forOperators.Handler(),
		ReadHeaderTimeout: ht.settings.Callers.ReadHeaderTimeout,
	}
	return []*http.Server{callers, peers, operators}
}

// shutDown leaves the advertised addresses, serves callers that still hold the old answer until it
// has run out, waits for all requests in flight and returns.
func (ht *Host) shutDown(ctx context.Context) {
	const drainCheck = 50 * time.Millisecond
	ht.logger.Info("host is leaving")
	ctx, cancel := context.WithTimeout(ctx, ht.settings.Operators.ShutdownTimeout)
	defer cancel()
	ht.gossip.Leave(ctx)
	timer.Sleep(ctx, ht.clock, ht.settings.Callers.KeepAddresses)
	ht.callers.Close()
	for ht.callers.InFlight() > 0 && ctx.Err() == nil {
		timer.Sleep(ctx, ht.clock, drainCheck)
	}
	ht.models.Wait()
	ht.plain.Wait()
	ht.logger.Info("host has finished its requests", "in_flight", ht.callers.InFlight())
}

func (ht *Host) close() {
	ht.closeListeners()
	ht.engines.Close()
	ht.services.Close()
	ht.platform.Close()
	ht.peers.Close()
	_ = ht.metrics.Close()
}
