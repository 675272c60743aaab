package baobabcommand

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

// rolloutGroup has the subcommands for roll-outs.
type rolloutGroup struct {
	Abort  *rolloutAbortCommand  `arg:"subcommand:abort" help:"keep the requests of a service at the version in use"`
	Start  *rolloutStartCommand  `arg:"subcommand:start" help:"move the requests of a service to another version"`
	Status *rolloutStatusCommand `arg:"subcommand:status" help:"show the state of each roll-out and the reason of its last stage"`
}

type rolloutStartCommand struct {
	Service  string        `arg:"positional,required" help:"name of the service"`
	Target   string        `arg:"positional,required" help:"version that the upstreams state with the label version"`
	Duration time.Duration `arg:"--duration" default:"15m" placeholder:"DURATION" help:"time until the roll-out ends"`
}

func (c *rolloutStartCommand) run(ctx context.Context, a *app) error {
	if c.Duration <= 0 {
		return usagef("--duration is %s, want more than 0", c.Duration)
	}
	client, ctx, done, err := a.newClientWithContext(ctx)
	if err != nil {
		return err
	}
	defer done()
	if err := client.StartRollout(ctx, c.Service, c.Target, c.Duration); err != nil {
		return err
	}
	return a.print(struct{}{}, fmt.Sprintf("ordered: %s moves to version %s within %s\n", c.Service, c.Target, c.Duration))
}

type rolloutAbortCommand struct {
	Service string `arg:"positional,required" help:"name of the service"`
}

func (c *rolloutAbortCommand) run(ctx context.Context, a *app) error {
	client, ctx, done, err := a.newClientWithContext(ctx)
	if err != nil {
		return err
	}
	defer done()
	if err := client.AbortRollout(ctx, c.Service); err != nil {
		return err
	}
	return a.print(struct{}{}, fmt.Sprintf("ordered: %s stays at the version in use\n", c.Service))
}

type rolloutStatusCommand struct{}

func (*rolloutStatusCommand) run(ctx context.Context, a *app) error {
	client, ctx, done, err := a.newClientWithContext(ctx)
	if err != nil {
		return err
	}
	defer done()
	list, err := client.Rollouts(ctx)
	if err != nil {
		return err
	}
	return a.print(list, formatRollouts(list))
}

func formatRollouts(list []baobaboperator.Rollout) string {
	var b strings.Builder
	for _, r := range list {
		fmt.Fprintf(&b, "%s: %s from version %s to %s, share %.2f, decided by %s: %s\n", r.Service, r.State, r.Baseline, r.Target,
			r.Share, r.Decider, r.Reason)
	}
	return b.String()
}
