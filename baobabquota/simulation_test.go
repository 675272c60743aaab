package baobabquota

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	simTick     = 5 * time.Millisecond
	simLookEach = 50 * time.Millisecond // How often a node looks for reports to send.
	simJoin     = 300 * time.Millisecond
	simReturn   = 800 * time.Millisecond // Until all nodes know of one that has joined.
	simRefused  = 10 * time.Millisecond  // Until a refused connection is known.
	simWindow   = 5 * time.Second
)

// A simAccount is an account with its limit and the demand over all nodes.
type simAccount struct {
	rate, burst float64
	demand      func(at time.Duration) float64 // Requests per second.
	skew        float64                        // Share of the requests that arrive at one node; the others are spread evenly.
}

// A simFault makes the first nodes of an order unreachable for each other and the rest, or stops them.
type simFault struct {
	from, until time.Duration
	nodes       func(s *simulation) []int
	kind        string // cut, kill, pause
}

// A scenario is one case of the comparison.
type scenario struct {
	name     string
	nodes    int
	accounts []simAccount
	faults   []simFault
	lowered  time.Duration // When all limits change to lowerTo times their value; zero means never.
	lowerTo  float64
	duration time.Duration
	// processes means that the faults are of processes alone: a connection to one that was killed is refused at once, and its
	// return is known as soon as it has joined.
	processes bool
}

// A limiter is one of the rules that are compared. The simulation calls it in order of time.
type limiter interface {
	admit(s *simulation, node int, account string, l Limit) bool
	look(s *simulation, node int)
	restart(s *simulation, node int)
}

type simEvent struct {
	at   time.Duration
	seq  int
	node int
	run  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(v any)   { *q = append(*q, v.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}

// simulation runs a limiter without a network. Time advances in ticks; arrivals are Poisson distributed.
type simulation struct {
	scenario
	limiter  limiter
	random   *rand.Rand
	at       time.Duration
	queue    simQueue
	seq      int
	messages int
	detects  []time.Duration // Delay of each node's view of the members.
	results  []*simResult
	affected []map[int]bool // Nodes of each fault.
}

// simResult is what happened to one account.
type simResult struct {
	asked, admitted, possible int
	ideal                     float64 // Tokens of one exact bucket.
	recent                    []time.Duration
	overAt                    time.Duration
	shortfall                 int
	over                      float64 // Highest excess over the bound in any window.
}

// wrong returns the requests that were refused although one exact bucket would have admitted as many.
func (r *simResult) wrong() int { return max(0, r.possible-r.admitted) }

func (s *simulation) now() time.Time { return time.Unix(1000, 0).Add(s.at) }

// down returns the kind of fault that a node has, or nothing.
func (s *simulation) down(node int, at time.Duration) string {
	for i, f := range s.faults {
		if at >= f.from && at < f.until && s.affected[i][node] {
			return f.kind
		}
	}
	return ""
}

func (s *simulation) connected(a, b int) bool {
	ka, kb := s.down(a, s.at), s.down(b, s.at)
	return ka != "kill" && kb != "kill" && (ka == "cut") == (kb == "cut")
}

// epoch returns a number that changes when the members that a node sees change.
func (s *simulation) epoch(node int) int {
	n := 0
	for i, f := range s.faults {
		seen := s.seen(node, i)
		if seen >= f.from {
			n++
		}
		if seen >= f.until {
			n++
		}
	}
	return n
}

// seen returns the time that a node's view of a fault is of. A restarted node learns the members when it joins.
func (s *simulation) seen(node, fault int) time.Duration {
	if f := s.faults[fault]; f.kind == "kill" && s.affected[fault][node] && s.at >= f.until {
		return s.at - simJoin
	}
	if s.processes && s.at-simReturn >= s.faults[fault].until {
		return s.at - simReturn
	}
	return max(0, s.at-s.detects[node])
}

// seenDown returns the fault of a node as another node sees it.
func (s *simulation) seenDown(node, other int) string {
	for i, f := range s.faults {
		if seen := s.seen(node, i); seen >= f.from && seen < f.until && s.affected[i][other] {
			return f.kind
		}
	}
	return ""
}

// view returns the topology that a node sees. It follows the faults with a delay.
func (s *simulation) view(node int) ([]int, Topology) {
	own := s.seenDown(node, node) == "cut"
	var live []int
	for i := range s.nodes {
		k := s.seenDown(node, i)
		if i == node || k == "" && !own || k == "cut" && own {
			live = append(live, i)
		}
	}
	lists := make([][]string, ShardCount(s.nodes))
	for shard := range lists {
		for _, i := range candidatesOf(live, shard) {
			lists[shard] = append(lists[shard], fmt.Sprint(i))
		}
	}
	return live, NewTopology(lists, len(live), s.nodes)
}

// simCandidates is the number of candidates for each shard.
const simCandidates = 4

func candidatesOf(live []int, shard int) []int {
	list := slices.SortedFunc(slices.Values(live), func(a, b int) int {
		return cmp.Compare(xxhash.Sum64String(fmt.Sprint(shard, "/", b)), xxhash.Sum64String(fmt.Sprint(shard, "/", a)))
	})
	return list[:min(simCandidates, len(list))]
}

func coordinatorOf(live []int, shard int) int { return candidatesOf(live, shard)[0] }

// send runs f at a node after the delay of a message. It reports false if the message cannot arrive.
func (s *simulation) send(from, to int, f func()) bool {
	if from == to {
		f()
		return true
	}
	s.messages++
	if !s.connected(from, to) {
		return false
	}
	s.after(to, 4*time.Millisecond+time.Duration(s.random.Float64()*float64(6*time.Millisecond)), f)
	return true
}

func (s *simulation) after(node int, d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.at + d, seq: s.seq, node: node, run: f})
}

func (s *simulation) limitOf(account string) (Limit, bool) {
	var i int
	_, _ = fmt.Sscanf(account, "account-%d", &i)
	a := s.accounts[i]
	if s.lowered > 0 && s.at >= s.lowered {
		return NewLimit(a.rate*s.lowerTo, a.burst*s.lowerTo), true
	}
	return NewLimit(a.rate, a.burst), true
}

func simulate(c scenario, l limiter, seed uint64) *simulation {
	s := &simulation{scenario: c, limiter: l, random: rand.New(rand.NewPCG(seed, 7))}
	for range c.nodes {
		s.detects = append(s.detects, 2500*time.Millisecond+time.Duration(s.random.Float64()*float64(1500*time.Millisecond)))
	}
	for i := range c.accounts {
		s.results = append(s.results, &simResult{ideal: c.accounts[i].burst, over: -1})
	}
	for _, f := range c.faults {
		set := map[int]bool{}
		for _, i := range f.nodes(s) {
			set[i] = true
		}
		s.affected = append(s.affected, set)
	}
	for i := range c.nodes {
		l.restart(s, i)
	}
	offsets := make([]time.Duration, c.nodes)
	for i := range offsets {
		offsets[i] = time.Duration(s.random.IntN(int(simLookEach/simTick))) * simTick
	}
	for ; s.at < c.duration; s.at += simTick {
		s.deliver()
		for i := range c.nodes {
			if k := s.down(i, s.at); k == "kill" && s.down(i, s.at-simTick) != "kill" {
				l.restart(s, i)
			}
			if k := s.down(i, s.at); (s.at+offsets[i])%simLookEach == 0 && k != "kill" && k != "pause" {
				l.look(s, i)
			}
		}
		for i := range c.accounts {
			s.arrive(i)
		}
	}
	return s
}

func (s *simulation) deliver() {
	var held []simEvent
	for len(s.queue) > 0 && s.queue[0].at <= s.at {
		e := heap.Pop(&s.queue).(simEvent)
		switch s.down(e.node, s.at) {
		case "kill":
		case "pause":
			e.at = s.at + simTick
			held = append(held, e)
		default:
			e.run()
		}
	}
	for _, e := range held {
		heap.Push(&s.queue, e)
	}
}

// arrive runs the requests of an account in one tick.
func (s *simulation) arrive(i int) {
	a, r, name := s.accounts[i], s.results[i], fmt.Sprintf("account-%d", i)
	l, _ := s.limitOf(name)
	r.ideal = min(r.ideal+l.rate*simTick.Seconds(), l.burst+tolerance)
	for range poisson(s.random, a.demand(s.at)*simTick.Seconds()) {
		node := i % s.nodes
		if s.random.Float64() >= a.skew {
			node = s.random.IntN(s.nodes)
		}
		if k := s.down(node, s.at); k == "kill" || k == "pause" {
			continue
		}
		r.asked++
		if r.ideal >= 1 {
			r.ideal--
			r.possible++
		}
		if s.limiter.admit(s, node, name, l) {
			r.admitted++
			r.recent = append(r.recent, s.at)
		}
	}
	for len(r.recent) > 0 && r.recent[0] <= s.at-simWindow {
		r.recent = r.recent[1:]
	}
	rate, burst := l.rate, l.burst
	if s.lowered > 0 && s.at < s.lowered+2500*time.Millisecond+simWindow {
		rate, burst = a.rate, a.burst
	}
	bound := (rate*simWindow.Seconds()+burst)*1.1 + 20
	if over := (float64(len(r.recent)) - bound) / bound; over > r.over {
		r.over, r.overAt = over, s.at
	}
}

// poisson returns a Poisson distributed number.
func poisson(random *rand.Rand, mean float64) int {
	n, p := 0, random.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= random.Float64()
	}
	return n
}

// exchange is the limiter of this package.
type exchange struct {
	meters  []*Meter
	ledgers []*Ledger
	views   []int
}

func (e *exchange) restart(s *simulation, node int) {
	if e.meters == nil {
		e.meters, e.ledgers, e.views = make([]*Meter, s.nodes), make([]*Ledger, s.nodes), make([]int, s.nodes)
	}
	name := fmt.Sprint(node)
	e.meters[node], e.ledgers[node], e.views[node] = NewMeter(name, uint64(s.at)+1), NewLedger(name), -1
	if s.processes {
		e.follow(s, node) // A process takes requests once it has joined.
	}
}

// follow applies the view of the members if it has changed.
func (e *exchange) follow(s *simulation, node int) {
	epoch := s.epoch(node)
	if epoch == e.views[node] {
		return
	}
	_, t := s.view(node)
	e.views[node] = epoch
	e.meters[node].SetTopology(s.now(), t)
	e.ledgers[node].SetTopology(s.now(), t)
}

func (e *exchange) admit(s *simulation, node int, account string, l Limit) bool {
	ok, _ := e.meters[node].Admit(s.now(), account, l)
	return ok
}

func (e *exchange) look(s *simulation, node int) {
	e.follow(s, node)
	if grants := e.ledgers[node].Announcements(s.now()); len(grants) > 0 {
		for i, m := range e.meters {
			s.send(node, i, func() { s.after(i, 5*time.Millisecond, func() { m.ApplyAnnouncement(s.now(), grants) }) })
		}
	}
	for _, r := range e.meters[node].Reports(s.now()) {
		e.report(s, node, r)
	}
}

func (e *exchange) report(s *simulation, node int, r Report) {
	var to int
	_, _ = fmt.Sscan(r.coordinator, &to)
	meter, answered := e.meters[node], false
	s.send(node, to, func() {
		earlier := e.earlier(r, to)
		reached := slices.IndexFunc(earlier, func(c int) bool { return s.connected(to, c) && s.down(c, s.at) != "pause" })
		var grants []Grant
		if reached < 0 {
			grants, _ = e.ledgers[to].Record(s.now(), r, s.limitOf)
		}
		s.send(to, node, func() {
			if s.now().Sub(r.sentAt) >= replyTimeout {
				return
			}
			answered = true
			if reached >= 0 {
				meter.Refuse(s.now(), r, fmt.Sprint(earlier[reached]))
				return
			}
			meter.Apply(s.now(), r, grants)
		})
	})
	failed := replyTimeout
	if s.processes && s.down(to, s.at) == "kill" {
		failed = simRefused
	}
	s.after(node, failed, func() {
		if !answered {
			meter.Fail(s.now(), r)
		}
	})
}

// earlier returns the candidates before a node, by its own view.
func (e *exchange) earlier(r Report, node int) []int {
	var list []int
	for _, u := range r.usages[:min(1, len(r.usages))] {
		for _, c := range e.ledgers[node].topology.Earlier(u.account, fmt.Sprint(node)) {
			i := 0
			_, _ = fmt.Sscan(c, &i)
			list = append(list, i)
		}
	}
	return list
}
