package baobabpeer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
)

// Certificates authenticate and encrypt a link with mutual TLS 1.3.
type Certificates struct {
	client *tls.Config
	server *tls.Config
}

// LoadCertificates reads a certificate, its key and the CA certificates that other nodes are verified against from PEM
// files. The certificate of an accepting node must be valid for serverName, because nodes are dialled by address.
func LoadCertificates(certificateFile, keyFile, caFile, serverName string) (*Certificates, error) {
	pair, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, newError("load certificates", KindRefused, err)
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, newError("load certificates", KindRefused, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, newError("load certificates", KindRefused, errors.New("no CA certificate in "+caFile))
	}
	return NewCertificates(pair, pool, serverName), nil
}

// NewCertificates returns credentials for a certificate that is already loaded.
func NewCertificates(pair tls.Certificate, pool *x509.CertPool, serverName string) *Certificates {
	pairs := []tls.Certificate{pair}
	return &Certificates{
		client: &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: pairs, RootCAs: pool, ServerName: serverName,
		},
		server: &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: pairs, ClientCAs: pool,
			ClientAuth: tls.RequireAndVerifyClientCert,
		},
	}
}

func (c *Certificates) clientHandshake(ctx context.Context, n net.Conn) (net.Conn, error) {
	t := tls.Client(n, c.client)
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, classifyTLSError(err)
	}
	// In TLS 1.3 the client's handshake completes before the server has verified the client certificate.
	var result [1]byte
	if _, err := io.ReadFull(t, result[:]); err != nil {
		return nil, classifyTLSError(err)
	}
	return t, nil
}

func (c *Certificates) serverHandshake(ctx context.Context, n net.Conn) (net.Conn, error) {
	t := tls.Server(n, c.server)
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, classifyTLSError(err)
	}
	if _, err := t.Write([]byte{authAccepted}); err != nil {
		return nil, err
	}
	return t, nil
}

// classifyTLSError wraps verification failures of either side in errAuthFailed and returns other errors unchanged.
func classifyTLSError(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return err
	}
	var verifyErr *tls.CertificateVerificationError
	// The tls package reports an alert from the peer as a net.OpError with this Op.
	var opErr *net.OpError
	alerted := errors.As(err, &opErr) && opErr.Op == "remote error"
	if alerted || errors.As(err, &verifyErr) {
		return fmt.Errorf("%w: %w", errAuthFailed, err)
	}
	return err
}
