package baobabnode

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	account "github.com/baobabdale/baobabdale/baobabaccount"
	admission "github.com/baobabdale/baobabdale/baobabadmission"
	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	call "github.com/baobabdale/baobabdale/baobabcall"
	caller "github.com/baobabdale/baobabdale/baobabcaller"
	claim "github.com/baobabdale/baobabdale/baobabclaim"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	operator "github.com/baobabdale/baobabdale/baobaboperator"
	peer "github.com/baobabdale/baobabdale/baobabpeer"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
	release "github.com/baobabdale/baobabdale/baobabrelease"
	route "github.com/baobabdale/baobabdale/baobabroute"
	settings "github.com/baobabdale/baobabdale/baobabsettings"
	upstream "github.com/baobabdale/baobabdale/baobabupstream"
)

const (
	// headerTimeout bounds reading a request header on the operator and announcement APIs.
	headerTimeout = 5 * time.Second
	// lingerTime is how long peer links stay open after the last answer, so that its end reaches the other node.
	lingerTime = 200 * time.Millisecond
	// sweepInterval is how often the statistics of unused endpoints and expired crash reports are removed.
	sweepInterval = time.Minute
	// claimBatchSize is the maximum number of claims in one transaction.
	claimBatchSize = 64
	// warmUpFraction is the share of its slots that an upstream may use right after it starts.
	warmUpFraction = 0.25
)

// A Node is the process on an upstream's VM that routes and admits calls.
type Node struct {
	settings *settings.Settings
	logger   *log.Logger
	metrics  *metrics.Set
	tomb     *tomb.Tomb
	now      func() time.Time

	overrides     overrides
	store         platform.Store
	client        *platform.Client // Nil when the store is set by an option.
	board         *blackboard.Board
	members       *memberTable
	transport     *peer.Transport
	gate          *admission.Gate
	ledger        *claim.Ledger
	registry      *upstream.Registry
	endpointStats *route.EndpointStats
	admitter      *Admitter
	releases      *release.Repository
	configuration *configurationController
	membership    *membershipController
	upstream      *upstreamController
	departures    *departureController
	verifier      *upstreamVerifier
	quarantine    *quarantineController
	accounts      *accountController
	limits        *limitController
	dependencies  *dependencyController
	rollouts      *rolloutController
	seeds         *seedRegistry
	bootstrapper  *bootstrapper
	peerHandler   *peerHandler
	entry         *caller.HTTPServer
	refusalLog    *refusalLog
	decisionLog   *decisionLog
	stopping      atomic.Bool
	operatorAPI   http.Handler
}

// New returns a node; Run starts it.
func New(s *settings.Settings, logger *log.Logger, options ...Option) (*Node, error) {
	n := &Node{
		settings: s, logger: logger, metrics: metrics.NewSet(), tomb: new(tomb.Tomb), now: time.Now,
		board: blackboard.NewBoard(), gate: newGate(s.Upstream(), s.Admission()), endpointStats: route.NewEndpointStats(),
		registry: upstream.NewRegistry(upstream.WithHeartbeatLimit(s.Upstream().HeartbeatLimit()), upstream.WithRestore(),
			upstream.WithVerification(time.Now().Add(verificationPeriod))),
	}
	n.overrides.withdrawalLimit = s.Accounts().WithdrawalLimit()
	n.overrides.gracePeriod, n.overrides.drainTimeout = s.Shutdown().GracePeriod(), s.Shutdown().DrainTimeout()
	for _, o := range options {
		o(&n.overrides)
	}
	n.refusalLog = newRefusalLog(n.now, logger)
	if err := n.buildClients(); err != nil {
		return nil, errors.Wrap(err, "new node")
	}
	n.buildControllers()
	n.buildServers()
	n.registerMetrics()
	return n, nil
}

// Run serves until ctx is done, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen()
	if err != nil {
		return errors.Wrap(err, "run node")
	}
	n.tomb.Go(func() error {
		n.start(listeners)
		select {
		case <-ctx.Done():
			n.stop()
		case <-n.tomb.Dying():
		}
		n.tomb.Kill(nil)
		return nil
	})
	err = n.tomb.Wait()
	_ = n.ledger.Close()
	if n.client != nil {
		n.client.Close()
	}
	return errors.Wrap(err, "run node")
}

// newGate returns the admission gate for an upstream.
func newGate(u settings.Upstream, a settings.Admission) *admission.Gate {
	options := []admission.Option{admission.WithWarmUp(u.WarmUp(), warmUpFraction), admission.WithUsualShare(a.KeptPercent())}
	if u.FixedLimit() {
		options = append(options, admission.WithAnnouncedLimit())
	}
	if a.NestedPriority() {
		options = append(options, admission.WithNestedPriority())
	}
	if a.ObjectiveOrder() {
		options = append(options, admission.WithObjectiveOrder())
	}
	return admission.NewGate(options...)
}

// buildClients creates the platform client, the peer transport and the claim ledger.
func (n *Node) buildClients() error {
	s := n.settings
	if n.store = n.overrides.store; n.store == nil {
		client, err := platform.NewClient(s.Platform().URL(), platform.WithTimeout(s.Platform().Timeout()))
		if err != nil {
			return err
		}
		n.client, n.store = client, client
	}
	credentials, err := peerCredentials(s.Peers())
	if err != nil {
		return err
	}
	n.transport = peer.NewTransport(credentials,
		peer.WithMetrics(n.metrics),
		peer.WithIdleTimeout(s.Peers().IdleTimeout()),
		peer.WithMaxLinks(s.Peers().MaxLinks()),
		peer.WithMaxMessageBytes(int(s.Limits().MaxMessageSize().Bytes())),
		peer.WithSameDomain(n.sameDomain),
		peer.WithKeepAlive(s.Peers().KeepAlive()),
		peer.WithMaxUnsentBytes(maxUnsentBytes(s.Balance())),
		peer.WithConnectWait(s.Peers().ConnectWait()),
		peer.WithDial(dialerFrom(s.Listen().Peer())),
		peer.WithAuthFailureHandler(n.refusalLog.linkRefused),
		peer.WithPanicHandler(func(address string, value any, stack []byte) {
			n.logger.Error("message of a peer caused a panic", "peer", address, "value", value, "stack", string(stack))
		}),
	)
	n.ledger = claim.NewLedger(claimStore{store: n.store},
		claim.WithMaxInFlight(s.Claim().MaxInFlight()),
		claim.WithRetention(s.Claim().Retention()),
		claim.WithBatch(s.Claim().BatchDelay(), claimBatchSize),
	)
	return nil
}

func (n *Node) buildControllers() {
	s := n.settings
	self := membership.NewMember(s.Node().ID(), s.Listen().PeerAdvertise().String(), s.Listen().Entry().String(),
		s.Node().FailureDomain(), s.Node().Region(), membership.InitialIncarnation(n.now())).
		WithLinkSpeed(uint64(s.Balance().LinkBytesPerSecond()))
	table := membership.NewTable(self,
		membership.WithSuspicionTimeout(s.Membership().SuspicionTimeout()),
		membership.WithTickInterval(s.Membership().ProbeInterval()))
	n.members = newMemberTable(n.board, table)
	broadcaster := &broadcaster{members: n.members, transport: n.transport, tomb: n.tomb, now: n.now, logger: n.logger}
	n.decisionLog = newDecisionLog(n.logger, n.metrics)
	n.quarantine = newQuarantineController(n.board, broadcaster, n.now, n.logger, n.decisionLog, n.metrics)
	n.accounts = n.newAccountController()
	n.limits = newLimitController(n.members, n.transport, broadcaster, n.now, n.logger, n.metrics)
	n.limits.limitOf, n.limits.accountsUsed = n.accountLimit, n.accountsUsed
	n.dependencies = newDependencyController(s.Admission(), n.decisionLog)
	n.rollouts = newRolloutController(n.overrides.rollouts || s.Rollouts().Enabled(), n.board, n.members, n.now, n.logger)
	n.rollouts.connect(n.store, broadcaster, n.transport, n.metrics)
	n.releases = release.NewRepository(n.store, release.WithHighestNumber(n.board.HighestNumber))
	source := n.overrides.source
	if source == nil {
		source = n.releases
	}
	if orders, ok := source.(OrderSource); ok {
		orders.FollowOrders(n.rollouts.observeOrder)
	} else {
		n.rollouts.orderPollInterval = s.Platform().PollInterval()
	}
	_, watched := source.(Watcher)
	n.configuration = &configurationController{
		board: n.board, source: source, members: n.members, broadcaster: broadcaster, transport: n.transport,
		labels: nodeLabels(s.Node().Labels(), self), now: n.now, bootTime: account.BootTime, logger: n.logger,
		headPollInterval: s.Platform().PollInterval(), fetchRequests: make(chan fetchRequest, fetchQueueSize), joined: make(chan struct{}),
		verification: release.NewVerification(account.BootTime(), watched), headChecks: newHeadCheckCounters(n.metrics),
		sightings: newVersionSightings(n.metrics), updates: make(chan receivedUpdate, updateQueueSize),
		contents: newContentCounters(n.metrics),
	}
	n.accounts.configuration, n.configuration.confirmed = n.configuration, n.accounts.recordConfirmed
	n.seeds = &seedRegistry{store: n.store, members: n.members, static: seedAddresses(s), logger: n.logger}
	n.membership = &membershipController{
		board: n.board, members: n.members, broadcaster: broadcaster, configuration: n.configuration, transport: n.transport,
		quarantine: n.quarantine, rollouts: n.rollouts, seeds: n.seeds, registry: n.registry, firstIncarnation: self.Incarnation(), now: n.now, logger: n.logger, probeInterval: s.Membership().ProbeInterval(),
		peerFound: make(chan struct{}), probeTimeout: s.Membership().ProbeTimeout(),
		exchangeInterval: s.Membership().ExchangeInterval(),
	}
	n.limits.cutOff = n.membership.cutOff.Load
	n.limits.reach = newReachability(func(ctx context.Context, id string) bool {
		m, ok := n.members.member(id)
		return ok && n.membership.probe(ctx, m)
	})
	n.upstream = &upstreamController{
		board: n.board, registry: n.registry, gate: n.gate, membership: n.membership, now: n.now, logger: n.logger,
		clientOptions: n.overrides.clientOptions, probes: s.Upstream().Probes(),
	}
	n.departures = newDepartureController(n.board, n.store, n.registry, s.Node().FailureDomain(), s.Node().ID(),
		s.Platform().StartWait(), n.logger, n.metrics)
	verify := n.overrides.verifier
	if verify == nil && s.Upstream().Probes() {
		verify = newHealthVerifier()
	}
	n.verifier = newUpstreamVerifier(n.registry, verify, n.logger, n.metrics)
	n.admitter = &Admitter{
		board: n.board, gate: n.gate, registry: n.registry, ledger: n.ledger, quarantine: n.quarantine, now: n.now, logger: n.logger,
		decisions: n.decisionLog, dependencies: n.dependencies, rollouts: n.rollouts,
	}
	if s.Balance().Rates() {
		n.admitter.rate = &upstreamRate{gate: n.gate, read: n.overrides.speedReader}
	}
	n.bootstrapper = newBootstrapper()
	n.bootstrapper.members, n.bootstrapper.membership, n.bootstrapper.configuration = n.members, n.membership, n.configuration
	n.bootstrapper.sendJoin = n.membership.join
	n.bootstrapper.authoritative, n.bootstrapper.platformWait = n.overrides.authoritative, s.Platform().StartWait()
	n.bootstrapper.seeds, n.bootstrapper.now, n.bootstrapper.logger = n.seeds, n.now, n.logger
}

func (n *Node) buildServers() {
	s := n.settings
	counters := newRetryCounters(n.metrics)
	status := &statusController{
		board: n.board, members: n.members, admitter: n.admitter, retryCounters: counters, transport: n.transport, now: n.now,
	}
	transfers := newTransferMeter(s.Balance().GrantBodySize().Bytes(), s.Balance().LinkBytesPerSecond(), n.metrics)
	n.peerHandler = &peerHandler{
		bodies: &bodyGranter{
			admitter: n.admitter, transfers: transfers, schedule: newLinkSchedule(s.Balance().LinkBytesPerSecond()),
		},
		admitter: n.admitter, configuration: n.configuration, membership: n.membership, broadcaster: n.membership.broadcaster,
		quarantine: n.quarantine, accounts: n.accounts, limits: n.limits, rollouts: n.rollouts, status: status, maxBodyBytes: s.Limits().MaxBodySize().Bytes(),
		bodyMemory: call.NewBodyMemory(s.Limits().BodyMemory().Bytes()), now: n.now, logger: n.logger,
	}
	ingress := &Ingress{
		board: n.board, chooser: newChooser(n.endpointStats, s), crossings: newCrossingCounters(n.metrics),
		endpointStats: n.endpointStats,
		budgets:       blackboard.NewShardedMap[budgetKey, *route.Budget](), admitter: n.admitter,
		peerClient: &peerClient{
			transport: n.transport, bodies: newBodySender(transfers, n.now), now: n.now, grace: answerGraceFor(s.Admission()),
		},
		members: n.members, self: n.members.self, ready: n.bootstrapper,
		retryCounters: counters, lateEndings: newLateEndings(n.metrics), defaultTimeout: s.Call().DefaultTimeout(), maxTimeout: s.Call().MaxTimeout(), now: n.now, logger: n.logger,
		decisions: n.decisionLog, accounts: n.accounts, limits: n.limits, dependencies: n.dependencies, rollouts: n.rollouts,
	}
	handler := caller.NewHandler(ingress, append([]caller.Option{
		caller.WithMaxBodyBytes(s.Limits().MaxBodySize().Bytes()),
		caller.WithMaxHeaderBytes(int(s.Limits().MaxHeaderSize().Bytes())),
		caller.WithMaxCalls(s.Limits().MaxCalls()),
		caller.WithReadAhead(s.Limits().ReadAheadRequests(), int(s.Limits().ReadAheadSize().Bytes()), ingress.MayRepeat),
		caller.WithPanicHandler(func(value any, stack []byte) {
			n.logger.Error("call caused a panic", "value", value, "stack", string(stack))
		}),
		caller.WithAheadCancelledHandler(func(reason string, count int) {
			ingress.decisions.write(n.now(), "calls before their turn cancelled", "reason", reason, "calls", count)
		}),
		caller.WithBodyMemory(call.NewBodyMemory(s.Limits().BodyMemory().Bytes())),
		caller.WithCallerService(s.Upstream().Service()),
		caller.WithMetrics(n.metrics),
	}, n.overrides.callerOptions...)...)
	status.refusals = handler.Refusals
	n.entry = caller.NewHTTPServer(handler, caller.WithGracePeriod(n.overrides.gracePeriod))
	service := &operatorService{releases: n.releases, configuration: n.configuration, accounts: n.accounts, status: status}
	options := []operator.ServerOption{operator.WithMetrics(n.metrics), operator.WithUnauthorizedHook(n.refusalLog.operatorRefused)}
	if n.rollouts.orderPollInterval > 0 && n.rollouts.active() {
		options = append(options, operator.WithRollouts(rolloutService{rollouts: n.rollouts}))
	}
	n.operatorAPI = operator.NewServer(service, n, operatorToken(s.Operator()), options...)
}

// listeners are the sockets of a node.
type listeners struct {
	entry, peer, operator, announce net.Listener
	ready                           net.Listener // Nil when no separate address is set.
}

func (n *Node) listen() (*listeners, error) {
	l := &listeners{}
	for _, v := range []struct {
		listener *net.Listener
		address  netip.AddrPort
	}{
		{&l.entry, n.settings.Listen().Entry()},
		{&l.peer, n.settings.Listen().Peer()},
		{&l.operator, n.settings.Listen().Operator()},
		{&l.announce, n.settings.Listen().Announce()},
		{&l.ready, n.settings.Listen().Ready()},
	} {
		if !v.address.IsValid() {
			continue
		}
		opened, err := net.Listen("tcp", v.address.String())
		if err != nil {
			l.close()
			return nil, errors.Wrapf(err, "listen on %s", v.address)
		}
		*v.listener = opened
	}
	return l, nil
}

func (l *listeners) close() {
	for _, v := range []net.Listener{l.entry, l.peer, l.operator, l.announce, l.ready} {
		if v != nil {
			_ = v.Close()
		}
	}
}

// start starts the servers and the controllers.
func (n *Node) start(l *listeners) {
	n.entry.Start(l.entry)
	n.tomb.Go(func() error { return ignoreShutdownError(n.transport.Serve(l.peer, n.peerHandler), n.tomb) })
	n.tomb.Go(func() error {
		// Serve returns only once the transport is closed, so closing it must not wait for other goroutines.
		<-n.tomb.Dying()
		return errors.Wrap(n.transport.Close(), "close transport")
	})
	n.serveHTTP(l.operator, n.operatorAPI)
	n.serveHTTP(l.announce, n.announcementHandler())
	if l.ready != nil {
		n.serveHTTP(l.ready, http.HandlerFunc(n.serveReady))
	}
	for _, run := range []func(context.Context) error{
		n.bootstrapper.run, n.membership.run, n.configuration.run, n.upstream.run, n.departures.run, n.verifier.run, n.seeds.run, n.quarantine.run, n.accounts.run, n.limits.run, n.rollouts.run,
		n.syncAdmissionPolicy, n.sweepEndpointStats, (&shortageLog{gate: n.gate, now: n.now, logger: n.logger}).run,
	} {
		n.tomb.Go(func() error { return run(n.tomb.Context(context.Background())) })
	}
	n.logger.Info("node started", "id", n.members.self, "failure_domain", n.settings.Node().FailureDomain(),
		"entry", l.entry.Addr(), "peer", l.peer.Addr(), "operator", l.operator.Addr())
}

// stop shuts the node down gracefully. During the grace period callers may still send calls here, and the node admits
// those whose deadline is before the end of the drain timeout, because the last upstream of a service has no other
// node; calls to other nodes are taken as shutdown.takes says. Then other nodes stop sending calls, queued calls are refused
// as not run, and calls in progress complete.
func (n *Node) stop() {
	n.stopping.Store(true)
	n.logger.Info("stopping", "grace_period", n.overrides.gracePeriod, "drain_timeout", n.overrides.drainTimeout)
	n.admitter.stop(shutdown{end: n.now().Add(n.overrides.drainTimeout - lingerTime)})
	ctx, cancel := context.WithTimeout(context.Background(), max(n.overrides.drainTimeout-lingerTime, 0))
	defer cancel()
	shutdown := make(chan error, 1)
	go func() { shutdown <- n.entry.Shutdown(ctx) }()
	sleep(ctx, n.overrides.gracePeriod)
	n.membership.leave()
	n.gate.Drain()
	if err := <-shutdown; err != nil {
		n.logger.Error("calls of callers were interrupted", "err", err)
	}
	select {
	case <-n.gate.Idle():
	case <-ctx.Done():
		n.logger.Error("calls in progress were interrupted")
	}
	if !waitFor(ctx, &n.peerHandler.calls) {
		n.logger.Error("calls of other nodes were interrupted")
	}
	if !waitFor(ctx, &n.admitter.pendingRecords) {
		n.logger.Error("answers under idempotency keys were not recorded")
	}
	waitFor(ctx, &n.admitter.crashChecks)
	time.Sleep(lingerTime)
	n.logger.Info("stopped")
}

// waitFor waits for the group until ctx is done. It reports whether all of the group's work has completed.
func waitFor(ctx context.Context, group *sync.WaitGroup) bool {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// announcementHandler returns the HTTP handler for announcements of the local upstream.
func (n *Node) announcementHandler() http.Handler {
	if n.overrides.announcementHandler != nil {
		return n.departures.acknowledge(n.overrides.announcementHandler(n.registry))
	}
	return n.departures.acknowledge(upstream.NewAnnouncementHandler(n.registry))
}

// serveReady responds with 503 Service Unavailable while callers should not send calls to this node.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ready, reason := n.Ready(n.now()); !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
	}
}

func (n *Node) serveHTTP(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	n.tomb.Go(func() error { return ignoreShutdownError(server.Serve(l), n.tomb) })
	n.tomb.Go(func() error {
		<-n.tomb.Dying()
		return errors.Wrap(server.Close(), "close server")
	})
}

// syncAdmissionPolicy configures the gate with the policy of the local service whenever the configuration or the
// upstream changes.
func (n *Node) syncAdmissionPolicy(ctx context.Context) error {
	for {
		configurationChanged, upstreamChanged := n.board.ActiveConfigurationChanged(), n.board.UpstreamChanged()
		if p, ok := localPolicy(n.board); ok {
			n.gate.Configure(toAdmissionPolicy(p))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-configurationChanged:
		case <-upstreamChanged:
		}
	}
}

// sweepEndpointStats periodically removes the statistics of endpoints that are no longer used.
func (n *Node) sweepEndpointStats(ctx context.Context) error {
	for sleep(ctx, sweepInterval) {
		n.endpointStats.RemoveUnused(n.now())
	}
	return nil
}

// sameDomain reports whether an address belongs to a member of this node's failure domain. It returns true while the
// member table does not exist yet.
func (n *Node) sameDomain(address string) bool {
	own := n.settings.Node().FailureDomain()
	if n.members == nil {
		return true
	}
	return n.members.domainOf(address) == own
}
