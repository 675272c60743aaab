package baobabproof

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// An authority is a certificate authority that issues node certificates.
type authority struct {
	name        string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	a := &authority{name: name}
	template := certificateTemplate(name)
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	var der []byte
	a.key, der = a.sign(t, template, template)
	var err error
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	return a
}

func certificateTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
}

// sign returns a new key and its DER-encoded certificate, which is self-signed if the authority has no key yet.
func (a *authority) sign(t *testing.T, template, parent *x509.Certificate) (*ecdsa.PrivateKey, []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	signer := a.key
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	return key, der
}

// issue writes the certificate files for a node that trusts the given authority, and returns the settings that refer to
// them.
func (a *authority) issue(t *testing.T, dir, id string, trusted *authority) string {
	t.Helper()
	template := certificateTemplate(id)
	template.DNSNames = []string{"baobabdale"}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, der := a.sign(t, template, a.certificate)
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	base := filepath.Join(dir, a.name+"-"+id)
	for suffix, block := range map[string]*pem.Block{
		".ca": {Type: "CERTIFICATE", Bytes: trusted.certificate.Raw}, ".crt": {Type: "CERTIFICATE", Bytes: der},
		".key": {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		if err := os.WriteFile(base+suffix, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return fmt.Sprintf("tls_ca_file = %s.ca\ntls_certificate_file = %s.crt\ntls_key_file = %s.key", base, base, base)
}
