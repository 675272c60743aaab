package baobabnode

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// updateWait is how long a version that another member has told of is left to arrive as a broadcast before it is fetched.
	updateWait = 200 * time.Millisecond
	// updateQueueSize bounds the queue of broadcast versions to apply. A version beyond it is fetched.
	updateQueueSize = 16
	// fetchTimeout bounds a fetch of a version from all sources together.
	fetchTimeout = 2 * time.Second
	// fetchHedgeDelay is the delay after which the next source is queried in parallel.
	fetchHedgeDelay = 150 * time.Millisecond
	// fetchQueueSize bounds the queue of versions to fetch. A dropped version is observed again in a later exchange.
	fetchQueueSize = 64
)

// A fetchRequest asks for a newer version that this node has learned of, from the member that has it.
type fetchRequest struct {
	number      uint64
	address     string // Of the member that has the version; empty if unknown.
	crossDomain bool   // Learned from another failure domain, so this node broadcasts it in its own.
}

// A receivedUpdate is a version that was broadcast.
type receivedUpdate struct {
	message *wire.ConfigurationUpdate
	address string // Of the member that broadcast it; empty if unknown.
}

// observeVersion records a version that another member has, and queues a fetch if it is newer than the one in force.
func (c *configurationController) observeVersion(v *wire.Version, address string, crossDomain bool) {
	c.sight(v.GetNumber())
	if v.GetNumber() <= c.board.ActiveVersion().Number() || c.isRejectedWire(v) || c.arrived.cover(v.GetNumber()) {
		return
	}
	select {
	case c.fetchRequests <- fetchRequest{number: v.GetNumber(), address: address, crossDomain: crossDomain}:
	default:
	}
}

// sight records that a version exists.
func (c *configurationController) sight(number uint64) {
	c.board.RaiseHighestNumber(number)
	if number > c.board.ActiveVersion().Number() {
		c.sightings.record(c.now(), number)
	}
}

// receiveUpdate queues a version that was broadcast. It does not wait until the version is applied: the sender takes a
// node that does not acknowledge within broadcastTimeout as unreachable, and sends the update elsewhere.
func (c *configurationController) receiveUpdate(m *wire.ConfigurationUpdate, address string) {
	number := m.GetVersion().GetNumber()
	c.sight(number)
	if number <= c.board.ActiveVersion().Number() {
		return
	}
	c.arrived.add(number)
	select {
	case c.updates <- receivedUpdate{message: m, address: address}:
	default:
		c.arrived.remove(number)
		c.observeVersion(m.GetVersion(), address, false)
	}
}

func (c *configurationController) processUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-c.updates:
			c.applyUpdate(u)
		}
	}
}

// applyUpdate applies a version that was broadcast, or queues a fetch if its delta does not apply.
func (c *configurationController) applyUpdate(u receivedUpdate) {
	v := u.message.GetVersion()
	err := c.takeIn(v.GetNumber(), func() error { return c.applyDelta(u.message.GetDelta(), viaBroadcast) })
	c.arrived.remove(v.GetNumber())
	if err != nil {
		c.logger.Debug("delta not applicable", "number", v.GetNumber(), "err", err)
		c.observeVersion(v, u.address, false)
	}
}

// takeIn decodes and installs the content of a version, unless a version with its number or a higher one is in force by
// then. Contents are taken in one after the other, so that one that arrives on several paths is processed once.
func (c *configurationController) takeIn(number uint64, process func() error) error {
	c.intake.Lock()
	defer c.intake.Unlock()
	if number <= c.board.ActiveVersion().Number() {
		c.contents.superseded.Inc()
		return nil
	}
	c.contents.processed.Inc()
	return process()
}

func (c *configurationController) processFetchRequests(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-c.fetchRequests:
			c.fetch(ctx, r)
		}
	}
}

// fetch gets a version from the first source that returns it. It queries the next source when one fails or has not
// answered within fetchHedgeDelay, because the member that announced the version may no longer exist.
func (c *configurationController) fetch(ctx context.Context, r fetchRequest) {
	if c.arrives(ctx, r.number) {
		return
	}
	var requests sync.WaitGroup
	defer requests.Wait()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sources := c.sources(r)
	results := make(chan error, len(sources))
	pending := 0
	startNext := func() {
		if len(sources) == 0 {
			return
		}
		source := sources[0]
		sources = sources[1:]
		pending++
		requests.Go(func() { results <- source(ctx) })
	}
	hedge := time.NewTicker(fetchHedgeDelay)
	defer hedge.Stop()
	for startNext(); pending > 0; {
		select {
		case <-hedge.C:
			startNext()
		case err := <-results:
			pending--
			if err == nil {
				if r.crossDomain {
					c.publish(nil)
				}
				return
			}
			c.logger.Debug("failed to fetch version", "number", r.number, "err", err)
			startNext()
		}
	}
}

// arrives waits up to updateWait for the content of a version, which is broadcast as a rule. It reports whether the version
// or a higher one is in force, or its content is there.
func (c *configurationController) arrives(ctx context.Context, number uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, updateWait)
	defer cancel()
	isHere := func() bool { return number <= c.board.ActiveVersion().Number() || c.arrived.cover(number) }
	for {
		changed := c.board.ActiveConfigurationChanged()
		if isHere() {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return isHere()
		}
	}
}

// sources returns the functions that fetch a version, in order of preference: from the member that has it, a random
// member of this failure domain, one of another failure domain, and the platform.
func (c *configurationController) sources(r fetchRequest) []func(context.Context) error {
	var list []func(context.Context) error
	add := func(address string) {
		if address != "" {
			list = append(list, func(ctx context.Context) error { return c.fetchFrom(ctx, address, r.number) })
		}
	}
	add(r.address)
	random := rand.New(rand.NewPCG(rand.Uint64(), 0))
	own := c.members.selfRecord().FailureDomain()
	if m, ok := c.members.randomMember(random, own); ok {
		add(m.PeerAddress())
	}
	others := slices.DeleteFunc(c.members.domains(), func(d string) bool { return d == own })
	if len(others) > 0 {
		if m, ok := c.members.randomMember(random, others[random.IntN(len(others))]); ok {
			add(m.PeerAddress())
		}
	}
	return append(list, func(ctx context.Context) error {
		head, err := c.loadHead(ctx, false)
		if err == nil && head.Version().Number() < r.number {
			err = errors.Errorf("the head is at %d", head.Version().Number())
		}
		return err
	})
}

// fetchFrom requests a version with at least the given number from a member, as a delta or a snapshot, and installs it.
func (c *configurationController) fetchFrom(ctx context.Context, address string, number uint64) error {
	reply, err := c.transport.Request(ctx, address, &wire.Envelope{Body: &wire.Envelope_FetchDelta{FetchDelta: &wire.FetchDelta{
		Base: toWireVersion(c.board.ActiveVersion()), AtLeast: number,
	}}})
	if err != nil {
		return errors.Wrap(err, "fetch version")
	}
	m := reply.GetConfigurationReply()
	if m.GetVersion().GetNumber() < number {
		return errors.Errorf("fetch version: member has only %d", m.GetVersion().GetNumber())
	}
	return c.takeIn(m.GetVersion().GetNumber(), func() error { return c.processReply(m) })
}

// processReply decodes and installs the version in a reply, from its delta if that applies.
func (c *configurationController) processReply(m *wire.ConfigurationReply) error {
	if len(m.GetDelta()) > 0 {
		if err := c.applyDelta(m.GetDelta(), viaMember); err == nil {
			return nil
		}
	}
	if len(m.GetSnapshot()) == 0 {
		return errors.New("fetch version: no usable delta and no snapshot")
	}
	digest, err := configuration.NewDigest(m.GetVersion().GetDigest())
	if err != nil {
		return errors.Wrap(err, "fetch version")
	}
	s, err := configuration.DecodeSnapshot(m.GetSnapshot(), digest)
	if err != nil {
		return errors.Wrap(err, "fetch version")
	}
	return c.install(s, viaMember)
}

// applyDelta applies a delta to the version in force and installs the result. It returns an error if the delta has
// another base.
func (c *configurationController) applyDelta(data []byte, via installPath) error {
	delta, err := configuration.DecodeDelta(data)
	if err != nil {
		return err
	}
	base := configuration.NewSnapshot(0, configuration.EmptyDocument())
	if active := c.board.ActiveConfiguration(); active != nil {
		base = active.Snapshot()
	}
	s, err := delta.Apply(base)
	if err != nil {
		return err
	}
	return c.install(s, via)
}
