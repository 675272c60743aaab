package baobabnode

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// headWatchers is the number of members per failure domain that watch the head of a Watcher source. Each change
	// costs the platform one read per watcher: with 24 failure domains, 72 of its 2,000 reads per second. If the head
	// readers among them, which broadcast new versions, fail unnoticed, the probes of the other watcher spread a
	// version within 1 to 2 s.
	headWatchers = 3
	// watchWait is how long a watch request waits for a change. A request whose response is lost is noticed only after
	// that, so it bounds how long a node can miss versions while the source answers other requests.
	watchWait = 900 * time.Millisecond
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
	select {
	case <-ctx.Done():
		return
	case <-c.joined:
	case <-time.After(isolatedWatchDelay):
	}
	watching := false
	for pause := watchBackoffMin; ctx.Err() == nil; {
		if now := c.members.hasRole(headRole, headWatchers); now != watching {
			watching = now
			c.logger.Info("watch of the head", "watching", watching)
		}
		if !watching {
			sleep(ctx, c.headPollInterval)
			continue
		}
		before := c.board.ActiveVersion()
		asked := c.now()
		head, err := w.Watch(ctx, watchWait)
		if err == nil {
			err = c.loadIfNewer(ctx, head, c.publishesHead())
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

// publishesHead reports whether this node broadcasts versions that it reads, which the head readers do if the failure
// domain has members that do not watch the head.
func (c *configurationController) publishesHead() bool {
	own := c.members.selfRecord().FailureDomain()
	return len(c.members.rendezvousOrder(headRole, own)) > headWatchers && c.members.hasRole(headRole, headReaders)
}
