package baobabcommand

import (
	"context"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabsettings"
)

// RunNode runs a node until ctx ends, then stops it gracefully.
func RunNode(_ context.Context, s *baobabsettings.Settings) error {
	return errors.Errorf("run node %s: this build has no node", s.Node().ID())
}
