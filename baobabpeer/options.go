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
	// Yamux keeps a buffer of the largest write per link, so chunks are small.
	defaultMaxChunkBytes  = 16 << 10
	defaultMaxStreams     = 512
	defaultMaxLinks       = 128
	defaultMaxAccepted    = 512
	defaultIdleLimit      = 10 * time.Second
	defaultDialTimeout    = 2 * time.Second
	defaultRequestTimeout = 10 * time.Second
	defaultKeepAlive      = time.Second
	// defaultConnectPatience is four round trips between regions 55 ms apart and some time for the other process.
	defaultConnectPatience = 500 * time.Millisecond
)

// Option sets a property of a Transport.
type Option func(*options)

// options hold the properties of a transport.
type options struct {
	maxMessage      int // Bytes.
	maxChunk        int // Bytes.
	maxStreams      int
	maxLinks        int
	maxAccepted     int
	idleLimit       time.Duration
	dialTimeout     time.Duration
	requestTimeout  time.Duration
	keepAlive       time.Duration
	connectPatience time.Duration
	dial            func(ctx context.Context, address string) (net.Conn, error)
	sameDomain      func(address string) bool
	set             *metrics.Set
	refused         func(address string, err error)
}

func newOptions(list []Option) options {
	dialer := &net.Dialer{}
	o := options{
		maxMessage:      defaultMaxMessageBytes,
		maxChunk:        defaultMaxChunkBytes,
		maxStreams:      defaultMaxStreams,
		maxLinks:        defaultMaxLinks,
		maxAccepted:     defaultMaxAccepted,
		idleLimit:       defaultIdleLimit,
		dialTimeout:     defaultDialTimeout,
		requestTimeout:  defaultRequestTimeout,
		keepAlive:       defaultKeepAlive,
		connectPatience: defaultConnectPatience,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		sameDomain: func(string) bool { return true },
		set:        metrics.NewSet(),
		refused:    func(string, error) {},
	}
	for _, f := range list {
		f(&o)
	}
	return o
}

// WithMaxMessageBytes bounds the payload of a message.
func WithMaxMessageBytes(n int) Option { return func(o *options) { o.maxMessage = n } }

// WithMaxChunkBytes bounds the payload of a chunk. Longer bodies are split.
func WithMaxChunkBytes(n int) Option { return func(o *options) { o.maxChunk = n } }

// WithMaxStreams bounds the concurrent streams that are opened per link. The accepting side allows twice as many,
// because its handlers end after the opener has closed the stream.
func WithMaxStreams(n int) Option { return func(o *options) { o.maxStreams = n } }

// WithMaxLinks bounds the dialled links. The least recently used link without streams is closed for a new one.
func WithMaxLinks(n int) Option { return func(o *options) { o.maxLinks = n } }

// WithMaxAccepted bounds the accepted links, including those that are being authenticated.
func WithMaxAccepted(n int) Option { return func(o *options) { o.maxAccepted = n } }

// WithIdleLimit sets the time after which a dialled link without streams is closed.
func WithIdleLimit(d time.Duration) Option { return func(o *options) { o.idleLimit = d } }

// WithDialTimeout bounds connecting and authenticating together, on both sides.
func WithDialTimeout(d time.Duration) Option { return func(o *options) { o.dialTimeout = d } }

// WithRequestTimeout bounds a Request whose context has no deadline.
func WithRequestTimeout(d time.Duration) Option { return func(o *options) { o.requestTimeout = d } }

// WithKeepAlive sets the interval after which a silent side sends a keepalive of 12 bytes. A link on which nothing arrives for three intervals is closed.
// Both ends of a link must use the same interval.
func WithKeepAlive(d time.Duration) Option { return func(o *options) { o.keepAlive = d } }

// WithConnectPatience sets how long a stream waits for a link that is being established. The attempt goes on, for the
// streams that come later.
func WithConnectPatience(d time.Duration) Option {
	return func(o *options) { o.connectPatience = d }
}

// WithDial replaces the function that connects to an address, for example to map it to another.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

// WithSameDomain sets the function that reports whether an address is in the own failure domain. It classifies
// the dialled address or, of an accepted link, the remote address. Without it all traffic counts as "same".
func WithSameDomain(same func(address string) bool) Option {
	return func(o *options) { o.sameDomain = same }
}

// WithMetrics sets the set that receives the counters.
func WithMetrics(set *metrics.Set) Option { return func(o *options) { o.set = set } }

// WithRefused sets a function that is called when the key or the certificate of the other side is wrong, with its
// address. Connections that end before they are authenticated are only counted.
func WithRefused(refused func(address string, err error)) Option {
	return func(o *options) { o.refused = refused }
}
