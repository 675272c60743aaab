package baobabnode

import (
	"context"
	"math/rand/v2"
	"time"

	release "github.com/baobabdale/baobabdale/baobabrelease"
)

const (
	// headWatchers is the number of members per failure domain that watch the head of a Watcher source. Each change
	// costs the platform one read per watcher: with 24 failure domains, 72 of its 2,000 reads per second.
	headWatchers = 3
	// otherWatchWait is how long the watch requests of the watchers but the first wait for a change. A request whose
	// response is lost is noticed only after that; meanwhile the first watcher tells the others.
	otherWatchWait = 4 * time.Second
	// maxWatchDelay bounds how much shorter the first watcher's requests are to make up for a slow source.
	maxWatchDelay = 600 * time.Millisecond
	// changeDebounce is the pause after a version came into force before the next change is awaited, so that versions
	// in quick succession are applied together. A version of 700 routes takes about 10 ms of CPU time, which is 60 ms
	// on a VM with a share of 0.16 cores; at five versions per second, nodes had no time left for calls.
	changeDebounce = 400 * time.Millisecond
	// isolatedWatchDelay is how long a starting node that has found no member waits before it watches the head. Nodes
	// that start together know only themselves at first, so each of them would consider itself one of the few watchers.
	isolatedWatchDelay = time.Second
	// watchBackoffMin and watchBackoffMax bound the mean pause after a failed watch. The maximum still allows a version
	// to come into force within one or two seconds after the platform recovers.
	watchBackoffMin = 100 * time.Millisecond
	watchBackoffMax = 500 * time.Millisecond
)

// watchHead watches the head of a source that reports changes. In a large failure domain only headWatchers members do
// so; the others learn of new versions from them.
func (c *configurationController) watchHead(ctx context.Context, w Watcher) {
	if !c.awaitJoined(ctx) {
		return
	}
	watching, delay := false, time.Duration(0)
	for pause := watchBackoffMin; ctx.Err() == nil; {
		position := c.members.headPosition()
		if now := position < headWatchers; now != watching {
			watching = now
			c.logger.Info("watch of the head", "watching", watching)
		}
		if !watching {
			sleep(ctx, c.headPollInterval)
			continue
		}
		wait := otherWatchWait
		if position == 0 {
			wait = release.VerifyInterval - delay
		}
		before := c.board.ActiveVersion()
		asked := c.now()
		head, err := w.Watch(ctx, wait)
		if err == nil {
			err = c.loadIfNewer(ctx, head, c.publishesHead())
		}
		if err == nil {
			if p, ok := w.Proof(); ok {
				c.prove(p)
			}
			delay = min(max(c.now().Sub(asked)-wait, 0), maxWatchDelay)
		}
		if position == 0 {
			c.announceHead()
		}
		if err == nil {
			pause = watchBackoffMin
			if c.board.ActiveVersion() != before {
				sleep(ctx, changeDebounce)
			}
			continue
		}
		if ctx.Err() == nil {
			c.logger.Warn("head not followed", "err", err, "after", c.now().Sub(asked), "next", pause)
		}
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, watchBackoffMax)
	}
}

// awaitJoined waits until the node has joined the mesh, or for isolatedWatchDelay. It returns false if ctx ends first.
func (c *configurationController) awaitJoined(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.joined:
	case <-time.After(isolatedWatchDelay):
	}
	return true
}

// publishesHead reports whether this node broadcasts versions that it reads, which the members that watch the head do if the
// failure domain has others. A version that reached this node as a broadcast before is not broadcast again.
func (c *configurationController) publishesHead() bool {
	order := c.members.headOrder(c.members.selfRecord().FailureDomain())
	return len(order) > headWatchers && c.members.position(order) < headWatchers
}
