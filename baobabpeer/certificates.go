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

// Certificates authenticate and encrypt a link with TLS 1.3; both sides verify the other's certificate.
type Certificates struct {
	client *tls.Config
	server *tls.Config
}

// LoadCertificates reads a certificate, its key and the authorities of the other nodes' certificates from PEM
// files. The certificate of an accepting node must be valid for serverName, because nodes are dialled by address.
func LoadCertificates(certificateFile, keyFile, authorityFile, serverName string) (*Certificates, error) {
	pair, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, newError("load certificates", KindRefused, err)
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, newError("load certificates", KindRefused, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, newError("load certificates", KindRefused, errors.New("no authority in "+authorityFile))
	}
	return NewCertificates(pair, pool, serverName), nil
}

// NewCertificates returns credentials of a certificate that was read before.
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

func (c *Certificates) dialled(ctx context.Context, n net.Conn) (net.Conn, error) {
	t := tls.Client(n, c.client)
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, classifyTLS(err)
	}
	// The handshake of TLS 1.3 ends on this side before the other has verified the certificate.
	var verdict [1]byte
	if _, err := io.ReadFull(t, verdict[:]); err != nil {
		return nil, classifyTLS(err)
	}
	return t, nil
}

func (c *Certificates) accepted(ctx context.Context, n net.Conn) (net.Conn, error) {
	t := tls.Server(n, c.server)
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, classifyTLS(err)
	}
	if _, err := t.Write([]byte{proofAccepted}); err != nil {
		return nil, err
	}
	return t, nil
}

// classifyTLS marks failures of verification, as opposed to failures of the connection.
func classifyTLS(err error) error {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return err
	}
	var verification *tls.CertificateVerificationError
	// The tls package reports an alert of the other side as an operation of this name.
	var operation *net.OpError
	alerted := errors.As(err, &operation) && operation.Op == "remote error"
	if alerted || errors.As(err, &verification) {
		return fmt.Errorf("%w: %w", errWrongProof, err)
	}
	return err
}
