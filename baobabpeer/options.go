package baobabpeer

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Defaults of a transport.
const (
	defaultMaxMessageBytes = 4 << 20
	// Chunks are small because yamux keeps a buffer of the size of the largest write for each link.
	defaultMaxChunkBytes    = 16 << 10
	defaultMaxStreams       = 512
	defaultMaxLinks         = 128
	defaultMaxAcceptedLinks = 512
	defaultIdleTimeout      = 10 * time.Second
	defaultDialTimeout      = 2 * time.Second
	defaultRequestTimeout   = 10 * time.Second
	defaultKeepAlive        = time.Second
	// defaultConnectWait allows four round trips of 55 ms between regions and some processing time at the peer.
	defaultConnectWait = 500 * time.Millisecond
)

// Option sets a property of a Transport.
type Option func(*options)

// options holds the properties of a transport.
type options struct {
	maxMessageBytes  int
	maxChunkBytes    int
	maxStreams       int
	maxLinks         int
	maxAcceptedLinks int
	idleTimeout      time.Duration
	dialTimeout      time.Duration
	requestTimeout   time.Duration
	keepAlive        time.Duration
	connectWait      time.Duration
	maxUnsentBytes   int // Zero: no limit.
	dial             func(ctx context.Context, address string) (net.Conn, error)
	sameDomain       func(address string) bool
	metricSet        *metrics.Set
	onAuthFailure    func(address string, err error)
	onPanic          func(address string, value any, stack []byte)
}

func newOptions(opts []Option) options {
	dialer := &net.Dialer{}
	o := options{
		maxMessageBytes:  defaultMaxMessageBytes,
		maxChunkBytes:    defaultMaxChunkBytes,
		maxStreams:       defaultMaxStreams,
		maxLinks:         defaultMaxLinks,
		maxAcceptedLinks: defaultMaxAcceptedLinks,
		idleTimeout:      defaultIdleTimeout,
		dialTimeout:      defaultDialTimeout,
		requestTimeout:   defaultRequestTimeout,
		keepAlive:        defaultKeepAlive,
		connectWait:      defaultConnectWait,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		sameDomain:    func(string) bool { return true },
		metricSet:     metrics.NewSet(),
		onAuthFailure: func(string, error) {},
		onPanic:       func(string, any, []byte) {},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithPanicHandler sets a function that is called when the handler of a stream panics. Only that stream ends.
func WithPanicHandler(f func(address string, value any, stack []byte)) Option {
	return func(o *options) { o.onPanic = f }
}

// WithMaxMessageBytes sets the maximum payload of a message.
func WithMaxMessageBytes(n int) Option { return func(o *options) { o.maxMessageBytes = n } }

// WithMaxChunkBytes sets the maximum payload of a chunk. Longer bodies are split.
func WithMaxChunkBytes(n int) Option { return func(o *options) { o.maxChunkBytes = n } }

// WithMaxStreams sets the maximum number of concurrent streams per dialled link. The accepting side allows twice as
// many, because its handlers return after the dialling side has closed the stream.
func WithMaxStreams(n int) Option { return func(o *options) { o.maxStreams = n } }

// WithMaxLinks sets the maximum number of dialled links. At the limit, the least recently used link without streams is
// closed to make room for a new one.
func WithMaxLinks(n int) Option { return func(o *options) { o.maxLinks = n } }

// WithMaxAcceptedLinks sets the maximum number of accepted links, including those that are being authenticated.
func WithMaxAcceptedLinks(n int) Option { return func(o *options) { o.maxAcceptedLinks = n } }

// WithIdleTimeout sets the time after which a dialled link without streams is closed.
func WithIdleTimeout(d time.Duration) Option { return func(o *options) { o.idleTimeout = d } }

// WithDialTimeout sets the time limit for establishing a link: connecting and authenticating together on the dialling
// side, authenticating on the accepting side.
func WithDialTimeout(d time.Duration) Option { return func(o *options) { o.dialTimeout = d } }

// WithRequestTimeout sets the timeout of a Request whose context has no deadline.
func WithRequestTimeout(d time.Duration) Option { return func(o *options) { o.requestTimeout = d } }

// WithKeepAlive sets the interval after which a side that has sent nothing sends a keepalive of 12 bytes. A link on
// which nothing is received for three intervals is closed. Both ends of a link must use the same interval.
func WithKeepAlive(d time.Duration) Option { return func(o *options) { o.keepAlive = d } }

// WithConnectWait sets how long Open waits for a link that is being established, counted from the start of the
// dial. The dial continues after that, so that later streams can use the link.
func WithConnectWait(d time.Duration) Option {
	return func(o *options) { o.connectWait = d }
}

// WithMaxUnsentBytes limits the bytes of a link that wait in the operating system's buffer, so that a short message waits
// behind at most so many bytes of long bodies. Zero sets no limit.
func WithMaxUnsentBytes(n int) Option { return func(o *options) { o.maxUnsentBytes = n } }

// WithDial replaces the function that connects to an address, for example to map it to another address.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

// WithSameDomain sets the function that reports whether an address is in this node's failure domain. It is called with
// the dialled address or, for an accepted link, the remote address. Without it all traffic counts as "same".
func WithSameDomain(same func(address string) bool) Option {
	return func(o *options) { o.sameDomain = same }
}

// WithMetrics sets the metrics set in which the counters are registered.
func WithMetrics(set *metrics.Set) Option { return func(o *options) { o.metricSet = set } }

// WithAuthFailureHandler sets a function that is called with the peer's address when the peer's key or certificate is
// wrong. Connections that end before they are authenticated are only counted.
func WithAuthFailureHandler(f func(address string, err error)) Option {
	return func(o *options) { o.onAuthFailure = f }
}
