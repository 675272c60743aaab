package baobabpeer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority is a test certificate authority.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{file: filepath.Join(t.TempDir(), "authority.pem")}
	a.certificate, a.key = issueCertificate(t, nil, a.file, "")
	return a
}

// issueCertificate writes a certificate, self-signed if parent is nil, and its key unless keyFile is empty.
func issueCertificate(t *testing.T, parent *authority, file, keyFile string) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "mesh"},
		DNSNames: []string{"mesh"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IsCA:        parent == nil, BasicConstraintsValid: true,
	}
	signer, signerKey := template, key
	if parent != nil {
		signer, signerKey = parent.certificate, parent.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, signer, &key.PublicKey, signerKey)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, file, "CERTIFICATE", der)
	if keyFile != "" {
		secret, err := x509.MarshalPKCS8PrivateKey(key)
		if err != nil {
			t.Fatal(err)
		}
		writePEM(t, keyFile, "PRIVATE KEY", secret)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return certificate, key
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (a *authority) credentials(t *testing.T, trusted *authority, name string) *Certificates {
	t.Helper()
	dir := t.TempDir()
	file, keyFile := filepath.Join(dir, "node.pem"), filepath.Join(dir, "node.key")
	issueCertificate(t, a, file, keyFile)
	c, err := LoadCertificates(file, keyFile, trusted.file, name)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestCertificates guards against a link between nodes of which one does not trust the other's certificate.
func TestCertificates(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	s, address := startServer(t, ours.credentials(t, ours, "mesh"), echo)
	tests := []struct {
		name        string
		credentials Credentials
		want        Kind
	}{
		{"trusted", ours.credentials(t, ours, "mesh"), ""},
		{"client not trusted", theirs.credentials(t, ours, "mesh"), KindRefused},
		{"server not trusted", ours.credentials(t, theirs, "mesh"), KindRefused},
		{"wrong server name", ours.credentials(t, ours, "other"), KindRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := newClient(t, tt.credentials).Request(t.Context(), address, message("x"))
			if kindOf(err) != tt.want {
				t.Errorf("Request() = %v, want kind %q", err, tt.want)
			}
		})
	}
	eventually(t, "refusals counted", func() bool {
		return refusalCount(s, refusedProof)+refusalCount(s, refusedHandshake) >= 3
	})
}
