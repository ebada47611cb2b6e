// Package site assembles an entry host that serves on the users' platform.
package site

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"connectrpc.com/otelconnect"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/conviction"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/gossip"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/news"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/lifecycle"
	"github.com/hibiscuslever/hibiscuslever/platform"
	"github.com/hibiscuslever/hibiscuslever/settings"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/backend"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
	"github.com/hibiscuslever/hibiscuslever/transport/peer"
)

// Host is an entry host on the users' platform.
type Host struct {
	settings settings.Settings
	clock    timer.Service
	logger   *slog.Logger
	metrics  *telemetry.Metrics
	self     membership.Member
	started  time.Time

	pool   *backend.Pool
	store  *platform.Store
	peers  *peer.Client
	gossip *gossip.Runner
	news   *news.Follower
	broker *broker.Server
	places *broker.Client
	runner *forward.Runner
	front  *platform.ClientHandler
	fleet  *fleet

	convictions *convictions
	keeper      *conviction.Syncer

	mutex    sync.Mutex
	joined   bool
	bounding atomic.Bool
	leaving  bool

	listeners      []net.Listener
	handlerOptions []connect.HandlerOption
}

// New returns a host that listens at the addresses of its settings but serves nothing before Run.
func New(opts ...Option) (*Host, error) {
	op := newOptions(opts)
	ht := &Host{
		settings: op.settings,
		clock:    op.clock,
		logger:   op.logger,
		metrics:  telemetry.NewMetrics(),
		started:  op.clock.Now(),
	}
	if err := ht.listen(); err != nil {
		return nil, err
	}
	ht.self = membership.Member{
		Host:             ht.settings.Host.Name,
		Incarnation:      id.Incarnation(op.clock.Now().UnixNano()),
		PeerAddress:      ht.settings.Host.EffectivePeerAddress(),
		CallerAddress:    ht.settings.Host.CallerAddress,
		AvailabilityZone: ht.settings.Host.AvailabilityZone,
		ProcessorShare:   uint32(thousandths * ht.settings.Limits.ProcessorShare),
	}
	if err := ht.assemble(op); err != nil {
		return nil, err
	}
	return ht, nil
}

// thousandths are the units of a member's share of the processor.
const thousandths = 1000

// listen opens all addresses; when one is taken, none stays open. Port 0 becomes a free port.
func (ht *Host) listen() error {
	st := &ht.settings.Host
	for _, address := range []*string{&st.CallerAddress, &st.PeerAddress, &st.OperatorAddress, &st.ReadyAddress, &st.DirectoryAddress} {
		listener, err := net.Listen("tcp", *address)
		if err != nil {
			for _, open := range ht.listeners {
				_ = open.Close()
			}
			return errors.Wrapf(err, "listen at %s", *address)
		}
		*address = listener.Addr().String()
		ht.listeners = append(ht.listeners, listener)
	}
	return nil
}

// Settings returns the settings in force, with the ports that were chosen.
func (ht *Host) Settings() settings.Settings { return ht.settings }

// assemble builds the parts of the host, lower layers first.
func (ht *Host) assemble(op options) error {
	scope, seed := ht.metrics.Scope, op.seed
	tracer := noop.NewTracerProvider().Tracer("")
	var clientOptions []connect.ClientOption
	if op.traces != nil {
		tracer = op.traces.Provider.Tracer("hibiscuslever")
		interceptor, err := otelconnect.NewInterceptor(otelconnect.WithTracerProvider(op.traces.Provider),
			otelconnect.WithPropagator(op.traces.Propagator), otelconnect.WithoutMetrics(), otelconnect.WithTrustRemote())
		if err != nil {
			return errors.Wrap(err, "trace calls between hosts")
		}
		clientOptions = append(clientOptions, connect.WithInterceptors(interceptor))
		ht.handlerOptions = append(ht.handlerOptions, connect.WithInterceptors(interceptor))
	}
	ht.pool = backend.NewPool(backend.DefaultConfig(), ht.clock)
	ht.peers = peer.NewHTTP1Client(ht.self, ht.clock, clientOptions...)
	gossipConfig := gossip.DefaultConfig()
	gossipConfig.Seeds = ht.settings.Peers.Seeds
	ht.gossip = gossip.New(gossipConfig, ht.self, ht.clock, ht.peers, gossip.Handlers{
		MemberChanged: ht.memberChanged,
		FactLearned:   ht.factLearned,
		NewerRevision: func(id.Host) {},
		LocalCopyState: func() (id.Offset, membership.ListFreshness) {
			st := ht.news.Status()
			return id.Offset(st.Version), membership.ListFreshness{UnchangedFrom: st.UnchangedSince, NextOffset: st.Next, Age: st.ListAge}
		},
		RemoteCopyState: func(host id.Host, version id.Offset, nw membership.ListFreshness) {
			ht.news.HandleStatus(host, news.Status{Version: route.Version(version), UnchangedSince: nw.UnchangedFrom, Next: nw.NextOffset, ListAge: nw.Age})
		},
	}, scope, seed)
	newsConfig := news.DefaultConfig()
	newsConfig.Seeds = ht.settings.Peers.Seeds
	ht.store = platform.NewStore(strings.TrimPrefix(ht.settings.Platform.URL, "http://"), ht.pool)
	ht.news = news.New(newsConfig, ht.self.Host, ht.self.AvailabilityZone, ht.clock, ht.store, ht.peers, ht.peers, scope, ht.logger, seed, ht.newsChanged)
	ht.fleet = newFleet(ht.news, ht.clock, ht.gossip.SpreadFact)
	ht.convictions = newConvictions(ht.clock, scope, ht.logger, ht.gossip.SpreadFact)
	ht.keeper = conviction.New(keeperConfig(), ht.clock, platform.NewCrashLog(ht.store), scope, ht.logger, ht.news.IsListReader, ht.convictions.LearnStoredEvidence)
	ht.convictions.keep = ht.keeper.AddEvidence
	ht.broker = broker.NewServer(batch.DefaultConfig(), ht.clock, ht.fleet, ht.peers, ht.convictions, scope, ht.logger, seed)
	ht.convictions.tell = func(service id.Service, ev quarantine.Evidence) { ht.places.ReportEvidence(service, ev) }
	ht.places = broker.NewClient(batch.DefaultConfig(), ht.self.Host, ht.clock, ht.peers, ht.fleet, scope, ht.logger, seed)
	ht.peers.Bind(ht.local(), ht.gossip)
	ht.runner = forward.NewRunner(forward.DefaultConfig().WithMemoryBounds(ht.settings.Memory.FreeWithin, ht.settings.Memory.UnusedWithin), forward.Dependencies{
		Host:        ht.self.Host,
		Incarnation: ht.self.Incarnation,
		Clock:       ht.clock,
		Balancer:    balance.New(ht.self.AvailabilityZone, seed),
		Sender:     platform.NewBackendClient(ht.pool),
		Dispatcher:  ht.places,
		Fleet:       ht.fleet,
		Quarantine:  ht.convictions,
		Retries:     retry.New(ht.retryConfig(), seed),
		Metrics:     scope,
		Logger:      ht.logger,
		Tracer:      tracer,
		Seed:        seed,
	})
	ht.front = platform.NewClientHandler(ht.news, ht.runner, ht.clock, ht.logger)
	return nil
}

// local returns the parts that answer other hosts.
func (ht *Host) local() peer.LocalComponents {
	return peer.LocalComponents{GossipRunner: ht.gossip, BrokerServer: ht.broker, BrokerClient: ht.places, UpdateFollower: ht.news}
}

// retryConfig shares the budget of all hosts by what each of them carries; of the slack each host has its part.
func (ht *Host) retryConfig() retry.Config {
	config := retry.DefaultConfig()
	config.BudgetRatio = ht.settings.Retries.Share
	config.InitialBudget = ht.quietRetries(1)
	return config
}

// quietRetries returns the number of retries that one of a number of hosts may make at once. A policy saves up twice
// as many, so that all hosts together stay within the slack, also those that can't see each other.
func (ht *Host) quietRetries(hosts int) float64 {
	const most, saved = 4, 2
	return min(most, ht.settings.Retries.Slack/float64(saved*hosts))
}

// Run serves until the context ends, then shuts down gracefully.
func (ht *Host) Run(ctx context.Context) error {
	if megabytes := ht.settings.Limits.MemoryMegabytes; megabytes > 0 {
		const usedShare = 0.7
		debug.SetMemoryLimit(int64(usedShare * megabytes * (1 << 20)))
	}
	ht.logger.Info("host started", "zone", string(ht.self.AvailabilityZone), "clients", ht.self.CallerAddress, "peers", ht.self.PeerAddress,
		"incarnation", int64(ht.self.Incarnation), "seeds", ht.settings.Peers.Seeds)
	err := lifecycle.Process{
		Tasks:     []func(context.Context) error{ht.news.Run, ht.broker.Run, ht.places.Run, ht.pool.Run, ht.keeper.Run, ht.join, ht.findHosts, ht.updateGauges},
		Servers:   ht.servers(),
		Listeners: ht.listeners,
		ShutDown:  ht.shutDown,
	}.Run(ctx)
	ht.runner.Wait()
	ht.peers.Close()
	_ = ht.metrics.Close()
	ht.logger.Info("host stopped")
	return err
}

// join takes part in the membership once the host can serve, so that nothing is sent to one that can't. The host is
// ready when it knows another one, or has looked for one for a moment: hosts that start together must not all dispatch.
func (ht *Host) join(ctx context.Context) error {
	const (
		lookPeriod = 20 * time.Millisecond
		joinWait   = 400 * time.Millisecond
	)
	for !ht.news.Loaded() {
		if !timer.Sleep(ctx, ht.clock, lookPeriod) {
			return nil
		}
	}
	ended := make(chan error, 1)
	go func() { ended <- ht.gossip.Run(ctx) }()
	for end := ht.clock.Now().Add(joinWait); len(ht.gossip.OtherHosts()) == 0 && ht.clock.Now().Before(end); {
		if !timer.Sleep(ctx, ht.clock, lookPeriod) {
			break
		}
	}
	ht.mutex.Lock()
	ht.joined = true
	ht.mutex.Unlock()
	ht.places.SetHostsKnown()
	ht.logger.Info("host ready", "after_ms", ht.clock.Now().Sub(time.Unix(0, int64(ht.self.Incarnation))).Milliseconds(),
		"others", len(ht.gossip.OtherHosts()))
	return <-ended
}

// Ready reports whether the host takes requests, and if not, why.
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

// servers returns the HTTP servers in the order of the listeners.
func (ht *Host) servers() []*http.Server {
	front := ht.newServer(ht.front)
	front.MaxHeaderBytes = ht.settings.Callers.MaxHeaderBytes
	peers := ht.newServer(peer.NewServer(ht.local(), ht.clock).Handler(ht.handlerOptions...))
	operators := ht.newServer(operator.NewServer(ht, ht.metrics.Handler).Handler())
	ready := ht.newServer(platform.NewReadinessHandler(ht, ht.logger))
	directory := ht.newServer(platform.NewDirectoryHandler(ht))
	return []*http.Server{front, peers, operators, ready, directory}
}

func (ht *Host) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: ht.settings.Callers.ReadHeaderTimeout,
		IdleTimeout:       ht.settings.Callers.IdleTimeout,
		ErrorLog:          slog.NewLogLogger(ht.logger.Handler(), slog.LevelDebug),
	}
}

func (ht *Host) memberChanged(member membership.Member) {
	ht.boundSoon()
	ht.runner.SetInitialRetryBudget(ht.quietRetries(1 + len(ht.gossip.RemoteMembers())))
	ht.places.HostsChanged()
	ht.logger.Info("member changed", "member", string(member.Host), "status", member.Status.String(), "incarnation", int64(member.Incarnation))
}

func (ht *Host) factLearned(fact membership.Fact) {
	switch fact.Kind {
	case membership.CrashFact:
		ht.convictions.LearnGossipedEvidence(conviction.FromFact(fact))
	case membership.DepartureFact:
		if ht.fleet.learned(fact) {
			ht.broker.Refresh()
		}
	}
}

func (ht *Host) newsChanged() {
	servers, _ := ht.news.Servers()
	ht.fleet.listed(servers)
	ht.runner.UpdateServers(servers)
	ht.boundSoon()
	ht.broker.Refresh()
}

// boundSoon has the bounds of connections set in a moment: changes of hosts and servers come many at a time.
func (ht *Host) boundSoon() {
	const gather = 100 * time.Millisecond
	if !ht.bounding.Swap(true) {
		ht.clock.After(gather, func() {
			ht.bounding.Store(false)
			ht.boundConnections()
		})
	}
}

// boundConnections gives each host its part of the connections that a server takes from all hosts together, with as
// many again for those in use.
func (ht *Host) boundConnections() {
	const inUse = 2
	hosts := 1 + len(ht.gossip.RemoteMembers())
	tb := ht.news.Table()
	if tb == nil {
		return
	}
	bounds := map[string]int{}
	servers, _ := ht.news.Servers()
	for _, sv := range servers {
		if service, ok := tb.Service(sv.Service); ok && service.MaxConnections > 0 {
			bounds[sv.Address] = service.MaxConnections / (inUse * hosts)
		}
	}
	ht.pool.SetIdleLimits(bounds)
}
