package baobabsettings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"strings"
	"testing"
	"time"
)

// newTestCertificate returns a self-signed certificate and its private key in PEM form.
func newTestCertificate(t *testing.T) (certificate, privateKey []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return certificate, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
}

// TestTLSFiles guards against TLS files that are not loaded, or whose key is not checked against the certificate.
func TestTLSFiles(t *testing.T) {
	certificate, privateKey := newTestCertificate(t)
	_, otherPrivateKey := newTestCertificate(t)
	text := strings.Replace(minimalSettings, "key_file = key",
		"tls_certificate_file = node.crt\ntls_key_file = node.key\ntls_ca_file = ca.crt", 1)
	for _, c := range []struct {
		name       string
		privateKey []byte
		authority  []byte
		problem    string
	}{
		{"valid", privateKey, certificate, ""},
		{"key of another certificate", otherPrivateKey, certificate, "[peers] tls_certificate_file: tls: private key does not match public key"},
		{"no authority", privateKey, privateKey, "[peers] tls_ca_file: ca.crt has no PEM certificate"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, err := Parse("node.ini", []byte(text), func(name string) ([]byte, error) {
				switch name {
				case "node.crt":
					return certificate, nil
				case "node.key":
					return c.privateKey, nil
				case "ca.crt":
					return c.authority, nil
				}
				return readTestFile(name)
			})
			if c.problem != "" {
				if err == nil || err.Error() != "node.ini: "+c.problem {
					t.Errorf("Parse() = %v, want %s", err, c.problem)
				}
				return
			}
			if err != nil {
				t.Fatalf("Parse() = %v", err)
			}
			if p := s.Peers(); p.Certificate() == nil || p.Authorities() == nil || p.Key() != nil {
				t.Errorf("Peers() = %+v, want a certificate and authorities, and no key", p)
			}
		})
	}
}
