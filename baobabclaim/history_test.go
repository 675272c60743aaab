package baobabclaim

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// registerInput is one operation on a key.
type registerInput struct {
	operation string // claim, finish or release.
	key       int
	attempt   string // Of finish and release.
}

// registerOutput is its answer: of a claim granted, in_progress or finished; ok, or error. An error of a claim
// leaves the register as it was.
type registerOutput struct {
	answer  string
	attempt string // When granted.
}

// registerState is free ("") or held by an attempt; a finished register stays finished.
type registerState struct {
	attempt  string
	finished bool
}

// registerModel is the sequential claim register.
func registerModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[int][]porcupine.Operation{}
			for _, o := range history {
				k := o.Input.(registerInput).key
				byKey[k] = append(byKey[k], o)
			}
			var parts [][]porcupine.Operation
			for _, p := range byKey {
				parts = append(parts, p)
			}
			return parts
		},
		Init: func() any { return registerState{} },
		Step: func(state, input, output any) (bool, any) {
			return registerStep(state.(registerState), input.(registerInput), output.(registerOutput))
		},
	}
}

func registerStep(s registerState, in registerInput, out registerOutput) (bool, any) {
	holds := s.attempt != "" && s.attempt == in.attempt && !s.finished
	switch out.answer {
	case "granted":
		return s.attempt == "", registerState{attempt: out.attempt}
	case "in_progress":
		return s.attempt != "" && !s.finished, s
	case "finished":
		return s.finished, s
	case "ok":
		if in.operation == "release" {
			return holds, registerState{}
		}
		return holds, registerState{attempt: s.attempt, finished: true}
	default:
		return true, s
	}
}

// TestClaimHistory records a concurrent history over two ledgers with batches and surely failing writes, and guards
// against answers that no single claim register could have given.
func TestClaimHistory(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	store := newFakeStore()
	random := rand.New(rand.NewPCG(seed, 0))
	store.fault = func() fault { // Called under the store's lock.
		if random.IntN(8) == 0 {
			return faultNotApplied
		}
		return faultNone
	}
	// Without sweeps, which release rows outside the recorded history.
	options := []Option{WithBatch(time.Millisecond, 8), WithTimeLimit(time.Minute), WithSweepInterval(0)}
	ledgers := []*Ledger{NewLedger(store, options...), NewLedger(store, options...)}
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	var wg sync.WaitGroup
	for client := range 8 {
		random := rand.New(rand.NewPCG(seed, uint64(client)+1))
		record := func(in registerInput, call func() registerOutput) registerOutput {
			called := time.Since(start)
			out := call()
			o := porcupine.Operation{
				ClientId: client, Input: in, Call: int64(called), Output: out, Return: int64(time.Since(start)),
			}
			mu.Lock()
			defer mu.Unlock()
			history = append(history, o)
			return out
		}
		wg.Go(func() {
			for range 20 {
				useRegister(t, ledgers[random.IntN(2)], random, record)
			}
		})
	}
	wg.Wait()
	for _, l := range ledgers {
		closeLedger(t, l)
	}
	if result := porcupine.CheckOperationsTimeout(registerModel(), history, time.Minute); result != porcupine.Ok {
		t.Errorf("History of %d operations is %s, want linearizable", len(history), result)
	}
}

// useRegister claims a random key and, when granted, finishes or releases it.
func useRegister(
	t *testing.T, l *Ledger, random *rand.Rand, record func(registerInput, func() registerOutput) registerOutput,
) {
	key := random.IntN(20)
	var granted Granted
	out := record(registerInput{operation: "claim", key: key}, func() registerOutput {
		result, err := l.Claim(t.Context(), testEpoch, machineKey(key), machineDigest(0))
		if err != nil {
			return registerOutput{answer: "error"}
		}
		switch r := result.(type) {
		case Granted:
			granted = r
			return registerOutput{answer: "granted", attempt: r.Attempt().String()}
		case Finished:
			return registerOutput{answer: "finished"}
		default:
			return registerOutput{answer: "in_progress"}
		}
	})
	if out.answer != "granted" {
		return
	}
	in := registerInput{operation: "release", key: key, attempt: out.attempt}
	if random.IntN(6) == 0 {
		in.operation = "finish"
	}
	// Repeated until it is confirmed, so that keys do not stay held.
	for out.answer != "ok" {
		out = record(in, func() registerOutput {
			var err error
			if in.operation == "finish" {
				err = l.Finish(t.Context(), testEpoch, granted, NewRecord(200, nil, []byte(fmt.Sprint(key))))
			} else {
				err = l.Release(t.Context(), testEpoch, granted)
			}
			if err != nil {
				return registerOutput{answer: "error"}
			}
			return registerOutput{answer: "ok"}
		})
	}
}
