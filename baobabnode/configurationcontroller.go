package baobabnode

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	account "github.com/baobabdale/baobabdale/baobabaccount"
	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	membership "github.com/baobabdale/baobabdale/baobabmembership"
	peer "github.com/baobabdale/baobabdale/baobabpeer"
	release "github.com/baobabdale/baobabdale/baobabrelease"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// headReaders is the number of members per failure domain that read the head from the platform. Concurrent readers
	// cannot conflict, because a version is identified by a number and a digest.
	headReaders = 2
	// foundDomains is the number of other failure domains to which a head reader sends a version that it has found.
	foundDomains = 2
	// headDuty is the duty of the members that read the head.
	headDuty = "head"
	// historyLength is how many recent versions a node keeps to answer fetches with deltas.
	historyLength = 8
)

// installPath says how a node learned of a version.
type installPath string

// Paths on which versions reach a node.
const (
	viaSource    installPath = "source"
	viaBroadcast installPath = "broadcast"
	viaMember    installPath = "member" // Fetched from it.
	viaOperator  installPath = "operator"
)

// A configurationController fetches configuration versions, puts them in force and broadcasts them. It owns the version
// in force on the blackboard.
type configurationController struct {
	board            *blackboard.Board
	source           Source
	members          *memberTable
	broadcaster      *broadcaster
	transport        *peer.Transport
	labels           configuration.Labels // Of the node: its settings, id, failure domain and region.
	now              func() time.Time
	bootTime         func() time.Duration
	logger           *log.Logger
	headPollInterval time.Duration // Interval between reads of the head.
	fetchRequests    chan fetchRequest
	updates          chan receivedUpdate
	arrived          arrivals                                 // Contents of broadcast versions in updates or in work.
	confirmed        func(sent time.Duration, h release.Head) // Called after each confirmation; may be nil.
	joined           chan struct{}                            // Closed when the bootstrapper has joined the mesh.
	verification     *release.Verification
	headChecks       headCheckCounters
	sightings        *versionSightings
	contents         contentCounters

	intake  sync.Mutex                // Held while a content from another member is decoded and installed.
	mu      sync.Mutex                // Serializes installs.
	history []*configuration.Snapshot // Guarded by mu; oldest first, the last one is in force.
}

// run fetches versions and reads the head until ctx is done. Fetches and reads run independently, so that a slow
// platform does not delay versions from members, or the other way round.
func (c *configurationController) run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { c.processFetchRequests(ctx) })
	loops.Go(func() { c.processUpdates(ctx) })
	loops.Go(func() { c.watchUpstream(ctx) })
	loops.Go(func() { c.verifyHead(ctx) })
	if w, ok := c.source.(Watcher); ok {
		loops.Go(func() { c.watchHead(ctx, w) })
	} else {
		loops.Go(func() {
			for sleep(ctx, c.headPollInterval) {
				c.pollHead(ctx)
			}
		})
	}
	loops.Wait()
	return nil
}

func (c *configurationController) watchUpstream(ctx context.Context) {
	for {
		changed := c.board.UpstreamChanged()
		c.rebuildView()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// installAccepted puts a version that an operator has accepted through this node in force, and broadcasts it.
func (c *configurationController) installAccepted(s *configuration.Snapshot) error {
	c.sight(s.Version().Number())
	if err := c.install(s, viaOperator); err != nil {
		return err
	}
	if c.board.ActiveVersion() == s.Version() {
		c.publish(c.otherDomains(math.MaxInt))
	}
	return nil
}

// otherDomains returns up to count failure domains other than that of this node, at random.
func (c *configurationController) otherDomains(count int) []string {
	own := c.members.selfRecord().FailureDomain()
	others := slices.DeleteFunc(c.members.domains(), func(d string) bool { return d == own })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(count, len(others))]
}

// publish broadcasts the version in force as a delta in the failure domain of this node and in other ones.
func (c *configurationController) publish(others []string) {
	c.mu.Lock()
	history := c.history
	c.mu.Unlock()
	if len(history) == 0 {
		return
	}
	next := history[len(history)-1]
	base := configuration.NewSnapshot(0, configuration.EmptyDocument())
	if len(history) > 1 {
		base = history[len(history)-2]
	}
	delta, err := configuration.NewDelta(base, next).Encode()
	if err != nil {
		c.logger.Error("failed to encode delta", "err", err)
		return
	}
	m := &wire.Broadcast{Update: &wire.Broadcast_Configuration{Configuration: &wire.ConfigurationUpdate{
		Version: toWireVersion(next.Version()), BaseNumber: base.Version().Number(), Delta: delta,
	}}}
	c.broadcaster.broadcastIn(m, others)
}

// publishFound broadcasts a version that this node has found at the source. The head readers also send it to some other
// failure domains, whose own members may not reach the source.
func (c *configurationController) publishFound(position int) {
	if position >= headReaders {
		c.publish(nil)
		return
	}
	c.publish(c.otherDomains(foundDomains))
}

// answerDelta returns the delta from a base to the version in force, or the full snapshot if the base is not in the
// history.
func (c *configurationController) answerDelta(base *wire.Version) (*wire.ConfigurationReply, error) {
	c.mu.Lock()
	history := c.history
	c.mu.Unlock()
	if len(history) == 0 {
		return &wire.ConfigurationReply{}, nil
	}
	current := history[len(history)-1]
	for _, s := range history {
		if s.Version().Number() != base.GetNumber() || string(s.Version().Digest().Bytes()) != string(base.GetDigest()) {
			continue
		}
		delta, err := configuration.NewDelta(s, current).Encode()
		return &wire.ConfigurationReply{
			Version: toWireVersion(current.Version()), BaseNumber: base.GetNumber(), Delta: delta,
		}, errors.Wrap(err, "answer delta")
	}
	data, err := current.Encode()
	return &wire.ConfigurationReply{Version: toWireVersion(current.Version()), Snapshot: data}, errors.Wrap(err, "answer delta")
}

// pollHead reads the head from the platform if this node is a head reader of its failure domain.
func (c *configurationController) pollHead(ctx context.Context) {
	if c.members.headPosition() >= headReaders {
		return
	}
	if _, err := c.loadHead(ctx, true); err != nil {
		c.logger.Debug("failed to read head", "err", err)
	}
}

// loadHead reads the head and puts its version in force if it is newer. If broadcast is set, it also broadcasts the
// version in its failure domain.
func (c *configurationController) loadHead(ctx context.Context, broadcast bool) (release.Head, error) {
	head, err := c.source.Head(ctx)
	if err != nil {
		return head, err
	}
	return head, c.loadIfNewer(ctx, head, broadcast)
}

// confirmHead confirms the head with the source and puts its version in force if the previous read was stale.
func (c *configurationController) confirmHead(ctx context.Context, read release.Head) error {
	sent := c.bootTime()
	head, err := c.source.Confirm(ctx, read)
	if err != nil {
		return err
	}
	if c.confirmed != nil {
		c.confirmed(sent, head)
	}
	if err := c.loadIfNewer(ctx, head, false); err != nil {
		return err
	}
	c.prove(account.NewProof(head.Version().Number(), sent))
	return nil
}

func (c *configurationController) loadIfNewer(ctx context.Context, head release.Head, broadcast bool) error {
	number := head.Version().Number()
	c.sight(number)
	if number <= c.board.ActiveVersion().Number() || c.isRejected(head.Version()) {
		return nil
	}
	s, err := c.source.Load(ctx, head)
	if err != nil {
		if release.KindOf(err) == release.KindInvalid {
			return c.reject(head.Version(), err)
		}
		return err
	}
	if err := c.install(s, viaSource); err != nil {
		return err
	}
	if broadcast {
		c.publishFound(c.members.headPosition())
	}
	return nil
}

// install validates a version and puts it in force. An invalid version is rejected as a whole, and the version in force
// is kept. A version that is not newer is ignored.
func (c *configurationController) install(s *configuration.Snapshot, via installPath) error {
	loaded := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Version().Number() <= c.board.ActiveVersion().Number() {
		return nil
	}
	if problems := configuration.Validate(s.Document()); len(problems) > 0 {
		return c.reject(s.Version(), errors.New(joinProblems(problems)))
	}
	view, err := configuration.NewView(s, c.proxyLabels(s))
	if err != nil {
		return c.reject(s.Version(), err)
	}
	now := c.now()
	if !c.board.SetActiveConfiguration(blackboard.NewActiveConfiguration(s, view, now)) {
		return nil
	}
	c.board.SetRejected(nil)
	c.history = append(c.history[max(0, len(c.history)-historyLength+1):len(c.history):len(c.history)], s)
	fetched := c.sightings.inForce(now, loaded, s.Version().Number(), via)
	c.logger.Info("configuration in force", "number", s.Version().Number(), "digest", s.Version().Digest(), "via", string(via),
		"fetched", fetched, "applied", now.Sub(loaded), "accounts", len(view.Accounts()), "keys_required", view.RequiresKeys())
	return nil
}

// rebuildView rebuilds the view of the version in force after the proxy labels have changed with the upstream.
func (c *configurationController) rebuildView() {
	c.mu.Lock()
	defer c.mu.Unlock()
	active := c.board.ActiveConfiguration()
	if active == nil {
		return
	}
	view, err := configuration.NewView(active.Snapshot(), c.proxyLabels(active.Snapshot()))
	if err != nil {
		c.logger.Error("failed to rebuild the view after a label change", "err", err)
		return
	}
	c.board.SetActiveConfiguration(blackboard.NewActiveConfiguration(active.Snapshot(), view, active.ActiveSince()))
}

// reject records a version that was not put in force, and returns the reason as an error.
func (c *configurationController) reject(v configuration.Version, reason error) error {
	c.logger.Error("configuration rejected", "number", v.Number(), "digest", v.Digest(), "reason", reason)
	c.board.SetRejected(blackboard.NewRejection(v, reason.Error(), c.now()))
	return errors.Wrapf(reason, "install version %d", v.Number())
}

func (c *configurationController) isRejected(v configuration.Version) bool {
	r := c.board.Rejected()
	return r != nil && r.Version() == v
}

// isRejectedWire reports whether a version that another member has is the last rejected one. Comparing only the number
// is not enough: a faulty node may have broadcast different content under the number that is accepted next.
func (c *configurationController) isRejectedWire(v *wire.Version) bool {
	r := c.board.Rejected()
	return r != nil && r.Version().Number() == v.GetNumber() && string(r.Version().Digest().Bytes()) == string(v.GetDigest())
}

// rejectedNumber returns the number of the last rejected version, or 0.
func (c *configurationController) rejectedNumber() uint64 {
	r := c.board.Rejected()
	if r == nil {
		return 0
	}
	return r.Version().Number()
}

// proxyLabels returns the labels that selectors match for this proxy.
func (c *configurationController) proxyLabels(s *configuration.Snapshot) configuration.Labels {
	u := c.board.Upstream()
	if u == nil {
		return s.Document().ProxyLabels(c.labels, "", "")
	}
	own := c.labels.Merge(configuration.NewLabels(u.Labels())).Merge(configuration.NewLabels(map[string]string{
		"service": u.Service(), "upstream": u.ID(),
	}))
	return s.Document().ProxyLabels(own, u.Service(), u.ID())
}

// nodeLabels returns the labels of a node, without those of its upstream.
func nodeLabels(own map[string]string, self membership.Member) configuration.Labels {
	return configuration.NewLabels(own).Merge(configuration.NewLabels(map[string]string{
		"node": self.ID(), "failure_domain": self.FailureDomain(), "region": self.Region(),
	}))
}

func joinProblems(problems []configuration.Problem) string {
	texts := make([]string, len(problems))
	for i, p := range problems {
		texts[i] = p.String()
	}
	return strings.Join(texts, "; ")
}

func toWireVersion(v configuration.Version) *wire.Version {
	if v.Number() == 0 {
		return &wire.Version{}
	}
	return &wire.Version{Number: v.Number(), Digest: v.Digest().Bytes()}
}
