package baobabrelease

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	emulator "github.com/baobabdale/baobabdale/baobabemulator"
)

// headInput is an accept or a read of the head.
type headInput struct{ accept bool }

// headOutput holds the version number that an accept created or a read returned. After a conflict accepted is false.
type headOutput struct {
	number   uint64
	accepted bool
}

// headModel has the version number of the head as its state. A successful accept adds one.
var headModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		number, in, out := state.(uint64), input.(headInput), output.(headOutput)
		switch {
		case in.accept && out.accepted:
			return out.number == number+1, out.number
		case in.accept:
			return true, number
		default:
			return out.number == number, number
		}
	},
}

// TestHeadLinearizability guards against heads that move back, skip a number, or appear in different orders to several
// operators while responses are lost.
func TestHeadLinearizability(t *testing.T) {
	const operators, rounds = 4, 25
	ctx := context.Background()
	memory := emulator.NewPlatformMemoryStore()
	mustSetEdit(t, NewRepository(memory), "service", "a", `{}`, 0)
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wait sync.WaitGroup
	for client := range operators {
		wait.Go(func() {
			store := &hookedStore{Store: memory}
			r := NewRepository(store, WithRetryDelays(0))
			for round := range rounds {
				in := headInput{accept: round%2 == 0}
				store.loseHeadResponse = round%4 == 0
				called := time.Since(start).Nanoseconds()
				out, err := runHeadOperation(ctx, r, in, fmt.Sprintf("op-%d-%d", client, round))
				returned := time.Since(start).Nanoseconds()
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: in, Call: called, Output: out, Return: returned,
				})
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	if !porcupine.CheckOperations(headModel, history) {
		t.Errorf("the history of %d operations is not linearizable: %+v", len(history), history)
	}
}

func runHeadOperation(ctx context.Context, r *Repository, in headInput, operationID string) (headOutput, error) {
	if !in.accept {
		h, err := r.Head(ctx)
		return headOutput{number: h.Version().Number()}, err
	}
	s, err := r.Accept(ctx, acceptTime, operationID, anyDigest)
	if KindOf(err) == KindConflict {
		return headOutput{}, nil
	}
	if err != nil {
		return headOutput{}, err
	}
	return headOutput{number: s.Version().Number(), accepted: true}, nil
}
