package baobabnode

import (
	"context"
	"math/rand/v2"
	"time"

	account "github.com/baobabdale/baobabdale/baobabaccount"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
	release "github.com/baobabdale/baobabdale/baobabrelease"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

const (
	// verifyTimeout bounds the wait for a response of the source by which a node verifies the head.
	verifyTimeout = 500 * time.Millisecond
	// contentTimeout bounds a request to the source whose response holds the content of a version.
	contentTimeout = 5 * time.Second
	// verifyRecheck bounds a pause of the verifying loop, in which the members may change.
	verifyRecheck = 500 * time.Millisecond
)

// verifyHead asks the source for the head whenever neither its own watch nor another member has shown for too long that
// the version in force is the newest one. So a node keeps up although all members on whose news it relies are silent.
func (c *configurationController) verifyHead(ctx context.Context) {
	if !c.awaitJoined(ctx) {
		return
	}
	c.verification.Verify(c.bootTime()) // Nodes that start together leave the first request to the first member.
	for jitter := rand.Float64(); ctx.Err() == nil; {
		order := c.members.headOrder(c.members.selfRecord().FailureDomain())
		now := c.bootTime()
		due := c.verification.Due(now, c.members.position(order), len(order), jitter)
		if now < due {
			sleep(ctx, min(due-now, verifyRecheck))
			continue
		}
		c.askSource(ctx, now)
		jitter = rand.Float64()
	}
}

// askSource verifies the head with the source, puts a newer version in force and tells the failure domain.
func (c *configurationController) askSource(ctx context.Context, now time.Duration) {
	age := c.verification.Age(now)
	before := c.board.ActiveVersion()
	attempt, cancel := sourceContext(ctx, verifyTimeout)
	err := c.confirmHead(attempt, release.Head{})
	cancel()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		c.headChecks.failed.Inc()
		c.verification.Fail(c.bootTime())
		c.logger.Debug("head not verified", "err", err, "age", age)
		return
	}
	c.headChecks.done.Inc()
	if c.board.ActiveVersion() != before {
		c.logger.Info("version found by asking the source", "number", c.board.ActiveVersion().Number(), "age", age)
		c.publishFound(c.members.headPosition())
	}
	c.announceHead()
}

// sourceContext returns the context of requests to the source that give up without a response after a time, but let a large
// response that has begun arrive.
func sourceContext(ctx context.Context, response time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(platform.WithResponseTimeout(ctx, response), max(response, contentTimeout))
}

// prove records a proof if it holds for the version in force, or for one that this node has rejected.
func (c *configurationController) prove(p account.Proof) {
	if p.Number() <= c.board.ActiveVersion().Number() || p.Number() == c.rejectedNumber() {
		c.verification.Verify(p.At())
	}
}

// announceHead tells the failure domain until when the version in force is known to be the newest one.
func (c *configurationController) announceHead() {
	version := c.board.ActiveVersion()
	if version.Number() == 0 {
		return
	}
	now := c.bootTime()
	age := c.verification.Age(now)
	m := &wire.HeadUpdate{Version: toWireVersion(version), AgeMs: age.Milliseconds()}
	if clock := c.sourceClock(); clock != nil {
		if t, ok := clock.FromBootTime(now, now-age); ok {
			m.SourceTimeUs, m.SourceEra = t.Shown().Microseconds(), t.Era()
		}
	}
	c.broadcaster.broadcastInDomain(&wire.Broadcast{Update: &wire.Broadcast_Head{Head: m}})
}

// sourceClock returns the clock of the source, or nil if the source has none.
func (c *configurationController) sourceClock() *release.SourceClock {
	if w, ok := c.source.(Watcher); ok {
		return w.Clock()
	}
	return nil
}

// receiveHead records what a member says about the head. A version that is not in force here yet proves nothing.
func (c *configurationController) receiveHead(now time.Duration, m *wire.HeadUpdate, address string) {
	c.verification.Hear(now)
	c.observeVersion(m.GetVersion(), address, false)
	if at, ok := c.headProvenAt(now, m); ok {
		c.prove(account.NewProof(m.GetVersion().GetNumber(), at))
	}
}

// headProvenAt returns the boot time at which the version in the news of a member was the newest one, and whether that is
// known. The age alone does not tell how long the news was on its way, so that it counts only where no clock is shared.
func (c *configurationController) headProvenAt(now time.Duration, m *wire.HeadUpdate) (time.Duration, bool) {
	if shown := m.GetSourceTimeUs(); shown != 0 {
		clock := c.sourceClock()
		if clock == nil {
			return 0, false
		}
		at, ok := clock.ToBootTime(now, release.NewSourceTime(m.GetSourceEra(), time.Duration(shown)*time.Microsecond))
		return min(at, now), ok
	}
	return now - time.Duration(max(m.GetAgeMs(), 0))*time.Millisecond, true
}
