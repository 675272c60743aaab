package baobabnode

import (
	"context"
	"strings"
	"time"

	operator "github.com/baobabdale/baobabdale/baobaboperator"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
	rollout "github.com/baobabdale/baobabdale/baobabrollout"
)

// A rolloutService implements operator.RolloutService on a node.
type rolloutService struct {
	rollouts *rolloutController
}

// Rollouts implements operator.RolloutService.
func (s rolloutService) Rollouts(ctx context.Context) ([]operator.Rollout, error) {
	rows, err := s.rollouts.store.store.Scan(ctx, RolloutKeyPrefix)
	if err != nil {
		return nil, toRolloutError("list rollouts", err)
	}
	var list []operator.Rollout
	for _, row := range rows {
		r, err := rollout.DecodeRecord(row.Value(), s.rollouts.now())
		if err != nil {
			return nil, operator.NewError("list rollouts", operator.ErrorInternal, strings.TrimPrefix(row.Key(), RolloutKeyPrefix)+": "+err.Error())
		}
		list = append(list, operator.Rollout{
			Service: r.Service(), Target: r.Target(), Baseline: r.Baseline(), State: string(r.State()), Share: r.Share(),
			Reason: r.Reason(), Decider: r.Decider(),
		})
	}
	return list, nil
}

// StartRollout implements operator.RolloutService.
func (s rolloutService) StartRollout(ctx context.Context, service, target string, duration time.Duration) error {
	return toRolloutError("start rollout", s.rollouts.writeOrder(ctx, service, target, duration))
}

// AbortRollout implements operator.RolloutService. It orders the version in use, which ends an earlier order.
func (s rolloutService) AbortRollout(ctx context.Context, service string) error {
	r, _, err := s.rollouts.store.read(ctx, service)
	if err != nil {
		return toRolloutError("abort rollout", err)
	}
	if r.Order() == 0 || !r.Running() {
		return operator.NewError("abort rollout", operator.ErrorNotFound, "no roll-out of "+service+" is running")
	}
	return toRolloutError("abort rollout", s.rollouts.writeOrder(ctx, service, r.Baseline(), time.Second))
}

// toRolloutError converts an error of the store. It returns nil for nil.
func toRolloutError(operation string, err error) error {
	if err == nil {
		return nil
	}
	kind := operator.ErrorUnavailable
	if platform.KindOf(err) == platform.KindUnknownOutcome {
		kind = operator.ErrorUnknownOutcome
	}
	return operator.NewError(operation, kind, err.Error())
}
