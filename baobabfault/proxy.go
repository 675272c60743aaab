package baobabfault

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

const (
	chunkBytes = 16 << 10
	// Chunks in transit per direction; more hold the sender back.
	chunksInTransit = 256
	dialTimeout     = 5 * time.Second
)

// A Proxy forwards connections to a target and injects failures. Failures apply to open and new connections from the
// next chunk on. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	tomb     tomb.Tomb

	mu     sync.Mutex
	faults faults
	random *rand.Rand
	conns  map[net.Conn]struct{}
}

// Listen starts a proxy from an address to a target. The seed determines jitter and stalls. The caller must close
// the proxy.
func Listen(address, target string, seed uint64) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "start fault proxy")
	}
	p := &Proxy{
		listener: l, target: target, conns: map[net.Conn]struct{}{}, random: rand.New(rand.NewPCG(seed, seed)),
	}
	p.tomb.Go(p.accept)
	return p, nil
}

// Address returns the address to connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Cut closes all connections and refuses new ones until Heal.
func (p *Proxy) Cut() { p.change(func(f *faults) { f.cut = true }) }

// HalfOpen keeps connections open, accepts new ones, and forwards nothing in either direction until Heal.
func (p *Proxy) HalfOpen() { p.change(func(f *faults) { f.halfOpen = true }) }

// DropReplies forwards to the target and drops what comes back until Heal.
func (p *Proxy) DropReplies() { p.change(func(f *faults) { f.dropReplies = true }) }

// Delay holds each chunk for delay and up to jitter more, in order, in both directions.
func (p *Proxy) Delay(delay, jitter time.Duration) {
	p.change(func(f *faults) { f.delay, f.jitter = delay, jitter })
}

// Throttle limits each direction of each connection to a rate in bytes per second; zero is unlimited.
func (p *Proxy) Throttle(rate int) { p.change(func(f *faults) { f.rate = rate }) }

// Stall holds a share of the chunks, and those behind them, for a time, as TCP does after the loss of a packet.
func (p *Proxy) Stall(share float64, d time.Duration) {
	p.change(func(f *faults) { f.stallShare, f.stallTime = share, d })
}

// Heal ends all failures. Connections from which bytes were dropped are closed, because the rest of their streams
// would be garbage.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.halfOpen || p.faults.dropReplies {
		p.closeAll()
	}
	p.faults = faults{}
}

func (p *Proxy) change(set func(*faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set(&p.faults)
	if p.faults.cut {
		p.closeAll()
	}
}

// closeAll closes the connections. The caller holds mu.
func (p *Proxy) closeAll() {
	for c := range p.conns {
		_ = c.Close()
	}
}

// Close closes the listener and all connections, and waits.
func (p *Proxy) Close() error {
	p.tomb.Kill(nil)
	_ = p.listener.Close()
	p.mu.Lock()
	p.closeAll()
	p.mu.Unlock()
	return p.tomb.Wait()
}

func (p *Proxy) accept() error {
	for {
		c, err := p.listener.Accept()
		if err != nil && !p.tomb.Alive() {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept at fault proxy")
		}
		if !p.enter(c) {
			continue
		}
		p.tomb.Go(func() error {
			p.forward(c)
			return nil
		})
	}
}

// enter registers a connection, or closes it with a reset when it must not exist.
func (p *Proxy) enter(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.cut || !p.tomb.Alive() {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) leave(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) forward(client net.Conn) {
	defer p.leave(client)
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil || !p.enter(target) {
		return
	}
	defer p.leave(target)
	done := make(chan struct{})
	p.tomb.Go(func() error {
		defer close(done)
		p.pipe(target, client, toClient)
		return nil
	})
	p.pipe(client, target, toTarget)
	<-done
}

// pipe copies one direction until it ends, and then passes on the end of the stream unless the bytes of that
// direction vanish.
func (p *Proxy) pipe(from, to net.Conn, d direction) {
	transit := make(chan chunk, chunksInTransit)
	delivered := make(chan struct{})
	p.tomb.Go(func() error {
		defer close(delivered)
		p.deliver(to, transit)
		return nil
	})
	p.read(from, transit, d)
	close(transit)
	<-delivered
	if drop, _, _ := p.plan(d, 0); drop {
		return
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// read plans the delivery of each chunk.
func (p *Proxy) read(from net.Conn, transit chan<- chunk, d direction) {
	var free, last time.Time // When the throttled connection is free, and when the chunk before is delivered.
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			now := time.Now()
			drop, hold, occupied := p.plan(d, n)
			if !drop {
				free = later(free, now).Add(occupied)
				last = later(last, free.Add(hold))
				transit <- chunk{data[:n], last}
			}
		}
		if err != nil {
			return
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (p *Proxy) plan(d direction, n int) (drop bool, hold, occupied time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.drops(d), p.faults.hold(p.random), p.faults.transmission(n)
}

// deliver writes the chunks in order at their times. After a failure it takes the rest, so that the reader can end.
func (p *Proxy) deliver(to net.Conn, transit <-chan chunk) {
	var failed bool
	for c := range transit {
		if failed {
			continue
		}
		if wait := time.Until(c.at); wait > 0 {
			select {
			case <-time.After(wait):
			case <-p.tomb.Dying():
				failed = true
				continue
			}
		}
		if _, err := to.Write(c.data); err != nil {
			failed = true
			_ = to.Close()
		}
	}
}
