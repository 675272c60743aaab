package baobabquota

import (
	"math"
	"time"
)

// shareState is the bucket of one account at one node, for the rules that this package does not use.
type shareState struct {
	tokens   float64
	at       time.Duration
	borrowed time.Duration // When the node last asked to borrow.
}

// shares gives each node an equal part of each limit. With lending, a node without a token asks a random node for half of
// its tokens and is charged from the next request on.
type shares struct {
	lend  bool
	state []map[string]*shareState
}

func (f *shares) restart(s *simulation, node int) {
	if f.state == nil {
		f.state = make([]map[string]*shareState, s.nodes)
	}
	f.state[node] = map[string]*shareState{}
}

func (f *shares) look(*simulation, int) {}

// refilled returns the state of an account with the tokens of now. A share of a burst below one request is one request.
func (f *shares) refilled(s *simulation, node int, account string, l Limit) *shareState {
	v := f.state[node][account]
	part := 1 / float64(s.nodes)
	if v == nil {
		v = &shareState{tokens: max(1, l.burst*part), at: s.at}
		f.state[node][account] = v
	}
	capacity := max(1, l.burst*part)
	if f.lend {
		capacity = max(capacity, v.tokens)
	}
	v.tokens = min(v.tokens+(s.at-v.at).Seconds()*l.rate*part, capacity)
	v.at = s.at
	return v
}

func (f *shares) admit(s *simulation, node int, account string, l Limit) bool {
	v := f.refilled(s, node, account, l)
	admitted := v.tokens >= 1
	if admitted {
		v.tokens--
	}
	if f.lend && v.tokens < 1 && (v.borrowed == 0 || s.at-v.borrowed >= urgentInterval) {
		v.borrowed = s.at
		f.borrow(s, node, account, l)
	}
	return admitted
}

// borrow asks a random node for half of its tokens. What is lent is lost with a message.
func (f *shares) borrow(s *simulation, node int, account string, l Limit) {
	from := s.random.IntN(s.nodes)
	if from == node {
		return
	}
	s.send(node, from, func() {
		lender := f.refilled(s, from, account, l)
		amount := math.Max(0, lender.tokens/2)
		lender.tokens -= amount
		s.send(from, node, func() { f.refilled(s, node, account, l).tokens += amount })
	})
}
