// Package site assembles an entry host that serves on the users' platform.
package site

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"connectrpc.com/otelconnect"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/crashlog"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/gossip"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/peerrelay"
	"github.com/hibiscuslever/hibiscuslever/coordination/reachability"
	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/coordination/statesync"
	"github.com/hibiscuslever/hibiscuslever/coordination/succession"
	"github.com/hibiscuslever/hibiscuslever/lifecycle"
	"github.com/hibiscuslever/hibiscuslever/platform"
	"github.com/hibiscuslever/hibiscuslever/settings"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/backend"
	"github.com/hibiscuslever/hibiscuslever/transport/bodymemory"
	"github.com/hibiscuslever/hibiscuslever/transport/clientconn"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
	"github.com/hibiscuslever/hibiscuslever/transport/peer"
)

// Host is an entry host that serves on the users' platform. It accepts clients' requests, forwards them to backend
// servers, and coordinates with the other hosts.
type Host struct {
	settings    settings.Settings
	clock       timer.Clock
	logger      *slog.Logger
	metrics     *telemetry.Metrics
	localMember membership.Member
	startedAt   time.Time

	pool           *backend.Pool
	store          *platform.Store
	peerClient     *peer.Client
	gossip         *gossip.Runner
	updateFollower *statesync.Follower
	grantServer    *broker.Server
	grantClient    *broker.Client
	forwarder      *forward.Runner
	clientHandler  *platform.ClientHandler
	bodyMemory     *bodymemory.Memory
	fleet          *fleet

	// links knows which backend servers this host reaches. backendSender sends to them, through peers where necessary, and
	// relayServer sends on behalf of peers. relayPool holds the connections for calls through peers.
	links         *peerrelay.Links
	backendSender *peerrelay.Sender
	relayServer   *peerrelay.Server
	relayPool     *backend.Pool

	requestLimits   *requestlimit.Tracker
	coldStarts      *requestlimit.ColdStarts
	permitClient    *requestlimit.Client
	permitIssuer    *requestlimit.Issuer
	crashQuarantine *crashQuarantine
	evidenceSyncer  *crashlog.Syncer

	// mutex guards joined and leaving.
	mutex  sync.Mutex
	joined bool
	// connectionLimitsScheduled says that setConnectionLimits is going to run shortly.
	connectionLimitsScheduled atomic.Bool
	leaving                   bool

	// listeners are in the same order as the servers that httpServers returns.
	listeners      []net.Listener
	handlerOptions []connect.HandlerOption
}

// New returns a host that listens at the addresses in its settings. It accepts connections only when Run is called.
func New(opts ...Option) (*Host, error) {
	hostOptions := newOptions(opts)
	ht := &Host{
		settings:  hostOptions.settings,
		clock:     hostOptions.clock,
		logger:    hostOptions.logger,
		metrics:   telemetry.NewMetrics(),
		startedAt: hostOptions.clock.Now(),
	}
	if err := ht.listen(); err != nil {
		return nil, err
	}
	ht.localMember = membership.Member{
		Host:             ht.settings.Host.Name,
		Incarnation:      succession.MarkIncarnation(id.Incarnation(hostOptions.clock.Now().UnixNano())),
		PeerAddress:      ht.settings.Host.EffectivePeerAddress(),
		CallerAddress:    ht.settings.Host.CallerAddress,
		AvailabilityZone: ht.settings.Host.AvailabilityZone,
		ProcessorShare:   uint32(processorShareUnits * ht.settings.Limits.ProcessorShare),
	}
	if err := ht.assemble(hostOptions); err != nil {
		return nil, err
	}
	if hostOptions.logWriter != nil {
		hostOptions.logWriter.CountDrops(ht.metrics.Scope.Counter("log_lines_dropped"))
	}
	return ht, nil
}

// processorShareUnits is the number of units in which a member's share of the processor is given: thousandths of a
// core.
const processorShareUnits = 1000

// listen opens listeners at all addresses and replaces port 0 in the settings by the port that was chosen. If one of
// the addresses can't be listened at, it closes all listeners.
func (ht *Host) listen() error {
	hostSettings := &ht.settings.Host
	for _, address := range []*string{&hostSettings.CallerAddress, &hostSettings.PeerAddress, &hostSettings.OperatorAddress, &hostSettings.ReadyAddress, &hostSettings.DirectoryAddress} {
		listener, err := net.Listen("tcp", *address)
		if err != nil {
			for _, opened := range ht.listeners {
				_ = opened.Close()
			}
			return errors.Wrapf(err, "listen at %s", *address)
		}
		*address = listener.Addr().String()
		ht.listeners = append(ht.listeners, listener)
	}
	return nil
}

// Settings returns the settings in force. Port 0 in addresses is replaced by the port that was chosen.
func (ht *Host) Settings() settings.Settings { return ht.settings }

// assemble creates the components of the host, those of lower layers first.
func (ht *Host) assemble(hostOptions options) error {
	scope, seed := ht.metrics.Scope, hostOptions.seed
	tracer := noop.NewTracerProvider().Tracer("")
	var clientOptions []connect.ClientOption
	if hostOptions.traces != nil {
		tracer = hostOptions.traces.Provider.Tracer("hibiscuslever")
		interceptor, err := otelconnect.NewInterceptor(otelconnect.WithTracerProvider(hostOptions.traces.Provider),
			otelconnect.WithPropagator(hostOptions.traces.Propagator), otelconnect.WithoutMetrics(), otelconnect.WithTrustRemote())
		if err != nil {
			return errors.Wrap(err, "trace calls between hosts")
		}
		clientOptions = append(clientOptions, connect.WithInterceptors(interceptor))
		ht.handlerOptions = append(ht.handlerOptions, connect.WithInterceptors(interceptor))
	}
	poolConfig := backend.DefaultConfig()
	poolConfig.Dial = hostOptions.dial
	ht.pool = backend.NewPool(poolConfig, ht.clock)
	ht.peerClient = peer.NewHTTP1Client(ht.localMember, ht.clock, clientOptions...)
	gossipConfig := gossip.DefaultConfig()
	gossipConfig.Seeds = ht.settings.Peers.Seeds
	ht.gossip = gossip.New(gossipConfig, ht.localMember, ht.clock, ht.peerClient, gossip.Handlers{
		MemberChanged: ht.onMemberChanged,
		FactLearned:   ht.onFactLearned,
		NewerRevision: func(id.Host) {},
		LocalFreshness: func() (id.Offset, membership.ListFreshness) {
			status := ht.updateFollower.Status()
			return id.Offset(status.Version), membership.ListFreshness{UnchangedSince: status.UnchangedSince, NextOffset: status.NextOffset, Age: status.ListAge, EvacuationsUnchangedSince: status.EvacuationsUnchangedSince}
		},
		RemoteFreshness: func(host id.Host, version id.Offset, freshness membership.ListFreshness) {
			ht.updateFollower.HandleStatus(host, statesync.Status{Version: route.Version(version), UnchangedSince: freshness.UnchangedSince, NextOffset: freshness.NextOffset, ListAge: freshness.Age, EvacuationsUnchangedSince: freshness.EvacuationsUnchangedSince})
		},
	}, scope, seed)
	followerConfig := statesync.DefaultConfig()
	followerConfig.Seeds = ht.settings.Peers.Seeds
	ht.store = platform.NewStore(strings.TrimPrefix(ht.settings.Platform.URL, "http://"), ht.pool, ht.logger)
	ht.updateFollower = statesync.New(followerConfig, ht.localMember.Host, ht.localMember.AvailabilityZone, ht.clock, ht.store, ht.peerClient, ht.peerClient, scope, ht.logger, seed, ht.onFleetChanged)
	ht.requestLimits = requestlimit.NewTracker(ht.clock, scope, ht.logger, ht.gossip.SpreadFact, func() { ht.grantServer.Refresh() })
	coldBounds := serverlimit.ColdBounds{Overage: ht.settings.Engines.ColdOverage, Slack: ht.settings.Engines.ColdSlack}
	ht.fleet = newFleet(ht.updateFollower, ht.clock, ht.requestLimits, coldBounds, ht.gossip.SpreadFact)
	ht.coldStarts = requestlimit.NewColdStarts(ht.clock, scope, ht.logger, ht.fleet, ht.gossip.SpreadFact, func() { ht.grantServer.Refresh() })
	ht.requestLimits.SetColdStarts(ht.coldStarts)
	ht.crashQuarantine = newCrashQuarantine(ht.clock, scope, ht.logger, ht.gossip.SpreadFact)
	ht.evidenceSyncer = crashlog.New(evidenceSyncConfig(), ht.clock, platform.NewCrashLog(ht.store), scope, ht.logger, ht.updateFollower.IsListReader, ht.crashQuarantine.LearnStoredEvidence,
		crashlog.WithStoredEvidence(ht.crashQuarantine.StoredEvidence))
	ht.crashQuarantine.storeEvidence = ht.evidenceSyncer.QueueEvidence
	ht.crashQuarantine.storeFirstCrash = ht.evidenceSyncer.QueueFirstCrash
	ht.grantServer = broker.NewServer(batch.DefaultConfig(), ht.clock, ht.fleet, ht.peerClient, ht.crashQuarantine, scope, ht.logger, seed)
	ht.crashQuarantine.reportToDispatcher = func(service id.Service, evidence quarantine.Evidence) {
		ht.grantClient.ReportEvidence(service, evidence)
	}
	ht.crashQuarantine.evidenceChanged = ht.grantServer.EvidenceChanged
	ht.grantClient = broker.NewClient(batch.DefaultConfig(), ht.localMember.Host, ht.clock, ht.peerClient, ht.fleet, scope, ht.logger, seed)
	ht.permitClient = requestlimit.NewClient(ht.requestLimits, ht.localMember.Host, ht.peerClient)
	ht.permitIssuer = requestlimit.NewIssuer(ht.clock, ht.peerClient, ht.fleet, ht.requestLimits)
	ht.assembleRelay(tracer, seed)
	ht.peerClient.Bind(ht.localPeerComponents(), ht.gossip)
	ht.forwarder = forward.NewRunner(forward.DefaultConfig().WithMemoryBounds(ht.settings.Memory.FreeWithin, ht.settings.Memory.UnusedWithin), forward.Dependencies{
		Host:         ht.localMember.Host,
		Incarnation:  ht.localMember.Incarnation,
		Clock:        ht.clock,
		Balancer:     balance.New(ht.localMember.AvailabilityZone, seed),
		Sender:       ht.backendSender,
		Reachability: ht.backendSender,
		Dispatcher:   ht.grantClient,
		Fleet:        ht.fleet,
		Quarantine:   ht.crashQuarantine,
		Limits:       ht.permitClient,
		Retries:      retry.New(ht.retryConfig(), seed),
		Metrics:      scope,
		Logger:       ht.logger,
		Tracer:       tracer,
		Seed:         seed,
	})
	ht.clientHandler = platform.NewClientHandler(ht.updateFollower, ht.forwarder, ht.clock, ht.logger)
	ht.bodyMemory = bodymemory.ForProcess(bodymemory.PlatformFront, ht.settings.Limits.MemoryMegabytes, ht.clock, ht.settings.Limits.StallTime)
	ht.clientHandler.LimitBodies(ht.bodyMemory)
	ht.clientHandler.CountIn(scope)
	return nil
}

// assembleRelay creates the components that send to backend servers directly, through peers, and on behalf of peers.
func (ht *Host) assembleRelay(tracer trace.Tracer, seed uint64) {
	direct := platform.NewBackendClient(ht.pool)
	ht.links = peerrelay.NewLinks(reachability.DefaultConfig(), ht.clock, ht.pool, ht.metrics.Scope, ht.logger, func(changedAt time.Time, cutOff bool) {
		ht.gossip.SpreadFact(peerrelay.CutOffFact(ht.localMember.Host, changedAt, cutOff))
	})
	relayPoolConfig := backend.DefaultConfig()
	relayPoolConfig.MaxIdlePerAddress = maxIdleRelayConnections
	ht.relayPool = backend.NewPool(relayPoolConfig, ht.clock)
	ht.backendSender = peerrelay.NewSender(peerrelay.Dependencies{
		Host:             ht.localMember.Host,
		AvailabilityZone: ht.localMember.AvailabilityZone,
		Clock:            ht.clock,
		Direct:           direct,
		Links:            ht.links,
		Members:          ht.gossip,
		Transport: peer.NewRelayClient(ht.relayPool, func(ctx context.Context, member membership.Member) {
			ht.gossip.ConnectionRefused(ctx, member.Host)
		}),
		Metrics: ht.metrics.Scope,
		Logger:  ht.logger,
		Tracer:  tracer,
		Seed:    seed,
	})
	ht.relayServer = peerrelay.NewServer(peerrelay.ServerDependencies{
		Clock:          ht.clock,
		Direct:         direct,
		Links:          ht.links,
		Fleet:          ht.fleet,
		Accepts:        func() bool { return !ht.clientHandler.RefusesNewRequests() },
		OwnRequests:    func() int64 { return ht.clientHandler.InFlight() },
		ProcessorShare: ht.settings.Limits.ProcessorShare,
		Metrics:        ht.metrics.Scope,
		Logger:         ht.logger,
	})
}

// maxIdleRelayConnections limits the idle connections to each peer for calls to backend servers through it.
const maxIdleRelayConnections = 32

// localPeerComponents returns the components that answer calls of other hosts.
func (ht *Host) localPeerComponents() peer.LocalComponents {
	return peer.LocalComponents{GossipRunner: ht.gossip, BrokerServer: ht.grantServer, BrokerClient: ht.grantClient, UpdateFollower: ht.updateFollower, PermitIssuer: ht.permitIssuer, RelayServer: ht.relayServer, BodyMemory: ht.bodyMemory}
}

// retryConfig returns the configuration of this host's retries. The ratio of retries to requests is the same on all
// hosts, while the slack, which is independent of the number of requests, is divided among them.
func (ht *Host) retryConfig() retry.Config {
	config := retry.DefaultConfig()
	config.BudgetRatio = ht.settings.Retries.Share
	config.InitialBudget = ht.initialRetryBudget(1)
	return config
}

// initialRetryBudget returns the number of retries, at most maxBudget, that each of a number of hosts may make in a burst
// for a service with few requests. A retry budget grows to at most twice this number, so that all hosts together stay
// within the slack, including hosts that can't see each other.
func (ht *Host) initialRetryBudget(hosts int) float64 {
	const maxBudget, growthFactor = 4, 2
	return min(maxBudget, ht.settings.Retries.Slack/float64(growthFactor*hosts))
}

// Run serves until the context ends or a part of the host fails, and then shuts down gracefully. It returns the first
// failure.
func (ht *Host) Run(ctx context.Context) error {
	if megabytes := ht.settings.Limits.MemoryMegabytes; megabytes > 0 {
		debug.SetMemoryLimit(bodymemory.SoftLimit(megabytes))
	}
	ht.logger.Info("host started", "zone", string(ht.localMember.AvailabilityZone), "clients", ht.localMember.CallerAddress, "peers", ht.localMember.PeerAddress,
		"incarnation", int64(ht.localMember.Incarnation), "seeds", ht.settings.Peers.Seeds)
	err := lifecycle.Process{
		Tasks: []lifecycle.Task{
			{Name: "desired state and servers", Run: ht.updateFollower.Run},
			{Name: "grant server", Run: ht.grantServer.Run},
			{Name: "grant client", Run: ht.grantClient.Run},
			{Name: "connections", Run: ht.pool.Run},
			{Name: "relay connections", Run: ht.relayPool.Run},
			{Name: "probes", Run: ht.backendSender.Run},
			{Name: "crash evidence", Run: ht.evidenceSyncer.Run},
			{Name: "membership", Run: ht.join},
			{Name: "discovery", Run: ht.discoverHosts},
			{Name: "cold servers", Run: ht.coldStarts.Run},
			{Name: "gauges", Run: ht.updateGauges},
			{Name: "request memory", Run: bodymemory.NewReporter(ht.bodyMemory, ht.clock, ht.metrics.Scope, ht.logger).Run},
		},
		Servers:   ht.httpServers(),
		Listeners: ht.servedListeners(),
		ShutDown:  ht.shutDown,
		CleanUp:   ht.cleanUp,
		Grace:     lifecycle.Grace(ht.settings.Operators.ShutdownTimeout),
		Clock:     ht.clock,
		Logger:    ht.logger,
	}.Run(ctx)
	ht.logger.Info("host stopped")
	return err
}

func (ht *Host) cleanUp() {
	ht.forwarder.Wait()
	ht.peerClient.Close()
	_ = ht.metrics.Close()
}

// join joins the membership as soon as the host can serve, so that the other hosts send nothing to a host that can't.
// The host becomes ready when it knows another host, or has waited for one for discoveryWait: without the wait, hosts
// that start at the same time would all act as dispatchers.
func (ht *Host) join(ctx context.Context) error {
	const (
		pollInterval  = 20 * time.Millisecond
		discoveryWait = 400 * time.Millisecond
		// seedWait is how long the seeds have to answer before other hosts are looked for in the store. After all hosts have
		// been lost, the seeds may be the last ones that are back.
		seedWait = 60 * time.Millisecond
	)
	for !ht.updateFollower.Loaded() {
		if !timer.Sleep(ctx, ht.clock, pollInterval) {
			return nil
		}
	}
	gossipEnded := make(chan error, 1)
	tasks.Go(func() { gossipEnded <- tasks.Call(func() error { return ht.gossip.Run(ctx) }) })
	joinedAt := ht.clock.Now()
	for askedStore := false; len(ht.gossip.OtherHosts()) == 0 && ht.clock.Now().Before(joinedAt.Add(discoveryWait)); {
		if !askedStore && !ht.clock.Now().Before(joinedAt.Add(seedWait)) {
			askedStore = true
			tasks.Go(func() { ht.addSeedsFromStore(ctx) })
		}
		if !timer.Sleep(ctx, ht.clock, pollInterval) {
			break
		}
	}
	ht.mutex.Lock()
	ht.joined = true
	ht.mutex.Unlock()
	ht.grantClient.SetHostsKnown()
	ht.logger.Info("host ready", "after_ms", ht.clock.Now().Sub(time.Unix(0, int64(ht.localMember.Incarnation))).Milliseconds(),
		"others", len(ht.gossip.OtherHosts()))
	return <-gossipEnded
}

// Ready reports whether the host accepts requests and, if it does not, the reason.
func (ht *Host) Ready() (bool, string) {
	ht.mutex.Lock()
	defer ht.mutex.Unlock()
	switch {
	case ht.leaving:
		return false, "the host is leaving"
	case !ht.joined:
		return false, "the host does not know the desired state and the backend servers yet"
	default:
		return true, ""
	}
}

// httpServers returns the HTTP servers in the order of the listeners.
func (ht *Host) httpServers() []*http.Server {
	clientServer := ht.newHTTPServer(ht.clientHandler)
	clientServer.MaxHeaderBytes = ht.settings.Callers.MaxHeaderBytes
	platform.TrackRequests(clientServer)
	peerServer := ht.newHTTPServer(peer.NewServer(ht.localPeerComponents(), ht.clock).Handler(ht.handlerOptions...))
	clientconn.TrackRequests(peerServer)
	operatorServer := ht.newHTTPServer(operator.NewServer(ht, ht.metrics.Handler).Handler())
	readinessServer := ht.newHTTPServer(platform.NewReadinessHandler(ht, ht.logger))
	directoryServer := ht.newHTTPServer(platform.NewDirectoryHandler(ht))
	return []*http.Server{clientServer, peerServer, operatorServer, readinessServer, directoryServer}
}

// servedListeners returns the listeners in the order of the servers. That of clients applies the desired state's timeouts, that of
// other hosts lets relayed calls be interrupted.
func (ht *Host) servedListeners() []net.Listener {
	timeouts := platform.ConnectionTimeouts{Header: ht.settings.Callers.ReadHeaderTimeout, Idle: ht.settings.Callers.IdleTimeout}
	served := slices.Clone(ht.listeners)
	clientListener := platform.NewClientListener(served[0], ht.updateFollower, timeouts, ht.clock)
	clientListener.LimitConnections(bodymemory.ConnectionLimit(bodymemory.PlatformFront, ht.settings.Limits.MaxConnections, ht.settings.Limits.MemoryMegabytes), ht.bodyMemory)
	served[0] = clientListener
	served[1] = clientconn.Listener{Listener: served[1]}
	return served
}

// newHTTPServer returns an HTTP server with the timeouts of the settings, which logs errors of connections at debug
// level.
func (ht *Host) newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: ht.settings.Callers.ReadHeaderTimeout,
		IdleTimeout:       ht.settings.Callers.IdleTimeout,
		ErrorLog:          slog.NewLogLogger(ht.logger.Handler(), slog.LevelDebug),
	}
}

// onMemberChanged is called when the status or the description of a host changes. It adjusts the local limits that
// depend on the number of hosts.
func (ht *Host) onMemberChanged(member membership.Member) {
	ht.scheduleConnectionLimits()
	ht.forwarder.SetInitialRetryBudget(ht.initialRetryBudget(1 + len(ht.gossip.RemoteMembers())))
	ht.grantClient.HostsChanged()
	if ht.requestLimits.Any() {
		ht.grantServer.Refresh()
	}
	ht.logger.Info("member changed", "member", string(member.Host), "status", member.Status.String(), "incarnation", int64(member.Incarnation))
}

// onFactLearned is called with each new fact of another host.
func (ht *Host) onFactLearned(fact membership.Fact) {
	switch fact.Kind {
	case membership.CrashFact:
		ht.crashQuarantine.LearnGossipedEvidence(crashlog.FromFact(fact))
	case membership.DepartureFact:
		if ht.fleet.learnDeparture(fact) {
			ht.grantServer.Refresh()
		}
	case membership.RequestLimitFact:
		if statement, ok := requestlimit.FromFact(fact); ok {
			ht.requestLimits.Learn("gossip", statement)
		}
	case membership.ColdFact:
		ht.coldStarts.LearnFact(fact)
	case membership.CutOffFact:
		ht.backendSender.LearnCutOff(fact)
	}
}

// onFleetChanged is called when the desired state or the list of backend servers changes.
func (ht *Host) onFleetChanged() {
	servers, _ := ht.updateFollower.Servers()
	ht.fleet.updateList(servers)
	if ht.updateFollower.Loaded() {
		// A part of the list would make the rest look like servers that have just started.
		ht.coldStarts.UpdateServers(servers)
	}
	ht.links.UpdateServers(servers)
	ht.forwarder.UpdateServers(servers)
	ht.permitClient.UpdateServers(servers)
	ht.scheduleConnectionLimits()
	ht.grantServer.Refresh()
}

// scheduleConnectionLimits sets the connection limits after a short delay, because changes of hosts and servers come in
// bursts.
func (ht *Host) scheduleConnectionLimits() {
	const delay = 100 * time.Millisecond
	if !ht.connectionLimitsScheduled.Swap(true) {
		ht.clock.After(delay, func() {
			ht.connectionLimitsScheduled.Store(false)
			ht.setConnectionLimits()
		})
	}
}

// setConnectionLimits limits the idle connections to each server to this host's part of the connections that the server
// accepts from all hosts together. Only half of that part is used, to leave the same number for connections in use.
func (ht *Host) setConnectionLimits() {
	const inUseFactor = 2
	hosts := 1 + len(ht.gossip.RemoteMembers())
	table := ht.updateFollower.Table()
	if table == nil {
		return
	}
	limits := map[string]int{}
	servers, _ := ht.updateFollower.Servers()
	for _, server := range servers {
		if service, ok := table.Service(server.Service); ok && service.MaxConnections > 0 {
			limits[server.Address] = service.MaxConnections / (inUseFactor * hosts)
		}
	}
	ht.pool.SetIdleLimits(limits)
}
