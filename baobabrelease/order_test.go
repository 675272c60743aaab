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

// headInput is an accept, or a reading of the head.
type headInput struct{ accept bool }

// headOutput is the number that an accept led to or a reading saw; moved is false for a conflict.
type headOutput struct {
	number uint64
	moved  bool
}

// headModel has the number of the head as its state. An accept that succeeds adds one.
var headModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		number, in, out := state.(uint64), input.(headInput), output.(headOutput)
		switch {
		case in.accept && out.moved:
			return out.number == number+1, out.number
		case in.accept:
			return true, number
		default:
			return out.number == number, number
		}
	},
}

// TestHeadOrder guards against heads that move back, skip a number, or are seen in different orders by several
// operators while answers are lost.
func TestHeadOrder(t *testing.T) {
	const operators, rounds = 4, 25
	ctx := context.Background()
	memory := emulator.NewMemoryStore()
	mustSet(t, NewBook(memory), "service", "a", `{}`, 0)
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wait sync.WaitGroup
	for client := range operators {
		wait.Go(func() {
			store := &hookedStore{Store: memory}
			b := NewBook(store, WithPauses(0))
			for round := range rounds {
				in := headInput{accept: round%2 == 0}
				store.loseMove = round%4 == 0
				called := time.Since(start).Nanoseconds()
				out, err := runHeadOperation(ctx, b, in, fmt.Sprintf("op-%d-%d", client, round))
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
		t.Errorf("the history of %d operations has no order: %+v", len(history), history)
	}
}

func runHeadOperation(ctx context.Context, b *Book, in headInput, operation string) (headOutput, error) {
	if !in.accept {
		h, err := b.Head(ctx)
		return headOutput{number: h.Version().Number()}, err
	}
	s, err := b.Accept(ctx, acceptTime, operation, anyDigest)
	if KindOf(err) == KindConflict {
		return headOutput{}, nil
	}
	if err != nil {
		return headOutput{}, err
	}
	return headOutput{number: s.Version().Number(), moved: true}, nil
}
