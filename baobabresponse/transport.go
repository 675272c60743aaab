package baobabresponse

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// A Transport is an http.Transport that reads responses strictly. It speaks HTTP/1 only.
type Transport struct {
	*http.Transport
}

// NewTransport returns t with strict reads. t must not have been used, and must not be used directly afterwards.
func NewTransport(t *http.Transport) *Transport {
	dial := dialFunc(t.DialContext)
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	config := t.TLSClientConfig
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return strict(dial(ctx, network, address))
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return strict(dialTLS(ctx, dial, config, network, address))
	}
	return &Transport{Transport: t}
}

func strict(c net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// dialTLS returns a connection after its handshake.
func dialTLS(ctx context.Context, dial dialFunc, config *tls.Config, network, address string) (net.Conn, error) {
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	config = config.Clone()
	if config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	c := tls.Client(NewConn(conn), config)
	if err := c.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.ExpectResponse()
		}
	}}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}
