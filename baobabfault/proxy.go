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
	*Path // The failures of all classes.

	listener net.Listener
	target   string
	tomb     tomb.Tomb

	classify func(client net.Addr) string

	mu      sync.Mutex
	random  *rand.Rand          // Guarded by mu.
	classes map[string]*faults  // Guarded by mu; the empty name stands for clients that are in no other class.
	conns   map[net.Conn]string // Guarded by mu; with the class of the client.
}

// Option sets an optional property of a Proxy.
type Option func(*Proxy)

// WithClassify sets the function that names the class of a client by its address.
func WithClassify(classify func(client net.Addr) string) Option {
	return func(p *Proxy) { p.classify = classify }
}

// Listen starts a proxy from an address to a target. The seed determines jitter and stalls. The caller must close
// the proxy.
func Listen(address, target string, seed uint64, options ...Option) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "start fault proxy")
	}
	p := &Proxy{
		listener: l, target: target, random: rand.New(rand.NewPCG(seed, seed)),
		classify: func(net.Addr) string { return "" },
		classes:  map[string]*faults{"": {}},
		conns:    map[net.Conn]string{},
	}
	p.Path = p.path("")
	for _, o := range options {
		o(p)
	}
	p.tomb.Go(p.accept)
	return p, nil
}

// Address returns the address to connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// From returns the traffic of one class of clients.
func (p *Proxy) From(class string) *Path { return p.path(class) }

func (p *Proxy) path(class string) *Path {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.class(class)
	return &Path{proxy: p, class: class}
}

// class returns the failures of a class, which start as those of all. The caller holds mu.
func (p *Proxy) class(name string) *faults {
	f, ok := p.classes[name]
	if !ok {
		f = new(faults)
		*f = *p.classes[""]
		p.classes[name] = f
	}
	return f
}

// each calls change with the failures of a class, or of all classes for the empty name. The caller holds mu.
func (p *Proxy) each(name string, change func(string, *faults)) {
	if name != "" {
		change(name, p.class(name))
		return
	}
	for n, f := range p.classes {
		change(n, f)
	}
}

// closeClass closes the connections of a class. The caller holds mu.
func (p *Proxy) closeClass(name string) {
	for c, class := range p.conns {
		if class == name {
			_ = c.Close()
		}
	}
}

// Close closes the listener and all connections, and waits.
func (p *Proxy) Close() error {
	p.tomb.Kill(nil)
	_ = p.listener.Close()
	p.mu.Lock()
	for c := range p.conns {
		_ = c.Close()
	}
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
		class := p.classify(c.RemoteAddr())
		if !p.enter(c, class) {
			continue
		}
		p.tomb.Go(func() error {
			p.forward(c, class)
			return nil
		})
	}
}

// enter registers a connection, or closes it with a reset when it must not exist.
func (p *Proxy) enter(c net.Conn, class string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.class(class).cut || !p.tomb.Alive() {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
		return false
	}
	p.conns[c] = class
	return true
}

func (p *Proxy) leave(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) forward(client net.Conn, class string) {
	defer p.leave(client)
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil || !p.enter(target, class) {
		return
	}
	defer p.leave(target)
	done := make(chan struct{})
	p.tomb.Go(func() error {
		defer close(done)
		p.pipe(target, client, toClient, class)
		return nil
	})
	p.pipe(client, target, toTarget, class)
	<-done
}

// pipe copies one direction until it ends, and then passes on the end of the stream unless the bytes of that
// direction vanish.
func (p *Proxy) pipe(from, to net.Conn, d direction, class string) {
	transit := make(chan chunk, chunksInTransit)
	delivered := make(chan struct{})
	p.tomb.Go(func() error {
		defer close(delivered)
		p.deliver(to, transit)
		return nil
	})
	p.read(from, transit, d, class)
	close(transit)
	<-delivered
	if drop, _, _ := p.plan(d, 0, class); drop {
		return
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// read plans the delivery of each chunk.
func (p *Proxy) read(from net.Conn, transit chan<- chunk, d direction, class string) {
	var free, last time.Time // When the throttled connection is free, and when the chunk before is delivered.
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			now := time.Now()
			drop, hold, occupied := p.plan(d, n, class)
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

func (p *Proxy) plan(d direction, n int, class string) (drop bool, hold, occupied time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.class(class)
	return f.drops(d), f.hold(p.random), f.transmission(n)
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
