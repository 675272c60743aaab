package baobabnode

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

type quarantineController struct {
	board       *blackboard.Board
	broadcaster *broadcaster
	now         func() time.Time
	logger      *log.Logger
}

func newQuarantineController(board *blackboard.Board, b *broadcaster, now func() time.Time, logger *log.Logger) *quarantineController {
	return &quarantineController{board: board, broadcaster: b, now: now, logger: logger}
}

func (c *quarantineController) run(ctx context.Context) error { <-ctx.Done(); return nil }

func (c *quarantineController) refused(time.Time, *admissionRequest) (time.Duration, bool) {
	return 0, false
}

func (c *quarantineController) suspect(time.Time, *admissionRequest, *blackboard.Upstream, bool) {}

func (c *quarantineController) receive(*wire.QuarantineUpdate) {}
