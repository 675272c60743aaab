package baobabcommand

import (
	"context"
	"os"

	"github.com/baobabdale/baobabdale/baobabnode"
	"github.com/baobabdale/baobabdale/baobabsettings"
)

// RunNode runs a node until ctx ends, then stops it gracefully.
func RunNode(ctx context.Context, s *baobabsettings.Settings) error {
	LimitResources(s.Limits())
	n, err := baobabnode.New(s, NewLogger(os.Stderr, s.Log()))
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
