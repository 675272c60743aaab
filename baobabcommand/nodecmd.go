package baobabcommand

import (
	"context"

	"github.com/baobabdale/baobabdale/baobabsettings"
)

type nodeCommand struct {
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings file of the node"`
}

func (c *nodeCommand) run(ctx context.Context, a *app) error {
	if c.Settings == "" {
		return usagef("--settings FILE is required; see baobabdale node --help")
	}
	s, err := baobabsettings.Load(c.Settings)
	if err != nil {
		return err
	}
	return a.runNode(ctx, s)
}
