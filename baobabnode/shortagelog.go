package baobabnode

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	admission "github.com/baobabdale/baobabdale/baobabadmission"
)

// shortageInterval is the time between two lines about a rank whose calls are refused.
const shortageInterval = 5 * time.Second

// A shortageLog logs, while the upstream on this VM refuses calls, what each rank got of it.
type shortageLog struct {
	gate   *admission.Gate
	now    func() time.Time
	logger *log.Logger
}

// run logs until ctx ends.
func (l *shortageLog) run(ctx context.Context) error {
	earlier, at := l.gate.Usage(), l.now()
	for sleep(ctx, shortageInterval) {
		usage, now := l.gate.Usage(), l.now()
		l.log(rankShares(earlier, usage, now.Sub(at), l.gate.Load(now).Limit()))
		earlier, at = usage, now
	}
	return nil
}

func (l *shortageLog) log(shares []rankShare) {
	refused := uint64(0)
	for _, s := range shares {
		refused += s.usage.Refused()
	}
	if refused == 0 {
		return
	}
	for _, s := range shares {
		l.logger.Info("calls of a rank at the upstream", "rank", s.usage.Rank(), "granted", s.usage.Granted(), "refused", s.usage.Refused(),
			"slot_share", s.slotShare, "mean_wait", s.meanWait)
	}
}

// A rankShare is what one rank got of an upstream in an interval.
type rankShare struct {
	usage     admission.RankUsage
	slotShare float64 // Share of the time of all slots that calls held which ended in the interval.
	meanWait  time.Duration
}

// rankShares returns the shares of the ranks that asked for a slot in an interval, by the totals before and after it.
func rankShares(before, after []admission.RankUsage, interval time.Duration, slots int) []rankShare {
	earlier := map[string]admission.RankUsage{}
	for _, u := range before {
		earlier[u.Rank()] = u
	}
	var shares []rankShare
	for _, total := range after {
		u := total.Since(earlier[total.Rank()])
		if u.Granted()+u.Refused() == 0 {
			continue
		}
		s := rankShare{usage: u}
		if u.Granted() > 0 {
			s.meanWait = u.Waited() / time.Duration(u.Granted())
		}
		if interval > 0 {
			s.slotShare = u.Held().Seconds() / (float64(max(slots, 1)) * interval.Seconds())
		}
		shares = append(shares, s)
	}
	return shares
}
