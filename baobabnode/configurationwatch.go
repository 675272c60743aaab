package baobabnode

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// watchers is the number of members per failure domain that follow the head of a source that tells of changes. Each
	// change costs the platform one read per watcher: with 24 failure domains 144 of its 2,000 a second. If the readers
	// among them, which spread what they hear of, are gone unnoticed, the probes of the others spread it within 1 to 2 s.
	watchers = 6
	// changePause is the time after a version came into force before the next change is waited for, so that versions in quick
	// succession are taken together. A version of 700 routes takes about 10 ms of processor time, which on a VM with a share
	// of 0.16 core is 60 ms; at five versions a second nodes had no time for calls.
	changePause = 400 * time.Millisecond
	// aloneTime is how long a starting node that has found no member waits before it follows the head. Each of many nodes
	// that start together knows only itself at first and would take itself for one of the few that follow.
	aloneTime = time.Second
	// watchPause and watchPauseMost bound the mean pause after a failure to follow the head. The longest still leaves
	// time for a version to come into force within a second or two of the platform's return.
	watchPause     = 100 * time.Millisecond
	watchPauseMost = 800 * time.Millisecond
)

// watch follows the head of a source that tells of changes. In a large failure domain only a few members do, and spread
// what they hear of; the others hear of it from them.
func (c *configurationController) watch(ctx context.Context, w Watcher) {
	select {
	case <-ctx.Done():
		return
	case <-c.joined:
	case <-time.After(aloneTime):
	}
	for pause := watchPause; ctx.Err() == nil; {
		if !c.members.leads(headPurpose, watchers) {
			sleep(ctx, c.interval)
			continue
		}
		before := c.board.Version()
		head, err := w.Watch(ctx)
		if err == nil {
			err = c.load(ctx, head, c.spreads())
		}
		if err == nil {
			pause = watchPause
			if c.board.Version() != before {
				sleep(ctx, changePause)
			}
			continue
		}
		if ctx.Err() == nil {
			c.logger.Warn("head not followed", "err", err, "next", pause)
		}
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, watchPauseMost)
	}
}

// spreads reports whether some members of the failure domain do not watch and hear of versions from this one.
func (c *configurationController) spreads() bool {
	own := c.members.selfRecord().FailureDomain()
	return len(c.members.ranked(headPurpose, own)) > watchers && c.members.leads(headPurpose, headReaders)
}
