package baobabcaller

import (
	"context"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// A Server serves calls. It returns either an answer or a refusal. The context ends when the caller is gone.
type Server interface {
	Serve(ctx context.Context, now time.Time, c *call.Call) (*call.Answer, *call.Refusal)
}
