package baobabclaim

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// A registerInput is the input of one operation on a key.
type registerInput struct {
	operation string // claim, finish or release.
	key       int
	token     string // Of finish and release.
}

// A registerOutput is the output of one operation. The result of a claim is granted, in_progress, finished or error;
// that of finish and release is ok or error. A claim with an error leaves the register unchanged.
type registerOutput struct {
	result string
	token  string // When granted.
}

// A registerState is the state of a claim register: free when the token is empty, else held by the claim with the
// token. A finished register stays finished.
type registerState struct {
	token    string
	finished bool
}

// registerModel returns the sequential specification of a claim register.
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
	holds := s.token != "" && s.token == in.token && !s.finished
	switch out.result {
	case "granted":
		return s.token == "", registerState{token: out.token}
	case "in_progress":
		return s.token != "" && !s.finished, s
	case "finished":
		return s.finished, s
	case "ok":
		if in.operation == "release" {
			return holds, registerState{}
		}
		return holds, registerState{token: s.token, finished: true}
	default:
		return true, s
	}
}

// TestClaimHistory guards against results that are not linearizable. It checks the history of concurrent operations on
// two ledgers that batch writes, some of which fail with a known outcome, against a single claim register.
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
	// Sweeps are disabled because they release rows outside the recorded history.
	options := []Option{WithBatch(time.Millisecond, 8), WithOperationTimeout(time.Minute), WithSweepInterval(0)}
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
		result, err := l.Claim(t.Context(), testEpoch, testKey(key), testDigest(0))
		if err != nil {
			return registerOutput{result: "error"}
		}
		switch r := result.(type) {
		case Granted:
			granted = r
			return registerOutput{result: "granted", token: r.Token().String()}
		case Finished:
			return registerOutput{result: "finished"}
		default:
			return registerOutput{result: "in_progress"}
		}
	})
	if out.result != "granted" {
		return
	}
	in := registerInput{operation: "release", key: key, token: out.token}
	if random.IntN(6) == 0 {
		in.operation = "finish"
	}
	// The operation is repeated until it succeeds, so that keys do not stay held.
	for out.result != "ok" {
		out = record(in, func() registerOutput {
			var err error
			if in.operation == "finish" {
				err = l.Finish(t.Context(), testEpoch, granted, NewRecord(200, nil, []byte(fmt.Sprint(key))))
			} else {
				err = l.Release(t.Context(), testEpoch, granted)
			}
			if err != nil {
				return registerOutput{result: "error"}
			}
			return registerOutput{result: "ok"}
		})
	}
}
