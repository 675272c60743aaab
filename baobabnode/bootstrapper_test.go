package baobabnode

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// TestJoinAny guards against a starting node that waits for seeds without power although others answer, and against one
// that counts as joined although none has answered. Requests to silent seeds end only with the test.
func TestJoinAny(t *testing.T) {
	for _, c := range []struct {
		name  string
		seeds []string
		want  bool
	}{
		{"one answers beside silent ones", []string{"silent", "silent", "up"}, true},
		{"one in a later batch", []string{"silent", "silent", "silent", "silent", "up"}, true},
		{"one after a refused batch", []string{"down", "down", "down", "up"}, true},
		{"all refuse", []string{"down", "down", "down", "down"}, false},
		{"no seeds", nil, false},
	} {
		b := newBootstrapper()
		b.joinTimeout, b.logger = time.Hour, log.New(io.Discard)
		b.configuration = &configurationController{board: blackboard.NewBoard()}
		b.sendJoin = func(ctx context.Context, address string) (*wire.JoinReply, error) {
			switch address {
			case "silent":
				<-ctx.Done()
				return nil, ctx.Err()
			case "down":
				return nil, errors.New("connection refused")
			default:
				return &wire.JoinReply{HighestSeen: 7}, nil
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		if got := b.joinAny(ctx, c.seeds); got != c.want {
			t.Errorf("%s: joined %v, want %v", c.name, got, c.want)
		}
		if highest := b.configuration.board.HighestNumber(); (highest == 7) != c.want {
			t.Errorf("%s: highest number %d", c.name, highest)
		}
		cancel()
		b.joins.Wait()
	}
}
