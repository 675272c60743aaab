package baobabcaller

import (
	"context"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// A CallServer serves calls. Serve returns either an answer or a refusal. The context is cancelled when the caller
// disconnects.
type CallServer interface {
	Serve(ctx context.Context, now time.Time, c *call.Call) (*call.Answer, *call.Refusal)
}
