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
	// maxChunksInTransit limits the chunks per direction of a connection; the proxy reads no more until some are
	// delivered.
	maxChunksInTransit = 256
	dialTimeout        = 5 * time.Second
)

// A Proxy forwards connections to a target and injects faults. A change of the faults applies to open and new
// connections, from the next chunk on. It is safe for concurrent use.
type Proxy struct {
	*Path // The traffic of all classes of clients.

	listener net.Listener
	target   string
	tomb     tomb.Tomb

	classify func(client net.Addr) string

	mu            sync.Mutex
	random        *rand.Rand          // Guarded by mu.
	faultsByClass map[string]*faults  // Guarded by mu; the empty name stands for clients without a class.
	connections   map[net.Conn]string // Guarded by mu; open connections on both sides, with the class of the client.
}

// Option sets an optional property of a Proxy.
type Option func(*Proxy)

// WithClassifier sets the function that returns the class of a client, given its address.
func WithClassifier(classify func(client net.Addr) string) Option {
	return func(p *Proxy) { p.classify = classify }
}

// Listen starts a proxy that forwards connections from an address to a target. The seed determines jitter and stalls.
// The caller must close the proxy.
func Listen(address, target string, seed uint64, options ...Option) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "start fault proxy")
	}
	p := &Proxy{
		listener: l, target: target, random: rand.New(rand.NewPCG(seed, seed)),
		classify:      func(net.Addr) string { return "" },
		faultsByClass: map[string]*faults{"": {}},
		connections:   map[net.Conn]string{},
	}
	p.Path = p.newPath("")
	for _, o := range options {
		o(p)
	}
	p.tomb.Go(p.acceptConnections)
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// From returns the traffic of one class of clients.
func (p *Proxy) From(class string) *Path { return p.newPath(class) }

func (p *Proxy) newPath(class string) *Path {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.classFaults(class)
	return &Path{proxy: p, clientClass: class}
}

// classFaults returns the faults of a class. Those of a new class are initially those of clients without a class. The
// caller must hold mu.
func (p *Proxy) classFaults(name string) *faults {
	f, ok := p.faultsByClass[name]
	if !ok {
		f = new(faults)
		*f = *p.faultsByClass[""]
		p.faultsByClass[name] = f
	}
	return f
}

// forEachClass calls change with the faults of a class, or of all classes for the empty name. The caller must hold mu.
func (p *Proxy) forEachClass(name string, change func(string, *faults)) {
	if name != "" {
		change(name, p.classFaults(name))
		return
	}
	for n, f := range p.faultsByClass {
		change(n, f)
	}
}

// closeClass closes the connections of a class. The caller must hold mu.
func (p *Proxy) closeClass(name string) {
	for c, class := range p.connections {
		if class == name {
			_ = c.Close()
		}
	}
}

// Close closes the listener and all connections and waits until the goroutines of the proxy have ended.
func (p *Proxy) Close() error {
	p.tomb.Kill(nil)
	_ = p.listener.Close()
	p.mu.Lock()
	for c := range p.connections {
		_ = c.Close()
	}
	p.mu.Unlock()
	return p.tomb.Wait()
}

func (p *Proxy) acceptConnections() error {
	for {
		c, err := p.listener.Accept()
		if err != nil && !p.tomb.Alive() {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept at fault proxy")
		}
		class := p.classify(c.RemoteAddr())
		if !p.registerConnection(c, class) {
			continue
		}
		p.tomb.Go(func() error {
			p.forwardConnection(c, class)
			return nil
		})
	}
}

// registerConnection records an open connection. If its class is disconnected or the proxy is closing, it resets the
// connection instead and returns false.
func (p *Proxy) registerConnection(c net.Conn, class string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.classFaults(class).disconnected || !p.tomb.Alive() {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
		return false
	}
	p.connections[c] = class
	return true
}

func (p *Proxy) closeConnection(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
}

func (p *Proxy) forwardConnection(client net.Conn, class string) {
	defer p.closeConnection(client)
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil || !p.registerConnection(target, class) {
		return
	}
	defer p.closeConnection(target)
	done := make(chan struct{})
	p.tomb.Go(func() error {
		defer close(done)
		p.copyDirection(target, client, toClient, class)
		return nil
	})
	p.copyDirection(client, target, toTarget, class)
	<-done
}

// copyDirection copies one direction until its stream ends. Then it forwards the end of the stream, unless bytes in that
// direction are dropped.
func (p *Proxy) copyDirection(from, to net.Conn, d direction, class string) {
	inTransit := make(chan chunk, maxChunksInTransit)
	delivered := make(chan struct{})
	p.tomb.Go(func() error {
		defer close(delivered)
		p.deliverChunks(to, inTransit)
		return nil
	})
	p.readChunks(from, inTransit, d, class)
	close(inTransit)
	<-delivered
	if drop, _, _ := p.planDelivery(d, 0, class); drop {
		return
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// readChunks reads chunks until the stream ends, and sends those that are not dropped to inTransit with their delivery
// times.
func (p *Proxy) readChunks(from net.Conn, inTransit chan<- chunk, d direction, class string) {
	var freeAt, deliverAt time.Time // When the throttled connection is free, and delivery time of the last chunk.
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			now := time.Now()
			drop, latency, transmission := p.planDelivery(d, n, class)
			if !drop {
				freeAt = latest(freeAt, now).Add(transmission)
				deliverAt = latest(deliverAt, freeAt.Add(latency))
				inTransit <- chunk{data[:n], deliverAt}
			}
		}
		if err != nil {
			return
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// planDelivery returns what the current faults do to a chunk of n bytes.
func (p *Proxy) planDelivery(d direction, n int, class string) (drop bool, latency, transmission time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.classFaults(class)
	return f.dropsBytes(d), f.latency(p.random), f.transmissionTime(n)
}

// deliverChunks writes the chunks in order at their delivery times. After a failure it discards the remaining chunks, so
// that readChunks is not blocked.
func (p *Proxy) deliverChunks(to net.Conn, inTransit <-chan chunk) {
	var failed bool
	for c := range inTransit {
		if failed {
			continue
		}
		if wait := time.Until(c.deliverAt); wait > 0 {
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
