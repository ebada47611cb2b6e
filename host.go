// Package hibiscuslever runs an entry host: a server that accepts callers' requests and dispatches them to model engines,
// for prompts whose lengths differ widely, and to plain services. The host keeps its shared state in the product's own
// log service; package site runs hosts on the users' platform instead.
//
// New returns an entry host with default options; Run serves until its context ends and then shuts down gracefully.
package hibiscuslever

import (
	"context"
	"log"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"connectrpc.com/connect"
	"connectrpc.com/otelconnect"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"github.com/hibiscuslever/hibiscuslever/coordination/configuration"
	"github.com/hibiscuslever/hibiscuslever/coordination/crashlog"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/gossip"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/modelcall"
	"github.com/hibiscuslever/hibiscuslever/coordination/placer"
	"github.com/hibiscuslever/hibiscuslever/coordination/quota"
	"github.com/hibiscuslever/hibiscuslever/coordination/relay"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/coordination/servicecall"
	"github.com/hibiscuslever/hibiscuslever/coordination/shard"
	"github.com/hibiscuslever/hibiscuslever/lifecycle"
	"github.com/hibiscuslever/hibiscuslever/settings"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/bodymemory"
	"github.com/hibiscuslever/hibiscuslever/transport/caller"
	"github.com/hibiscuslever/hibiscuslever/transport/engine"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
	"github.com/hibiscuslever/hibiscuslever/transport/peer"
	"github.com/hibiscuslever/hibiscuslever/transport/platform"
	"github.com/hibiscuslever/hibiscuslever/transport/platform/streams"
	"github.com/hibiscuslever/hibiscuslever/transport/service"
)

// Host is one entry host: its HTTP servers, its clients of other systems, and the coordination with other entry hosts.
type Host struct {
	settings    settings.Settings
	clock       timer.Clock
	logger      *slog.Logger
	metrics     *telemetry.Metrics
	traces      *telemetry.Traces
	localMember membership.Member
	startedAt   time.Time

	traceInterceptor *otelconnect.Interceptor
	platformClient   *platform.Client
	engineClient     *engine.Client
	serviceClient    *service.Client
	peerClient       *peer.Client
	gossip           *gossip.Runner
	configuration    *configuration.Follower
	fleet            *fleet.View
	claimRelay       *relay.Relay
	quotaServer      *quota.Server
	quotaClient      *quota.Client
	shardServer      *shard.Server
	shardClient      *shard.Client
	modelRunner      *modelcall.Runner
	plainRunner      *servicecall.Runner
	placer           *placer.Placer
	quarantineSyncer *crashlog.Syncer
	callerServer     *caller.Server
	bodyMemory       *bodymemory.Memory

	listeners []net.Listener
}

// New returns a host that already listens at the addresses of its settings. Connections are served only once Run is
// called.
func New(opts ...Option) (*Host, error) {
	hostOptions, err := newOptions(opts)
	if err != nil {
		return nil, err
	}
	ht := &Host{
		settings:  hostOptions.settings,
		clock:     hostOptions.clock,
		logger:    hostOptions.logger.With("host", hostOptions.settings.Host.Name),
		metrics:   hostOptions.metrics,
		traces:    hostOptions.traces,
		startedAt: hostOptions.clock.Now(),
	}
	if err := ht.listen(); err != nil {
		return nil, err
	}
	ht.localMember = membership.Member{
		Host:             hostOptions.settings.Host.Name,
		Incarnation:      id.Incarnation(hostOptions.clock.Now().UnixNano()),
		PeerAddress:      ht.settings.Host.EffectivePeerAddress(),
		CallerAddress:    ht.settings.Host.CallerAddress,
		AvailabilityZone: hostOptions.settings.Host.AvailabilityZone,
	}
	if err := ht.assemble(hostOptions.seed); err != nil {
		return nil, err
	}
	if hostOptions.logWriter != nil {
		hostOptions.logWriter.CountDrops(ht.metrics.Scope.Counter("log_lines_dropped"))
	}
	return ht, nil
}

// listen opens the three listeners in the order in which servers returns their HTTP servers. The addresses in the
// settings then hold the ports that the system chose for port 0. If an address can't be opened, all listeners are
// closed.
func (ht *Host) listen() error {
	addresses := []struct {
		key     string
		address *string
	}{
		{"CallerAddress", &ht.settings.Host.CallerAddress},
		{"PeerAddress", &ht.settings.Host.PeerAddress},
		{"OperatorAddress", &ht.settings.Host.OperatorAddress},
	}
	for _, listenAddress := range addresses {
		listener, err := net.Listen("tcp", *listenAddress.address)
		if err != nil {
			ht.closeListeners()
			return errors.Wrapf(err, "section Host: key %s: value %q", listenAddress.key, *listenAddress.address)
		}
		*listenAddress.address = listener.Addr().String()
		ht.listeners = append(ht.listeners, listener)
	}
	return nil
}

// Settings returns the settings in force. Where they asked for port 0, they hold the port that the system chose.
func (ht *Host) Settings() settings.Settings {
	return ht.settings
}

func (ht *Host) closeListeners() {
	for _, listener := range ht.listeners {
		_ = listener.Close()
	}
}

// traceTransport wraps a transport so that each request gets a span and carries the trace context in its headers.
func (ht *Host) traceTransport(next http.RoundTripper) http.RoundTripper {
	return otelhttp.NewTransport(next,
		otelhttp.WithTracerProvider(ht.traces.Provider),
		otelhttp.WithPropagators(ht.traces.Propagator),
	)
}

// assemble builds the components of the host and connects them, each after the ones that it uses. Bind gives the peer
// client the other components afterwards, because they use the peer client themselves.
func (ht *Host) assemble(seed uint64) error {
	scope := ht.metrics.Scope
	var err error
	ht.traceInterceptor, err = otelconnect.NewInterceptor(
		otelconnect.WithTracerProvider(ht.traces.Provider),
		otelconnect.WithPropagator(ht.traces.Propagator),
		otelconnect.WithoutMetrics(),
		otelconnect.WithTrustRemote(),
	)
	if err != nil {
		return errors.Wrap(err, "trace calls between hosts")
	}
	ht.platformClient = platform.NewClient(ht.settings.Platform.URL, ht.traceTransport)
	ht.engineClient = engine.NewClient(ht.clock, ht.traceTransport)
	ht.serviceClient = service.NewClient(ht.clock, ht.traceTransport)
	ht.peerClient = peer.NewClient(ht.localMember, ht.clock, connect.WithInterceptors(ht.traceInterceptor))
	gossipConfig := gossip.DefaultConfig()
	gossipConfig.Seeds = ht.settings.Peers.Seeds
	ht.gossip = gossip.New(gossipConfig, ht.localMember, ht.clock, ht.peerClient, gossip.Handlers{
		MemberChanged: ht.onMemberChanged,
		FactLearned:   ht.onFactLearned,
		NewerRevision: ht.onNewerRevision,
	}, scope, seed)
	ht.configuration = configuration.New(ht.configurationConfig(), ht.clock, streams.NewConfiguration(ht.platformClient), ht.peerClient, scope, ht.onConfigurationChanged)
	ht.fleet = fleet.NewView(ht.clock, streams.NewHostList(ht.platformClient, peerHostLists{ht}), scope, ht.onHostListUpdated)
	ht.claimRelay = relay.New(ht.clock, streams.NewClaims(ht.platformClient), ht.liveZoneCount, scope)
	ht.quotaServer = quota.NewServer(ht.clock, ht.configuration)
	ht.quotaClient = quota.NewClient(ht.localMember.Host, ht.clock, ht.peerClient, ht.configuration, scope)
	ht.shardServer = shard.NewServer(ht.shardConfig(), ht.clock, ht.engineClient, ht.peerClient, ht.fleet, scope, seed, ht.onCrashEvidenceFound)
	ht.shardClient = shard.NewClient(ht.localMember.Host, ht.localMember.Incarnation, ht.clock, ht.peerClient, ht.fleet, ht.shardServer, scope, seed)
	ht.peerClient.Bind(ht.localPeerComponents(), ht.gossip)
	tracer := ht.traces.Provider.Tracer("hibiscuslever")
	ht.modelRunner = modelcall.NewRunner(modelcall.DefaultConfig(), ht.clock, ht.engineClient, ht.shardClient, ht.fleet, retry.New(retry.DefaultConfig(), seed), scope, ht.logger, tracer)
	ht.plainRunner = servicecall.NewRunner(ht.clock, ht.fleet, ht.serviceClient, ht.peerClient, retry.New(retry.DefaultConfig(), seed), scope, tracer, seed)
	// Every host reads the stored crash evidence, hence the constant true.
	ht.quarantineSyncer = crashlog.New(crashlog.DefaultConfig(shard.DefaultServerConfig().QuarantineTTL), ht.clock, streams.NewQuarantine(ht.platformClient), scope, ht.logger,
		func() bool { return true }, ht.learnStoredEvidence)
	ht.placer = placer.New(placer.DefaultConfig(), ht.localMember.Host, ht.localMember.Incarnation, ht.clock, streams.NewLeases(ht.platformClient), ht.engineClient, ht.fleet, ht.configuration, placementLeaseEligibility{ht}, scope)
	ht.bodyMemory = bodymemory.ForProcess(bodymemory.OwnFront, ht.settings.Limits.MemoryMegabytes, ht.clock, ht.settings.Limits.StallTime)
	ht.callerServer = caller.NewServer(ht.callerConfig(), caller.Dependencies{
		Lists:     readyLists{host: ht},
		Models:    ht.modelRunner,
		Services:  ht.plainRunner,
		Limits:    ht.quotaClient,
		Fleet:     ht.fleet,
		Addresses: ht,
	}, ht.clock, scope)
	return nil
}

// localPeerComponents returns the components that answer the calls of other hosts.
func (ht *Host) localPeerComponents() peer.LocalComponents {
	return peer.LocalComponents{
		ShardServer:           ht.shardServer,
		ShardClient:           ht.shardClient,
		GossipRunner:          ht.gossip,
		ConfigurationFollower: ht.configuration,
		ClaimRelay:            ht.claimRelay,
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

// configurationConfig sets a checkpoint period well below the log's retention, so that the log always holds a
// checkpoint for new hosts, even if some are appended late.
func (ht *Host) configurationConfig() configuration.Config {
	const checkpointsPerRetention = 4
	config := configuration.DefaultConfig()
	config.CheckpointPeriod = ht.settings.Claims.Retention / checkpointsPerRetention
	return config
}

// callerConfig subtracts a margin from the log's retention, so that idempotency keys are refused before the log deletes
// their claims even if clocks differ.
func (ht *Host) callerConfig() caller.Config {
	return caller.Config{
		Host:          ht.localMember.Host,
		Incarnation:   ht.localMember.Incarnation,
		MaxBodyBytes:  ht.settings.Callers.MaxBodyBytes,
		BodyMemory:    ht.bodyMemory,
		KeepAddresses: ht.settings.Callers.KeepAddresses,
		KeyRetention:  ht.settings.Claims.Retention - ht.settings.Claims.Margin,
	}
}

// Run serves until the context ends or a part of the host fails, and then shuts down gracefully. It returns the first
// failure. A host can't be run again.
func (ht *Host) Run(ctx context.Context) error {
	if megabytes := ht.settings.Limits.MemoryMegabytes; megabytes > 0 {
		debug.SetMemoryLimit(bodymemory.SoftLimit(megabytes))
	}
	ht.logger.Info("host started", "zone", ht.localMember.AvailabilityZone, "callers", ht.localMember.CallerAddress)
	return lifecycle.Process{
		Tasks: []lifecycle.Task{
			{Name: "membership", Run: ht.gossip.Run},
			{Name: "configuration", Run: ht.configuration.Run},
			{Name: "fleet", Run: ht.fleet.Run},
			{Name: "claims", Run: ht.claimRelay.Run},
			{Name: "quotas", Run: ht.quotaClient.Run},
			{Name: "shard server", Run: ht.shardServer.Run},
			{Name: "shard client", Run: ht.shardClient.Run},
			{Name: "placer", Run: ht.placer.Run},
			{Name: "crash evidence", Run: ht.quarantineSyncer.Run},
			{Name: "request memory", Run: bodymemory.NewReporter(ht.bodyMemory, ht.clock, ht.metrics.Scope, ht.logger).Run},
		},
		Servers:   ht.servers(),
		Listeners: ht.servedListeners(),
		ShutDown:  ht.shutDown,
		CleanUp:   ht.close,
		Grace:     lifecycle.Grace(ht.settings.Operators.ShutdownTimeout),
		Clock:     ht.clock,
		Logger:    ht.logger,
	}.Run(ctx)
}

// servedListeners returns the listeners in the order of the servers. That of callers limits their connections.
func (ht *Host) servedListeners() []net.Listener {
	served := slices.Clone(ht.listeners)
	served[0] = caller.NewListener(served[0], bodymemory.ConnectionLimit(bodymemory.OwnFront, ht.settings.Limits.MaxConnections, ht.settings.Limits.MemoryMegabytes), ht.bodyMemory, ht.clock)
	return served
}

// servers returns the HTTP servers for callers, for other hosts and for operators, in the order of the listeners. Other
// hosts use HTTP/2 without TLS.
func (ht *Host) servers() []*http.Server {
	tracedCallerHandler := otelhttp.NewHandler(ht.callerServer.Handler(), "caller.request",
		otelhttp.WithTracerProvider(ht.traces.Provider),
		otelhttp.WithPropagators(ht.traces.Propagator),
		otelhttp.WithSpanNameFormatter(func(operation string, _ *http.Request) string { return operation }),
	)
	callerServer := &http.Server{
		Handler:           tracedCallerHandler,
		ReadHeaderTimeout: ht.settings.Callers.ReadHeaderTimeout,
		ReadTimeout:       ht.settings.Callers.ReadTimeout,
		IdleTimeout:       ht.settings.Callers.IdleTimeout,
		MaxHeaderBytes:    ht.settings.Callers.MaxHeaderBytes,
		ErrorLog:          ht.connectionErrorLog(),
	}
	caller.TrackRequests(callerServer)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	peerServer := &http.Server{
		Handler:           peer.NewServer(ht.localPeerComponents(), ht.clock).Handler(connect.WithInterceptors(ht.traceInterceptor)),
		ReadHeaderTimeout: ht.settings.Callers.ReadHeaderTimeout,
		Protocols:         protocols,
		ErrorLog:          ht.connectionErrorLog(),
	}
	operatorAPI := operator.NewServer(ht, ht.metrics.Handler)
	operatorAPI.ServeLists(ht.configuration)
	operatorServer := &http.Server{
		Handler:           operatorAPI.Handler(),
		ReadHeaderTimeout: ht.settings.Callers.ReadHeaderTimeout,
		ErrorLog:          ht.connectionErrorLog(),
	}
	return []*http.Server{callerServer, peerServer, operatorServer}
}

// connectionErrorLog returns the logger of the HTTP servers, which logs errors of connections and panics of handlers.
func (ht *Host) connectionErrorLog() *log.Logger {
	return slog.NewLogLogger(ht.logger.Handler(), slog.LevelWarn)
}

// shutDown notifies the other hosts that this host is leaving, so that they no longer give its address to callers. It
// continues to serve while callers may still use address lists that they received before, then rejects new requests and
// waits for those in flight. Those that it can't finish are aborted, so that their callers still get a response. The
// shutdown timeout bounds all of this, and the final wait for work that outlasts its request, such as the cleanup after
// attempts. It returns how long the ends of responses may still be sent. The cause says what asked for the shutdown.
func (ht *Host) shutDown(ctx context.Context, cause error) time.Duration {
	drain := lifecycle.Drain{
		Clock:     ht.clock,
		Logger:    ht.logger,
		Grace:     lifecycle.Grace(ht.settings.Operators.ShutdownTimeout),
		StartedAt: ht.clock.Now(),
		InFlight:  ht.callerServer.InFlight,
		Abort:     ht.callerServer.Abort,
	}
	ht.logger.Info("host is leaving", "cause", cause.Error(), "in_flight", ht.callerServer.InFlight(), "grace_ms", time.Duration(drain.Grace).Milliseconds())
	acceptTime := drain.Grace.AcceptTimeUpTo(ht.settings.Callers.KeepAddresses)
	leaveCtx, cancel := context.WithTimeout(ctx, acceptTime)
	ht.gossip.Leave(leaveCtx)
	cancel()
	timer.Sleep(ctx, ht.clock, acceptTime-drain.Elapsed())
	ht.callerServer.Close()
	drain.Wait(ctx)
	drain.Await(ht.modelRunner.Wait, ht.plainRunner.Wait)
	return min(responseEndTime, drain.Left())
}

// responseEndTime is how long the servers of a host that has finished its requests may take to send the ends of
// responses. Calls of other hosts that wait longer, such as those for a grant, end with the host.
const responseEndTime = 500 * time.Millisecond

func (ht *Host) close() {
	ht.closeListeners()
	ht.engineClient.Close()
	ht.serviceClient.Close()
	ht.platformClient.Close()
	ht.peerClient.Close()
	_ = ht.metrics.Close()
}

// learnStoredEvidence passes evidence that was read from the platform's log on to the dispatchers.
func (ht *Host) learnStoredEvidence(evidence ...quarantine.Evidence) {
	for _, ev := range evidence {
		ht.shardServer.LearnReportedEvidence(ev)
	}
}
